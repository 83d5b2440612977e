//! Runs one item through the same dispatcher as online requests.

use std::{io, time::Duration};

use async_std::{future::timeout, io::ReadExt as _};
use futures::future::{Either, select};
use http_edge::client::{Failure, Progress, SendError};
use http_types::Response;
use jobs::ItemEnd;
use policy::dispatch::{FailureCause, Reason, Refusal};
use slog::{debug, info};
use stdx::Name;

use crate::{
    control::{Admission, Directive},
    online::{
        Call, attempt, event_data::EventData, event_gap::EventGapMeter, events::StreamError,
        protocol,
    },
    shared::Shared,
};

/// The shortest and the longest pause before an item that was refused is submitted again.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// The status by which a target says that an item can never be done.
const IMPOSSIBLE: u16 = 422;
/// The longest time between two whole events of an item.
const EVENT_TIME: Duration = Duration::from_secs(10);
const BUFFER_BYTES: usize = 16 * 1024;

enum Attempt {
    /// The item has ended.
    Ended(ItemEnd),
    /// The dispatcher decides what follows.
    Next(Admission),
    /// The item made room for an online request.
    Yielded,
    /// The dispatcher has given the item up for now.
    Refused(Duration),
}

enum Step {
    Answered(Box<Response>),
    Failed(SendError),
    Interrupted(Option<Directive>),
}

/// How a run of an item ended, with what is kept for the next one.
#[derive(Debug)]
pub struct Ended {
    /// How the run ended.
    pub end: ItemEnd,
    /// The output that has arrived; another target continues after its last event.
    pub output: EventData,
    /// How long the item was on a target.
    pub ran_for: Duration,
    /// How long the item should wait before its next run.
    pub pause: Duration,
}

/// What the dispatcher is told of an item besides the call.
#[derive(Debug, Clone, Copy)]
pub struct ItemTerms {
    /// How often the item was taken for poison.
    pub verdicts: u32,
    /// How long the item leaves more slots of a target free than it must.
    pub patience: Duration,
}

/// Runs an item until it ends or is interrupted; `on_placed` is called at its first dispatch. Dropping the future stops the
/// item at once.
pub async fn run(
    cx: &Shared,
    call: &Call,
    terms: ItemTerms,
    mut output: EventData,
    mut on_placed: impl FnMut(),
) -> Ended {
    let mut placed_at = None;
    let mut note_placed = || {
        placed_at.get_or_insert(cx.clock.now());
        on_placed();
    };
    let (end, pause) = match run_admitted(cx, call, terms, &mut output, &mut note_placed).await {
        Attempt::Ended(end) => (end, Duration::ZERO),
        Attempt::Next(_) | Attempt::Yielded => (ItemEnd::Interrupted, Duration::ZERO),
        Attempt::Refused(retry_after) => {
            (ItemEnd::Interrupted, retry_after.clamp(MIN_PAUSE, MAX_PAUSE))
        }
    };
    let ran_for = placed_at.map_or(Duration::ZERO, |it| cx.clock.now().since(it));
    Ended { end, output, ran_for, pause }
}

async fn run_admitted(
    cx: &Shared,
    call: &Call,
    terms: ItemTerms,
    output: &mut EventData,
    on_placed: &mut impl FnMut(),
) -> Attempt {
    let now = cx.clock.now();
    let mut req = call.dispatch_request(now);
    req.large_reserve_until = now + terms.patience;
    // A verdict holds for an hour, and one may be wrong: under another fingerprint the next run is judged by itself.
    for (byte, salt) in req.fingerprint.iter_mut().zip(terms.verdicts.to_le_bytes()) {
        *byte ^= salt;
    }
    let Ok(mut admission) = cx.control.submit(req, None) else {
        return Attempt::Refused(MAX_PAUSE);
    };
    loop {
        match admission.next().await {
            Some(Directive::Dispatch { target, .. }) => {
                on_placed();
                debug!(cx.log, "item placed"; "request" => &call.request_id, "target" => %target);
                match run_attempt(cx, call, admission, &target, output).await {
                    // Which item continues is decided anew, since another one may be more urgent.
                    Attempt::Yielded => return Attempt::Ended(ItemEnd::Interrupted),
                    Attempt::Next(held) => admission = held,
                    ended => return ended,
                }
            }
            // These concern an attempt that has ended meanwhile.
            Some(Directive::Yield | Directive::Cancel) => {}
            Some(Directive::Refuse(refusal)) => {
                debug!(cx.log, "item put off"; "request" => &call.request_id, "reason" => ?refusal.reason);
                admission.refused();
                return refused(&refusal);
            }
            Some(Directive::OverRate(_)) | None => return Attempt::Ended(ItemEnd::Interrupted),
        }
    }
}

async fn run_attempt(
    cx: &Shared,
    call: &Call,
    admission: Admission,
    target: &Name,
    output: &mut EventData,
) -> Attempt {
    let address = cx.directory.address(&call.service, target);
    let last_event = output.last_id();
    let req = address.and_then(|it| protocol::request(cx, call, it, target, last_event));
    let (Some(address), Some(req)) = (address, req) else {
        admission.failed_before_send();
        return Attempt::Next(admission);
    };
    let started = cx.clock.now();
    let sent = Box::pin(cx.client.send(address, &call.request_id, req));
    let step = match select(sent, Box::pin(admission.next())).await {
        Either::Left((Ok(res), _)) => Step::Answered(Box::new(res)),
        Either::Left((Err(e), _)) => Step::Failed(e),
        Either::Right((directive, _)) => Step::Interrupted(directive),
    };
    let res = match step {
        Step::Answered(res) => *res,
        Step::Failed(e) if e.progress == Progress::NotSent => {
            admission.failed_before_send();
            return Attempt::Next(admission);
        }
        Step::Failed(e) => {
            let cause = attempt::diagnose_failure(cx, address, Some(&e.failure)).await;
            debug!(cx.log, "item attempt failed"; "request" => &call.request_id, "target" => %target, "error" => %e, "cause" => ?cause);
            admission.failed_after_send(cause);
            return Attempt::Next(admission);
        }
        Step::Interrupted(directive) => return interrupted(admission, directive),
    };
    if let Some(cause) = protocol::not_run_cause(cx, call, target, &res) {
        admission.not_run(cause);
        return Attempt::Next(admission);
    }
    let status = u16::from(res.status());
    if !res.status().is_success() {
        info!(cx.log, "item failed at its target"; "request" => &call.request_id, "target" => %target, "status" => status);
        // The target did its part: whether the item runs again is decided by the count of its failures.
        admission.completed(None);
        let end = if status == IMPOSSIBLE { ItemEnd::Impossible } else { ItemEnd::Failed };
        return Attempt::Ended(end);
    }
    match read(cx, call, target, res, &admission, output).await {
        Read::Whole => {
            attempt::observe_request(cx, call, started);
            debug!(cx.log, "item completed"; "request" => &call.request_id, "target" => %target);
            admission.completed(Some(output.event_count()));
            Attempt::Ended(ItemEnd::Completed { text: output.text().to_owned() })
        }
        Read::Broken(e) => {
            match StreamError::is_in(&e) {
                // What a target sends without end is no output of the item.
                true => *output = EventData::default(),
                false => output.discard_partial(),
            }
            let cause = attempt::diagnose_failure(cx, address, Failure::from_io(&e)).await;
            info!(
                cx.log, "item stream broke";
                "request" => &call.request_id, "target" => %target, "last_event" => output.last_id(),
                "cause" => ?cause, "error" => %e
            );
            admission.failed_after_send(cause);
            Attempt::Next(admission)
        }
        Read::Interrupted(directive) => {
            output.discard_partial();
            debug!(cx.log, "item interrupted"; "request" => &call.request_id, "target" => %target, "last_event" => output.last_id(), "directive" => ?directive);
            interrupted(admission, directive)
        }
    }
}

enum Read {
    Whole,
    Broken(io::Error),
    Interrupted(Option<Directive>),
}

async fn read(
    cx: &Shared,
    call: &Call,
    target: &Name,
    mut res: Response,
    admission: &Admission,
    output: &mut EventData,
) -> Read {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut told = Box::pin(admission.next());
    let (mut events, mut since) = (output.event_count(), cx.clock.now());
    let mut meter = EventGapMeter::default();
    loop {
        let left = EVENT_TIME.saturating_sub(cx.clock.now().since(since));
        if left.is_zero() {
            let e = "no whole event arrived in time";
            return Read::Broken(io::Error::new(io::ErrorKind::TimedOut, e));
        }
        // What was told goes first: a target whose bytes never end always has some ready.
        let piece = match select(told, Box::pin(timeout(left, res.read(&mut buf)))).await {
            Either::Left((directive, _)) => return Read::Interrupted(directive),
            Either::Right((piece, rest)) => {
                told = rest;
                piece
            }
        };
        match piece {
            Ok(Ok(0)) => return Read::Whole,
            Ok(Ok(n)) => {
                if let Err(e) = output.push(&buf[..n]) {
                    return Read::Broken(e.into());
                }
            }
            Ok(Err(e)) => return Read::Broken(e),
            // The time is up, which the next round says.
            Err(_) => {}
        }
        if output.event_count() > events {
            (events, since) = (output.event_count(), cx.clock.now());
            protocol::report_event_gap(cx, call, target, &mut meter, events);
        }
    }
}

fn refused(refusal: &Refusal) -> Attempt {
    match refusal.reason {
        Reason::Poison => Attempt::Ended(ItemEnd::Poison),
        _ => Attempt::Refused(refusal.retry_after),
    }
}

fn interrupted(admission: Admission, directive: Option<Directive>) -> Attempt {
    match directive {
        Some(Directive::Yield) => {
            admission.yielded();
            Attempt::Yielded
        }
        // A refusal follows, because the attempt is stopped for good.
        Some(Directive::Cancel | Directive::Dispatch { .. }) => Attempt::Next(admission),
        Some(Directive::Refuse(refusal)) => {
            admission.refused();
            refused(&refusal)
        }
        Some(Directive::OverRate(_)) | None => {
            // Nothing more is known of the request, so it counts as failed here.
            admission.failed_after_send(FailureCause::BadAnswer);
            Attempt::Ended(ItemEnd::Interrupted)
        }
    }
}
