//! Questions to the daemons that run batch jobs.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::future::timeout;
use peer::{JobAccepted, JobAnswer, JobRequest, Message};
use stdx::Name;

use super::Peers;
use crate::job_work::readers::Question;

/// How long an answer may take beyond the time that it may wait for a result.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Questions of others that wait to be looked at.
const MAX_QUEUED: usize = 1_024;
/// Jobs of others that wait to be looked at.
const MAX_QUEUED_JOBS: usize = 64;

/// The questions of this daemon that await their answers, and those of others.
#[derive(Debug)]
pub(super) struct JobQuestions {
    next: AtomicU64,
    asked: Mutex<HashMap<u64, Asked>>,
    to_answer: (async_channel::Sender<Question>, async_channel::Receiver<Question>),
    /// Jobs that others have accepted and that this daemon is to claim.
    accepted: (async_channel::Sender<JobAccepted>, async_channel::Receiver<JobAccepted>),
}

#[derive(Debug)]
struct Asked {
    owner: Name,
    reply: async_channel::Sender<JobAnswer>,
}

impl Default for JobQuestions {
    fn default() -> Self {
        Self {
            next: AtomicU64::default(),
            asked: Mutex::default(),
            // A bounded channel would take the memory of all its places at once.
            to_answer: async_channel::unbounded(),
            accepted: async_channel::unbounded(),
        }
    }
}

impl Peers {
    /// Asks a daemon about a job that it may run; `None` if it does not answer in time.
    pub async fn ask_about_job(&self, owner: &Name, req: JobRequest) -> Option<JobAnswer> {
        let jobs = &self.inner.jobs;
        let id = jobs.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answers) = async_channel::bounded(1);
        jobs.lock().insert(id, Asked { owner: owner.clone(), reply });
        let limit = Duration::from_millis(u64::from(req.wait_ms)) + ANSWER_TIME;
        let answer = match self.send(Some(owner), &Message::JobRequest(JobRequest { id, ..req })) {
            // The channel closes when the link to the owner is lost.
            true => timeout(limit, answers.recv()).await.ok().and_then(Result::ok),
            false => None,
        };
        jobs.lock().remove(&id);
        answer
    }

    /// Tells the daemon that is to claim a job of it; one that misses it finds the job in the index.
    pub fn hand_over(&self, owner: &Name, job: JobAccepted) {
        self.send(Some(owner), &Message::JobAccepted(job));
    }

    /// Returns the jobs that others have accepted and that this daemon is to claim.
    pub fn accepted_jobs(&self) -> async_channel::Receiver<JobAccepted> {
        self.inner.jobs.accepted.1.clone()
    }

    /// Returns the questions of others about jobs.
    pub fn job_questions(&self) -> async_channel::Receiver<Question> {
        self.inner.jobs.to_answer.1.clone()
    }

    /// Answers a question about a job.
    pub fn answer_about_job(&self, to: &Name, answer: JobAnswer) {
        self.send(Some(to), &Message::JobAnswer(answer));
    }
}

impl JobQuestions {
    /// Takes a question of another daemon; one too many is not answered, and its asker reads the store.
    pub(super) fn take_question(&self, from: Name, req: JobRequest) {
        let (queue, _) = &self.to_answer;
        if queue.len() < MAX_QUEUED {
            let _ = queue.try_send(Question { from, req });
        }
    }

    /// Takes a job over; one too many is found in the index.
    pub(super) fn take_job(&self, job: JobAccepted) {
        let (queue, _) = &self.accepted;
        if queue.len() < MAX_QUEUED_JOBS {
            let _ = queue.try_send(job);
        }
    }

    /// Takes an answer over; one that nobody awaits any more counts for nothing.
    pub(super) fn on_answer(&self, answer: JobAnswer) {
        if let Some(asked) = self.lock().remove(&answer.id) {
            // The asker may have given up.
            let _ = asked.reply.try_send(answer);
        }
    }

    /// Ends the questions to a daemon whose link is gone.
    pub(super) fn on_link_lost(&self, owner: &Name) {
        self.lock().retain(|_, it| it.owner != *owner);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Asked>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
