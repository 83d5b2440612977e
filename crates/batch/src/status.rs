//! Reads the state and counts of a job.

use stdx::{Name, record_type};

use crate::{
    items::Counts,
    key::{JobId, Key, Span},
    manifest::{JobManifest, JobState},
    segment::SegmentRecord,
    store::{self, Now, RetryState, StoreAction, StoreOutcome},
};

/// The maximum number of segment records per read, about 20 KB.
const SEGMENT_PAGE_SIZE: u32 = 64;

record_type! {
    /// The state and counts of a job.
    pub struct JobStatus {
        /// The manifest.
        pub manifest: JobManifest,
        /// The committed counts; those of an unfinished job are a lower bound.
        pub counts: Counts,
    }
}

#[derive(Debug)]
enum Step {
    ReadManifest,
    ReadSegments { manifest: Box<JobManifest>, from: u32, counts: Counts },
    Answered(Option<Box<JobStatus>>),
}

/// Reads the status of a job from its manifest and, if the job has not ended, from its segment records.
#[derive(Debug)]
pub struct StatusReader {
    account: Name,
    job: JobId,
    step: Step,
    retry: RetryState,
}

impl StatusReader {
    /// Starts reading a status.
    pub fn new(account: Name, job: JobId) -> Self {
        Self { account, job, step: Step::ReadManifest, retry: RetryState::default() }
    }

    /// Returns the answer once there is one; the inner `None` means that the job does not exist.
    pub fn answer(&self) -> Option<Option<&JobStatus>> {
        match &self.step {
            Step::Answered(it) => Some(it.as_deref()),
            _ => None,
        }
    }

    /// Returns the next call if one is due.
    pub fn poll(&mut self, now: Now) -> Option<StoreAction> {
        if !self.retry.is_due(now) {
            return None;
        }
        let (account, job) = (self.account.clone(), self.job.clone());
        let action = match &self.step {
            Step::ReadManifest => StoreAction::Get { key: Key::Manifest { account, job } },
            Step::ReadSegments { manifest, from, .. } => {
                let to = manifest.segments.min(from + SEGMENT_PAGE_SIZE);
                let span = Span::Segments { account, job, from: *from, to };
                StoreAction::Range { span, limit: SEGMENT_PAGE_SIZE }
            }
            Step::Answered(_) => return None,
        };
        self.retry.mark_sent();
        Some(action)
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(&mut self, now: Now, outcome: StoreOutcome) {
        if !self.retry.record_outcome(now, &outcome) {
            return;
        }
        let StoreOutcome::Found { entries, .. } = outcome else {
            unreachable!("{outcome:?} is not an outcome of a read")
        };
        let step = std::mem::replace(&mut self.step, Step::ReadManifest);
        self.step = match step {
            Step::ReadManifest => {
                let read = entries.first().and_then(|it| store::decode::<JobManifest>(&it.value));
                match read {
                    Some(it) if it.state != JobState::Abandoned => {
                        next_step(it, 0, Counts::default())
                    }
                    _ => Step::Answered(None),
                }
            }
            Step::ReadSegments { manifest, from, mut counts } => {
                for entry in entries {
                    if let Some(record) = store::decode::<SegmentRecord>(&entry.value) {
                        counts.add(&record.counts());
                    }
                }
                next_step(*manifest, from + SEGMENT_PAGE_SIZE, counts)
            }
            answered @ Step::Answered(_) => answered,
        };
    }
}

fn next_step(manifest: JobManifest, from: u32, mut counts: Counts) -> Step {
    if let Some(counts) = manifest.counts {
        return Step::Answered(Some(Box::new(JobStatus { manifest, counts })));
    }
    if from < manifest.segments {
        return Step::ReadSegments { manifest: Box::new(manifest), from, counts };
    }
    // Segments that were never claimed have no record, so the total comes from the manifest.
    counts.total = manifest.items;
    assert!(counts.ended() <= counts.total, "more items have ended than the job has");
    Step::Answered(Some(Box::new(JobStatus { manifest, counts })))
}
