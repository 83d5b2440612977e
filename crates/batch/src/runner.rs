//! Runs the items of one claimed segment: decides which items may run, handles their outcomes and commits the results.

use std::{ops::Range, sync::Arc};

use stdx::{Name, Timestamp, value_type};

use crate::{
    commit::{Commit, Progress, SegmentId},
    input::{self, InputLine},
    items::{Counts, FinalState, ItemSet},
    key::Key,
    manifest::JobManifest,
    output::{self, MAX_LINE_BYTES, MAX_RESULT_CHUNK_BYTES},
    run::{
        ATTEMPT_RETRY_DELAY, COMMIT_ITEM_THRESHOLD, ItemOutcome, ItemRun, MAX_ATTEMPTS,
        MAX_HELD_BYTES, MAX_STARTS_PER_COMMIT, MAX_UNCOMMITTED_AGE, MIN_COMMIT_INTERVAL, RunId,
    },
    segment::SegmentRecord,
    store::{Now, RetryState, Revision, StoreAction, StoreOutcome, Value},
};

value_type! {
    /// The phase of a runner.
    #[derive(Copy)]
    pub enum Phase {
        /// The input chunk is being read.
        Loading,
        /// Items may run.
        Active,
        /// Every item has a committed final state.
        Ended,
        /// The segment was released, with all results so far committed.
        Released,
        /// The segment was lost to another owner or with the lease; uncommitted results are discarded.
        Lost,
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ItemState {
    Waiting {
        not_before: Timestamp,
    },
    /// The commit in progress records the item as started.
    Starting,
    /// Recorded as started, but not dispatched yet.
    Started,
    Running {
        run: u32,
    },
    Ended,
}

#[derive(Debug)]
struct Item {
    state: ItemState,
    attempts: u32,
}

#[derive(Debug)]
struct FinishedItem {
    item: u32,
    final_state: FinalState,
    line: Option<Box<str>>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Call {
    ReadInput,
    Commit,
    DeleteOrphan,
}

/// Runs the items of one claimed segment and commits their results.
#[derive(Debug)]
pub struct SegmentRunner {
    id: SegmentId,
    manifest: Arc<JobManifest>,
    record: SegmentRecord,
    revision: Revision,
    phase: Phase,
    items: Vec<Item>,
    input: Value,
    lines: Vec<Range<usize>>,
    next_run: u32,
    running: usize,
    unfinished: usize,
    dispatched: ItemSet,
    finished: Vec<FinishedItem>,
    held_bytes: usize,
    committing_bytes: usize,
    dirty_since: Option<Timestamp>,
    last_commit: Timestamp,
    commit: Option<Commit>,
    releasing: bool,
    to_cancel: Vec<RunId>,
    orphaned_chunks: Vec<Name>,
    call: Option<Call>,
    retry: RetryState,
}

impl SegmentRunner {
    /// Creates the runner of a segment whose claim wrote `record` at `revision`.
    ///
    /// # Panics
    ///
    /// Panics if the record has no owner.
    pub fn new(
        now: Now,
        manifest: Arc<JobManifest>,
        n: u32,
        record: SegmentRecord,
        revision: Revision,
    ) -> Self {
        assert!(record.owner.is_some(), "a claimed segment must have an owner");
        let id = SegmentId { account: manifest.spec.account.clone(), job: manifest.job.clone(), n };
        let ended = record.ended();
        let unfinished = record.unfinished().len() as usize;
        let items = (0..record.items)
            .map(|it| Item {
                state: if ended.contains(it) {
                    ItemState::Ended
                } else {
                    ItemState::Waiting { not_before: now.mono }
                },
                attempts: record.attempts.get(&it).copied().unwrap_or(0),
            })
            .collect();
        Self {
            id,
            manifest,
            record,
            revision,
            phase: Phase::Loading,
            items,
            input: Value::from(""),
            lines: Vec::new(),
            next_run: 0,
            running: 0,
            unfinished,
            dispatched: ItemSet::default(),
            finished: Vec::new(),
            held_bytes: 0,
            committing_bytes: 0,
            dirty_since: None,
            last_commit: now.mono,
            commit: None,
            releasing: false,
            to_cancel: Vec::new(),
            orphaned_chunks: Vec::new(),
            call: None,
            retry: RetryState::default(),
        }
    }

    /// Returns the identifier of the segment.
    pub fn id(&self) -> &SegmentId {
        &self.id
    }

    /// Returns the manifest of the job.
    pub fn manifest(&self) -> &JobManifest {
        &self.manifest
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the runner has nothing left to do and may be dropped.
    pub fn is_finished(&self) -> bool {
        let is_over = matches!(self.phase, Phase::Ended | Phase::Released | Phase::Lost);
        is_over
            && self.orphaned_chunks.is_empty()
            && self.call.is_none()
            && self.to_cancel.is_empty()
    }

    /// Returns the counts of committed final states.
    pub fn counts(&self) -> Counts {
        self.record.counts()
    }

    /// Returns the number of dispatched items without an outcome.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the size of the input and of the uncommitted results, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.input.len() + self.held_bytes
    }

    /// Returns the next item to dispatch, if any may run now.
    ///
    /// # Panics
    ///
    /// Panics if an item that has ended would run again, or a non-idempotent item would run twice.
    pub fn take_item(&mut self, now: Now) -> Option<ItemRun> {
        let has_room = self.held_bytes + (self.running + 1) * MAX_LINE_BYTES <= MAX_HELD_BYTES;
        let may_run = self.phase == Phase::Active
            && !self.releasing
            && has_room
            && !self.manifest.is_expired(now.unix_ms);
        if !may_run {
            return None;
        }
        let is_idempotent = self.manifest.idempotent;
        let item = self.items.iter().position(|it| match it.state {
            ItemState::Waiting { not_before } => is_idempotent && not_before <= now.mono,
            ItemState::Started => true,
            _ => false,
        })? as u32;
        assert!(!self.record.ended().contains(item), "an item that has ended must not run again");
        if !is_idempotent {
            assert!(
                self.record.started.contains(item),
                "the start must be committed before the dispatch"
            );
            assert!(
                self.dispatched.insert(item),
                "a non-idempotent item must be dispatched only once"
            );
        }
        let run = self.next_run;
        self.next_run += 1;
        self.running += 1;
        self.items[item as usize].state = ItemState::Running { run };
        let line = self.input_line(item);
        Some(ItemRun {
            id: RunId { item, run },
            custom_id: Name::new(&*line.custom_id),
            method: Name::new(&*line.method),
            url: Name::new(&*line.url),
            body: Value::from(line.body.get()),
        })
    }

    /// Takes the outcome of a dispatch. Outcomes of dispatches that have ended or were stopped are ignored.
    pub fn on_item(&mut self, now: Now, id: RunId, outcome: ItemOutcome) {
        let is_current = self.items[id.item as usize].state == ItemState::Running { run: id.run };
        if !is_current {
            return;
        }
        self.running -= 1;
        let item = id.item;
        let is_idempotent = self.manifest.idempotent;
        match outcome {
            ItemOutcome::Done { status, body } => {
                self.finish_with_answer(now, item, FinalState::Done, status, &body);
            }
            ItemOutcome::Rejected { status, body } => {
                self.finish_with_answer(now, item, FinalState::Failed, status, &body);
            }
            ItemOutcome::Failed { reason } => {
                self.finish(now, item, FinalState::Failed, Some(&reason))
            }
            ItemOutcome::AttemptFailed { reason } => self.record_failed_attempt(now, item, &reason),
            ItemOutcome::Lost { reason } if is_idempotent => {
                self.record_failed_attempt(now, item, &reason)
            }
            ItemOutcome::Yielded if is_idempotent => self.set_waiting(now, item),
            ItemOutcome::Lost { .. } | ItemOutcome::Yielded => {
                self.finish(now, item, FinalState::Unknown, None);
            }
            ItemOutcome::NotRun if is_idempotent => self.set_waiting(now, item),
            ItemOutcome::NotRun => {
                // The request was not sent, so the item may be dispatched again.
                self.dispatched.remove(item);
                self.items[item as usize].state = ItemState::Started;
            }
        }
    }

    /// Ends all unfinished items because the job was cancelled, and stops the running ones.
    pub fn cancel(&mut self, now: Now) {
        self.end_unfinished(now, FinalState::Cancelled);
    }

    /// Starts no further items, and releases the segment once no item runs. Running idempotent items are stopped.
    pub fn release(&mut self, now: Now) {
        if self.releasing || !matches!(self.phase, Phase::Loading | Phase::Active) {
            return;
        }
        self.releasing = true;
        self.mark_dirty(now);
        if self.manifest.idempotent {
            for item in 0..self.record.items {
                if self.stop_run(item) {
                    self.set_waiting(now, item);
                }
            }
        }
    }

    /// Stops all items because the instance's lease has lapsed; uncommitted results are discarded.
    pub fn abandon(&mut self) {
        self.mark_lost(Vec::new());
    }

    /// Takes the dispatches that must be stopped. Their outcomes are ignored.
    pub fn take_cancelled(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.to_cancel)
    }

    /// Returns the next call if one is due.
    pub fn poll(&mut self, now: Now) -> Option<StoreAction> {
        if matches!(self.phase, Phase::Loading | Phase::Active)
            && self.manifest.is_expired(now.unix_ms)
        {
            self.end_unfinished(now, FinalState::Expired);
        }
        if !self.retry.is_due(now) {
            return None;
        }
        let (call, action) = self.next_call(now)?;
        self.retry.mark_sent();
        self.call = Some(call);
        Some(action)
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(&mut self, now: Now, outcome: StoreOutcome) {
        let is_final = self.retry.record_outcome(now, &outcome);
        match self.call.take().expect("no call is outstanding") {
            // A chunk that was not deleted is never read, so the deletion is not retried; the runner can finish.
            Call::DeleteOrphan => {
                self.orphaned_chunks.pop();
            }
            Call::ReadInput if is_final => self.on_input(outcome),
            // There is no commit if the segment was lost while the call was outstanding.
            Call::Commit if is_final && self.commit.is_some() => self.on_commit(now, outcome),
            Call::ReadInput | Call::Commit => {}
        }
    }

    fn next_call(&mut self, now: Now) -> Option<(Call, StoreAction)> {
        if let Some(chunk) = self.orphaned_chunks.last() {
            let key = self.id.chunk_key(chunk.clone());
            return Some((Call::DeleteOrphan, StoreAction::Delete { key }));
        }
        if !matches!(self.phase, Phase::Loading | Phase::Active) {
            return None;
        }
        if self.commit.is_none() && self.is_commit_due(now) {
            self.commit = Some(self.prepare_commit(now));
        }
        if let Some(commit) = &self.commit {
            return Some((Call::Commit, commit.action()));
        }
        (self.phase == Phase::Loading).then(|| {
            let key = Key::FileChunk {
                account: self.id.account.clone(),
                file: self.manifest.spec.file.clone(),
                n: self.id.n,
            };
            (Call::ReadInput, StoreAction::Get { key })
        })
    }

    fn is_commit_due(&self, now: Now) -> bool {
        if now.mono.since(self.last_commit) < MIN_COMMIT_INTERVAL {
            return false;
        }
        let is_old = self.dirty_since.is_some_and(|it| now.mono.since(it) >= MAX_UNCOMMITTED_AGE);
        let all_ended = self.unfinished == 0;
        let is_large = self.finished.len() >= COMMIT_ITEM_THRESHOLD
            || self.held_bytes >= MAX_RESULT_CHUNK_BYTES;
        is_old || all_ended || is_large || self.can_release() || self.has_unrecorded_starts()
    }

    /// Returns whether the next commit can release the segment.
    fn can_release(&self) -> bool {
        self.releasing && self.running == 0
    }

    /// Returns whether items of a non-idempotent route wait for their starts to be recorded.
    fn has_unrecorded_starts(&self) -> bool {
        let is_candidate = !self.manifest.idempotent
            && self.phase == Phase::Active
            && !self.releasing
            && !self.items.iter().any(|it| it.state == ItemState::Started);
        is_candidate && self.items.iter().any(|it| matches!(it.state, ItemState::Waiting { .. }))
    }

    fn prepare_commit(&mut self, now: Now) -> Commit {
        let mut next = self.record.clone();
        let finished = std::mem::take(&mut self.finished);
        for it in &finished {
            next.end_item(it.item, it.final_state);
        }
        for (i, item) in self.items.iter().enumerate() {
            if item.attempts > 0 && item.state != ItemState::Ended {
                next.attempts.insert(i as u32, item.attempts);
            }
        }
        if self.has_unrecorded_starts() {
            self.record_starts(&mut next);
        }
        if self.can_release() {
            // These items were not dispatched, so the next owner may start them.
            for (i, item) in self.items.iter_mut().enumerate() {
                if item.state == ItemState::Started {
                    next.started.remove(i as u32);
                    item.state = ItemState::Waiting { not_before: now.mono };
                }
            }
            next.owner = None;
        }
        if next.is_ended() {
            next.owner = None;
        }
        let lines = finished.iter().filter_map(|it| Some((it.item, it.line.as_deref()?)));
        let chunks = output::pack(lines);
        self.committing_bytes = finished.iter().map(FinishedItem::bytes).sum();
        self.dirty_since = None;
        self.last_commit = now.mono;
        Commit::new(self.id.clone(), self.revision, &self.record, next, chunks)
    }

    fn record_starts(&mut self, next: &mut SegmentRecord) {
        let waiting = self
            .items
            .iter_mut()
            .enumerate()
            .filter(|(_, it)| matches!(it.state, ItemState::Waiting { .. }));
        for (i, item) in waiting.take(MAX_STARTS_PER_COMMIT) {
            item.state = ItemState::Starting;
            next.started.insert(i as u32);
        }
    }

    fn on_input(&mut self, outcome: StoreOutcome) {
        let StoreOutcome::Found { entries, .. } = outcome else {
            unreachable!("{outcome:?} is not an outcome of a read")
        };
        // A missing or truncated chunk may be restored, so it is read again until the window ends.
        let Some(entry) = entries.into_iter().next() else { return };
        let lines = input::line_ranges(&entry.value);
        if lines.len() == self.items.len() && self.phase == Phase::Loading {
            self.lines = lines;
            self.input = entry.value;
            self.phase = Phase::Active;
        }
    }

    fn on_commit(&mut self, now: Now, outcome: StoreOutcome) {
        let Some(commit) = &mut self.commit else { return };
        match commit.on_outcome(outcome) {
            Progress::More => {}
            Progress::Lost(orphaned_chunks) => self.mark_lost(orphaned_chunks),
            Progress::Committed(record, revision) => {
                self.commit = None;
                self.record = *record;
                self.revision = revision;
                self.held_bytes -= std::mem::take(&mut self.committing_bytes);
                for item in &mut self.items {
                    if item.state == ItemState::Starting {
                        item.state = ItemState::Started;
                    }
                }
                if self.record.is_ended() {
                    self.phase = Phase::Ended;
                } else if self.record.owner.is_none() {
                    self.phase = Phase::Released;
                    // Items that ended since the commit was prepared were cancelled or have expired; the next owner
                    // ends them too.
                    self.finished.clear();
                    self.held_bytes = 0;
                } else if self.releasing {
                    self.mark_dirty(now);
                }
                self.check_items();
            }
        }
    }

    fn finish_with_answer(
        &mut self,
        now: Now,
        item: u32,
        final_state: FinalState,
        status: u16,
        body: &str,
    ) {
        let line = output::answer_line(&self.input_line(item).custom_id, status, body);
        match line {
            Ok(line) => self.end_item(now, item, final_state, Some(line)),
            Err(it) => {
                let reason = format!(
                    "the request ran, but its result of {} bytes is longer than {MAX_LINE_BYTES}",
                    it.bytes
                );
                self.finish(now, item, FinalState::Failed, Some(&reason));
            }
        }
    }

    fn finish(&mut self, now: Now, item: u32, final_state: FinalState, reason: Option<&str>) {
        let line =
            reason.map(|it| output::error_line(&self.input_line(item).custom_id, final_state, it));
        self.end_item(now, item, final_state, line);
    }

    fn end_item(&mut self, now: Now, item: u32, final_state: FinalState, line: Option<Box<str>>) {
        let state = &mut self.items[item as usize].state;
        assert_ne!(*state, ItemState::Ended, "an item must end only once");
        *state = ItemState::Ended;
        self.unfinished -= 1;
        let finished = FinishedItem { item, final_state, line };
        self.held_bytes += finished.bytes();
        self.finished.push(finished);
        self.mark_dirty(now);
        self.check_totals();
    }

    fn record_failed_attempt(&mut self, now: Now, item: u32, reason: &str) {
        let entry = &mut self.items[item as usize];
        entry.attempts += 1;
        if entry.attempts >= MAX_ATTEMPTS || !self.manifest.idempotent {
            return self.finish(now, item, FinalState::Failed, Some(reason));
        }
        entry.state =
            ItemState::Waiting { not_before: now.mono + ATTEMPT_RETRY_DELAY * entry.attempts };
        self.mark_dirty(now);
    }

    fn set_waiting(&mut self, now: Now, item: u32) {
        self.items[item as usize].state = ItemState::Waiting { not_before: now.mono };
    }

    /// Stops an item if it is running and returns whether it was.
    fn stop_run(&mut self, item: u32) -> bool {
        let ItemState::Running { run } = self.items[item as usize].state else { return false };
        self.to_cancel.push(RunId { item, run });
        self.running -= 1;
        true
    }

    fn end_unfinished(&mut self, now: Now, final_state: FinalState) {
        if !matches!(self.phase, Phase::Loading | Phase::Active) {
            return;
        }
        for item in 0..self.record.items {
            if self.items[item as usize].state == ItemState::Ended {
                continue;
            }
            let may_have_run = self.stop_run(item) && !self.manifest.idempotent;
            self.end_item(
                now,
                item,
                if may_have_run { FinalState::Unknown } else { final_state },
                None,
            );
        }
    }

    fn mark_lost(&mut self, orphaned_chunks: Vec<Name>) {
        for item in 0..self.record.items {
            self.stop_run(item);
            self.items[item as usize].state = ItemState::Ended;
        }
        self.unfinished = 0;
        self.phase = Phase::Lost;
        self.commit = None;
        self.finished.clear();
        self.held_bytes = 0;
        self.orphaned_chunks = orphaned_chunks;
    }

    fn mark_dirty(&mut self, now: Now) {
        self.dirty_since.get_or_insert(now.mono);
    }

    fn input_line(&self, item: u32) -> InputLine<'_> {
        let text = &self.input[self.lines[item as usize].clone()];
        serde_json::from_str(text).expect("stored lines are valid")
    }

    /// Checks the invariants of the totals that hold at any time.
    fn check_totals(&self) {
        let ended = self.items.len() - self.unfinished;
        let known = self.record.ended().len() as usize + self.finished.len();
        assert!(ended >= known, "a final state was recorded twice");
        assert!(
            self.held_bytes + self.running * MAX_LINE_BYTES <= MAX_HELD_BYTES,
            "uncommitted results exceed their limit"
        );
    }

    /// Checks the totals against the states of all items, only once per commit because it visits every item.
    fn check_items(&self) {
        let count = |wanted: fn(&ItemState) -> bool| {
            self.items.iter().filter(|it| wanted(&it.state)).count()
        };
        let running = count(|it| matches!(it, ItemState::Running { .. }));
        assert_eq!(running, self.running, "the number of running items is wrong");
        assert_eq!(
            count(|it| *it != ItemState::Ended),
            self.unfinished,
            "the number of unfinished items is wrong"
        );
        if self.phase == Phase::Active || self.phase == Phase::Ended {
            let known = self.record.ended().len() as usize + self.finished.len();
            assert_eq!(
                self.items.len() - self.unfinished,
                known,
                "every final state must be committed or held"
            );
        }
        self.check_totals();
    }
}

impl FinishedItem {
    fn bytes(&self) -> usize {
        self.line.as_ref().map_or(0, |it| it.len())
    }
}
