//! Finds a daemon that has a connection to a target which this one does not reach.

use std::{sync::Arc, time::Duration};

use async_std::future::timeout;
use peer::{
    exchange::{self, ExchangeError, ExchangeReceiver, ExchangeSender},
    message::exchange::{DeclineReason, ExchangeDeclined, ExchangeMessage, ExchangeOpen},
};
use slog::debug;
use stdx::Name;
use thiserror::Error;

use super::{HelperAddress, State, TargetPaths, TargetRef};
use crate::{directory::ServiceId, shared::Shared};

/// The most daemons that are asked for one request. Those that have lost links themselves decline at once.
const MAX_ASKED: usize = 8;
/// The longest id of a request that goes through another daemon. The first message on a connection between daemons is short, and one that is too
/// long would count against the daemon that is asked.
const MAX_ID_BYTES: usize = 1_024;
/// How many daemons that hear from targets must fail to reach this one until it counts as a failure of the target.
const MAX_UNREACHABLE: usize = 2;

/// What an exchange is opened for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Purpose<'a> {
    /// To send this request.
    Send {
        /// The id of the request.
        request_id: &'a str,
    },
    /// To learn whether a daemon can open a connection to the target just now.
    Check,
}

/// An exchange with a daemon that holds an open connection to the target; nothing has been sent to the target yet.
#[derive(Debug)]
pub(super) struct Opened {
    pub(super) tx: ExchangeSender,
    pub(super) rx: ExchangeReceiver,
    pub(super) helper: HelperUse,
    contact_age: Duration,
}

/// Counts an exchange in the load of its helper until it is dropped.
#[derive(Debug)]
pub(super) struct HelperUse {
    pub(super) name: Name,
    paths: Arc<TargetPaths>,
}

impl Opened {
    /// Returns the daemon that carries out the exchange.
    pub(super) fn peer(&self) -> &Name {
        &self.helper.name
    }

    /// Returns how long ago that daemon heard of the target when it answered.
    pub(super) fn contact_age(&self) -> Duration {
        self.contact_age
    }
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        self.paths.lock().helpers.on_closed(&self.name);
    }
}

/// Why a daemon does not carry out an exchange.
#[derive(Debug, Error)]
enum Refusal {
    #[error("declined: {0:?}")]
    Declined(ExchangeDeclined),
    #[error("no answer: {0}")]
    Unanswered(ExchangeError),
}

/// Opens an exchange with a daemon that has a connection to the target; `None` if there is none. The daemons that were asked are added to
/// `excluded`.
pub(super) async fn open_exchange(
    cx: &Shared,
    to: TargetRef<'_>,
    purpose: Purpose<'_>,
    excluded: &mut Vec<Name>,
) -> Option<Opened> {
    let is_long =
        matches!(purpose, Purpose::Send { request_id } if request_id.len() > MAX_ID_BYTES);
    if is_long || !cx.target_paths.lock().links.may_ask(cx.clock.now(), to.address) {
        return None;
    }
    let mut unreachable = 0;
    for _ in 0..MAX_ASKED {
        let Some((name, address)) = choose(cx, excluded) else { break };
        excluded.push(name.clone());
        match ask(cx, to, purpose, (&name, &address)).await {
            Ok(opened) => return Some(opened),
            Err(refusal) => {
                record(cx, to, &name, &refusal);
                unreachable += usize::from(refusal.is_evidence());
            }
        }
        if unreachable >= MAX_UNREACHABLE {
            break;
        }
    }
    // Daemons that could not be asked, or do not answer, say nothing about the target.
    if unreachable > 0 {
        cx.target_paths.lock().links.on_unreached(cx.clock.now(), to.address);
    }
    None
}

fn choose(cx: &Shared, excluded: &[Name]) -> Option<(Name, HelperAddress)> {
    let mut state = cx.target_paths.lock();
    let State { helpers, candidates, rng, peers, .. } = &mut *state;
    let name = helpers.choose(cx.clock.now(), candidates, excluded, rng)?;
    let address = peers.get(&name)?.clone();
    Some((name, address))
}

async fn ask(
    cx: &Shared,
    to: TargetRef<'_>,
    purpose: Purpose<'_>,
    (name, helper): (&Name, &HelperAddress),
) -> Result<Opened, Refusal> {
    let request_id = match purpose {
        Purpose::Send { request_id } => request_id,
        Purpose::Check => "",
    };
    let open = ExchangeOpen {
        instance: cx.settings.instance.to_string(),
        token: helper.token.clone(),
        service: ServiceId::of(to.service).0,
        target: to.target.to_string(),
        request_id: request_id.to_owned(),
        needs_proof: !cx.target_paths.is_lost(to.address),
        ..ExchangeOpen::default()
    };
    // The daemon may have to open a connection to the target first, for which it takes half of this time.
    let answer_timeout = cx.target_paths.connect_timeout;
    let asked = async {
        let (tx, mut rx) = exchange::open(name, helper.address, open).await?;
        loop {
            if let Some(message) = rx.next().await? {
                return Ok((tx, rx, message));
            }
        }
    };
    let answered = timeout(answer_timeout, asked).await;
    let (tx, rx, message) =
        answered.unwrap_or(Err(ExchangeError::Silent)).map_err(Refusal::Unanswered)?;
    match message {
        ExchangeMessage::Ready(ready) => {
            cx.target_paths.lock().helpers.on_opened(cx.clock.now(), name, ready.load);
            let helper = HelperUse { name: name.clone(), paths: Arc::clone(&cx.target_paths) };
            let contact_age = Duration::from_millis(ready.contact_age_ms.into());
            Ok(Opened { tx, rx, helper, contact_age })
        }
        ExchangeMessage::Declined(declined) => Err(Refusal::Declined(declined)),
        _ => Err(Refusal::Unanswered(ExchangeError::Malformed)),
    }
}

fn record(cx: &Shared, to: TargetRef<'_>, name: &Name, refusal: &Refusal) {
    let now = cx.clock.now();
    let mut state = cx.target_paths.lock();
    match refusal {
        // The daemon is as good a helper as before for other targets.
        Refusal::Declined(it) if it.reason() == DeclineReason::UnknownTarget => {}
        Refusal::Declined(_) if refusal.is_evidence() => {}
        Refusal::Declined(it) => state.helpers.on_declined(now, name, it.has_lost_links),
        Refusal::Unanswered(_) => state.helpers.on_unanswered(now, name),
    }
    drop(state);
    debug!(cx.log, "daemon does not reach a target"; "peer" => %name, "target" => %to.target, "refusal" => %refusal);
}

impl Refusal {
    /// Returns whether the refusal shows that the target fails: the daemon hears from other targets, and this one accepts no connection.
    fn is_evidence(&self) -> bool {
        match self {
            Self::Declined(it) => {
                it.reason() == DeclineReason::Unreachable && it.hears_targets && !it.has_lost_links
            }
            Self::Unanswered(_) => false,
        }
    }
}
