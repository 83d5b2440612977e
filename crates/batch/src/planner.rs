//! Finds jobs, claims their segments and ends finished jobs.
//!
//! A planner reads the index of unfinished jobs, picks a job by deadline slack and fairness, reads some of its segment
//! records, and claims segments that have no owner or whose owner's lease has lapsed. It also ends jobs whose segments
//! have all ended, and ends the remaining segments of jobs that were cancelled or whose window has ended.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use stdx::{Name, Rng, Timestamp, record_type};

use crate::{
    input::FileMeta,
    key::{JobId, Key, Span},
    manifest::{JobManifest, JobState, OpenJobEntry},
    runner::{Phase, SegmentRunner},
    scheduling::{Candidate, FairScheduler},
    segment::{Owner, SegmentRecord},
    store::{self, Entry, Now, RetryState, Revision, StoreAction, StoreOutcome},
    view::{self, ClaimCandidate, JobView},
};

record_type! {
    /// The intervals and page sizes of a planner.
    ///
    /// With the defaults a daemon makes about 5 reads/s and reads 13 KB/s, its share of the 2,000 reads/s that the
    /// key-value service serves in a fleet of 370 daemons.
    #[derive(Copy)]
    pub struct PlannerConfig {
        /// The time between rounds while the daemon can run further segments.
        pub round_interval: Duration,
        /// The time between rounds while it cannot.
        pub idle_round_interval: Duration,
        /// The age at which the index is read again.
        pub max_index_age: Duration,
        /// The age at which a manifest is read again, which bounds how long a cancellation goes unnoticed.
        pub max_manifest_age: Duration,
        /// The age at which the manifest of a job without running segments on this instance is read again, one job per
        /// round.
        pub max_idle_manifest_age: Duration,
        /// How long a job is skipped after a scan of its segments found none to claim, or if one of its records cannot
        /// be read.
        pub rescan_delay: Duration,
        /// How long an owner is assumed to be live after its live key was read.
        pub max_owner_age: Duration,
        /// The maximum number of segment records per read.
        pub segment_page_size: u32,
        /// The maximum number of index entries per read.
        pub index_page_size: u32,
        /// The maximum number of owners whose live keys are read per round.
        pub max_owner_checks: usize,
        /// The maximum number of segments of a cancelled or expired job that are ended per round.
        pub max_end_claims: usize,
    }
}

/// An event that a planner reports to its daemon.
#[derive(Debug)]
pub enum PlannerEvent {
    /// A segment was claimed; the daemon must drive its runner.
    Claimed(Box<SegmentRunner>),
    /// The job was cancelled; the daemon must cancel its runners of this job.
    JobCancelled(JobId),
    /// The job has ended.
    JobEnded(Box<JobManifest>),
}

#[derive(Debug)]
enum Step {
    ReadIndex { after: Option<JobId>, seen: BTreeMap<JobId, OpenJobEntry> },
    ReadManifest(JobId),
    ReadSegmentSizes(JobId),
    ReadSegments { job: JobId, from: u32, to: u32 },
    CheckOwner { job: JobId, owner: Owner, claims: Vec<ClaimCandidate> },
    Claim { job: JobId, n: u32, expected: Option<Revision>, record: Box<SegmentRecord> },
    EndJob { job: JobId, expected: Revision, manifest: Box<JobManifest> },
    Abandon { job: JobId },
    RemoveIndexEntry(JobId),
}

/// Finds jobs, claims their segments and ends finished jobs for one incarnation of an instance.
#[derive(Debug)]
pub struct Planner {
    cfg: PlannerConfig,
    owner: Owner,
    rng: Rng,
    fairness: FairScheduler,
    jobs: BTreeMap<JobId, JobView>,
    steps: VecDeque<Step>,
    max_claims: usize,
    next_round: Timestamp,
    index_read_at: Option<Timestamp>,
    live_owners: BTreeMap<Owner, Timestamp>,
    dead_owners: BTreeSet<Owner>,
    retry: RetryState,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_secs(1),
            idle_round_interval: Duration::from_secs(5),
            max_index_age: Duration::from_secs(5),
            max_manifest_age: Duration::from_secs(2),
            max_idle_manifest_age: Duration::from_secs(30),
            rescan_delay: Duration::from_secs(5),
            max_owner_age: Duration::from_secs(5),
            segment_page_size: 32,
            index_page_size: 100,
            max_owner_checks: 4,
            max_end_claims: 32,
        }
    }
}

impl Planner {
    /// Creates the planner of one incarnation of an instance, whose live key must exist while it claims segments.
    pub fn new(cfg: PlannerConfig, owner: Owner, rng: Rng) -> Self {
        Self {
            cfg,
            owner,
            rng,
            fairness: FairScheduler::default(),
            jobs: BTreeMap::new(),
            steps: VecDeque::new(),
            max_claims: 0,
            next_round: Timestamp::ZERO,
            index_read_at: None,
            live_owners: BTreeMap::new(),
            dead_owners: BTreeSet::new(),
            retry: RetryState::default(),
        }
    }

    /// Returns the owner that claims are made for.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Sets the weights of accounts; accounts without an entry have weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<Name, u32>) {
        self.fairness.set_weights(weights);
    }

    /// Handles a peer's notice that a job was cancelled or accepted, so that its manifest is read soon.
    pub fn on_job_changed(&mut self, job: &JobId) {
        match self.jobs.get_mut(job) {
            Some(view) => view.manifest_read_at = None,
            None => self.index_read_at = None,
        }
    }

    /// Records that a runner is finished and will be dropped.
    pub fn on_runner_finished(&mut self, runner: &SegmentRunner) {
        let Some(view) = self.jobs.get_mut(&runner.id().job) else { return };
        view.running.remove(&runner.id().n);
        if runner.phase() == Phase::Ended {
            view.record_ended(runner.id().n, &runner.counts());
        }
    }

    /// Returns the next call if one is due. `max_claims` is the number of further segments that the daemon can run.
    pub fn poll(&mut self, now: Now, max_claims: usize) -> Option<StoreAction> {
        self.max_claims = max_claims;
        if !self.retry.is_due(now) {
            return None;
        }
        if self.steps.is_empty() && now.mono >= self.next_round {
            self.start_round(now);
        }
        let action = self.action(self.steps.front()?);
        self.retry.mark_sent();
        Some(action)
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(&mut self, now: Now, outcome: StoreOutcome) -> Vec<PlannerEvent> {
        if !self.retry.record_outcome(now, &outcome) {
            return Vec::new();
        }
        let step = self.steps.pop_front().expect("no step is outstanding");
        let mut events = Vec::new();
        match (step, outcome) {
            (Step::ReadIndex { seen, .. }, StoreOutcome::Found { entries, more }) => {
                self.on_index(now, seen, &entries, more);
            }
            (Step::ReadManifest(job), StoreOutcome::Found { entries, .. }) => {
                self.on_manifest(now, job, entries.first(), &mut events);
            }
            (Step::ReadSegmentSizes(job), StoreOutcome::Found { entries, .. }) => {
                self.on_file_meta(now, &job, entries.first());
            }
            (Step::ReadSegments { job, from, to }, StoreOutcome::Found { entries, .. }) => {
                self.on_segments(now, &job, from, to, &entries);
            }
            (Step::CheckOwner { job, owner, claims }, StoreOutcome::Found { entries, .. }) => {
                let incarnation = entries.first().map(|it| &*it.value);
                self.on_owner(now, &job, owner, claims, incarnation);
            }
            (Step::Claim { job, n, record, .. }, outcome) => {
                self.on_claim(now, &job, n, record, outcome, &mut events);
            }
            (Step::EndJob { job, manifest, .. }, outcome) => {
                self.on_job_end(now, job, manifest, outcome, &mut events);
            }
            (Step::Abandon { job }, StoreOutcome::Won { .. }) => {
                self.steps.push_front(Step::RemoveIndexEntry(job));
            }
            (Step::Abandon { job }, StoreOutcome::Lost { .. }) => {
                self.steps.push_front(Step::ReadManifest(job));
            }
            (Step::RemoveIndexEntry(job), _) => {
                self.drop_steps(&job);
                self.jobs.remove(&job);
            }
            (step, outcome) => unreachable!("{outcome:?} is not an outcome of {step:?}"),
        }
        events
    }

    fn start_round(&mut self, now: Now) {
        let is_stale =
            self.index_read_at.is_none_or(|it| now.mono.since(it) >= self.cfg.max_index_age);
        if is_stale {
            // The round starts once the index has been read.
            self.steps.push_back(Step::ReadIndex { after: None, seen: BTreeMap::new() });
            return;
        }
        let pause = if self.max_claims > 0 {
            self.cfg.round_interval
        } else {
            self.cfg.idle_round_interval
        };
        self.next_round = now.mono + pause;
        for (job, view) in &self.jobs {
            if let Some((manifest, expected)) = view.ended_manifest() {
                let manifest = Box::new(manifest);
                self.steps.push_back(Step::EndJob { job: job.clone(), expected, manifest });
            }
        }
        let age = self.cfg.max_manifest_age;
        let is_old =
            |view: &JobView| view.manifest_read_at.is_none_or(|it| now.mono.since(it) >= age);
        for (job, view) in &self.jobs {
            if !view.running.is_empty() && is_old(view) {
                self.next_round = self.next_round.min(now.mono + age);
                self.steps.push_back(Step::ReadManifest(job.clone()));
            }
        }
        // Each round reads the oldest manifest of the jobs without running segments here, so that a cancelled job is
        // found even if the peer's notice was lost.
        let oldest = self
            .jobs
            .iter()
            .filter(|(_, view)| view.running.is_empty() && view.rescan_at <= now.mono)
            .filter(|(_, view)| {
                view.manifest_read_at
                    .is_none_or(|it| now.mono.since(it) >= self.cfg.max_idle_manifest_age)
            })
            .min_by_key(|(_, view)| view.manifest_read_at);
        if let Some((job, _)) = oldest {
            self.steps.push_back(Step::ReadManifest(job.clone()));
        }
        let Some(job) = self.pick_job(now) else { return };
        let view = self.jobs.get_mut(&job).expect("the job was picked from this map");
        let is_queued =
            self.steps.iter().any(|it| matches!(it, Step::ReadManifest(queued) if *queued == job));
        if is_old(view) && !is_queued {
            self.steps.push_back(Step::ReadManifest(job.clone()));
        }
        if view.segment_sizes.is_none() {
            // The segment records are read once the sizes are known.
            self.steps.push_back(Step::ReadSegmentSizes(job));
        } else if let Some((from, to)) = view.next_page(self.cfg.segment_page_size) {
            self.steps.push_back(Step::ReadSegments { job, from, to });
        }
    }

    /// Picks a job that was cancelled or has expired, or else the job whose segments are claimed next.
    fn pick_job(&self, now: Now) -> Option<JobId> {
        let is_open =
            |view: &JobView| view.rescan_at <= now.mono && view.ended_manifest().is_none();
        let job_to_end = self
            .jobs
            .iter()
            .find(|(_, it)| is_open(it) && it.final_state_for_unfinished(now).is_some());
        if let Some((job, _)) = job_to_end {
            return Some(job.clone());
        }
        let candidates =
            self.jobs.iter().filter(|(_, view)| is_open(view)).map(|(job, view)| Candidate {
                account: &view.entry.account,
                deadline_ms: view.entry.deadline_ms,
                items: view.remaining(),
                job,
            });
        self.fairness.pick(now.unix_ms, candidates).cloned()
    }

    fn action(&self, step: &Step) -> StoreAction {
        let account = |job: &JobId| match self.jobs.get(job) {
            Some(view) => view.entry.account.clone(),
            None => unreachable!("a step refers to an unknown job"),
        };
        match step {
            Step::ReadIndex { after, .. } => StoreAction::Range {
                span: Span::OpenJobs { after: after.clone() },
                limit: self.cfg.index_page_size,
            },
            Step::ReadManifest(job) => {
                StoreAction::Get { key: Key::Manifest { account: account(job), job: job.clone() } }
            }
            Step::ReadSegmentSizes(job) => {
                let manifest = self.jobs[job].manifest.as_ref().map(|(it, _)| it.clone());
                let file = manifest.expect("the manifest is read first").spec.file.clone();
                StoreAction::Get { key: Key::FileMeta { account: account(job), file } }
            }
            Step::ReadSegments { job, from, to } => StoreAction::Range {
                span: Span::Segments {
                    account: account(job),
                    job: job.clone(),
                    from: *from,
                    to: *to,
                },
                limit: self.cfg.segment_page_size,
            },
            Step::CheckOwner { owner, .. } => {
                StoreAction::Get { key: Key::Live { instance: owner.instance.clone() } }
            }
            Step::Claim { job, n, expected, record } => conditional_write(
                Key::Segment { account: account(job), job: job.clone(), n: *n },
                *expected,
                store::encode(&**record),
            ),
            Step::EndJob { job, expected, manifest } => conditional_write(
                Key::Manifest { account: account(job), job: job.clone() },
                Some(*expected),
                store::encode(&**manifest),
            ),
            Step::Abandon { job } => conditional_write(
                Key::Manifest { account: account(job), job: job.clone() },
                None,
                store::encode(&view::abandoned_manifest(job, &self.jobs[job].entry)),
            ),
            Step::RemoveIndexEntry(job) => {
                StoreAction::Delete { key: Key::OpenJob { job: job.clone() } }
            }
        }
    }

    fn on_index(
        &mut self,
        now: Now,
        mut seen: BTreeMap<JobId, OpenJobEntry>,
        entries: &[Entry],
        more: bool,
    ) {
        let mut after = None;
        for entry in entries {
            let Key::OpenJob { job } = &entry.key else { continue };
            after = Some(job.clone());
            if let Some(open) = store::decode::<OpenJobEntry>(&entry.value) {
                seen.insert(job.clone(), open);
            }
        }
        if more && after.is_some() {
            self.steps.push_front(Step::ReadIndex { after, seen });
            return;
        }
        self.index_read_at = Some(now.mono);
        self.jobs.retain(|job, view| seen.contains_key(job) || !view.running.is_empty());
        for (job, entry) in seen {
            self.jobs.entry(job).or_insert_with(|| JobView::new(entry));
        }
        let accounts = self.jobs.values().map(|it| it.entry.account.clone()).collect();
        self.fairness.set_active(&accounts);
    }

    fn on_manifest(
        &mut self,
        now: Now,
        job: JobId,
        entry: Option<&Entry>,
        events: &mut Vec<PlannerEvent>,
    ) {
        let Some(view) = self.jobs.get_mut(&job) else { return };
        view.manifest_read_at = Some(now.mono);
        let read = entry.map(|it| (store::decode::<JobManifest>(&it.value), it.revision));
        let state = match read {
            Some((Some(manifest), revision)) => {
                let state = manifest.state;
                // The index entry may come from an earlier attempt of the submission; the manifest is authoritative.
                view.entry.deadline_ms = manifest.deadline_ms;
                view.set_manifest(&mut self.rng, manifest, revision);
                state
            }
            Some((None, _)) => return self.postpone(now, &job),
            None if view::is_abandoned(&view.entry, now) => {
                self.drop_steps(&job);
                self.steps.push_front(Step::Abandon { job });
                return;
            }
            // The submission is in progress, or its instance crashed before the acceptance.
            None => return self.postpone(now, &job),
        };
        match state {
            JobState::Open => {}
            JobState::Cancelling if view.running.is_empty() => {}
            JobState::Cancelling => events.push(PlannerEvent::JobCancelled(job)),
            JobState::Ended | JobState::Abandoned => {
                self.drop_steps(&job);
                self.steps.push_front(Step::RemoveIndexEntry(job));
            }
        }
    }

    fn on_file_meta(&mut self, now: Now, job: &JobId, entry: Option<&Entry>) {
        let meta = entry.and_then(|it| store::decode::<FileMeta>(&it.value));
        let Some(view) = self.jobs.get_mut(job) else { return };
        let segments = view.manifest.as_ref().map(|(it, _)| it.segments as usize);
        match meta {
            Some(meta) if Some(meta.chunk_items.len()) == segments => {
                view.segment_sizes = Some(meta.chunk_items);
                if let Some((from, to)) = view.next_page(self.cfg.segment_page_size) {
                    self.steps.push_front(Step::ReadSegments { job: job.clone(), from, to });
                }
            }
            _ => self.postpone(now, job),
        }
    }

    fn on_segments(&mut self, now: Now, job: &JobId, from: u32, to: u32, entries: &[Entry]) {
        let Some(view) = self.jobs.get_mut(job) else { return };
        let mut page = view.classify_page(&self.owner, from, to, entries);
        for owner in page
            .owned
            .keys()
            .filter(|it| self.dead_owners.contains(it))
            .cloned()
            .collect::<Vec<_>>()
        {
            page.free.extend(page.owned.remove(&owner).unwrap_or_default());
        }
        let must_end = view.final_state_for_unfinished(now).is_some();
        let limit = if must_end { self.cfg.max_end_claims } else { self.max_claims };
        let has_more = page.free.len() > limit;
        if !has_more && view.advance(from, to) && page.free.is_empty() {
            view.rescan_at = now.mono + self.cfg.rescan_delay;
        }
        if has_more && limit == 0 {
            // Without capacity this job is skipped for a while, so that other jobs that were cancelled or have expired
            // are found.
            view.rescan_at = now.mono + self.cfg.rescan_delay;
        }
        if view.ended_manifest().is_some() || (must_end && has_more) {
            self.next_round = now.mono;
        }
        let free = page.free.len();
        self.queue_claims(now, job, page.free);
        let owners = page.owned.into_iter().filter(|(owner, _)| {
            self.live_owners
                .get(owner)
                .is_none_or(|it| now.mono.since(*it) >= self.cfg.max_owner_age)
        });
        if free < limit {
            for (owner, claims) in owners.take(self.cfg.max_owner_checks) {
                self.steps.push_back(Step::CheckOwner { job: job.clone(), owner, claims });
            }
        }
    }

    /// Claims the segments of an owner whose incarnation is not live.
    ///
    /// The live key is read after the segment record and is created before any claim, so an owner without a live key
    /// has lost its lease; it cannot be one that has just started.
    fn on_owner(
        &mut self,
        now: Now,
        job: &JobId,
        owner: Owner,
        claims: Vec<ClaimCandidate>,
        incarnation: Option<&str>,
    ) {
        const MAX_DEAD_OWNERS: usize = 4_096;
        if incarnation == Some(owner.incarnation.as_str()) {
            self.live_owners.retain(|_, at| now.mono.since(*at) < self.cfg.max_owner_age);
            self.live_owners.insert(owner, now.mono);
            return;
        }
        if self.dead_owners.len() >= MAX_DEAD_OWNERS {
            self.dead_owners.clear();
        }
        // The name of an incarnation is never used again.
        self.dead_owners.insert(owner);
        self.queue_claims(now, job, claims);
    }

    fn queue_claims(&mut self, now: Now, job: &JobId, mut claims: Vec<ClaimCandidate>) {
        use rand::seq::SliceRandom as _;
        let Some(view) = self.jobs.get(job) else { return };
        let (Some(segment_sizes), final_state) =
            (&view.segment_sizes, view.final_state_for_unfinished(now))
        else {
            return;
        };
        let queued = self.steps.iter().filter(|it| matches!(it, Step::Claim { .. })).count();
        let limit = match final_state {
            Some(_) => self.cfg.max_end_claims,
            None => self.max_claims.saturating_sub(queued),
        };
        claims.shuffle(&mut self.rng);
        for ClaimCandidate { n, previous } in claims.into_iter().take(limit) {
            let record = Box::new(SegmentRecord::claim(
                previous.as_ref().map(|(it, _)| it),
                self.owner.clone(),
                segment_sizes[n as usize],
                final_state,
            ));
            let expected = previous.map(|(_, revision)| revision);
            self.steps.push_back(Step::Claim { job: job.clone(), n, expected, record });
        }
    }

    fn on_claim(
        &mut self,
        now: Now,
        job: &JobId,
        n: u32,
        record: Box<SegmentRecord>,
        outcome: StoreOutcome,
        events: &mut Vec<PlannerEvent>,
    ) {
        let Some(view) = self.jobs.get_mut(job) else { return };
        let revision = match outcome {
            StoreOutcome::Won { revision } => revision,
            StoreOutcome::Lost { current } => {
                let Some(entry) = current else { return };
                match store::decode::<SegmentRecord>(&entry.value) {
                    // An earlier attempt of this claim took effect although its answer was lost.
                    Some(found) if found == *record => entry.revision,
                    Some(found) if found.is_ended() => {
                        return view.record_ended(n, &found.counts());
                    }
                    _ => return,
                }
            }
            other => unreachable!("{other:?} is not an outcome of a claim"),
        };
        if record.is_ended() {
            view.record_ended(n, &record.counts());
            if view.ended_manifest().is_some() {
                self.next_round = now.mono;
            }
            return;
        }
        let Some((manifest, _)) = &view.manifest else { return };
        view.running.insert(n);
        self.fairness.charge(&view.entry.account, u64::from(record.unfinished().len()));
        let runner = SegmentRunner::new(now, Arc::clone(manifest), n, *record, revision);
        events.push(PlannerEvent::Claimed(Box::new(runner)));
    }

    fn on_job_end(
        &mut self,
        now: Now,
        job: JobId,
        manifest: Box<JobManifest>,
        outcome: StoreOutcome,
        events: &mut Vec<PlannerEvent>,
    ) {
        let current = match outcome {
            StoreOutcome::Won { .. } => Some(*manifest.clone()),
            StoreOutcome::Lost { current } => {
                current.and_then(|it| store::decode::<JobManifest>(&it.value))
            }
            other => unreachable!("{other:?} is not an outcome of the write that ends a job"),
        };
        match current {
            Some(current) if current.state == JobState::Ended => {
                assert_eq!(
                    current.counts, manifest.counts,
                    "all instances must compute the same counts"
                );
                events.push(PlannerEvent::JobEnded(manifest));
                self.steps.push_front(Step::RemoveIndexEntry(job));
            }
            // The job was cancelled in the meantime; the next round ends it.
            _ => {
                self.next_round = now.mono;
                self.steps.push_front(Step::ReadManifest(job));
            }
        }
    }

    /// Skips a job for a while because one of its records is missing or unreadable.
    fn postpone(&mut self, now: Now, job: &JobId) {
        self.drop_steps(job);
        if let Some(view) = self.jobs.get_mut(job) {
            view.rescan_at = now.mono + self.cfg.rescan_delay;
        }
    }

    fn drop_steps(&mut self, job: &JobId) {
        self.steps.retain(|it| it.job() != Some(job));
    }
}

impl Step {
    fn job(&self) -> Option<&JobId> {
        match self {
            Self::ReadIndex { .. } => None,
            Self::ReadManifest(job) | Self::ReadSegmentSizes(job) | Self::RemoveIndexEntry(job) => {
                Some(job)
            }
            Self::ReadSegments { job, .. }
            | Self::CheckOwner { job, .. }
            | Self::Claim { job, .. }
            | Self::EndJob { job, .. }
            | Self::Abandon { job } => Some(job),
        }
    }
}

fn conditional_write(key: Key, expected: Option<Revision>, value: store::Value) -> StoreAction {
    match expected {
        Some(expected) => StoreAction::CompareAndSwap { key, expected, value },
        None => StoreAction::Create { key, value },
    }
}
