//! A job that this daemon runs: its items in progress and the transactions that store its state.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use futures::future::AbortHandle;
use jobs::{
    Checkpoint, JobRun, Room, checkpoint::CheckpointTimer, gathering::Unstored, order::Candidate,
};
use kv_store::Transaction;
use stdx::Timestamp;

use super::item::SharedOutput;
use crate::online::event_data::EventData;

/// The delay before results are stored again after a failure.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A job that this daemon has claimed, with its items in progress. Dropping it stops them.
pub(super) struct OwnJob {
    /// The claim under which the job runs.
    pub(super) claim: u64,
    pub(super) run: JobRun,
    /// The items that run or wait in the dispatcher, by their index.
    pub(super) items: HashMap<usize, RunningItem>,
    /// The state of items that were interrupted and will be continued, by their index.
    pub(super) interrupted: HashMap<usize, InterruptedItem>,
    /// Whether the job shares no transaction with other jobs, because the store refused such a transaction.
    pub(super) is_alone: bool,
    /// When a failed transaction may be repeated.
    retry_after: Timestamp,
    checkpoints: CheckpointTimer,
    /// The numbers of events in the last checkpoint, by the index of the item.
    checkpointed: BTreeMap<usize, u64>,
}

/// An item that runs or waits in the dispatcher.
pub(super) struct RunningItem {
    pub(super) handle: AbortHandle,
    pub(super) output: SharedOutput,
}

/// An item that waits for its next run.
#[derive(Default)]
pub(super) struct InterruptedItem {
    pub(super) output: EventData,
    pub(super) ran_for: Duration,
    pub(super) retry_at: Timestamp,
}

impl OwnJob {
    /// Creates a job whose items continue after the outputs of a checkpoint.
    pub(super) fn new(claim: u64, mut run: JobRun, checkpoint: Checkpoint, now: Timestamp) -> Self {
        if !checkpoint.items.is_empty() {
            run.set_has_checkpoint();
        }
        let waiting: Vec<usize> = run.waiting().collect();
        let resumed = checkpoint.items.into_iter().filter(|(index, _)| waiting.contains(index));
        let interrupted = resumed
            .map(|(index, it)| {
                (index, InterruptedItem { output: it.into(), ..InterruptedItem::default() })
            })
            .collect();
        Self {
            claim,
            run,
            items: HashMap::new(),
            interrupted,
            is_alone: false,
            retry_after: now,
            checkpoints: CheckpointTimer::new(now),
            checkpointed: BTreeMap::new(),
        }
    }

    /// Returns a waiting item as a candidate for the next run.
    pub(super) fn candidate(&self, index: usize) -> Candidate {
        Candidate {
            due_at: self.run.times().due_at,
            tokens: self.run.item(index).tokens,
            events: self.interrupted.get(&index).map_or(0, |it| it.output.event_count()),
        }
    }

    /// Returns when the job's results or partial outputs should be stored, even if no other job stores any; `None` if there are
    /// none that may be stored now, or a transaction is in flight.
    pub(super) fn store_at(&mut self, now: Timestamp, has_reader: bool) -> Option<Timestamp> {
        if self.run.is_storing() || now < self.retry_after {
            return None;
        }
        if let Some(since) = self.run.unstored_since() {
            let due_at = self.run.times().due_at;
            let is_complete = self.run.has_all_results();
            let results = Unstored { since, due_at, has_reader, is_complete };
            return Some(results.store_at().min(self.checkpoints.due_at().max(since)));
        }
        if !self.checkpoints.may_join(now) {
            return None;
        }
        if self.event_counts() == self.checkpointed {
            // Looked at again after an interval, since counting takes the locks of all outputs.
            self.checkpoints.restart(now);
            return None;
        }
        Some(self.checkpoints.due_at())
    }

    /// Returns the transaction that stores results and partial outputs, or only partial outputs if there are no results; `None`
    /// if there is nothing to store or no room for it.
    pub(super) fn transaction(&mut self, room: Room, now: Timestamp) -> Option<Transaction> {
        let event_counts = self.event_counts();
        let checkpoint = self.checkpoint();
        if !self.run.has_unstored_results() && checkpoint.items.is_empty() {
            self.checkpoints.restart(now);
            self.checkpointed = event_counts;
            return None;
        }
        let transaction = match self.run.has_unstored_results() {
            true => self.run.commit_within(room, now, &checkpoint),
            false => self.run.store_checkpoint_within(room, &checkpoint),
        }?;
        self.checkpoints.restart(now);
        self.checkpointed = event_counts;
        Some(transaction)
    }

    /// Records that the transaction in flight failed; it is repeated after a delay.
    pub(super) fn on_commit_failed(&mut self, now: Timestamp) {
        self.run.on_not_committed();
        self.retry_after = now + COMMIT_RETRY_DELAY;
    }

    fn checkpoint(&self) -> Checkpoint {
        Checkpoint::collect(self.outputs(EventData::partial_output))
    }

    fn event_counts(&self) -> BTreeMap<usize, u64> {
        self.outputs(|it| Some(it.event_count())).collect()
    }

    /// Reads the output of each item in progress; skips an item for which `read` returns `None`.
    fn outputs<T>(&self, read: fn(&EventData) -> Option<T>) -> impl Iterator<Item = (usize, T)> {
        let running = self.items.iter().map(move |(index, it)| (*index, read(&it.output.lock())));
        // The output of an item that runs again after an interruption is in `items`.
        let waiting = self.interrupted.iter().filter(|(it, _)| !self.items.contains_key(it));
        let waiting = waiting.map(move |(index, it)| (*index, read(&it.output)));
        running.chain(waiting).filter_map(|(index, it)| it.map(|it| (index, it)))
    }
}

impl Drop for OwnJob {
    fn drop(&mut self) {
        self.items.values().for_each(|it| it.handle.abort());
    }
}
