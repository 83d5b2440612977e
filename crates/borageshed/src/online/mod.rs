//! Runs one request: waits for the control thread's directives, sends attempts to targets and delivers the answer.
//!
//! - [`call`]: a request with everything that dispatch and attempts need.
//! - [`attempt`]: one attempt on one target.
//! - [`byte_budget`]: bounds what the answers of all targets together make the process hold.
//! - [`event_gap`]: measures the time between the events of a stream.
//! - [`protocol`]: metadata that is exchanged with targets besides requests and answers.
//! - [`refusal`]: answers to requests that the daemon refuses.
//! - [`source`]: the target that sends an answer, and whether its version is certain.
//! - [`target_answer`]: answers of targets that may be passed on to callers.
//! - [`event_data`]: collects the data of event streams.
//! - [`events`]: splits event streams into whole events.
//! - `forwarder`: forwards an answer to the caller while it arrives.

pub mod attempt;
pub mod byte_budget;
pub mod call;
pub mod event_data;
pub mod event_gap;
pub mod events;
pub mod protocol;
pub mod refusal;
pub mod source;
pub mod target_answer;

mod forwarder;

use std::sync::Arc;

use futures::future::{Either, select};
use http_edge::{
    problem::{Execution, Problem, ProblemKind},
    server::Caller,
};
use slog::{debug, info};

use crate::{
    burn,
    control::{Admission, Directive},
    metrics::{ClassLabel, Outcome, ServiceLabels},
    shared::Shared,
};

pub use call::{Call, Message, Resumption, UNLIMITED_ATTEMPTS};
pub(crate) use forwarder::is_event_stream;

use attempt::AttemptEnd;
use target_answer::TargetAnswer;

/// How a request ended for its caller.
#[derive(Debug)]
pub enum Ended {
    /// The target's answer, complete or still arriving.
    Answered(Box<TargetAnswer>),
    /// An error answer from the daemon itself.
    Refused(Problem),
    /// The caller closed its connection.
    CallerGone,
}

/// Runs an online request to its answer.
///
/// Returns as soon as the answer may be delivered. If the body is still arriving then, a separate task forwards it and
/// reports its end to the control thread.
pub async fn run(cx: &Arc<Shared>, call: Call, caller: &Caller) -> Ended {
    let service = call.service.clone();
    let account = call.account.clone();
    let request_id = call.request_id.clone();
    let started = cx.clock.now();
    let mut ended = run_call(cx, call, caller).await;
    burn::count(cx, account, service.clone(), started, &mut ended);
    let outcome = match &ended {
        Ended::Answered(_) => Outcome::Delivered,
        Ended::Refused(problem) if problem.execution() == Execution::NotRun => Outcome::Refused,
        Ended::Refused(_) => Outcome::Failed,
        Ended::CallerGone => Outcome::CallerGone,
    };
    cx.metrics.count_request(Some(&service.to_string().into()), outcome);
    debug!(
        cx.log, "request ended";
        "request" => &request_id, "outcome" => ?outcome, "after_ms" => cx.clock.now().since(started).as_millis() as u64
    );
    ended
}

async fn run_call(cx: &Arc<Shared>, call: Call, caller: &Caller) -> Ended {
    if let Some(problem) = cx.drain.refusal(&call, cx.clock.now()) {
        return Ended::Refused(problem);
    }
    let admission = match cx.control.submit(call.dispatch_request(cx.clock.now()), call.account_id)
    {
        Ok(admission) => admission,
        Err(e) => return Ended::Refused(refusal::too_many_requests(&e)),
    };
    let received = cx.clock.now();
    let mut next_admission = Some(admission);
    // The error answer of a failed attempt; it is delivered if no other attempt follows.
    let mut failed_answer = None;
    let mut is_passed_on = false;
    while let Some(admission) = next_admission.take() {
        let late_or_gone =
            select(Box::pin(cx.drain.too_late(&cx.clock, &call)), Box::pin(caller.closed()));
        let next = match select(Box::pin(admission.next()), late_or_gone).await {
            Either::Left((directive, _)) => directive,
            Either::Right((Either::Right(_), _)) => return Ended::CallerGone,
            Either::Right((Either::Left(_), _)) => {
                return end_too_late(cx, &call, is_passed_on, failed_answer);
            }
        };
        match next {
            Some(Directive::Dispatch { target, version, attempt }) => {
                cx.metrics.attempts.get_or_create(&service_labels(&call)).inc();
                debug!(
                    cx.log, "request placed";
                    "request" => &call.request_id, "target" => %target, "version" => %version, "attempt" => attempt,
                    "waited_ms" => cx.clock.now().since(received).as_millis() as u64
                );
                is_passed_on = true;
                match attempt::run(cx, &call, admission, (&target, &version), caller).await {
                    AttemptEnd::Answered(res) => return Ended::Answered(res),
                    AttemptEnd::Final(problem) => return Ended::Refused(problem),
                    AttemptEnd::CallerGone => return Ended::CallerGone,
                    AttemptEnd::Next(admission) => next_admission = Some(admission),
                    AttemptEnd::Failed(admission, res) => {
                        next_admission = Some(admission);
                        failed_answer = Some(res);
                    }
                }
            }
            // These refer to an attempt that has already ended.
            Some(Directive::Yield | Directive::Cancel) => next_admission = Some(admission),
            Some(directive) => {
                if let Directive::OverRate(it) = &directive {
                    refusal::log_over_rate(cx, &call.request_id, &call.account, it);
                }
                let problem = finish_refused(admission, &directive);
                return match failed_answer {
                    Some(res) => Ended::Answered(res),
                    None => Ended::Refused(problem),
                };
            }
            None => break,
        }
    }
    Ended::Refused(daemon_stopped())
}

/// Ends a waiting request for which a drain leaves too little time.
fn end_too_late(
    cx: &Shared,
    call: &Call,
    is_passed_on: bool,
    failed_answer: Option<Box<TargetAnswer>>,
) -> Ended {
    info!(
        cx.log, "waiting request ended by the drain";
        "request" => &call.request_id, "passed_on" => is_passed_on, "has_failed_answer" => failed_answer.is_some()
    );
    match (failed_answer, cx.drain.refusal(call, cx.clock.now())) {
        (Some(res), _) => Ended::Answered(res),
        (None, Some(problem)) if !is_passed_on => Ended::Refused(problem),
        (None, _) => Ended::Refused(Problem::new(
            ProblemKind::TargetFailed,
            Execution::Unknown,
            "the instance shuts down before another attempt could be answered",
        )),
    }
}

/// Ends a request that the control thread refused and returns the answer for its caller.
pub(crate) fn finish_refused(admission: Admission, directive: &Directive) -> Problem {
    match directive {
        Directive::Refuse(refusal) => {
            admission.refused();
            refusal::from_dispatcher(refusal)
        }
        Directive::OverRate(over_rate) => {
            admission.refused();
            refusal::over_rate(over_rate)
        }
        Directive::Dispatch { .. } | Directive::Yield | Directive::Cancel => daemon_stopped(),
    }
}

/// Returns the metric labels of a call.
pub(crate) fn service_labels(call: &Call) -> ServiceLabels {
    let class = match call.class {
        policy::dispatch::Class::Online => ClassLabel::Online,
        policy::dispatch::Class::Batch => ClassLabel::Batch,
    };
    ServiceLabels { service: call.service.to_string(), class }
}

fn daemon_stopped() -> Problem {
    Problem::new(
        ProblemKind::Internal,
        Execution::Unknown,
        "the daemon stopped while the request was open",
    )
}
