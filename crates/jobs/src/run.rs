//! The owner's state of a job.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use kv_store::{Entry, Revision, Transaction, transaction::MAX_OPERATIONS};
use stdx::{Name, Timestamp, record_type, value_type};

use crate::{
    checkpoint::Checkpoint,
    key::JobId,
    model::{Item, ItemResult, ItemState, JobRecord, OpenJob, encode},
    times::JobTimes,
};

/// The maximum number of results of one job in one transaction.
const MAX_RESULTS: usize = 24;
/// The most operations of a transaction besides the results: the condition on the record, the record, the index entry or its
/// removal, the checkpoint or its removal, and the removal of the claim.
const FIXED_OPERATIONS: usize = 5;
/// The operations of a transaction that stores only partial outputs: the condition on the record, and the checkpoint.
const CHECKPOINT_OPERATIONS: usize = 2;
/// The minimum time between two writes of the index entry while items are left. Each write wakes every daemon that runs items,
/// while an outdated entry, which still counts finished items, only delays further submissions of the account.
const INDEX_INTERVAL: Duration = Duration::from_secs(3);
/// The maximum size of the results in one transaction, in bytes.
const MAX_RESULT_BYTES: usize = 2_000_000;

value_type! {
    /// What is left of a transaction that several jobs share.
    #[derive(Copy)]
    pub struct Room {
        /// The number of conditions, writes and removals that can be added.
        pub operations: usize,
        /// The bytes of values that can be added. A result that alone exceeds them is still stored.
        pub bytes: usize,
    }
}

impl Room {
    /// The room in an empty transaction.
    pub const WHOLE: Self = Self { operations: MAX_OPERATIONS, bytes: MAX_RESULT_BYTES };

    /// Returns the room that a transaction leaves.
    pub fn beside(transaction: &Transaction) -> Self {
        Self {
            operations: Self::WHOLE.operations.saturating_sub(transaction.operations()),
            bytes: Self::WHOLE.bytes.saturating_sub(transaction.value_bytes()),
        }
    }
}

value_type! {
    /// What the store shows about a transaction whose outcome was unknown.
    #[derive(Copy)]
    pub enum Settled {
        /// The transaction took effect.
        Stored,
        /// The transaction has had no effect. If it still takes effect, the next one fails on its condition.
        NotStored,
        /// The job was changed by another, or that cannot be excluded.
        Changed,
    }
}

record_type! {
    /// The outcome of one run of an item.
    pub enum ItemEnd {
        /// The output is complete.
        Completed {
            /// The data of all events, separated by line feeds.
            text: String,
        },
        /// The target reported that the item can never be completed.
        Impossible,
        /// The target failed while running the item.
        Failed,
        /// The run was interrupted for a reason unrelated to the item; the crash of its target is one.
        Interrupted,
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
    /// The indexes of the waiting items.
    waiting: VecDeque<usize>,
    running: BTreeSet<usize>,
    failures: Vec<u32>,
    /// Results that are not stored yet.
    unstored: VecDeque<(usize, ItemResult)>,
    /// When the oldest of these results came.
    unstored_since: Option<Timestamp>,
    /// When the oldest of the results came that were added since the transaction in flight was built.
    added_since: Option<Timestamp>,
    /// The encoded results in the transaction in flight, if there is one. A transaction without results stores only a
    /// checkpoint and leaves the record as it is.
    storing: Option<Vec<Arc<[u8]>>>,
    has_checkpoint: bool,
    /// The encoded results that are stored, by position.
    stored: Vec<Arc<[u8]>>,
    times: JobTimes,
    /// When the index entry was last written.
    index_written_at: Option<Timestamp>,
}

impl JobRun {
    /// Resumes a job from its stored record, items and results.
    ///
    /// # Panics
    ///
    /// Panics if the number of results differs from the number that the record lists.
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
        let failures = vec![0; items.len()];
        Self {
            id,
            record,
            revision,
            route,
            items: items.into(),
            waiting,
            running: BTreeSet::new(),
            failures,
            unstored: VecDeque::new(),
            unstored_since: None,
            added_since: None,
            storing: None,
            has_checkpoint: false,
            stored,
            times,
            index_written_at: None,
        }
    }

    /// Returns the id of the job.
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Returns the stored record of the job.
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Returns the deadlines of the job.
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

    /// Returns the stored results from a position on, encoded.
    pub fn results_from(&self, position: usize) -> &[Arc<[u8]>] {
        self.stored.get(position..).unwrap_or_default()
    }

    /// Returns the indexes of the waiting items.
    pub fn waiting(&self) -> impl Iterator<Item = usize> {
        self.waiting.iter().copied()
    }

    /// Moves an item from waiting to running.
    pub fn start_item(&mut self, index: usize) {
        self.waiting.retain(|it| *it != index);
        self.running.insert(index);
    }

    /// Records the outcome of a run; ignored for an item that is not running, so that no result is stored twice.
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
            ItemEnd::Interrupted => {
                self.may_give_up(now).then_some((ItemState::Failed, String::new()))
            }
        };
        match result {
            Some((state, text)) => self.add_result(index, state, text, now),
            None => self.waiting.push_back(index),
        }
    }

    /// Fails all waiting items if the give-up time of the job has passed.
    pub fn give_up_late(&mut self, now: Timestamp) {
        if !self.may_give_up(now) {
            return;
        }
        for index in std::mem::take(&mut self.waiting) {
            self.add_result(index, ItemState::Failed, String::new(), now);
        }
    }

    /// Returns the transaction that stores finished results together with the partial outputs of running items, if there are
    /// results and no other transaction is in flight.
    pub fn commit(&mut self, now: Timestamp, checkpoint: &Checkpoint) -> Option<Transaction> {
        self.commit_within(Room::WHOLE, now, checkpoint)
    }

    /// Records that an earlier owner has stored a checkpoint, which is removed when the job ends.
    pub fn set_has_checkpoint(&mut self) {
        self.has_checkpoint = true;
    }

    /// As [`Self::commit`], for a transaction that other jobs share. Returns `None` also if there is no room for a result.
    pub fn commit_within(
        &mut self,
        room: Room,
        now: Timestamp,
        checkpoint: &Checkpoint,
    ) -> Option<Transaction> {
        let max_results = room.operations.saturating_sub(FIXED_OPERATIONS).min(MAX_RESULTS);
        if self.unstored.is_empty() || self.storing.is_some() || max_results == 0 {
            return None;
        }
        let mut record = self.record.clone();
        let mut results = Vec::new();
        let mut bytes = 0;
        for (index, result) in self.unstored.iter().take(max_results) {
            let value = encode(result);
            bytes += value.len();
            if !results.is_empty() && bytes > room.bytes {
                break;
            }
            results.push((self.id.result_key(record.listed.len()), value));
            record.listed.push(*index);
        }
        self.storing = Some(results.iter().map(|(_, value)| Arc::from(value.as_slice())).collect());
        self.added_since = (results.len() < self.unstored.len()).then_some(now);
        let mut transaction = Transaction::default()
            .expect(self.id.record_key(), self.revision)
            .write(self.id.record_key(), encode(&record));
        for (key, value) in results {
            transaction = transaction.write(key, value);
        }
        if record.is_ended() {
            transaction = transaction.remove(self.id.open_key()).remove(self.id.claim_key());
            return Some(match self.has_checkpoint {
                true => transaction.remove(self.id.checkpoint_key()),
                false => transaction,
            });
        }
        if !checkpoint.items.is_empty() {
            self.has_checkpoint = true;
            transaction = transaction.write(self.id.checkpoint_key(), encode(checkpoint));
        }
        if self.index_written_at.is_some_and(|it| now.since(it) < INDEX_INTERVAL) {
            return Some(transaction);
        }
        self.index_written_at = Some(now);
        Some(transaction.write(self.id.open_key(), encode(&self.open_entry(&record))))
    }

    /// Returns the transaction that stores only partial outputs, if there are any and no other transaction is in flight.
    pub fn store_checkpoint(&mut self, checkpoint: &Checkpoint) -> Option<Transaction> {
        self.store_checkpoint_within(Room::WHOLE, checkpoint)
    }

    /// As [`Self::store_checkpoint`], for a transaction that other jobs share. Returns `None` also if there is no room.
    pub fn store_checkpoint_within(
        &mut self,
        room: Room,
        checkpoint: &Checkpoint,
    ) -> Option<Transaction> {
        let fits = room.operations >= CHECKPOINT_OPERATIONS && checkpoint.bytes() <= room.bytes;
        if checkpoint.items.is_empty() || self.storing.is_some() || !fits {
            return None;
        }
        self.storing = Some(Vec::new());
        self.has_checkpoint = true;
        let transaction = Transaction::default().expect(self.id.record_key(), self.revision);
        Some(transaction.write(self.id.checkpoint_key(), encode(checkpoint)))
    }

    /// Records that the transaction in flight took effect; ignored if none is, since the answer may then belong to an earlier
    /// claim and the stored record may differ from this one.
    pub fn on_committed(&mut self, revision: Revision) {
        let Some(mut results) = self.storing.take() else { return };
        if results.is_empty() {
            // The revision of the record stays as it is.
            return;
        }
        for (index, _) in self.unstored.drain(..results.len()) {
            self.record.listed.push(index);
        }
        self.unstored_since = self.added_since;
        self.stored.append(&mut results);
        self.revision = revision;
    }

    /// Finds out whether the transaction in flight took effect; its outcome is unknown. `entries` are the stored record and the
    /// stored results.
    ///
    /// What is stored is compared as a whole, because another owner may have run the same items.
    pub fn settle(&mut self, entries: &[Entry]) -> Settled {
        let Some(storing) = &self.storing else { return Settled::Changed };
        let record_key = self.id.record_key();
        let Some(record) = entries.iter().find(|it| *it.key == *record_key) else {
            return Settled::Changed;
        };
        if record.mod_revision == self.revision {
            self.on_not_committed();
            return Settled::NotStored;
        }
        let mut attempted = self.record.clone();
        attempted.listed.extend(self.unstored.iter().take(storing.len()).map(|(index, _)| *index));
        let expected = self.stored.iter().chain(storing);
        let results = entries.iter().filter(|it| *it.key != *record_key);
        let is_own = record.value == encode(&attempted)
            && results.map(|it| it.value.as_slice()).eq(expected.map(|it| &**it));
        if !is_own {
            return Settled::Changed;
        }
        self.on_committed(record.mod_revision);
        Settled::Stored
    }

    /// Records that the transaction in flight had no effect.
    pub fn on_not_committed(&mut self) {
        self.storing = None;
    }

    /// Returns the revision of the stored record.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns when the oldest of the results came that are not stored.
    pub fn unstored_since(&self) -> Option<Timestamp> {
        self.unstored_since
    }

    /// Returns whether a transaction is in flight.
    pub fn is_storing(&self) -> bool {
        self.storing.is_some()
    }

    /// Returns whether the transaction in flight stores only partial outputs, so that nothing is lost if its outcome is
    /// unknown.
    pub fn is_storing_checkpoint(&self) -> bool {
        self.storing.as_ref().is_some_and(Vec::is_empty)
    }

    /// Returns whether there are results that are not stored.
    pub fn has_unstored_results(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// Returns whether every item has a result, stored or not.
    pub fn has_all_results(&self) -> bool {
        self.record.listed.len() + self.unstored.len() == self.record.total
    }

    /// Returns whether every item has a stored result.
    pub fn is_ended(&self) -> bool {
        self.record.is_ended()
    }

    fn add_result(&mut self, index: usize, state: ItemState, text: String, now: Timestamp) {
        let id = self.items[index].id.clone();
        self.unstored_since.get_or_insert(now);
        self.added_since.get_or_insert(now);
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
