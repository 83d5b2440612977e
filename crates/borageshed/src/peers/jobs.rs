//! Questions about batch jobs to the daemons that run them, and the handover of accepted jobs.

use std::time::Duration;

use peer::{JobAccepted, JobAnswer, JobRequest, Message};
use stdx::Name;

use super::{Peers, pending::PendingQuestions};
use crate::job_work::readers::{ANSWER_TIMEOUT, Question};

/// The most questions of other daemons that are queued.
const MAX_QUEUED_QUESTIONS: usize = 1_024;
/// The most handed-over jobs that are queued.
const MAX_QUEUED_JOBS: usize = 64;

/// The questions of this daemon that await answers, and the queues of questions and jobs from other daemons.
#[derive(Debug)]
pub(super) struct JobQuestions {
    pub(super) pending: PendingQuestions<JobAnswer>,
    /// Questions of other daemons.
    questions: (async_channel::Sender<Question>, async_channel::Receiver<Question>),
    /// Jobs that other daemons have accepted and that this daemon should claim.
    accepted: (async_channel::Sender<JobAccepted>, async_channel::Receiver<JobAccepted>),
}

impl Default for JobQuestions {
    fn default() -> Self {
        Self {
            pending: PendingQuestions::default(),
            // A bounded channel would allocate its full capacity at once, so the length is checked before each send instead.
            questions: async_channel::unbounded(),
            accepted: async_channel::unbounded(),
        }
    }
}

impl Peers {
    /// Asks a daemon about a job that it may own. Returns `None` if it does not answer in time.
    pub async fn ask_about_job(&self, owner: &Name, req: JobRequest) -> Option<JobAnswer> {
        let limit = Duration::from_millis(u64::from(req.wait_ms)) + ANSWER_TIMEOUT;
        let send = |id| self.send(Some(owner), &Message::JobRequest(JobRequest { id, ..req }));
        self.inner.jobs.pending.ask(owner, limit, send).await
    }

    /// Hands a job over to the daemon that should claim it. If the message is lost, that daemon finds the job in the index.
    pub fn hand_over(&self, owner: &Name, job: JobAccepted) {
        self.send(Some(owner), &Message::JobAccepted(job));
    }

    /// Returns the queue of jobs that other daemons have accepted and that this daemon should claim.
    pub fn accepted_jobs(&self) -> async_channel::Receiver<JobAccepted> {
        self.inner.jobs.accepted.1.clone()
    }

    /// Returns the queue of questions of other daemons about jobs.
    pub fn job_questions(&self) -> async_channel::Receiver<Question> {
        self.inner.jobs.questions.1.clone()
    }

    /// Answers a question about a job.
    pub fn answer_about_job(&self, to: &Name, answer: JobAnswer) {
        self.send(Some(to), &Message::JobAnswer(answer));
    }
}

impl JobQuestions {
    /// Queues a question of another daemon. If the queue is full, the question gets no answer and the daemon that asked it
    /// reads the store instead.
    pub(super) fn enqueue_question(&self, from: Name, req: JobRequest) {
        let (queue, _) = &self.questions;
        if queue.len() < MAX_QUEUED_QUESTIONS {
            let _ = queue.try_send(Question { from, req });
        }
    }

    /// Queues a job that was handed over. If the queue is full, the job is dropped here and found later in the index.
    pub(super) fn enqueue_job(&self, job: JobAccepted) {
        let (queue, _) = &self.accepted;
        if queue.len() < MAX_QUEUED_JOBS {
            let _ = queue.try_send(job);
        }
    }
}
