//! One attempt on one target.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use async_std::{future::timeout, io::ReadExt as _, task};
use futures::future::{Either, select};
use http_edge::{
    client::{Failure, Progress},
    framing::BodyError,
    problem::{Execution, Problem, ProblemKind},
    server::Caller,
    status::Status,
};
use http_types::{Body, Response};
use policy::dispatch::{FailureCause, NotRunCause};
use slog::{debug, info};
use stdx::{Name, Timestamp};

use super::{
    Call, finish_refused,
    forwarder::{self, AnswerForwarder},
    protocol::{self, Liveness},
    source::{AnswerSource, VersionCheck},
    target_answer::TargetAnswer,
};
use crate::{
    control::{Admission, Directive},
    settings::FleetSource,
    shared::Shared,
    target_paths::{self, AnsweredThroughPeer, SendError, TargetFailure, TargetRef},
};

/// Smaller answers are delivered only once they are complete, so that the request can be retried on another target if this
/// one fails.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// How long to wait for the rest of an answer that is not passed on.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The answer may be delivered.
    Answered(Box<TargetAnswer>),
    /// The attempt ended; the next directive of the control thread decides what follows.
    Next(Admission),
    /// The target answered with a server error, which is delivered if no other attempt follows.
    Failed(Admission, Box<TargetAnswer>),
    /// An error answer from the daemon itself; no other attempt follows.
    Final(Problem),
    /// The caller closed its connection.
    CallerGone,
}

enum Prefetched {
    Whole(Vec<u8>),
    Partial(Vec<u8>),
}

/// What can interrupt an attempt.
struct InterruptSources<'a> {
    cx: &'a Shared,
    caller: &'a Caller,
    deadline: Timestamp,
}

enum Interrupt {
    Directive(Option<Directive>),
    CallerGone,
    Deadline,
}

/// Sends a request to a target and waits until its answer may be delivered.
pub async fn run(
    cx: &Arc<Shared>,
    call: &Call,
    admission: Admission,
    (target, version): (&Name, &Name),
    caller: &Caller,
) -> AttemptEnd {
    let last_event = call.last_event();
    // A target without an address has been removed since the dispatch, so the request was not sent.
    let Some(address) = cx.directory.address(&call.service, target) else {
        admission.failed_before_send();
        return AttemptEnd::Next(admission);
    };
    let to = TargetRef { service: &call.service, target, address };
    if !cx.evacuations.allows(cx, &call.service, target) {
        admission.not_run(NotRunCause::Evacuated);
        return AttemptEnd::Next(admission);
    }
    let started = cx.clock.now();
    let interrupts =
        InterruptSources { cx, caller, deadline: call.deadline.unwrap_or(started + call.timeout) };
    let mut res = match interrupts.race(&admission, protocol::send(cx, call, to, last_event)).await
    {
        Ok(Ok(res)) => res,
        Ok(Err(e)) => {
            debug!(cx.log, "attempt failed"; "request" => &call.request_id, "target" => %target, "error" => %e);
            if e.failure.is_first_byte_timeout() {
                close_idle_connections(cx, call, address);
            }
            report_send_error(cx, &admission, to, &e).await;
            return AttemptEnd::Next(admission);
        }
        Err(interrupt) => {
            if matches!(interrupt, Interrupt::Deadline) {
                close_idle_connections(cx, call, address);
            }
            return end_interrupted(admission, interrupt, timeout_cause(cx, address));
        }
    };
    if res.ext().get::<AnsweredThroughPeer>().is_some() {
        admission.answered_through_peer();
    }
    if let Some(cause) = protocol::not_run_cause(cx, call, target, &res, started) {
        debug!(cx.log, "target did not run the request"; "request" => &call.request_id, "target" => %target, "cause" => ?cause);
        discard_body(&mut res).await;
        admission.not_run(cause);
        return AttemptEnd::Next(admission);
    }
    if last_event.is_some() && Status::of(&res).is_success() {
        let source = AnswerSource::of(&res, target, version);
        let time_left = call.time_left(cx.clock.now());
        match interrupts.race(&admission, source.check_version(cx, &call.service, time_left)).await
        {
            Ok(VersionCheck::Confirmed) => {}
            Ok(VersionCheck::Changed) => {
                // The target is sound, but what it sends does not continue what the caller has.
                drop(res);
                admission.failed_after_send(FailureCause::AnswerLost);
                return AttemptEnd::Next(admission);
            }
            // Another target could not be confirmed either.
            Ok(VersionCheck::Unconfirmed) => return AttemptEnd::Final(version_not_confirmed()),
            Err(interrupt) => {
                drop(res);
                return end_interrupted(admission, interrupt, timeout_cause(cx, address));
            }
        }
    }
    let answer = match TargetAnswer::new(&res, &call.request_id, call.idempotent) {
        Ok(answer) => answer,
        Err(promise) => {
            info!(
                cx.log, "answer of a target replaced, because its status says that the request has not run";
                "request" => &call.request_id, "target" => %target, "status" => promise.status.code()
            );
            discard_body(&mut res).await;
            observe_request(cx, call, started);
            admission.completed(None);
            return AttemptEnd::Final(promise.into_problem());
        }
    };
    let seconds = cx.clock.now().since(started).as_secs_f64();
    cx.metrics.first_byte_seconds.get_or_create(&super::service_labels(call)).observe(seconds);
    let forwarder = |admission| AnswerForwarder {
        cx: Arc::clone(cx),
        call: call.clone(),
        address,
        target: target.clone(),
        version: version.clone(),
        admission,
        caller: caller.clone(),
        started,
    };
    if forwarder::is_event_stream(&res) {
        admission.first_byte();
        let answer = forwarder(admission).start(answer, res, Vec::new());
        return AttemptEnd::Answered(Box::new(answer));
    }
    match interrupts.race(&admission, prefetch(&mut res)).await {
        Ok(Ok(Prefetched::Whole(bytes))) => {
            let answer = answer.with_body(Body::from_bytes(bytes));
            if is_retriable_failure(cx, call, &res) {
                admission.failed_after_send(FailureCause::BadAnswer);
                return AttemptEnd::Failed(admission, Box::new(answer));
            }
            observe_request(cx, call, started);
            admission.completed(None);
            AttemptEnd::Answered(Box::new(answer))
        }
        Ok(Ok(Prefetched::Partial(bytes))) => {
            admission.first_byte();
            AttemptEnd::Answered(Box::new(forwarder(admission).start(answer, res, bytes)))
        }
        Ok(Err(e)) => {
            debug!(cx.log, "answer broke"; "request" => &call.request_id, "target" => %target, "error" => %e);
            drop(res);
            let failure = TargetFailure::from_io(&e);
            admission.failed_after_send(diagnose_failure(cx, to, failure.as_ref()).await);
            AttemptEnd::Next(admission)
        }
        Err(interrupt) => {
            drop(res);
            end_interrupted(admission, interrupt, timeout_cause(cx, address))
        }
    }
}

fn version_not_confirmed() -> Problem {
    let detail = "the software version of the target that would continue the stream is not certain";
    Problem::new(ProblemKind::TargetFailed, Execution::Unknown, detail)
}

/// Records the time from the start of an attempt to the end of its answer.
pub(crate) fn observe_request(cx: &Shared, call: &Call, started: Timestamp) {
    let seconds = cx.clock.now().since(started).as_secs_f64();
    cx.metrics.request_seconds.get_or_create(&super::service_labels(call)).observe(seconds);
}

/// Returns whether an answer is a server error and the request may be retried on another target.
fn is_retriable_failure(cx: &Shared, call: &Call, res: &Response) -> bool {
    cx.settings.source == FleetSource::Operator
        && call.max_attempts > 1
        && call.idempotent
        && Status::of(res).is_server_error()
}

/// Returns the cause of a failure after sending.
///
/// If the connection to a registered target was lost, checks whether the target still accepts connections: if so, only the
/// answer was lost; if they are refused, the target has ended. Without an answer to the check, both are possible. If another daemon
/// reaches the target, the link of this one is lost, which shows nothing of the target.
pub(crate) async fn diagnose_failure(
    cx: &Shared,
    to: TargetRef<'_>,
    failure: Option<&TargetFailure>,
) -> FailureCause {
    let cause = failure_cause(failure);
    let is_lost = cx.target_paths.is_lost(to.address);
    match failure {
        Some(TargetFailure::Direct(failure)) if is_lost && is_silence_or_break(failure) => {
            return FailureCause::LinkLost;
        }
        // What arrived is not valid, on whatever path, and a direct connection would show nothing.
        None if is_lost => return FailureCause::AnswerLost,
        None | Some(TargetFailure::Direct(_)) => {}
        Some(_) => return cause,
    }
    let is_registered = cx.settings.source == FleetSource::Operator;
    if !is_registered || cause != FailureCause::ConnectionLost {
        return cause;
    }
    match protocol::check_liveness(cx, to.address).await {
        Liveness::Alive => FailureCause::AnswerLost,
        Liveness::Ended | Liveness::Unknown if target_paths::is_link_lost(cx, to).await => {
            FailureCause::LinkLost
        }
        Liveness::Ended => FailureCause::Crashed,
        Liveness::Unknown => FailureCause::ConnectionLost,
    }
}

/// Returns the cause of a failure after sending, without checking whether the target is alive.
pub(crate) fn failure_cause(failure: Option<&TargetFailure>) -> FailureCause {
    match failure {
        None => direct_failure_cause(None),
        Some(TargetFailure::Direct(failure)) => direct_failure_cause(Some(failure)),
        Some(TargetFailure::ThroughPeer { cause, .. }) => *cause,
        Some(TargetFailure::LinkLost | TargetFailure::PeerLost { .. }) => FailureCause::LinkLost,
    }
}

/// Returns whether a direct connection broke or fell silent, as on a lost link.
fn is_silence_or_break(failure: &Failure) -> bool {
    let is_timeout = matches!(failure, Failure::FirstByteTimeout | Failure::GapTimeout);
    let is_closed = *failure == Failure::ClosedByOwner;
    let is_broken = direct_failure_cause(Some(failure)) == FailureCause::ConnectionLost;
    is_timeout || is_closed || is_broken
}

/// Returns the cause of a failure on a direct connection.
pub(crate) fn direct_failure_cause(failure: Option<&Failure>) -> FailureCause {
    match failure {
        Some(
            Failure::Io(_)
            | Failure::ClosedBeforeAnswer
            | Failure::EmptyBody
            | Failure::Body(BodyError::Truncated),
        )
        | None => FailureCause::ConnectionLost,
        Some(_) => FailureCause::BadAnswer,
    }
}

impl InterruptSources<'_> {
    /// Runs a step until it completes, a directive arrives, the caller closes its connection or the deadline passes.
    async fn race<T>(
        &self,
        admission: &Admission,
        step: impl Future<Output = T>,
    ) -> std::result::Result<T, Interrupt> {
        let time_left = self.deadline.since(self.cx.clock.now()).max(Duration::from_millis(1));
        let directive_or_gone = select(Box::pin(admission.next()), Box::pin(self.caller.closed()));
        // A drain ends all requests a little before it closes their connections.
        let time_over = select(
            Box::pin(task::sleep(time_left)),
            Box::pin(self.cx.drain.answer_due(&self.cx.clock)),
        );
        let interrupted = select(directive_or_gone, time_over);
        match select(Box::pin(step), interrupted).await {
            Either::Left((done, _)) => Ok(done),
            Either::Right((Either::Left((Either::Left((directive, _)), _)), _)) => {
                Err(Interrupt::Directive(directive))
            }
            Either::Right((Either::Left((Either::Right(_), _)), _)) => Err(Interrupt::CallerGone),
            Either::Right((Either::Right(_), _)) => Err(Interrupt::Deadline),
        }
    }
}

/// Closes the idle connections to a target that sent no byte in time.
///
/// If the connection of the request no longer works but has not been closed, the same may hold for the idle ones, and each
/// request that used one would wait as long in vain. If they were intact, each costs one new connection. They are not closed
/// before the time limit, since a target that has sent nothing yet may still be working on the request.
pub(crate) fn close_idle_connections(cx: &Shared, call: &Call, address: SocketAddr) {
    let closed = cx.client.close_idle(address, None);
    info!(
        cx.log, "idle connections closed because a request received no byte in time";
        "target" => %address, "request" => &call.request_id, "closed" => closed
    );
}

/// Returns the cause of an answer that did not come in time.
fn timeout_cause(cx: &Shared, address: SocketAddr) -> FailureCause {
    match cx.target_paths.is_lost(address) {
        true => FailureCause::LinkLost,
        false => FailureCause::BadAnswer,
    }
}

fn end_interrupted(
    admission: Admission,
    interrupt: Interrupt,
    timeout_cause: FailureCause,
) -> AttemptEnd {
    match interrupt {
        Interrupt::CallerGone => AttemptEnd::CallerGone,
        Interrupt::Deadline => {
            admission.failed_after_send(timeout_cause);
            let detail = "the target sent no complete answer in time";
            AttemptEnd::Final(
                Problem::new(ProblemKind::TargetTimeout, Execution::Unknown, detail)
                    .with_retry_after(Duration::from_secs(1)),
            )
        }
        Interrupt::Directive(Some(Directive::Yield)) => {
            admission.yielded();
            AttemptEnd::Next(admission)
        }
        // The control thread cancels an attempt only if it refuses the request; the refusal is the next directive.
        Interrupt::Directive(Some(Directive::Cancel)) => AttemptEnd::Next(admission),
        Interrupt::Directive(Some(directive)) => {
            AttemptEnd::Final(finish_refused(admission, &directive))
        }
        Interrupt::Directive(None) => AttemptEnd::Final(super::daemon_stopped()),
    }
}

async fn report_send_error(
    cx: &Shared,
    admission: &Admission,
    to: TargetRef<'_>,
    error: &SendError,
) {
    match error.progress {
        Progress::NotSent => admission.failed_before_send(),
        Progress::Sent => {
            admission.failed_after_send(diagnose_failure(cx, to, Some(&error.failure)).await);
        }
    }
}

/// Reads the rest of an answer that is not passed on, so that its connection can be reused. Such an answer is short unless the target is
/// faulty.
async fn discard_body(res: &mut Response) {
    // The connection is closed if the rest is long or late.
    let _ = timeout(REFUSAL_BODY_TIMEOUT, prefetch(res)).await;
}

async fn prefetch(res: &mut Response) -> std::io::Result<Prefetched> {
    let mut bytes = Vec::new();
    let mut buf = vec![0; 16 * 1024];
    while bytes.len() < MAX_BUFFERED_BYTES {
        let n = res.read(&mut buf).await?;
        if n == 0 {
            return Ok(Prefetched::Whole(bytes));
        }
        bytes.extend_from_slice(&buf[..n]);
    }
    Ok(Prefetched::Partial(bytes))
}
