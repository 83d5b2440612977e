//! Writes result chunks and then the segment record that lists them.

use std::collections::VecDeque;

use stdx::Name;

use crate::{
    key::{JobId, Key},
    segment::SegmentRecord,
    store::{self, Entry, Revision, StoreAction, StoreOutcome, Value},
};

/// Identifies a segment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SegmentId {
    /// The account that owns the job.
    pub account: Name,
    /// The job.
    pub job: JobId,
    /// The segment's number.
    pub n: u32,
}

/// A commit in progress. Its content never changes, so that a write with an unknown outcome can be repeated as it is.
#[derive(Debug)]
pub(crate) struct Commit {
    id: SegmentId,
    expected: Revision,
    chunks: VecDeque<(Name, Value)>,
    written_chunks: Vec<Name>,
    record: SegmentRecord,
}

/// The state of a commit after a final outcome.
#[derive(Debug)]
pub(crate) enum Progress {
    /// More writes follow.
    More,
    /// The record is written, and with it all results are committed.
    Committed(Box<SegmentRecord>, Revision),
    /// Another owner wrote the record first; no record lists the given chunks.
    Lost(Vec<Name>),
}

impl SegmentId {
    /// Returns the key of the segment record.
    pub fn key(&self) -> Key {
        Key::Segment { account: self.account.clone(), job: self.job.clone(), n: self.n }
    }

    /// Returns the key of a result chunk.
    pub fn chunk_key(&self, chunk: Name) -> Key {
        Key::ResultChunk { account: self.account.clone(), job: self.job.clone(), n: self.n, chunk }
    }
}

impl Commit {
    /// Prepares a commit of `record` with the given result chunks, named after the fencing token and the commit number.
    pub(crate) fn new(
        id: SegmentId,
        expected: Revision,
        previous: &SegmentRecord,
        mut record: SegmentRecord,
        chunks: Vec<Value>,
    ) -> Self {
        record.seq = previous.seq + 1;
        let chunks: VecDeque<_> = chunks
            .into_iter()
            .enumerate()
            .map(|(i, value)| (Name::from(format!("{}-{}-{i}", record.fence, record.seq)), value))
            .collect();
        record.chunks.extend(chunks.iter().map(|(name, _)| name.clone()));
        previous.check_commit(&record);
        Self { id, expected, chunks, written_chunks: Vec::new(), record }
    }

    pub(crate) fn action(&self) -> StoreAction {
        match self.chunks.front() {
            Some((name, value)) => {
                StoreAction::Create { key: self.id.chunk_key(name.clone()), value: value.clone() }
            }
            None => StoreAction::CompareAndSwap {
                key: self.id.key(),
                expected: self.expected,
                value: store::encode(&self.record),
            },
        }
    }

    pub(crate) fn on_outcome(&mut self, outcome: StoreOutcome) -> Progress {
        if let Some((name, value)) = self.chunks.pop_front() {
            match outcome {
                StoreOutcome::Won { .. } => {}
                // Only this commit uses the name, so an earlier attempt of this write created the chunk.
                StoreOutcome::Lost { current: Some(entry) } => {
                    assert_eq!(entry.value, value, "the name of a result chunk must be unique");
                }
                other => unreachable!("{other:?} is not an outcome of a chunk creation"),
            }
            self.written_chunks.push(name);
            return Progress::More;
        }
        match outcome {
            StoreOutcome::Won { revision } => {
                Progress::Committed(Box::new(self.record.clone()), revision)
            }
            StoreOutcome::Lost { current } => self.on_condition_failed(current),
            other => unreachable!("{other:?} is not an outcome of a commit"),
        }
    }

    /// Checks whether an earlier attempt of this write took effect although its answer was lost.
    fn on_condition_failed(&self, current: Option<Entry>) -> Progress {
        let revision = current.as_ref().map(|it| it.revision);
        let found = current.and_then(|it| store::decode::<SegmentRecord>(&it.value));
        match (found, revision) {
            (Some(found), Some(revision)) if found == self.record => {
                Progress::Committed(Box::new(found), revision)
            }
            // A later owner's record may include this write; the chunks that it lists are committed.
            (Some(found), _) => Progress::Lost(
                self.written_chunks
                    .iter()
                    .filter(|it| !found.chunks.contains(it))
                    .cloned()
                    .collect(),
            ),
            _ => Progress::Lost(Vec::new()),
        }
    }
}
