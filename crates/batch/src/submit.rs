//! Submits and cancels jobs.

use stdx::{Name, record_type};

use crate::{
    input::FileMeta,
    key::{JobId, Key},
    manifest::{JobManifest, JobSpec, JobState, OpenJobEntry},
    store::{self, Entry, Now, RetryState, Revision, StoreAction, StoreOutcome},
};

record_type! {
    /// The answer to a submission.
    pub enum SubmissionAnswer {
        /// The job was accepted, through this submission or an earlier one.
        Accepted(Box<JobManifest>),
        /// The idempotency key was used before with different content.
        Conflict,
        /// The file does not exist or is not fully stored.
        NoSuchFile,
        /// The requests of the file go to another endpoint, the one given here.
        WrongEndpoint(Name),
        /// An earlier submission with the same identity was not finished within its window, so the caller needs a new
        /// idempotency key.
        Abandoned,
        /// This version cannot read a record of the job.
        Unreadable,
    }
}

record_type! {
    /// What is known about a submission that the instance stops waiting for.
    pub enum AcceptanceStatus {
        /// The job was not accepted.
        NotAccepted,
        /// The manifest may have been created; submitting the same job again gives the answer.
        Unknown,
    }
}

#[derive(Debug)]
enum Step {
    FindManifest,
    ReadFile,
    CreateIndex(Box<JobManifest>),
    CreateManifest(Box<JobManifest>),
    Answered(SubmissionAnswer),
}

/// Submits a job.
///
/// The index entry is written before the manifest, so that planners find every accepted job, even if the submitting
/// instance crashes right after the acceptance.
#[derive(Debug)]
pub struct Submission {
    spec: JobSpec,
    job: JobId,
    idempotent: bool,
    step: Step,
    manifest_may_exist: bool,
    retry: RetryState,
}

impl Submission {
    /// Starts a submission; `idempotent` is whether requests to the endpoint may be repeated.
    pub fn new(spec: JobSpec, idempotency_key: Option<&str>, idempotent: bool) -> Self {
        let job = spec.job_id(idempotency_key);
        let step = Step::FindManifest;
        Self {
            spec,
            job,
            idempotent,
            step,
            manifest_may_exist: false,
            retry: RetryState::default(),
        }
    }

    /// Returns the job's identity.
    pub fn job(&self) -> &JobId {
        &self.job
    }

    /// Returns the answer once there is one.
    pub fn answer(&self) -> Option<&SubmissionAnswer> {
        match &self.step {
            Step::Answered(it) => Some(it),
            _ => None,
        }
    }

    /// Gives up waiting for the answer and returns whether the job may have been accepted.
    pub fn give_up(self) -> AcceptanceStatus {
        let is_creating =
            matches!(self.step, Step::CreateManifest(_)) && self.retry.is_outstanding();
        if self.manifest_may_exist || is_creating {
            AcceptanceStatus::Unknown
        } else {
            AcceptanceStatus::NotAccepted
        }
    }

    /// Returns the next call if one is due.
    pub fn poll(&mut self, now: Now) -> Option<StoreAction> {
        if !self.retry.is_due(now) {
            return None;
        }
        let account = self.spec.account.clone();
        let action = match &self.step {
            Step::FindManifest => {
                StoreAction::Get { key: Key::Manifest { account, job: self.job.clone() } }
            }
            Step::ReadFile => {
                StoreAction::Get { key: Key::FileMeta { account, file: self.spec.file.clone() } }
            }
            Step::CreateIndex(manifest) => StoreAction::Create {
                key: Key::OpenJob { job: self.job.clone() },
                value: store::encode(&OpenJobEntry {
                    account,
                    items: manifest.items,
                    deadline_ms: manifest.deadline_ms,
                }),
            },
            Step::CreateManifest(manifest) => {
                StoreAction::Create { key: manifest.key(), value: store::encode(manifest) }
            }
            Step::Answered(_) => return None,
        };
        self.retry.mark_sent();
        Some(action)
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(&mut self, now: Now, outcome: StoreOutcome) {
        if !self.retry.record_outcome(now, &outcome) {
            let is_creating = matches!(self.step, Step::CreateManifest(_));
            self.manifest_may_exist |= is_creating && outcome == StoreOutcome::Unknown;
            return;
        }
        let step = std::mem::replace(&mut self.step, Step::FindManifest);
        self.step = match (step, outcome) {
            (Step::FindManifest, StoreOutcome::Found { entries, .. }) => match entries.first() {
                Some(entry) => Step::Answered(self.answer_from(entry)),
                None => Step::ReadFile,
            },
            (Step::ReadFile, StoreOutcome::Found { entries, .. }) => {
                self.prepare_manifest(now, entries.first())
            }
            // The entry of an earlier submission of this job is used if there is one.
            (Step::CreateIndex(it), StoreOutcome::Won { .. } | StoreOutcome::Lost { .. }) => {
                Step::CreateManifest(it)
            }
            (Step::CreateManifest(it), StoreOutcome::Won { .. }) => {
                Step::Answered(SubmissionAnswer::Accepted(it))
            }
            // Either an earlier attempt with an unknown outcome took effect, or another instance created the manifest.
            (Step::CreateManifest(it), StoreOutcome::Lost { current }) => match &current {
                Some(entry) => Step::Answered(self.answer_from(entry)),
                None => Step::CreateManifest(it),
            },
            (step, outcome) => unreachable!("{outcome:?} is not an outcome of {step:?}"),
        };
    }

    fn prepare_manifest(&self, now: Now, entry: Option<&Entry>) -> Step {
        let Some(entry) = entry else { return Step::Answered(SubmissionAnswer::NoSuchFile) };
        let Some(meta) = store::decode::<FileMeta>(&entry.value) else {
            return Step::Answered(SubmissionAnswer::Unreadable);
        };
        if meta.endpoint != self.spec.endpoint {
            return Step::Answered(SubmissionAnswer::WrongEndpoint(meta.endpoint));
        }
        Step::CreateIndex(Box::new(JobManifest {
            job: self.job.clone(),
            spec: self.spec.clone(),
            idempotent: self.idempotent,
            segments: meta.chunk_items.len() as u32,
            items: meta.items(),
            created_ms: now.unix_ms,
            deadline_ms: now.unix_ms.saturating_add(self.spec.window_s.saturating_mul(1_000)),
            state: JobState::Open,
            cancelled: false,
            counts: None,
        }))
    }

    fn answer_from(&self, entry: &Entry) -> SubmissionAnswer {
        let Some(manifest) = store::decode::<JobManifest>(&entry.value) else {
            return SubmissionAnswer::Unreadable;
        };
        if manifest.state == JobState::Abandoned {
            SubmissionAnswer::Abandoned
        } else if manifest.spec == self.spec {
            SubmissionAnswer::Accepted(Box::new(manifest))
        } else {
            SubmissionAnswer::Conflict
        }
    }
}

record_type! {
    /// The answer to a cancellation.
    pub enum CancellationAnswer {
        /// The job is being cancelled or has ended already; contains its manifest.
        Settled(Box<JobManifest>),
        /// There is no such job.
        NoSuchJob,
    }
}

/// Cancels a job by setting the state of its manifest to `cancelling`.
#[derive(Debug)]
pub struct Cancellation {
    account: Name,
    job: JobId,
    write: Option<(Revision, Box<JobManifest>)>,
    answer: Option<CancellationAnswer>,
    retry: RetryState,
}

impl Cancellation {
    /// Starts a cancellation.
    pub fn new(account: Name, job: JobId) -> Self {
        Self { account, job, write: None, answer: None, retry: RetryState::default() }
    }

    /// Returns the answer once there is one.
    pub fn answer(&self) -> Option<&CancellationAnswer> {
        self.answer.as_ref()
    }

    /// Returns the next call if one is due.
    pub fn poll(&mut self, now: Now) -> Option<StoreAction> {
        if self.answer.is_some() || !self.retry.is_due(now) {
            return None;
        }
        self.retry.mark_sent();
        let key = Key::Manifest { account: self.account.clone(), job: self.job.clone() };
        Some(match &self.write {
            None => StoreAction::Get { key },
            Some((expected, manifest)) => StoreAction::CompareAndSwap {
                key,
                expected: *expected,
                value: store::encode(manifest),
            },
        })
    }

    /// Takes the outcome of the last call.
    pub fn on_outcome(&mut self, now: Now, outcome: StoreOutcome) {
        if !self.retry.record_outcome(now, &outcome) {
            return;
        }
        match (outcome, self.write.take()) {
            (StoreOutcome::Found { entries, .. }, None) => self.on_manifest(entries.first()),
            (StoreOutcome::Won { .. }, Some((_, manifest))) => {
                self.answer = Some(CancellationAnswer::Settled(manifest));
            }
            (StoreOutcome::Lost { current }, Some(_)) => self.on_manifest(current.as_ref()),
            (outcome, write) => {
                unreachable!("{outcome:?} is not an outcome of the call with {write:?}")
            }
        }
    }

    fn on_manifest(&mut self, entry: Option<&Entry>) {
        let read =
            entry.and_then(|it| Some((it.revision, store::decode::<JobManifest>(&it.value)?)));
        match read {
            Some((revision, manifest)) if manifest.state == JobState::Open => {
                let cancelling =
                    JobManifest { state: JobState::Cancelling, cancelled: true, ..manifest };
                self.write = Some((revision, Box::new(cancelling)));
            }
            Some((_, manifest)) if manifest.state != JobState::Abandoned => {
                self.answer = Some(CancellationAnswer::Settled(Box::new(manifest)));
            }
            _ => self.answer = Some(CancellationAnswer::NoSuchJob),
        }
    }
}
