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
const TURN: Duration = Duration::from_millis(700);
/// The most turns that a daemon leaves to others; that so many in line are gone at once is unlikely.
const MAX_TURNS: u32 = 8;

/// Returns the daemon that claims a job at once, if it can.
pub fn first<'a>(id: &JobId, daemons: impl IntoIterator<Item = &'a Name>) -> Option<&'a Name> {
    daemons.into_iter().max_by_key(|it| (score(id, it), (*it).clone()))
}

/// Returns how long a daemon waits before it claims a job.
pub fn delay<'a>(id: &JobId, own: &Name, daemons: impl IntoIterator<Item = &'a Name>) -> Duration {
    let rank = |it: &Name| (score(id, it), it.clone());
    let own = rank(own);
    let ahead = daemons.into_iter().map(rank).filter(|it| *it > own).count();
    TURN * u32::try_from(ahead).map_or(MAX_TURNS, |it| it.min(MAX_TURNS))
}

/// Returns the transaction that claims a job which nobody has claimed before; it loses if somebody has, or if the record is
/// not the one that was written with the acceptance.
pub fn first_claim(id: &JobId, owner: &Name, lease: LeaseId, record: Revision) -> Transaction {
    let write =
        Write { key: Name::from(id.claim()), value: owner.as_bytes().to_vec(), lease: Some(lease) };
    let mut transaction =
        Transaction::default().expect(id.claim(), Revision(0)).expect(id.record(), record);
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
    first_claim(id, owner, lease, record).write(id.record(), value.to_vec())
}

fn score(id: &JobId, daemon: &Name) -> u64 {
    const SEED: u64 = 0;
    let seed = XxHash64::oneshot(SEED, id.as_str().as_bytes());
    XxHash64::oneshot(seed, daemon.as_bytes())
}
