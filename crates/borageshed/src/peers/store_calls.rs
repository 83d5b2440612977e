//! Calls to the key-value service for daemons that cannot reach it, both as the daemon that asks and as the one that calls.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::task;
use async_trait::async_trait;
use futures::future::select_ok;
use kv_store::{Error, Result};
use peer::{Message, StoreCall, StoreCallAnswer, StoreCallOutcome, StoreMethod};
use platform::store::{
    Answer,
    forwarding::{CallForwarder, ForwardedCall, ForwardedMethod},
};
use rand::seq::SliceRandom as _;
use slog::{Logger, debug, info, warn};
use stdx::{Name, Timestamp};

use super::{Inner, Peers, pending::PendingQuestions};
use crate::{clock::Clock, shared::Shared};

/// How long the answer of another daemon may take; a later one counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the answers to probes are awaited. A call is only sent to a daemon that has answered one: a call on a link that has
/// just fallen silent would end with an unknown outcome instead of a prompt refusal.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// The most daemons that are probed at once.
const MAX_PROBED: usize = 8;
/// How long a daemon that has answered is asked again without a probe.
const HELPER_VALIDITY: Duration = Duration::from_secs(1);
/// The time without forwarded calls after which the next one is logged.
const LOG_PAUSE: Duration = Duration::from_secs(5);
/// The most calls that this daemon makes for others at a time.
const MAX_OPEN_CALLS: usize = 256;

/// The calls of this daemon that await answers, and the number of calls that it is making for others.
#[derive(Debug, Default)]
pub(super) struct StoreCalls {
    pub(super) pending: PendingQuestions<StoreCallAnswer>,
    open_calls: AtomicUsize,
    /// The daemon that answered last, and when.
    last_helper: Mutex<Option<(Name, Timestamp)>>,
}

/// Gives the client of the key-value service access to the other daemons.
struct CallHelpers {
    inner: Weak<Inner>,
    log: Logger,
    clock: Clock,
    /// When another daemon answered last, in microseconds of the process clock.
    answered_at: AtomicU64,
}

impl fmt::Debug for CallHelpers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallHelpers").finish_non_exhaustive()
    }
}

impl Peers {
    /// Makes calls go through other daemons while the key-value service is unreachable from this one.
    pub(super) fn enable_forwarded_calls(&self, cx: &Shared) {
        let (inner, log, clock) = (Arc::downgrade(&self.inner), cx.log.clone(), cx.clock);
        let helpers = CallHelpers { inner, log, clock, answered_at: AtomicU64::new(0) };
        cx.platform_store().use_forwarder(Arc::new(helpers));
    }

    /// Makes a call for another daemon and sends it the answer. A call without a path only asks whether this daemon reaches the
    /// service.
    pub(super) fn perform_call(&self, cx: &Arc<Shared>, from: Name, req: StoreCall) {
        if req.path.is_empty() {
            let answer = match cx.platform_store().reaches_service() {
                true => Ok(Answer::default()),
                false => not_sent(),
            };
            return self.send_call_answer(cx, &from, answer_to_wire(req.id, answer));
        }
        let Some(call) = call_from_wire(&req) else {
            warn!(cx.log, "call of another daemon is not valid"; "peer" => %from, "path" => req.path);
            return self.send_call_answer(cx, &from, answer_to_wire(req.id, not_sent()));
        };
        let open_calls = &self.inner.store_calls.open_calls;
        if open_calls.fetch_add(1, Ordering::AcqRel) >= MAX_OPEN_CALLS {
            open_calls.fetch_sub(1, Ordering::AcqRel);
            return self.send_call_answer(cx, &from, answer_to_wire(req.id, not_sent()));
        }
        let (cx, peers) = (Arc::clone(cx), self.clone());
        task::spawn(async move {
            let answer = cx.platform_store().perform_forwarded(call).await;
            peers.inner.store_calls.open_calls.fetch_sub(1, Ordering::AcqRel);
            peers.send_call_answer(&cx, &from, answer_to_wire(req.id, answer));
        });
    }

    fn send_call_answer(&self, cx: &Shared, to: &Name, answer: StoreCallAnswer) {
        let id = answer.id;
        if let Err(e) = self.inner.hub.send(to, &Message::StoreCallAnswer(answer)) {
            debug!(cx.log, "answer to a forwarded call not sent"; "peer" => %to, "error" => %e);
            // The answer may be too large for one frame. If the link is closed, this send fails as well, which does no harm.
            let unknown = StoreCallAnswer { id, ..StoreCallAnswer::default() };
            let _ = self.inner.hub.send(to, &Message::StoreCallAnswer(unknown));
        }
    }
}

#[async_trait]
impl CallForwarder for CallHelpers {
    async fn forward(&self, call: &ForwardedCall) -> Result<Answer> {
        let Some(inner) = self.inner.upgrade() else { return not_sent() };
        let Some(helper) = self.choose_helper(&inner).await else { return not_sent() };
        let answer = ask(&inner, &helper, call_to_wire(call), ANSWER_TIMEOUT).await;
        self.record(&inner, &helper, &answer);
        answer
    }
}

impl CallHelpers {
    /// Returns a daemon that reaches the service: the one that answered last if that was recently, or else the first one that
    /// answers a probe.
    async fn choose_helper(&self, inner: &Inner) -> Option<Name> {
        let now = self.clock.now();
        let last = inner.store_calls.last_helper().clone();
        if let Some((helper, _)) = last.filter(|(_, at)| now.since(*at) < HELPER_VALIDITY) {
            return Some(helper);
        }
        let mut linked = inner.hub.linked_peers();
        linked.shuffle(&mut rand::rng());
        let probes = linked.into_iter().take(MAX_PROBED).map(|helper| {
            Box::pin(async move {
                ask(inner, &helper, StoreCall::default(), PROBE_TIMEOUT).await.map(|_| helper)
            })
        });
        let probes: Vec<_> = probes.collect();
        if probes.is_empty() {
            return None;
        }
        let (helper, _) = select_ok(probes).await.ok()?;
        *inner.store_calls.last_helper() = Some((helper.clone(), self.clock.now()));
        Some(helper)
    }

    fn record(&self, inner: &Inner, helper: &Name, answer: &Result<Answer>) {
        let now = self.clock.now();
        *inner.store_calls.last_helper() = answer.is_ok().then(|| (helper.clone(), now));
        if let Err(e) = answer {
            debug!(self.log, "forwarded call got no answer"; "peer" => %helper, "error" => %e);
            return;
        }
        let last = self.answered_at.swap(now.as_micros(), Ordering::Relaxed);
        if last == 0 || now.since(Timestamp::from_micros(last)) >= LOG_PAUSE {
            info!(self.log, "calls go through another daemon"; "peer" => %helper);
        }
    }
}

impl StoreCalls {
    fn last_helper(&self) -> MutexGuard<'_, Option<(Name, Timestamp)>> {
        self.last_helper.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn ask(inner: &Inner, helper: &Name, call: StoreCall, limit: Duration) -> Result<Answer> {
    let mut is_sent = false;
    let send = |id| {
        is_sent = inner.hub.send(helper, &Message::StoreCall(StoreCall { id, ..call })).is_ok();
        is_sent
    };
    match inner.store_calls.pending.ask(helper, limit, send).await {
        Some(answer) => answer_from_wire(answer),
        None if is_sent => Err(Error::AnswerLost("another daemon did not answer".to_owned())),
        None => not_sent(),
    }
}

fn not_sent() -> Result<Answer> {
    Err(Error::Unreachable("no other daemon made the call".to_owned()))
}

fn call_to_wire(call: &ForwardedCall) -> StoreCall {
    let method = match call.method {
        ForwardedMethod::Get => StoreMethod::Get,
        ForwardedMethod::Post => StoreMethod::Post,
        ForwardedMethod::Delete => StoreMethod::Delete,
    };
    let (path, body) = (call.path.clone(), call.body.clone().into());
    StoreCall { id: 0, method: method.into(), path, body }
}

fn call_from_wire(req: &StoreCall) -> Option<ForwardedCall> {
    let method = match StoreMethod::try_from(req.method).ok()? {
        StoreMethod::Get => ForwardedMethod::Get,
        StoreMethod::Post => ForwardedMethod::Post,
        StoreMethod::Delete => ForwardedMethod::Delete,
    };
    let call = ForwardedCall { method, path: req.path.clone(), body: req.body.to_vec() };
    call.is_valid().then_some(call)
}

fn answer_to_wire(id: u64, answer: Result<Answer>) -> StoreCallAnswer {
    match answer {
        Ok(Answer { status, body }) => StoreCallAnswer {
            id,
            outcome: StoreCallOutcome::Answered.into(),
            status: status.into(),
            body: body.into(),
        },
        Err(Error::Unreachable(_)) => {
            let outcome = StoreCallOutcome::NotSent.into();
            StoreCallAnswer { id, outcome, ..StoreCallAnswer::default() }
        }
        Err(_) => StoreCallAnswer { id, ..StoreCallAnswer::default() },
    }
}

fn answer_from_wire(answer: StoreCallAnswer) -> Result<Answer> {
    match (StoreCallOutcome::try_from(answer.outcome), u16::try_from(answer.status)) {
        (Ok(StoreCallOutcome::Answered), Ok(status)) => {
            Ok(Answer { status, body: answer.body.to_vec() })
        }
        (Ok(StoreCallOutcome::NotSent), _) => not_sent(),
        _ => Err(Error::AnswerLost("another daemon got no answer".to_owned())),
    }
}
