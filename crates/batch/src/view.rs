//! The state that a planner keeps for one unfinished job.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use stdx::{Rng, Timestamp};

use crate::{
    items::{Counts, FinalState},
    key::JobId,
    manifest::{JobManifest, JobState, OpenJobEntry},
    segment::{Owner, SegmentRecord},
    store::{Entry, Now, Revision, decode},
};

/// A segment that may be claimed, with its current record.
#[derive(Debug, Clone)]
pub(crate) struct ClaimCandidate {
    pub(crate) n: u32,
    pub(crate) previous: Option<(SegmentRecord, Revision)>,
}

/// The segments of a page that have not ended and do not run on this instance.
#[derive(Debug, Default)]
pub(crate) struct SegmentPage {
    /// Segments without an owner.
    pub(crate) free: Vec<ClaimCandidate>,
    /// Segments of other instances, by owner; the owner's lease may have lapsed.
    pub(crate) owned: BTreeMap<Owner, Vec<ClaimCandidate>>,
}

/// The state that a planner keeps for one unfinished job.
#[derive(Debug)]
pub(crate) struct JobView {
    pub(crate) entry: OpenJobEntry,
    pub(crate) manifest: Option<(Arc<JobManifest>, Revision)>,
    pub(crate) manifest_read_at: Option<Timestamp>,
    pub(crate) segment_sizes: Option<Arc<[u32]>>,
    pub(crate) rescan_at: Timestamp,
    /// The segments that run on this instance.
    pub(crate) running: BTreeSet<u32>,
    cursor: u32,
    unscanned: u32,
    ended: Vec<bool>,
    counts: Counts,
    ended_segments: u32,
}

impl JobView {
    pub(crate) fn new(entry: OpenJobEntry) -> Self {
        Self {
            entry,
            manifest: None,
            manifest_read_at: None,
            segment_sizes: None,
            rescan_at: Timestamp::ZERO,
            running: BTreeSet::new(),
            cursor: 0,
            unscanned: 0,
            ended: Vec::new(),
            counts: Counts::default(),
            ended_segments: 0,
        }
    }

    pub(crate) fn set_manifest(&mut self, rng: &mut Rng, manifest: JobManifest, at: Revision) {
        use rand::Rng as _;
        if self.ended.is_empty() {
            self.ended = vec![false; manifest.segments as usize];
            // Instances start at random segments, so that they rarely try to claim the same one.
            self.cursor = rng.random_range(0..manifest.segments.max(1));
            self.unscanned = manifest.segments;
        }
        assert_eq!(
            self.ended.len(),
            manifest.segments as usize,
            "the number of segments of a job never changes"
        );
        self.manifest = Some((Arc::new(manifest), at));
    }

    /// Returns the final state for all unfinished items if the job was cancelled or has expired.
    pub(crate) fn final_state_for_unfinished(&self, now: Now) -> Option<FinalState> {
        let (manifest, _) = self.manifest.as_ref()?;
        match manifest.state {
            JobState::Open if manifest.is_expired(now.unix_ms) => Some(FinalState::Expired),
            JobState::Cancelling => Some(FinalState::Cancelled),
            _ => None,
        }
    }

    /// Returns the number of items that are not known to have ended.
    pub(crate) fn remaining(&self) -> u64 {
        self.entry.items.saturating_sub(self.counts.ended())
    }

    /// Returns the manifest to write for the end of the job if all its segments have ended.
    pub(crate) fn ended_manifest(&self) -> Option<(JobManifest, Revision)> {
        let (manifest, revision) = self.manifest.as_ref()?;
        let is_complete = self.ended_segments == manifest.segments
            && matches!(manifest.state, JobState::Open | JobState::Cancelling);
        is_complete.then(|| (manifest.to_ended(self.counts), *revision))
    }

    pub(crate) fn record_ended(&mut self, n: u32, counts: &Counts) {
        let Some(ended) = self.ended.get_mut(n as usize) else { return };
        if !std::mem::replace(ended, true) {
            assert_eq!(
                counts.ended(),
                counts.total,
                "every item of an ended segment must have a final state"
            );
            self.counts.add(counts);
            self.ended_segments += 1;
        }
    }

    /// Returns the next range of segments to read; `None` if all have ended.
    pub(crate) fn next_page(&mut self, limit: u32) -> Option<(u32, u32)> {
        let segments = self.ended.len() as u32;
        let order = (self.cursor..segments).chain(0..self.cursor.min(segments));
        let from = order.into_iter().find(|it| !self.ended[*it as usize])?;
        Some((from, segments.min(from + limit)))
    }

    /// Moves the cursor past a page and returns whether this completes a scan of all segments.
    pub(crate) fn advance(&mut self, from: u32, to: u32) -> bool {
        let segments = self.ended.len() as u32;
        let skipped =
            if from >= self.cursor { from - self.cursor } else { segments - self.cursor + from };
        self.cursor = if to >= segments { 0 } else { to };
        self.unscanned = self.unscanned.saturating_sub(skipped + (to - from));
        let is_complete = self.unscanned == 0;
        if is_complete {
            self.unscanned = segments;
        }
        is_complete
    }

    /// Classifies the segments of a page and adds the counts of segments that have ended.
    pub(crate) fn classify_page(
        &mut self,
        own: &Owner,
        from: u32,
        to: u32,
        entries: &[Entry],
    ) -> SegmentPage {
        let mut records: BTreeMap<u32, (SegmentRecord, Revision)> = entries
            .iter()
            .filter_map(|it| {
                let crate::key::Key::Segment { n, .. } = it.key else { return None };
                Some((n, (decode(&it.value)?, it.revision)))
            })
            .collect();
        let mut page = SegmentPage::default();
        for n in from..to {
            let previous = records.remove(&n);
            if let Some((record, _)) = &previous
                && record.is_ended()
            {
                self.record_ended(n, &record.counts());
                continue;
            }
            if self.ended[n as usize] || self.running.contains(&n) {
                continue;
            }
            let owner = previous.as_ref().and_then(|(it, _)| it.owner.clone());
            let candidate = ClaimCandidate { n, previous };
            match owner {
                // An own record without a runner is from an earlier incarnation or a claim whose answer was lost.
                Some(owner) if owner.instance != own.instance => {
                    page.owned.entry(owner).or_default().push(candidate);
                }
                _ => page.free.push(candidate),
            }
        }
        page
    }
}

/// Returns whether the index entry of a job without a manifest belongs to a submission that was never finished.
///
/// The margin of one hour allows for clock skew and for submissions that are still in progress.
pub(crate) fn is_abandoned(entry: &OpenJobEntry, now: Now) -> bool {
    const MARGIN_MS: u64 = 3_600_000;
    now.unix_ms > entry.deadline_ms.saturating_add(MARGIN_MS)
}

/// Returns the manifest that marks a job as abandoned, so that it can no longer be accepted.
pub(crate) fn abandoned_manifest(job: &JobId, entry: &OpenJobEntry) -> JobManifest {
    JobManifest {
        job: job.clone(),
        spec: crate::manifest::JobSpec {
            account: entry.account.clone(),
            file: crate::key::FileId(stdx::Name::new("")),
            endpoint: stdx::Name::new(""),
            window_s: 0,
            metadata: BTreeMap::new(),
        },
        idempotent: true,
        segments: 0,
        items: 0,
        created_ms: 0,
        deadline_ms: entry.deadline_ms,
        state: JobState::Abandoned,
        cancelled: false,
        counts: None,
    }
}
