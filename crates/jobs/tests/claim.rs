//! Tests of the transactions that claim a job.

use jobs::{
    JobId,
    claim::{self, ClaimState},
};
use kv_store::{Entry, LeaseId, Revision};
use stdx::Name;

const LEASE: LeaseId = LeaseId(7);

fn id() -> JobId {
    JobId::parse("job-1").expect("valid")
}

fn stored_claim(owner: &str, lease: i64) -> Entry {
    Entry {
        key: id().claim_key().into(),
        value: owner.as_bytes().to_vec(),
        create_revision: Revision(3),
        mod_revision: Revision(4),
        lease: Some(LeaseId(lease)),
    }
}

// Guards against jobs that wait for the lease of a daemon's previous incarnation to lapse after all daemons lost power, and
// against two owners of a job.
#[test]
fn only_a_claim_of_the_daemon_itself_under_an_earlier_lease_is_taken_over() {
    let state = |claim: Option<Entry>| claim::claim_state(claim.as_ref(), &"own".into(), LEASE);
    assert_eq!(state(None), ClaimState::Free);
    assert_eq!(state(Some(stored_claim("own", 6))), ClaimState::Former(Revision(4)));
    assert_eq!(state(Some(stored_claim("own", 7))), ClaimState::Held);
    assert_eq!(state(Some(stored_claim("other", 6))), ClaimState::Foreign);
    assert_eq!(state(Some(stored_claim("other", 7))), ClaimState::Foreign);
}

// Guards against a claim that replaces one stored since it was read, and against a former owner whose transactions still take
// effect.
#[test]
fn a_takeover_requires_the_claim_that_was_read_and_rewrites_the_record() {
    let own = Name::from("own");
    let takeover = claim::takeover(&id(), &own, LEASE, Revision(4), Revision(9), b"record");
    let expected: Vec<_> = takeover.expected.iter().map(|it| (&*it.key, it.revision.0)).collect();
    assert_eq!(expected, [("work/index/claim/job-1", 4), ("work/job/job-1/progress/record", 9)]);
    let written: Vec<_> = takeover.writes.iter().map(|it| (&*it.key, it.lease)).collect();
    assert_eq!(
        written,
        [("work/index/claim/job-1", Some(LEASE)), ("work/job/job-1/progress/record", None)]
    );
}
