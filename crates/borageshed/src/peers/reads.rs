//! Reads of the key-value service through relays, both as the daemon that asks and as the one that answers.

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
    evacuation,
    mirror::{Answer, KeysUpdate, Position, Question, Relays, SharedPrefixes, WatchTiming},
    store::{RawItem, wire::Blob},
};
use slog::debug;
use stdx::Name;

use super::{Inner, Peers, pending::PendingQuestions};
use crate::{effects::SLOTS_PREFIX, job_work::index, shared::Shared, verdicts::POISON_PREFIX};

/// How long an answer may take in addition to the time that the relay waits for a change. A relay that has stopped is
/// detected sooner, because its link closes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The most questions of other daemons that are open here at a time; each user of a relay has one for each prefix.
const MAX_OPEN_ANSWERS: usize = 2_048;

/// The questions of this daemon that await answers, and the number of open questions of other daemons.
#[derive(Debug, Default)]
pub(super) struct Reads {
    pub(super) pending: PendingQuestions<ReadAnswer>,
    open_answers: AtomicUsize,
}

/// Gives the mirror of followed keys access to the relays.
struct RelayLinks {
    inner: Weak<Inner>,
}

impl fmt::Debug for RelayLinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayLinks").finish_non_exhaustive()
    }
}

impl Peers {
    /// Makes the daemon read the keys that it follows through relays.
    pub(super) fn enable_relayed_reads(&self, cx: &Shared) {
        let relays = RelayLinks { inner: Arc::downgrade(&self.inner) };
        let mut prefixes = vec![
            (SLOTS_PREFIX, WatchTiming::default()),
            (POISON_PREFIX, WatchTiming::default()),
            (jobs::key::INDEX_PREFIX, index::INDEX_WATCH_TIMING),
        ];
        if cx.settings.evacuation {
            prefixes.push((cx.settings.source.evacuations_prefix(), evacuation::WATCH_TIMING));
        }
        let shared = SharedPrefixes { relay_prefix: MEMBERS_PREFIX, prefixes };
        cx.platform_store().use_relays(Arc::new(relays), shared);
    }

    /// Answers a question of another daemon.
    pub(super) fn answer_read(&self, cx: &Arc<Shared>, from: Name, req: ReadRequest) {
        let reads = &self.inner.reads;
        if reads.open_answers.fetch_add(1, Ordering::AcqRel) >= MAX_OPEN_ANSWERS {
            reads.open_answers.fetch_sub(1, Ordering::AcqRel);
            self.send_read_answer(cx, &from, unusable_answer(req.id));
            return;
        }
        let (cx, peers) = (Arc::clone(cx), self.clone());
        task::spawn(async move {
            let answer = cx.platform_store().answer(&question_from_wire(&req)).await;
            peers.inner.reads.open_answers.fetch_sub(1, Ordering::AcqRel);
            let answer =
                answer.map_or_else(|| unusable_answer(req.id), |it| answer_to_wire(req.id, it));
            peers.send_read_answer(&cx, &from, answer);
        });
    }

    fn send_read_answer(&self, cx: &Shared, to: &Name, answer: ReadAnswer) {
        let id = answer.id;
        if let Err(e) = self.inner.hub.send(to, &Message::ReadAnswer(answer)) {
            debug!(cx.log, "answer with followed keys not sent"; "peer" => %to, "error" => %e);
            // The answer may be too large for one frame; the daemon that asked then reads the service itself. If the link is
            // closed, this send fails as well, which does no harm.
            let _ = self.inner.hub.send(to, &Message::ReadAnswer(unusable_answer(id)));
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
        let limit = question.wait + ANSWER_TIMEOUT;
        let send = |id| {
            let req = question_to_wire(id, &question);
            inner.hub.send(relay, &Message::ReadRequest(req)).is_ok()
        };
        let answer = inner.reads.pending.ask(relay, limit, send).await;
        answer_from_wire(answer?)
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
        gaps: question.gaps,
    }
}

fn question_from_wire(req: &ReadRequest) -> Question {
    Question {
        prefix: Name::new(&req.prefix),
        after: (req.run != 0).then_some(Position { incarnation: req.run, changes: req.after }),
        gaps: req.gaps,
        wait: Duration::from_millis(u64::from(req.wait_ms)).min(MAX_WAIT),
        from_service_only: req.at_first_hand,
    }
}

/// The longest time that another daemon may ask this one to wait for a change before it answers.
const MAX_WAIT: Duration = Duration::from_secs(30);

fn unusable_answer(id: u64) -> ReadAnswer {
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
        gaps: update.gaps,
        items: update.items.into_iter().map(item_to_wire).collect(),
    }
}

fn answer_from_wire(answer: ReadAnswer) -> Option<Answer> {
    let status = ReadStatus::try_from(answer.status).ok()?;
    let update = KeysUpdate {
        position: Position { incarnation: answer.run, changes: answer.changes },
        revision: Revision(answer.revision),
        gaps: answer.gaps,
        items: answer.items.into_iter().map(item_from_wire).collect(),
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

fn item_from_wire(item: StoredItem) -> RawItem {
    let StoredItem { key, value, revision, created, lease, removed } = item;
    RawItem { key, value: Blob(value.to_vec()), rev: revision, created, lease, removed }
}
