//! Which daemon takes a job.
//!
//! All daemons that run items see a new job at once. One of them, the same for all, takes it right away; the others wait a
//! while, in case that one is gone, so that a job costs one claim and not one for each daemon.

use std::time::Duration;

use kv_store::{LeaseId, Revision, Transaction, transaction::Write};
use stdx::Name;
use twox_hash::XxHash64;

use crate::key::JobId;

/// How much later the next daemon in line takes a job that nobody has claimed.
const DELAY_STEP: Duration = Duration::from_millis(700);
/// The most turns that a daemon leaves to others; that so many in line are gone at once is unlikely.
const MAX_DELAY_STEPS: u32 = 8;

/// Returns the daemon that claims a job at once, if it can.
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

/// Returns the transaction that claims a job which nobody has claimed before; it loses if somebody has, or if the record is
/// not the one that was written with the acceptance.
pub fn first_claim(id: &JobId, owner: &Name, lease: LeaseId, record: Revision) -> Transaction {
    let write = Write {
        key: Name::from(id.claim_key()),
        value: owner.as_bytes().to_vec(),
        lease: Some(lease),
    };
    let mut transaction =
        Transaction::default().expect(id.claim_key(), Revision(0)).expect(id.record_key(), record);
    transaction.writes.push(write);
    transaction
}

/// Returns the transaction that takes a job over; it loses as [`first_claim`] does.
///
/// It writes the record anew, which makes every transaction of a former owner fail that is still on its way: from then on the
/// new owner knows all results.
pub fn takeover(
    id: &JobId,
    owner: &Name,
    lease: LeaseId,
    record: Revision,
    value: &[u8],
) -> Transaction {
    first_claim(id, owner, lease, record).write(id.record_key(), value.to_vec())
}

fn hash_score(id: &JobId, daemon: &Name) -> u64 {
    const SEED: u64 = 0;
    let job_hash = XxHash64::oneshot(SEED, id.as_str().as_bytes());
    XxHash64::oneshot(job_hash, daemon.as_bytes())
}
