//! Answers the questions of other daemons about the jobs that this daemon runs.
//!
//! The other daemons serve the callers of the job and need not read the store if its owner answers. Stored results never
//! change, so the owner may send them as long as no other daemon can have stored further ones: while its lease is guaranteed to
//! hold, or once the job has ended.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use jobs::{JobId, JobRun};
use peer::{JobAnswer, JobRequest, JobStatus};
use stdx::{Name, Timestamp};

/// How long an answer may take in addition to the time that it may wait for a result; afterwards the asking daemon reads the
/// store.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time that a question waits for the claim of a job that has just been accepted. The asking daemon's wait time may
/// shorten it.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(700);
/// The most jobs that are remembered as unknown, which bounds their memory.
const MAX_UNKNOWN_JOBS: usize = 4_096;
/// The longest time that a question waits for further results.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(900);
/// The most questions that wait; another one replaces the oldest, which gets no answer.
const MAX_WAITING_QUESTIONS: usize = 1_024;
/// The most bytes of results in one answer, which is sent in one frame.
const MAX_ANSWER_BYTES: usize = 256 << 10;
/// The most bytes of results and items of ended jobs that are kept, which bounds their memory.
const MAX_ENDED_BYTES: usize = 16 << 20;

/// A question about a job.
#[derive(Debug)]
pub struct Question {
    /// The daemon that asks.
    pub from: Name,
    /// What it asks.
    pub req: JobRequest,
}

/// An answer and its recipient.
#[derive(Debug)]
pub struct Reply {
    /// The daemon that asked.
    pub to: Name,
    /// The answer.
    pub answer: JobAnswer,
}

/// The state of a job as this daemon knows it.
pub struct LocalJobState<'a> {
    /// The job, if this daemon runs it and its lease is guaranteed to hold.
    pub owned: Option<&'a JobRun>,
    /// The other daemon that has claimed the job.
    pub owner: Option<&'a Name>,
    /// Whether this daemon may claim the job soon.
    pub prospect: ClaimProspect,
}

/// Whether this daemon may soon claim a job that it does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimProspect {
    /// The job is unfinished and not claimed.
    Due,
    /// The job is not known here: it may have just been accepted, or it has ended.
    Unknown,
    /// Another daemon has claimed the job, or this one cannot claim jobs now.
    Remote,
}

/// The waiting questions, and the ended jobs from which questions are answered.
#[derive(Debug, Default)]
pub struct Readers {
    waiting: Vec<WaitingQuestion>,
    ended: BTreeMap<JobId, JobRun>,
    /// The ended jobs, oldest first.
    order: VecDeque<JobId>,
    ended_bytes: usize,
    unknown_jobs: UnknownJobs,
}

/// The jobs that were still unknown when the wait of a question about them was over, oldest first.
#[derive(Debug, Default)]
struct UnknownJobs {
    jobs: BTreeSet<JobId>,
    order: VecDeque<JobId>,
}

#[derive(Debug)]
struct WaitingQuestion {
    question: Question,
    job: JobId,
    asked_at: Timestamp,
}

impl Readers {
    /// Adds a question, which the next call of [`Self::answer`] or a later one answers.
    pub fn ask(&mut self, now: Timestamp, question: Question) {
        if self.waiting.len() >= MAX_WAITING_QUESTIONS {
            self.waiting.remove(0);
        }
        let Some(job) = JobId::parse(&question.req.job) else { return };
        self.waiting.push(WaitingQuestion { question, job, asked_at: now });
    }

    /// Keeps a job that has ended and whose items all have results.
    pub fn keep_ended(&mut self, run: JobRun) {
        let id = run.id().clone();
        self.ended_bytes += size_bytes(&run);
        if let Some(former) = self.ended.insert(id.clone(), run) {
            self.ended_bytes -= size_bytes(&former);
        } else {
            self.order.push_back(id);
        }
        while self.ended_bytes > MAX_ENDED_BYTES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.ended_bytes -= self.ended.remove(&oldest).map_or(0, |it| size_bytes(&it));
        }
    }

    /// Removes the questions that can be answered now, and returns the answers.
    pub fn answer<'a>(
        &mut self,
        now: Timestamp,
        local_state: impl Fn(&JobId) -> LocalJobState<'a>,
    ) -> Vec<Reply> {
        let mut replies = Vec::new();
        let (ended, unknown_jobs) = (&self.ended, &mut self.unknown_jobs);
        self.waiting.retain(|it| {
            let state = local_state(&it.job);
            let reply = match state.owned.or_else(|| ended.get(&it.job)) {
                Some(run) => it.answer_from_run(now, run),
                None => it.answer_without_job(now, &state, unknown_jobs),
            };
            let is_answered = reply.is_some();
            replies.extend(reply.map(|answer| Reply { to: it.question.from.clone(), answer }));
            !is_answered
        });
        replies
    }

    /// Returns the jobs for whose results callers wait.
    pub fn awaited_jobs(&self) -> BTreeSet<JobId> {
        let about_results = self.waiting.iter().filter(|it| it.question.req.item.is_empty());
        about_results.map(|it| it.job.clone()).collect()
    }

    /// Returns whether questions wait for an answer.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

impl UnknownJobs {
    fn insert(&mut self, job: &JobId) {
        if self.jobs.insert(job.clone()) {
            self.order.push_back(job.clone());
        }
        if self.order.len() > MAX_UNKNOWN_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }
}

impl WaitingQuestion {
    fn answer_from_run(&self, now: Timestamp, run: &JobRun) -> Option<JobAnswer> {
        let req = &self.question.req;
        if !req.item.is_empty() {
            let item = run.items().iter().find(|it| *it.id == *req.item);
            let body = item.map(|it| it.body.0.clone().into());
            return Some(self.known_answer(run, body.into_iter().collect()));
        }
        let results = run.results_from(req.after as usize);
        let wait = Duration::from_millis(u64::from(req.wait_ms)).min(MAX_RESULT_WAIT);
        let may_wait = !run.is_ended() && now.since(self.asked_at) < wait;
        if results.is_empty() && may_wait {
            return None;
        }
        let mut bytes = 0;
        let fitting = results.iter().take_while(|it| {
            bytes += it.len();
            bytes <= MAX_ANSWER_BYTES
        });
        let content: Vec<_> = fitting.map(|it| bytes::Bytes::copy_from_slice(it)).collect();
        match content.is_empty() && !results.is_empty() {
            // The first result alone is too large for a frame, so the asking daemon has to read the store.
            true => Some(self.unsure_answer(None)),
            false => Some(self.known_answer(run, content)),
        }
    }

    fn answer_without_job(
        &self,
        now: Timestamp,
        state: &LocalJobState<'_>,
        unknown_jobs: &mut UnknownJobs,
    ) -> Option<JobAnswer> {
        let wait = Duration::from_millis(u64::from(self.question.req.wait_ms));
        // Half of the answer timeout remains for the answer to reach the asking daemon.
        let claim_wait = MAX_CLAIM_WAIT.min(wait + ANSWER_TIMEOUT / 2);
        let may_wait = now.since(self.asked_at) < claim_wait;
        match state.prospect {
            ClaimProspect::Due if may_wait => return None,
            // Most jobs that stay unknown ended before this daemon started. Only the first question about such a job waits.
            ClaimProspect::Unknown if !unknown_jobs.jobs.contains(&self.job) => {
                if may_wait {
                    return None;
                }
                unknown_jobs.insert(&self.job);
            }
            ClaimProspect::Due | ClaimProspect::Unknown | ClaimProspect::Remote => {}
        }
        Some(self.unsure_answer(state.owner))
    }

    fn known_answer(&self, run: &JobRun, content: Vec<bytes::Bytes>) -> JobAnswer {
        JobAnswer {
            id: self.question.req.id,
            status: JobStatus::Known.into(),
            owner: String::new(),
            account: run.record().account().to_string(),
            total: run.record().total as u32,
            content,
        }
    }

    fn unsure_answer(&self, owner: Option<&Name>) -> JobAnswer {
        JobAnswer {
            id: self.question.req.id,
            status: JobStatus::Unsure.into(),
            owner: owner.map(ToString::to_string).unwrap_or_default(),
            ..JobAnswer::default()
        }
    }
}

fn size_bytes(run: &JobRun) -> usize {
    let results: usize = run.results_from(0).iter().map(|it| it.len()).sum();
    let items: usize = run.items().iter().map(|it| it.body.0.len()).sum();
    results + items
}
