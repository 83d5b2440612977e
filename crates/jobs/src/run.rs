//! The owner's view of a job.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use kv_store::{Revision, Transaction};
use stdx::{Name, Timestamp, record_type};

use crate::{
    key::JobId,
    model::{Item, ItemResult, ItemState, JobRecord, OpenJob, encode},
    times::JobTimes,
};

/// Results in one transaction, whose record, index entry, claim and conditions take five more of the 32 operations.
const MAX_RESULTS: usize = 24;
/// The least time between two writes of the index entry while items are left: each of them wakes every daemon that runs items,
/// and an entry that counts finished items for a while only makes the account wait.
const INDEX_INTERVAL: Duration = Duration::from_secs(3);
/// Verdicts after which an item ends as failed. One may be wrong, since a cut network looks like the loss of the targets behind
/// it; two keep an item that does kill targets at four of them.
const MAX_POISON_VERDICTS: u32 = 2;
/// Bytes of results in one transaction.
const MAX_RESULT_BYTES: usize = 2_000_000;

record_type! {
    /// How a run of an item ended.
    pub enum ItemEnd {
        /// Its whole output is there.
        Completed {
            /// The data of all events, separated by line feeds.
            text: String,
        },
        /// The target says that the item can never be done.
        Impossible,
        /// The target failed while it ran the item.
        Failed,
        /// The item was not run to its end, for no fault of its own.
        Interrupted,
        /// The item was on targets that were lost, and the dispatcher holds it to be the cause.
        Poison,
    }
}

/// A job that this daemon has claimed.
#[derive(Debug, Clone)]
pub struct JobRun {
    id: JobId,
    record: JobRecord,
    revision: Revision,
    route: Name,
    items: Arc<[Item]>,
    /// The indexes of the items that wait.
    waiting: VecDeque<usize>,
    running: BTreeSet<usize>,
    failures: Vec<u32>,
    poison_verdicts: Vec<u32>,
    /// Results that are not stored yet.
    unstored: VecDeque<(usize, ItemResult)>,
    /// The results in the transaction that is under way, as they are stored.
    storing: Vec<Arc<[u8]>>,
    /// The results that are stored, by position.
    stored: Vec<Arc<[u8]>>,
    times: JobTimes,
    /// When the index entry was written last.
    index_written_at: Option<Timestamp>,
}

impl JobRun {
    /// Begins to run a job from what is stored of it: its record, items and results.
    ///
    /// # Panics
    ///
    /// Panics if the record lists another number of results.
    pub fn new(
        id: JobId,
        record: JobRecord,
        revision: Revision,
        route: Name,
        items: Vec<Item>,
        stored: Vec<Arc<[u8]>>,
        times: JobTimes,
    ) -> Self {
        assert_eq!(record.listed.len(), stored.len(), "the record lists the stored results");
        let waiting = (0..items.len()).filter(|it| !record.listed.contains(it)).collect();
        let (failures, poison_verdicts) = (vec![0; items.len()], vec![0; items.len()]);
        Self {
            id,
            record,
            revision,
            route,
            items: items.into(),
            waiting,
            running: BTreeSet::new(),
            failures,
            poison_verdicts,
            unstored: VecDeque::new(),
            storing: Vec::new(),
            stored,
            times,
            index_written_at: None,
        }
    }

    /// Returns the id of the job.
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Returns what is stored of the job.
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Returns when the job is due.
    pub fn times(&self) -> JobTimes {
        self.times
    }

    /// Returns an item.
    pub fn item(&self, index: usize) -> &Item {
        &self.items[index]
    }

    /// Returns the items.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Returns the stored results from a position on, as they are stored.
    pub fn results_from(&self, position: usize) -> &[Arc<[u8]>] {
        self.stored.get(position..).unwrap_or_default()
    }

    /// Returns how often an item was held to be the cause of the loss of targets.
    pub fn poison_verdicts(&self, index: usize) -> u32 {
        self.poison_verdicts[index]
    }

    /// Returns the items that wait to be run.
    pub fn waiting(&self) -> impl Iterator<Item = usize> {
        self.waiting.iter().copied()
    }

    /// Takes an item that waits to be run.
    pub fn start_item(&mut self, index: usize) {
        self.waiting.retain(|it| *it != index);
        self.running.insert(index);
    }

    /// Notes how a run of an item ended; an item that does not run is left as it is, so that none is stored twice.
    pub fn on_end(&mut self, index: usize, end: ItemEnd, now: Timestamp) {
        if !self.running.remove(&index) {
            return;
        }
        let result = match end {
            ItemEnd::Completed { text } => Some((ItemState::Completed, text)),
            ItemEnd::Impossible => Some((ItemState::Failed, String::new())),
            ItemEnd::Failed => {
                self.failures[index] += 1;
                let is_exhausted = self.failures[index] >= self.record.max_attempts;
                (is_exhausted || self.may_give_up(now))
                    .then_some((ItemState::Failed, String::new()))
            }
            ItemEnd::Poison => {
                self.poison_verdicts[index] += 1;
                let is_exhausted = self.poison_verdicts[index] >= MAX_POISON_VERDICTS;
                (is_exhausted || self.may_give_up(now))
                    .then_some((ItemState::Failed, String::new()))
            }
            ItemEnd::Interrupted => {
                self.may_give_up(now).then_some((ItemState::Failed, String::new()))
            }
        };
        match result {
            Some((state, text)) => self.add_result(index, state, text),
            None => self.waiting.push_back(index),
        }
    }

    /// Gives up the items that wait, if their time is over.
    pub fn give_up_late(&mut self, now: Timestamp) {
        if !self.may_give_up(now) {
            return;
        }
        for index in std::mem::take(&mut self.waiting) {
            self.add_result(index, ItemState::Failed, String::new());
        }
    }

    /// Returns the transaction that stores finished results, if there are any and none is under way.
    pub fn commit(&mut self, now: Timestamp) -> Option<Transaction> {
        if self.unstored.is_empty() || !self.storing.is_empty() {
            return None;
        }
        let mut record = self.record.clone();
        let mut results = Vec::new();
        let mut bytes = 0;
        for (index, result) in self.unstored.iter().take(MAX_RESULTS) {
            let value = encode(result);
            bytes += value.len();
            if !results.is_empty() && bytes > MAX_RESULT_BYTES {
                break;
            }
            results.push((self.id.result_key(record.listed.len()), value));
            record.listed.push(*index);
        }
        self.storing = results.iter().map(|(_, value)| Arc::from(value.as_slice())).collect();
        let mut transaction = Transaction::default()
            .expect(self.id.record_key(), self.revision)
            .write(self.id.record_key(), encode(&record));
        for (key, value) in results {
            transaction = transaction.write(key, value);
        }
        if record.is_ended() {
            return Some(transaction.remove(self.id.open_key()).remove(self.id.claim_key()));
        }
        if self.index_written_at.is_some_and(|it| now.since(it) < INDEX_INTERVAL) {
            return Some(transaction);
        }
        self.index_written_at = Some(now);
        Some(transaction.write(self.id.open_key(), encode(&self.open_entry(&record))))
    }

    /// Notes that the transaction under way took effect; without one the stored record is not known to be this one.
    pub fn on_committed(&mut self, revision: Revision) {
        if self.storing.is_empty() {
            return;
        }
        for (index, _) in self.unstored.drain(..self.storing.len()) {
            self.record.listed.push(index);
        }
        self.stored.append(&mut self.storing);
        self.revision = revision;
    }

    /// Notes that the transaction under way had no effect.
    pub fn on_not_committed(&mut self) {
        self.storing.clear();
    }

    /// Returns whether every item has a result, stored or not.
    pub fn has_all_results(&self) -> bool {
        self.record.listed.len() + self.unstored.len() == self.record.total
    }

    /// Returns whether every item has a stored result.
    pub fn is_ended(&self) -> bool {
        self.record.is_ended()
    }

    fn add_result(&mut self, index: usize, state: ItemState, text: String) {
        let id = self.items[index].id.clone();
        self.unstored.push_back((index, ItemResult { id, state, text }));
    }

    fn open_entry(&self, record: &JobRecord) -> OpenJob {
        let left = (0..self.items.len()).filter(|it| !record.listed.contains(it));
        OpenJob {
            origin: record.origin.clone(),
            account: record.account.clone(),
            route: self.route.clone(),
            tokens: left.map(|it| self.items[it].tokens).sum(),
        }
    }

    fn may_give_up(&self, now: Timestamp) -> bool {
        now >= self.times.give_up_at
    }
}
