//! Selects the daemon that claims a job.
//!
//! All daemons that run items see a new job at the same time. They rank each other per job by rendezvous hashing: the first
//! in the ranking claims immediately, the others after a delay that grows with their position, in case the daemons ahead of
//! them are down. A job thus usually costs one claim instead of one per daemon.

use std::time::Duration;

use kv_store::{Entry, LeaseId, Revision, Transaction, transaction::Write};
use stdx::{Name, value_type};
use twox_hash::XxHash64;

use crate::key::JobId;

/// The additional delay per position in the ranking before a daemon claims an unclaimed job.
const DELAY_STEP: Duration = Duration::from_millis(700);
/// The maximum number of delay steps; it is unlikely that more daemons ahead in the ranking are down at once.
const MAX_DELAY_STEPS: u32 = 8;

value_type! {
    /// Who has claimed a job, as far as it matters to a daemon that wants to run it.
    #[derive(Copy)]
    pub enum ClaimState {
        /// Nobody.
        Free,
        /// This daemon, under the lease that it holds.
        Held,
        /// This daemon, under an earlier lease; holds the revision of the claim.
        Former(Revision),
        /// Another daemon.
        Foreign,
    }
}

/// Returns the daemon that is first in the ranking and claims the job without delay.
pub fn preferred_owner<'a>(
    id: &JobId,
    daemons: impl IntoIterator<Item = &'a Name>,
) -> Option<&'a Name> {
    daemons.into_iter().max_by_key(|it| (hash_score(id, it), (*it).clone()))
}

/// Returns how long a daemon waits before it claims a job.
pub fn delay<'a>(id: &JobId, own: &Name, daemons: impl IntoIterator<Item = &'a Name>) -> Duration {
    let rank = |it: &Name| (hash_score(id, it), it.clone());
    let own = rank(own);
    let ahead = daemons.into_iter().map(rank).filter(|it| *it > own).count();
    DELAY_STEP * u32::try_from(ahead).map_or(MAX_DELAY_STEPS, |it| it.min(MAX_DELAY_STEPS))
}

/// Returns the transaction that claims a job for the first time; it loses if the job is claimed already or if its record was
/// written again after the acceptance.
pub fn first_claim(id: &JobId, owner: &Name, lease: LeaseId, record: Revision) -> Transaction {
    claim_at(id, owner, lease, Revision(0), record)
}

/// Returns the transaction that takes over a job from a previous owner; it loses if the claim or the record was written after
/// the given revisions. Revision 0 of the claim stands for a job that is not claimed.
///
/// It rewrites the record, so that the previous owner's transactions in flight fail on its revision: from then on the new
/// owner knows all results.
pub fn takeover(
    id: &JobId,
    owner: &Name,
    lease: LeaseId,
    claim: Revision,
    record: Revision,
    value: &[u8],
) -> Transaction {
    claim_at(id, owner, lease, claim, record).write(id.record_key(), value.to_vec())
}

/// Returns the state of a job's claim for a daemon that wants to run the job under its lease.
///
/// After all daemons have lost power, each one finds the jobs claimed under the lease of its previous incarnation, which
/// lapses only seconds later. Nobody else runs those jobs, so their owner takes them over at once.
pub fn claim_state(claim: Option<&Entry>, own: &Name, lease: LeaseId) -> ClaimState {
    match claim {
        None => ClaimState::Free,
        Some(it) if it.value != own.as_bytes() => ClaimState::Foreign,
        Some(it) if it.lease == Some(lease) => ClaimState::Held,
        Some(it) => ClaimState::Former(it.mod_revision),
    }
}

fn claim_at(
    id: &JobId,
    owner: &Name,
    lease: LeaseId,
    claim: Revision,
    record: Revision,
) -> Transaction {
    let write = Write {
        key: Name::from(id.claim_key()),
        value: owner.as_bytes().to_vec(),
        lease: Some(lease),
    };
    let mut transaction =
        Transaction::default().expect(id.claim_key(), claim).expect(id.record_key(), record);
    transaction.writes.push(write);
    transaction
}

/// Returns the rendezvous hash of a job and a daemon.
fn hash_score(id: &JobId, daemon: &Name) -> u64 {
    const SEED: u64 = 0;
    let job_hash = XxHash64::oneshot(SEED, id.as_str().as_bytes());
    XxHash64::oneshot(job_hash, daemon.as_bytes())
}
