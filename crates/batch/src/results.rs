//! Reads the output and error files of a job in input order.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use stdx::Name;

use crate::{
    commit::SegmentId,
    input::{self, InputLine},
    items::FinalState,
    key::Key,
    manifest::{JobManifest, JobState},
    output,
    segment::SegmentRecord,
    store::{self, Now, RetryState, StoreAction, StoreOutcome, Value},
};

/// One of the two result files of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResultFile {
    /// The answers of items that are done.
    Output,
    /// One line for each item in another final state.
    Errors,
}

/// The next part of a result file.
#[derive(Debug, PartialEq)]
pub enum ResultStep {
    /// No lines are available before the next outcome.
    Pending,
    /// The lines of the next segment, each terminated by a line feed.
    Lines(String),
    /// The file is complete.
    Complete,
    /// A stored record of the given segment is missing or unreadable, so the file cannot be completed.
    Damaged(u32),
}

#[derive(Debug)]
enum Step {
    Record,
    Input { record: SegmentRecord },
    Chunks { record: SegmentRecord, input: Value, left: VecDeque<Name>, lines: BTreeMap<u32, Name> },
    Damaged,
}

/// Reads a result file of an ended job, with only one segment in memory at a time.
#[derive(Debug)]
pub struct ResultReader {
    manifest: Arc<JobManifest>,
    file: ResultFile,
    n: u32,
    step: Step,
    ready_lines: Option<String>,
    lines_returned: u64,
    retry: RetryState,
}

impl ResultReader {
    /// Starts reading; returns `None` if the job has not ended.
    pub fn new(manifest: Arc<JobManifest>, file: ResultFile) -> Option<Self> {
        (manifest.state == JobState::Ended).then(|| Self {
            manifest,
            file,
            n: 0,
            step: Step::Record,
            ready_lines: None,
            lines_returned: 0,
            retry: RetryState::default(),
        })
    }

    /// Returns the next part of the file. The next segment is read once the lines of the previous one are taken.
    ///
    /// # Panics
    ///
    /// Panics if the complete file does not have exactly one line for each of its items.
    pub fn take(&mut self) -> ResultStep {
        if let Some(lines) = self.ready_lines.take() {
            return ResultStep::Lines(lines);
        }
        if matches!(self.step, Step::Damaged) {
            return ResultStep::Damaged(self.n);
        }
        if self.n < self.manifest.segments {
            return ResultStep::Pending;
        }
        let counts = self.manifest.counts.expect("an ended job has counts");
        let expected = match self.file {
            ResultFile::Output => counts.done,
            ResultFile::Errors => counts.total - counts.done,
        };
        assert_eq!(
            self.lines_returned, expected,
            "a file must have one line for each of its items"
        );
        ResultStep::Complete
    }

    /// Returns the next call if one is due.
    pub fn poll(&mut self, now: Now) -> Option<StoreAction> {
        let is_idle = self.n >= self.manifest.segments || self.ready_lines.is_some();
        if is_idle || !self.retry.is_due(now) {
            return None;
        }
        let id = self.segment();
        let key = match &self.step {
            Step::Record => id.key(),
            Step::Input { .. } => Key::FileChunk {
                account: id.account,
                file: self.manifest.spec.file.clone(),
                n: self.n,
            },
            Step::Chunks { left, .. } => id.chunk_key(left.front()?.clone()),
            Step::Damaged => return None,
        };
        self.retry.mark_sent();
        Some(StoreAction::Get { key })
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(&mut self, now: Now, outcome: StoreOutcome) {
        if !self.retry.record_outcome(now, &outcome) {
            return;
        }
        let StoreOutcome::Found { entries, .. } = outcome else {
            unreachable!("{outcome:?} is not an outcome of a read")
        };
        let value = entries.into_iter().next().map(|it| it.value);
        let step = std::mem::replace(&mut self.step, Step::Damaged);
        // If a record is missing or unreadable, the step stays `Damaged`.
        let Some(step) = value.and_then(|it| self.advance(step, it)) else { return };
        self.step = step;
        self.complete_segment();
    }

    fn advance(&self, step: Step, value: Value) -> Option<Step> {
        match step {
            Step::Record => {
                let record: SegmentRecord = store::decode(&value)?;
                record.is_ended().then_some(Step::Input { record })
            }
            Step::Input { record } => {
                let left = record.chunks.iter().cloned().collect();
                Some(Step::Chunks { record, input: value, left, lines: BTreeMap::new() })
            }
            Step::Chunks { record, input, mut left, mut lines } => {
                left.pop_front();
                for (item, line) in output::unpack(&value)? {
                    let is_first = lines.insert(item, line).is_none();
                    assert!(is_first, "an item has two committed results");
                }
                Some(Step::Chunks { record, input, left, lines })
            }
            Step::Damaged => None,
        }
    }

    fn complete_segment(&mut self) {
        let text = match &self.step {
            Step::Chunks { record, input, left, lines } if left.is_empty() => {
                assemble_lines(self.file, record, input, lines)
            }
            _ => return,
        };
        let Some((text, lines)) = text else {
            self.step = Step::Damaged;
            return;
        };
        self.lines_returned += lines;
        self.ready_lines = Some(text);
        self.n += 1;
        self.step = Step::Record;
    }

    fn segment(&self) -> SegmentId {
        let spec = &self.manifest.spec;
        SegmentId { account: spec.account.clone(), job: self.manifest.job.clone(), n: self.n }
    }
}

fn assemble_lines(
    file: ResultFile,
    record: &SegmentRecord,
    input: &str,
    lines: &BTreeMap<u32, Name>,
) -> Option<(String, u64)> {
    let mut text = String::new();
    let mut count = 0;
    for (item, range) in (0..record.items).zip(input::line_ranges(input)) {
        let final_state = record.final_state(item)?;
        let belongs = (final_state == FinalState::Done) == (file == ResultFile::Output);
        if !belongs {
            continue;
        }
        count += 1;
        match lines.get(&item) {
            Some(line) => text.push_str(line),
            None if final_state == FinalState::Done => return None,
            None => {
                let request: InputLine<'_> = serde_json::from_str(&input[range]).ok()?;
                let reason = output::default_reason(final_state);
                text.push_str(&output::error_line(&request.custom_id, final_state, reason));
            }
        }
        text.push('\n');
    }
    Some((text, count))
}
