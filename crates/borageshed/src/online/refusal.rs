//! Answers to requests that the daemon refuses.

use fleet::QualifiedName;
use http_edge::problem::{Execution, Problem, ProblemKind};
use policy::{
    dispatch::{self, Reason, Refusal},
    rate::Inputs,
};
use slog::info;

use crate::{
    control::{RateRefusal, handle::TooManyRequests},
    shared::Shared,
};

/// Returns the answer to a request that the dispatcher refused.
pub fn from_dispatcher(refusal: &Refusal) -> Problem {
    let (kind, detail) = match refusal.reason {
        Reason::QueueFull => {
            (ProblemKind::Overloaded, "the queue of the account or the service is full")
        }
        Reason::WaitTooLong => {
            (ProblemKind::Overloaded, "the request would wait longer than it may")
        }
        Reason::NoTarget => (ProblemKind::Overloaded, "no target of the service takes work"),
        Reason::Evacuated => (
            ProblemKind::Overloaded,
            "no target takes work, because failure domains are evacuated or it is not known yet which are",
        ),
        Reason::NoTargetOfVersion => (
            ProblemKind::Overloaded,
            "no target of the software version that began the answer is left",
        ),
        Reason::Poison => (ProblemKind::PoisonRequest, "targets died while they ran this request"),
        Reason::PoisonPart => (
            ProblemKind::Overloaded,
            "targets crashed while they ran requests with a part of the prompt",
        ),
        Reason::KeyWithdrawn => (ProblemKind::Unauthenticated, "the key was withdrawn"),
        Reason::RetryBudget => {
            (ProblemKind::TargetFailed, "the attempt failed and the retry budget is spent")
        }
        Reason::TargetFailed => {
            (ProblemKind::TargetFailed, "the attempt failed and the request must not be sent again")
        }
    };
    Problem::new(kind, problem_execution(refusal.execution), detail)
        .with_retry_after(refusal.retry_after)
}

/// Returns the answer to a request of an account that is over its rate.
pub fn over_rate(refusal: &RateRefusal) -> Problem {
    Problem::new(ProblemKind::RateLimited, Execution::NotRun, "the account is over its rate")
        .with_retry_after(refusal.retry_after)
}

/// Logs the values on which the rate limiter refused a request.
pub fn log_over_rate(
    cx: &Shared,
    request_id: &str,
    account: &QualifiedName,
    refusal: &RateRefusal,
) {
    let Inputs { slots, level, borrowed, requested, lenders, late_lenders } = refusal.inputs;
    info!(
        cx.log, "request refused by the rate of its account";
        "request" => request_id, "account" => %account,
        "retry_after_ms" => refusal.retry_after.as_millis() as u64, "slots" => slots,
        "level" => level.as_f64(), "borrowed" => borrowed.as_f64(),
        "requested" => requested.as_f64(), "donors" => lenders, "late_donors" => late_lenders
    );
}

/// Returns the answer to a request that exceeds the daemon's limit of open requests.
pub fn too_many_requests(error: &TooManyRequests) -> Problem {
    Problem::new(ProblemKind::Overloaded, Execution::NotRun, error.to_string())
        .with_retry_after(std::time::Duration::from_secs(1))
}

fn problem_execution(execution: dispatch::Execution) -> Execution {
    match execution {
        dispatch::Execution::NotRun => Execution::NotRun,
        dispatch::Execution::Ran => Execution::Ran,
        dispatch::Execution::Unknown => Execution::Unknown,
    }
}
