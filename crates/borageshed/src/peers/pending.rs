//! Questions to other daemons that await their answers.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::future::timeout;
use stdx::Name;

/// The questions of one kind, whose answers are of type `A`.
#[derive(Debug)]
pub(super) struct PendingQuestions<A> {
    next_id: AtomicU64,
    questions: Mutex<HashMap<u64, PendingQuestion<A>>>,
}

#[derive(Debug)]
struct PendingQuestion<A> {
    peer: Name,
    reply: async_channel::Sender<A>,
}

impl<A> Default for PendingQuestions<A> {
    fn default() -> Self {
        Self { next_id: AtomicU64::default(), questions: Mutex::default() }
    }
}

impl<A> PendingQuestions<A> {
    /// Sends a question under a number of its own with `send`, which tells whether it has left, and waits for the answer;
    /// `None` if there is none in time, or if the link to the peer is lost.
    pub(super) async fn ask(
        &self,
        peer: &Name,
        limit: Duration,
        send: impl FnOnce(u64) -> bool,
    ) -> Option<A> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (reply, answers) = async_channel::bounded(1);
        self.lock().insert(id, PendingQuestion { peer: peer.clone(), reply });
        let answer = match send(id) {
            // The channel closes when the link is lost.
            true => timeout(limit, answers.recv()).await.ok().and_then(Result::ok),
            false => None,
        };
        self.lock().remove(&id);
        answer
    }

    /// Takes an answer over; one that nobody awaits any more counts for nothing.
    pub(super) fn on_answer(&self, id: u64, answer: A) {
        if let Some(question) = self.lock().remove(&id) {
            // The asker may have given up.
            let _ = question.reply.try_send(answer);
        }
    }

    /// Ends the questions to a peer whose link is gone.
    pub(super) fn on_link_lost(&self, peer: &Name) {
        self.lock().retain(|_, it| it.peer != *peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, PendingQuestion<A>>> {
        self.questions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
