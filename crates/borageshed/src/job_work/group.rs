//! Transactions that store the state of several jobs of this daemon.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use async_std::task;
use jobs::{JobId, Room};
use kv_store::{Entry, Error, Transaction, budget::jittered};
use slog::debug;
use stdx::Timestamp;

use super::own_job::OwnJob;
use crate::shared::Shared;

/// The bytes that a transaction must have left for another job, which stores at least one result or a checkpoint.
const MIN_SHARED_BYTES: usize = 1 << 20;
/// The delay before the state of a job is read after a transaction of unknown outcome; doubled after each failed read.
const MIN_SETTLE_DELAY: Duration = Duration::from_millis(300);
const MAX_SETTLE_DELAY: Duration = Duration::from_millis(1_200);

/// A claimed job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClaimedId {
    pub(super) id: JobId,
    /// The claim under which the job runs.
    pub(super) claim: u64,
}

/// A transaction that stores results and partial outputs of several jobs.
pub(super) struct Group {
    pub(super) transaction: Transaction,
    pub(super) jobs: Vec<ClaimedId>,
}

/// Returns the next transaction if the state of any job is due to be stored. The other jobs that have something to store take part
/// as far as there is room. `awaited` are the jobs for whose results a caller waits.
pub(super) fn next(
    own_jobs: &mut HashMap<JobId, OwnJob>,
    awaited: &BTreeSet<JobId>,
    now: Timestamp,
) -> Option<Group> {
    let mut wanted = Vec::new();
    for (id, job) in own_jobs.iter_mut() {
        if let Some(at) = job.store_at(now, awaited.contains(id)) {
            // Jobs with results come first, because the first write of a transaction shows its outcome after a lost answer.
            wanted.push((!job.run.has_unstored_results(), at, id.clone(), job.is_alone));
        }
    }
    wanted.sort_unstable();
    let mut due = wanted.iter().filter(|(_, at, ..)| *at <= now);
    let first = due.next()?;
    if let Some(alone) = std::iter::once(first).chain(due).find(|(.., is_alone)| *is_alone) {
        wanted = vec![alone.clone()];
    } else {
        wanted.retain(|(.., is_alone)| !is_alone);
    }
    let mut group = Group { transaction: Transaction::default(), jobs: Vec::new() };
    for (_, _, id, _) in wanted {
        let room = Room::beside(&group.transaction);
        if !group.jobs.is_empty() && room.bytes < MIN_SHARED_BYTES {
            break;
        }
        let Some(job) = own_jobs.get_mut(&id) else { continue };
        if let Some(transaction) = job.transaction(room, now) {
            group.transaction.append(transaction);
            group.jobs.push(ClaimedId { id, claim: job.claim });
        }
    }
    (!group.jobs.is_empty()).then_some(group)
}

/// What a transaction that several jobs shared means for one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobOutcome {
    /// The record or the claim of the job was changed by another.
    Changed,
    /// Nothing was stored, because of another job.
    Held,
    /// Nothing was stored, and it is not known because of which job.
    HeldByUnknown,
}

/// Returns what a transaction without effect means for its jobs; `is_shared` tells whether it had several. `entries` are the stored
/// records, of which some may be missing.
pub(super) fn judge_lost(
    jobs: &[ClaimedId],
    is_shared: bool,
    own_jobs: &HashMap<JobId, OwnJob>,
    entries: &[Entry],
) -> Vec<JobOutcome> {
    let is_changed = |job: &ClaimedId| {
        let key = job.id.record_key();
        let entry = entries.iter().find(|it| *it.key == *key);
        let run = own_jobs.get(&job.id).map(|it| &it.run);
        entry.is_some_and(|it| run.is_some_and(|run| run.revision() != it.mod_revision))
    };
    let changed: Vec<bool> = jobs.iter().map(is_changed).collect();
    let any_changed = changed.contains(&true);
    let outcome = |is_changed: &bool| match (is_changed, any_changed, is_shared) {
        (true, ..) | (false, false, false) => JobOutcome::Changed,
        (false, true, _) => JobOutcome::Held,
        (false, false, true) => JobOutcome::HeldByUnknown,
    };
    changed.iter().map(outcome).collect()
}

/// Returns whether a failed transaction may succeed without one of its jobs, so that its jobs should no longer share one.
pub(super) fn is_refusal(e: &Error) -> bool {
    matches!(e, Error::TooLarge { .. } | Error::Refused { .. } | Error::Protocol(_))
}

/// Reads and reports the stored record and results of each job, in order, as soon as the store answers.
pub(super) async fn read_progress(
    cx: &Shared,
    jobs: Vec<ClaimedId>,
    mut report: impl FnMut(ClaimedId, Vec<Entry>),
) {
    let mut delay = MIN_SETTLE_DELAY;
    task::sleep(jittered(delay)).await;
    for job in jobs {
        let entries = loop {
            match cx.store.range(&job.id.progress_prefix()).await {
                Ok(listing) => break listing.entries,
                Err(e) => {
                    debug!(cx.log, "stored results not read"; "job" => job.id.as_str(), "error" => %e);
                    task::sleep(jittered(delay)).await;
                    delay = (delay * 2).min(MAX_SETTLE_DELAY);
                }
            }
        };
        report(job, entries);
    }
}
