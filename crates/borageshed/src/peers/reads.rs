//! Reads of the key-value service through relays: the questions of this daemon, and its answers to others.

use std::{
    fmt,
    sync::{
        Arc, Weak,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::task;
use async_trait::async_trait;
use event_listener::EventListener;
use fleet::MEMBERS_PREFIX;
use kv_store::Revision;
use overlay::RelayView;
use peer::{Message, ReadAnswer, ReadRequest, ReadStatus, StoredItem};
use platform::{
    mirror::{Answer, KeysUpdate, Position, Question, Relays, SharedPrefixes, WatchTiming},
    store::{RawItem, wire::Blob},
};
use slog::debug;
use stdx::Name;

use super::{Inner, Peers, pending::Pending};
use crate::{
    effects::{POISON_PREFIX, SLOTS_PREFIX},
    job_work::index,
    shared::Shared,
};

/// How long an answer may take beyond the time that it may wait for a change. A relay that is gone is noticed sooner, by the
/// end of the link.
const ANSWER_TIME: Duration = Duration::from_millis(700);
/// Questions of others that wait for an answer here; each user of a relay has one for each prefix.
const MAX_OPEN_ANSWERS: usize = 2_048;

/// The questions of this daemon that await their answers, and the number of those of others.
#[derive(Debug, Default)]
pub(super) struct Reads {
    pub(super) asked: Pending<ReadAnswer>,
    answering: AtomicUsize,
}

/// The links to relays, as the copies of followed keys see them.
struct RelayLinks {
    inner: Weak<Inner>,
}

impl fmt::Debug for RelayLinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayLinks").finish_non_exhaustive()
    }
}

impl Peers {
    /// Lets the daemon read what it follows through relays.
    pub(super) fn share_reads(&self, cx: &Shared) {
        let relays = RelayLinks { inner: Arc::downgrade(&self.inner) };
        let prefixes = vec![
            (SLOTS_PREFIX, WatchTiming::default()),
            (POISON_PREFIX, WatchTiming::default()),
            (jobs::key::INDEX_PREFIX, index::PACE),
        ];
        let shared = SharedPrefixes { relay_prefix: MEMBERS_PREFIX, prefixes };
        cx.platform_store().use_relays(Arc::new(relays), shared);
    }

    /// Answers a question of another daemon.
    pub(super) fn answer_read(&self, cx: &Arc<Shared>, from: Name, req: ReadRequest) {
        let reads = &self.inner.reads;
        if reads.answering.fetch_add(1, Ordering::AcqRel) >= MAX_OPEN_ANSWERS {
            reads.answering.fetch_sub(1, Ordering::AcqRel);
            self.send_read_answer(cx, &from, unusable(req.id));
            return;
        }
        let (cx, peers) = (Arc::clone(cx), self.clone());
        task::spawn(async move {
            let answer = cx.platform_store().answer(&question_of(&req)).await;
            peers.inner.reads.answering.fetch_sub(1, Ordering::AcqRel);
            let answer = answer.map_or_else(|| unusable(req.id), |it| answer_to_wire(req.id, it));
            peers.send_read_answer(&cx, &from, answer);
        });
    }

    fn send_read_answer(&self, cx: &Shared, to: &Name, answer: ReadAnswer) {
        let id = answer.id;
        if let Err(e) = self.inner.hub.send(to, &Message::ReadAnswer(answer)) {
            debug!(cx.log, "followed keys not passed on"; "peer" => %to, "error" => %e);
            // Too much for one frame: whoever asks reads the service itself. Without a link nothing arrives anyway.
            let _ = self.inner.hub.send(to, &Message::ReadAnswer(unusable(id)));
        }
    }
}

#[async_trait]
impl Relays for RelayLinks {
    fn view(&self) -> RelayView {
        self.inner.upgrade().map_or(RelayView::NoRelays, |it| it.links.view())
    }

    fn view_changed(&self) -> EventListener {
        match self.inner.upgrade() {
            Some(inner) => inner.links.view_changed(),
            None => event_listener::Event::new().listen(),
        }
    }

    async fn ask(&self, relay: &Name, question: Question) -> Option<Answer> {
        let inner = self.inner.upgrade()?;
        let limit = question.wait + ANSWER_TIME;
        let send = |id| {
            let req = question_to_wire(id, &question);
            inner.hub.send(relay, &Message::ReadRequest(req)).is_ok()
        };
        let answer = inner.reads.asked.ask(relay, limit, send).await;
        answer_of(answer?)
    }
}

fn question_to_wire(id: u64, question: &Question) -> ReadRequest {
    ReadRequest {
        id,
        prefix: question.prefix.to_string(),
        run: question.after.map_or(0, |it| it.incarnation),
        after: question.after.map_or(0, |it| it.changes),
        wait_ms: u32::try_from(question.wait.as_millis()).unwrap_or(u32::MAX),
        at_first_hand: question.from_service_only,
    }
}

fn question_of(req: &ReadRequest) -> Question {
    Question {
        prefix: Name::new(&req.prefix),
        after: (req.run != 0).then_some(Position { incarnation: req.run, changes: req.after }),
        wait: Duration::from_millis(u64::from(req.wait_ms)).min(MAX_WAIT),
        from_service_only: req.at_first_hand,
    }
}

/// The longest time that another daemon may let an answer wait here.
const MAX_WAIT: Duration = Duration::from_secs(30);

fn unusable(id: u64) -> ReadAnswer {
    ReadAnswer { id, status: ReadStatus::Unusable.into(), ..ReadAnswer::default() }
}

fn answer_to_wire(id: u64, answer: Answer) -> ReadAnswer {
    let (status, update) = match answer {
        Answer::All(update) => (ReadStatus::All, update),
        Answer::Changes(update) => (ReadStatus::Changes, update),
        Answer::ServiceLost => {
            let status = ReadStatus::ServiceLost.into();
            return ReadAnswer { id, status, ..ReadAnswer::default() };
        }
    };
    ReadAnswer {
        id,
        status: status.into(),
        run: update.position.incarnation,
        changes: update.position.changes,
        revision: update.revision.0,
        items: update.items.into_iter().map(item_to_wire).collect(),
    }
}

fn answer_of(answer: ReadAnswer) -> Option<Answer> {
    let status = ReadStatus::try_from(answer.status).ok()?;
    let update = KeysUpdate {
        position: Position { incarnation: answer.run, changes: answer.changes },
        revision: Revision(answer.revision),
        items: answer.items.into_iter().map(item_of).collect(),
    };
    match status {
        ReadStatus::All => Some(Answer::All(update)),
        ReadStatus::Changes => Some(Answer::Changes(update)),
        ReadStatus::ServiceLost => Some(Answer::ServiceLost),
        ReadStatus::Unusable => None,
    }
}

fn item_to_wire(item: RawItem) -> StoredItem {
    let RawItem { key, value, rev, created, lease, removed } = item;
    StoredItem { key, value: value.0.into(), revision: rev, created, lease, removed }
}

fn item_of(item: StoredItem) -> RawItem {
    let StoredItem { key, value, revision, created, lease, removed } = item;
    RawItem { key, value: Blob(value.to_vec()), rev: revision, created, lease, removed }
}
