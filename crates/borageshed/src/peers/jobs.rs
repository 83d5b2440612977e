//! Questions to the daemons that run batch jobs, and jobs that are handed over to them.

use std::time::Duration;

use peer::{JobAccepted, JobAnswer, JobRequest, Message};
use stdx::Name;

use super::{Peers, pending::PendingQuestions};
use crate::job_work::readers::{ANSWER_TIMEOUT, Question};

/// Questions of others that wait to be looked at.
const MAX_QUEUED_QUESTIONS: usize = 1_024;
/// Jobs of others that wait to be looked at.
const MAX_QUEUED_JOBS: usize = 64;

/// The questions of this daemon that await their answers, and what others ask and hand over.
#[derive(Debug)]
pub(super) struct JobQuestions {
    pub(super) pending: PendingQuestions<JobAnswer>,
    questions: (async_channel::Sender<Question>, async_channel::Receiver<Question>),
    /// Jobs that others have accepted and that this daemon is to claim.
    accepted: (async_channel::Sender<JobAccepted>, async_channel::Receiver<JobAccepted>),
}

impl Default for JobQuestions {
    fn default() -> Self {
        Self {
            pending: PendingQuestions::default(),
            // A bounded channel would take the memory of all its places at once.
            questions: async_channel::unbounded(),
            accepted: async_channel::unbounded(),
        }
    }
}

impl Peers {
    /// Asks a daemon about a job that it may run; `None` if it does not answer in time.
    pub async fn ask_about_job(&self, owner: &Name, req: JobRequest) -> Option<JobAnswer> {
        let limit = Duration::from_millis(u64::from(req.wait_ms)) + ANSWER_TIMEOUT;
        let send = |id| self.send(Some(owner), &Message::JobRequest(JobRequest { id, ..req }));
        self.inner.jobs.pending.ask(owner, limit, send).await
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
        self.inner.jobs.questions.1.clone()
    }

    /// Answers a question about a job.
    pub fn answer_about_job(&self, to: &Name, answer: JobAnswer) {
        self.send(Some(to), &Message::JobAnswer(answer));
    }
}

impl JobQuestions {
    /// Takes a question of another daemon; one too many is not answered, and its asker reads the store.
    pub(super) fn enqueue_question(&self, from: Name, req: JobRequest) {
        let (queue, _) = &self.questions;
        if queue.len() < MAX_QUEUED_QUESTIONS {
            let _ = queue.try_send(Question { from, req });
        }
    }

    /// Takes a job over; one too many is found in the index.
    pub(super) fn enqueue_job(&self, job: JobAccepted) {
        let (queue, _) = &self.accepted;
        if queue.len() < MAX_QUEUED_JOBS {
            let _ = queue.try_send(job);
        }
    }
}
