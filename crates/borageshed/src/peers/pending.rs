//! Tracks questions to other daemons until they are answered.

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

/// The unanswered questions of one kind, whose answers have type `A`.
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
    /// Sends a question with `send`, which gets a unique id and returns whether the message was sent, and waits for the
    /// answer. Returns `None` if no answer arrives in time or the link to the peer is lost.
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

    /// Passes an answer to the task that waits for it. An answer that is no longer awaited is ignored.
    pub(super) fn on_answer(&self, id: u64, answer: A) {
        if let Some(question) = self.lock().remove(&id) {
            // The waiting task may have timed out.
            let _ = question.reply.try_send(answer);
        }
    }

    /// Drops the questions to a peer whose link is lost, so that their tasks stop waiting.
    pub(super) fn on_link_lost(&self, peer: &Name) {
        self.lock().retain(|_, it| it.peer != *peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, PendingQuestion<A>>> {
        self.questions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
