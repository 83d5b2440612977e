//! Runs one item through the same dispatcher as online requests.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_std::{future::timeout, io::ReadExt as _, task};
use futures::future::{Either, select};
use http_edge::{client::Progress, status::Status};
use http_types::Response;
use jobs::ItemEnd;
use policy::dispatch::{FailureCause, NotRunCause, Reason};
use slog::{debug, info};
use stdx::{Name, Timestamp};

use crate::{
    control::{Admission, Directive},
    online::{
        Call, attempt,
        event_data::EventData,
        event_gap::EventGapMeter,
        events::StreamError,
        protocol,
        source::{AnswerSource, VersionCheck},
    },
    shared::Shared,
    target_paths::{AnsweredThroughPeer, SendError, TargetFailure, TargetRef},
};

/// The shortest and the longest delay before a refused item is submitted again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The status with which a target reports that an item can never succeed.
const IMPOSSIBLE_STATUS: u16 = 422;
/// The status with which a target reports a failed run of an item. Other statuses, such as that of a timeout, say nothing about the
/// item.
const FAILED_STATUS: u16 = 500;
/// The longest time between two complete events of an item's stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// When the version of a running item's output is checked, which costs a read of the store after new connections. Items that end or
/// break earlier do not need it for a stored partial output.
const VERSION_CHECK_DELAY: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 16 * 1024;

enum AttemptOutcome {
    /// The item has ended.
    Ended(ItemEnd),
    /// The next directive of the dispatcher decides what follows.
    AwaitDirective(Admission),
    /// The item yielded its slot to an online request.
    Yielded,
    /// The dispatcher refused the item, which may be submitted again after this time.
    Refused(Duration),
}

enum SendOutcome {
    Answered(Box<Response>),
    Failed(SendError),
    Interrupted(Option<Directive>),
}

/// The output of an item while it runs; the worker reads it to store partial outputs.
#[derive(Debug, Clone, Default)]
pub struct SharedOutput(Arc<Mutex<EventData>>);

impl SharedOutput {
    /// Shares an output.
    pub fn new(output: EventData) -> Self {
        Self(Arc::new(Mutex::new(output)))
    }

    /// Locks the output.
    pub fn lock(&self) -> MutexGuard<'_, EventData> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a run of an item ended, with the state that the next run continues from.
#[derive(Debug)]
pub struct RunResult {
    /// How the run ended.
    pub end: ItemEnd,
    /// The output received so far; the next target continues after its last event.
    pub output: EventData,
    /// How long the run took from its first dispatch on; zero if the item was not placed.
    pub ran_for: Duration,
    /// How long to wait before the next run.
    pub retry_delay: Duration,
}

impl RunResult {
    /// Returns the end of a run whose task panicked. Its output may be incomplete, so the next run starts anew.
    pub fn panicked() -> Self {
        Self {
            end: ItemEnd::Interrupted,
            output: EventData::default(),
            ran_for: Duration::ZERO,
            retry_delay: MAX_RETRY_DELAY,
        }
    }
}

/// Properties of an item that the dispatcher needs besides the call.
#[derive(Debug, Clone, Copy)]
pub struct DispatchTerms {
    /// How long the item leaves the large reserve of slots of a target free.
    pub large_reserve_time: Duration,
}

/// Runs an item until it ends or is interrupted; calls `on_placed` at each dispatch. Dropping the future stops the item at
/// once.
pub async fn run(
    cx: &Shared,
    call: &Call,
    terms: DispatchTerms,
    output: SharedOutput,
    mut on_placed: impl FnMut(),
) -> RunResult {
    let mut placed_at = None;
    let mut record_placement = || {
        placed_at.get_or_insert(cx.clock.now());
        on_placed();
    };
    let (end, retry_delay) =
        match run_admitted(cx, call, terms, &output, &mut record_placement).await {
            AttemptOutcome::Ended(end) => (end, Duration::ZERO),
            AttemptOutcome::AwaitDirective(_) | AttemptOutcome::Yielded => {
                (ItemEnd::Interrupted, Duration::ZERO)
            }
            AttemptOutcome::Refused(retry_after) => {
                (ItemEnd::Interrupted, retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
            }
        };
    let ran_for = placed_at.map_or(Duration::ZERO, |it| cx.clock.now().since(it));
    let output = std::mem::take(&mut *output.lock());
    RunResult { end, output, ran_for, retry_delay }
}

async fn run_admitted(
    cx: &Shared,
    call: &Call,
    terms: DispatchTerms,
    output: &SharedOutput,
    on_placed: &mut impl FnMut(),
) -> AttemptOutcome {
    let now = cx.clock.now();
    let mut req = call.dispatch_request(now);
    req.large_reserve_until = now + terms.large_reserve_time;
    req.version = output.lock().version().cloned();
    let Ok(mut admission) = cx.control.submit(req, None) else {
        return AttemptOutcome::Refused(MAX_RETRY_DELAY);
    };
    loop {
        match admission.next().await {
            Some(Directive::Dispatch { target, version, .. }) => {
                on_placed();
                debug!(cx.log, "item placed"; "request" => &call.request_id, "target" => %target, "version" => %version);
                match run_attempt(cx, call, admission, (&target, &version), output).await {
                    // The worker selects the next item anew, since another one may be more urgent.
                    AttemptOutcome::Yielded => return AttemptOutcome::Ended(ItemEnd::Interrupted),
                    AttemptOutcome::AwaitDirective(next) => admission = next,
                    ended => return ended,
                }
            }
            // These directives are for an attempt that has already ended.
            Some(Directive::Yield | Directive::Cancel) => {}
            Some(Directive::Refuse(refusal)) => {
                debug!(cx.log, "item put off"; "request" => &call.request_id, "reason" => ?refusal.reason);
                admission.refused();
                if refusal.reason == Reason::NoTargetOfVersion {
                    // What has arrived does not continue at the versions that are left.
                    *output.lock() = EventData::default();
                }
                return AttemptOutcome::Refused(refusal.retry_after);
            }
            Some(Directive::OverRate(_)) | None => {
                return AttemptOutcome::Ended(ItemEnd::Interrupted);
            }
        }
    }
}

async fn run_attempt(
    cx: &Shared,
    call: &Call,
    admission: Admission,
    (target, version): (&Name, &Name),
    output: &SharedOutput,
) -> AttemptOutcome {
    let last_event = output.lock().begin_attempt(version);
    let Some(address) = cx.directory.address(&call.service, target) else {
        debug!(cx.log, "item not sent: its target has gone"; "request" => &call.request_id, "target" => %target);
        admission.failed_before_send();
        return AttemptOutcome::AwaitDirective(admission);
    };
    if !cx.evacuations.allows(cx, &call.service, target) {
        admission.not_run(NotRunCause::Evacuated);
        return AttemptOutcome::AwaitDirective(admission);
    }
    let to = TargetRef { service: &call.service, target, address };
    let started = cx.clock.now();
    let sent = Box::pin(protocol::send(cx, call, to, last_event));
    let outcome = match select(sent, Box::pin(admission.next())).await {
        Either::Left((Ok(res), _)) => SendOutcome::Answered(Box::new(res)),
        Either::Left((Err(e), _)) => SendOutcome::Failed(e),
        Either::Right((directive, _)) => SendOutcome::Interrupted(directive),
    };
    let res = match outcome {
        SendOutcome::Answered(res) => *res,
        SendOutcome::Failed(e) if e.progress == Progress::NotSent => {
            debug!(
                cx.log, "item not sent";
                "request" => &call.request_id, "target" => %target, "error" => %e, "after_ms" => millis_since(cx, started)
            );
            admission.failed_before_send();
            return AttemptOutcome::AwaitDirective(admission);
        }
        SendOutcome::Failed(e) => {
            let cause = attempt::diagnose_failure(cx, to, Some(&e.failure)).await;
            debug!(cx.log, "item attempt failed"; "request" => &call.request_id, "target" => %target, "error" => %e, "cause" => ?cause);
            admission.failed_after_send(cause);
            return AttemptOutcome::AwaitDirective(admission);
        }
        SendOutcome::Interrupted(directive) => return on_interrupted(admission, directive),
    };
    if let Some(cause) = protocol::not_run_cause(cx, call, target, &res, started) {
        debug!(
            cx.log, "target did not run the item";
            "request" => &call.request_id, "target" => %target, "cause" => ?cause, "after_ms" => millis_since(cx, started)
        );
        admission.not_run(cause);
        return AttemptOutcome::AwaitDirective(admission);
    }
    let status = Status::of(&res);
    if !status.is_success() {
        info!(cx.log, "item failed at its target"; "request" => &call.request_id, "target" => %target, "status" => status.code());
        // The dispatcher need not retry: the number of failures of the item decides whether it runs again.
        admission.completed(None);
        return match status.code() {
            IMPOSSIBLE_STATUS => AttemptOutcome::Ended(ItemEnd::Impossible),
            FAILED_STATUS => AttemptOutcome::Ended(ItemEnd::Failed),
            _ => AttemptOutcome::Refused(MAX_RETRY_DELAY),
        };
    }
    let source = AnswerSource::of(&res, target, version);
    if last_event.is_some() {
        let check = Box::pin(check_version(cx, call, &source));
        let checked = match select(check, Box::pin(admission.next())).await {
            Either::Left((check, _)) => Ok(check),
            Either::Right((directive, _)) => Err(directive),
        };
        match checked {
            Ok(VersionCheck::Confirmed) => {}
            Ok(VersionCheck::Changed) => {
                // What the target sends does not continue the output so far.
                drop(res);
                admission.failed_after_send(FailureCause::AnswerLost);
                return AttemptOutcome::AwaitDirective(admission);
            }
            // Another target could not be confirmed either, so the item waits.
            Ok(VersionCheck::Unconfirmed) => return AttemptOutcome::Refused(MAX_RETRY_DELAY),
            Err(directive) => return on_interrupted(admission, directive),
        }
    }
    match read_checked_output(cx, call, &source, res, &admission, output).await {
        ReadOutcome::Whole => {
            attempt::observe_request(cx, call, started);
            debug!(cx.log, "item completed"; "request" => &call.request_id, "target" => %target);
            let output = output.lock();
            admission.completed(Some(output.event_count()));
            AttemptOutcome::Ended(ItemEnd::Completed { text: output.text().to_owned() })
        }
        ReadOutcome::Broken(e) => {
            let last_event = {
                let mut output = output.lock();
                match starts_anew_after(&e) {
                    true => *output = EventData::default(),
                    false => output.discard_partial(),
                }
                output.last_id()
            };
            let failure = TargetFailure::from_io(&e);
            let cause = attempt::diagnose_failure(cx, to, failure.as_ref()).await;
            info!(
                cx.log, "item stream broke";
                "request" => &call.request_id, "target" => %target, "last_event" => last_event,
                "cause" => ?cause, "error" => %e
            );
            admission.failed_after_send(cause);
            AttemptOutcome::AwaitDirective(admission)
        }
        ReadOutcome::Interrupted(directive) => {
            let mut output = output.lock();
            output.discard_partial();
            debug!(cx.log, "item interrupted"; "request" => &call.request_id, "target" => %target, "last_event" => output.last_id(), "directive" => ?directive);
            drop(output);
            on_interrupted(admission, directive)
        }
    }
}

/// Returns whether the output so far is dropped after an error.
fn starts_anew_after(error: &io::Error) -> bool {
    // A stream without an end is a fault of the target, so none of its output is kept. If a target sends nothing after the last event, and
    // no length, it may have nothing left to send or have ended; asking again cannot tell, and a run from the start can.
    StreamError::is_limit_in(error)
        || TargetFailure::from_io(error).is_some_and(|it| it.is_empty_body())
}

fn millis_since(cx: &Shared, started: Timestamp) -> u64 {
    cx.clock.now().since(started).as_millis() as u64
}

enum ReadOutcome {
    Whole,
    Broken(io::Error),
    Interrupted(Option<Directive>),
}

async fn check_version(cx: &Shared, call: &Call, source: &AnswerSource) -> VersionCheck {
    let time_left = call.time_left(cx.clock.now());
    source.check_version(cx, &call.service, time_left).await
}

/// Reads the output, and checks that it comes from the version under which the item was placed: after a while, so that it can be stored,
/// or else when it breaks off. What is not certain is not continued.
async fn read_checked_output(
    cx: &Shared,
    call: &Call,
    source: &AnswerSource,
    res: Response,
    admission: &Admission,
    output: &SharedOutput,
) -> ReadOutcome {
    let read = Box::pin(read_output(cx, call, &source.target, res, admission, output));
    let check = Box::pin(async {
        task::sleep(VERSION_CHECK_DELAY).await;
        check_version(cx, call, source).await == VersionCheck::Confirmed
    });
    let outcome = match select(read, check).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right((is_certain, read)) => {
            if is_certain {
                output.lock().confirm_version();
            }
            read.await
        }
    };
    if output.lock().is_version_certain() {
        return outcome;
    }
    let is_certain = match outcome {
        ReadOutcome::Broken(_) => check_version(cx, call, source).await == VersionCheck::Confirmed,
        // An online request waits for the slot, so the store is not read.
        ReadOutcome::Interrupted(_) => {
            source.check_known_version(cx, &call.service) == VersionCheck::Confirmed
        }
        ReadOutcome::Whole => false,
    };
    if is_certain {
        output.lock().confirm_version();
    }
    outcome
}

async fn read_output(
    cx: &Shared,
    call: &Call,
    target: &Name,
    mut res: Response,
    admission: &Admission,
    output: &SharedOutput,
) -> ReadOutcome {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut directives = Box::pin(admission.next());
    let (mut events, mut last_event_at) = (output.lock().event_count(), cx.clock.now());
    let (mut meter, mut has_output) = (EventGapMeter::default(), false);
    let is_direct = res.ext().get::<AnsweredThroughPeer>().is_none();
    loop {
        let left = EVENT_TIMEOUT.saturating_sub(cx.clock.now().since(last_event_at));
        if left.is_zero() {
            let e = "no complete event arrived in time";
            return ReadOutcome::Broken(io::Error::new(io::ErrorKind::TimedOut, e));
        }
        // Directives are polled first: a target that sends bytes without end would always be ready before them.
        let piece = match select(directives, Box::pin(timeout(left, res.read(&mut buf)))).await {
            Either::Left((directive, _)) => return ReadOutcome::Interrupted(directive),
            Either::Right((piece, rest)) => {
                directives = rest;
                piece
            }
        };
        match piece {
            Ok(Ok(0)) => {
                return match output.lock().finish() {
                    Ok(()) => ReadOutcome::Whole,
                    Err(e) => ReadOutcome::Broken(e.into()),
                };
            }
            Ok(Ok(n)) => {
                if let Err(e) = output.lock().push(&buf[..n]) {
                    return ReadOutcome::Broken(e.into());
                }
            }
            Ok(Err(e)) => return ReadOutcome::Broken(e),
            // The next iteration returns the timeout.
            Err(_) => {}
        }
        let event_count = output.lock().event_count();
        if event_count > events {
            if !std::mem::replace(&mut has_output, true) {
                admission.output_begun();
            }
            (events, last_event_at) = (event_count, cx.clock.now());
            if is_direct {
                protocol::report_event_gap(cx, call, target, &mut meter, events);
            }
        }
    }
}

fn on_interrupted(admission: Admission, directive: Option<Directive>) -> AttemptOutcome {
    match directive {
        Some(Directive::Yield) => {
            admission.yielded();
            AttemptOutcome::Yielded
        }
        // The dispatcher sends a refusal next, because a cancelled attempt is not retried.
        Some(Directive::Cancel | Directive::Dispatch { .. }) => {
            AttemptOutcome::AwaitDirective(admission)
        }
        Some(Directive::Refuse(refusal)) => {
            admission.refused();
            AttemptOutcome::Refused(refusal.retry_after)
        }
        Some(Directive::OverRate(_)) | None => {
            // The dispatcher's decision on the request is not known, so the attempt counts as failed.
            admission.failed_after_send(FailureCause::BadAnswer);
            AttemptOutcome::Ended(ItemEnd::Interrupted)
        }
    }
}
