//! Runs one item through the same dispatcher as online requests.

use std::{io, time::Duration};

use async_std::{io::ReadExt as _, task};
use batch::{ItemOutcome, Value, output::MAX_LINE_BYTES};
use futures::future::{Either, select};
use http_edge::{client::Progress, status::Status};
use http_types::Response;
use policy::dispatch::{Execution, FailureCause, NotRunCause, Reason, Refusal};
use slog::debug;
use stdx::Name;

use super::queue_limits::WaitingGuard;
use crate::{
    control::{Admission, Directive},
    online::{Call, attempt, protocol},
    shared::Shared,
    target_paths::{SendError, TargetFailure, TargetRef},
};

/// How long a segment starts no further item after one was refused without having run.
pub const REFUSAL_DELAY: Duration = Duration::from_millis(500);

enum AttemptResult {
    /// The item has its outcome.
    Ended(ItemOutcome),
    /// The dispatcher decides on the next attempt.
    Next(Admission),
}

enum ExchangeResult {
    Complete(u16, Vec<u8>),
    TooLong,
    NotSent(SendError),
    Failed(FailureCause, String),
    Interrupted(Option<Directive>),
    TimedOut,
}

/// Runs an item to its outcome. Dropping the future stops the item at once.
pub async fn run(cx: &Shared, call: &Call, waiting: WaitingGuard) -> ItemOutcome {
    let queue = waiting.queue.clone();
    let mut waiting = Some(waiting);
    let Ok(mut admission) = cx.control.submit(call.dispatch_request(cx.clock.now()), None) else {
        return ItemOutcome::NotRun;
    };
    loop {
        match admission.next().await {
            Some(Directive::Dispatch { target, .. }) => {
                drop(waiting.take());
                cx.metrics.attempts.get_or_create(&crate::online::service_labels(call)).inc();
                match run_attempt(cx, call, admission, &target).await {
                    AttemptResult::Ended(outcome) => return outcome,
                    AttemptResult::Next(held) => admission = held,
                }
                waiting.get_or_insert_with(|| queue.enter());
            }
            // These apply to an attempt that has ended meanwhile.
            Some(Directive::Yield | Directive::Cancel) => {}
            Some(Directive::Refuse(refusal)) => {
                admission.refused();
                return refusal_outcome(&refusal);
            }
            Some(Directive::OverRate(_)) => {
                admission.refused();
                return ItemOutcome::NotRun;
            }
            None => return lost("the daemon stopped"),
        }
    }
}

async fn run_attempt(
    cx: &Shared,
    call: &Call,
    admission: Admission,
    target: &Name,
) -> AttemptResult {
    // A target without an address has been removed since the dispatch, so the request was not sent.
    let Some(address) = cx.directory.address(&call.service, target) else {
        admission.failed_before_send();
        return AttemptResult::Next(admission);
    };
    if !cx.evacuations.allows(cx, &call.service, target) {
        admission.not_run(NotRunCause::Evacuated);
        return AttemptResult::Next(admission);
    }
    let started = cx.clock.now();
    let exchange = async {
        let to = TargetRef { service: &call.service, target, address };
        match protocol::send(cx, call, to, None).await {
            Ok(res) => read_answer(res).await,
            Err(e) if e.progress == Progress::NotSent => ExchangeResult::NotSent(e),
            Err(e) => {
                if e.failure.is_first_byte_timeout() {
                    attempt::close_idle_connections(cx, call, address);
                }
                ExchangeResult::Failed(attempt::failure_cause(Some(&e.failure)), e.to_string())
            }
        }
    };
    // The connection is closed before an interruption is reported to the control thread.
    match race(&admission, call.timeout, exchange).await {
        ExchangeResult::Interrupted(directive) => {
            debug!(cx.log, "batch attempt interrupted"; "request" => &call.request_id, "directive" => ?directive);
            on_interruption(admission, directive)
        }
        ExchangeResult::TimedOut => {
            attempt::close_idle_connections(cx, call, address);
            admission.failed_after_send(FailureCause::BadAnswer);
            AttemptResult::Ended(lost("the target sent no complete answer in time"))
        }
        ExchangeResult::Complete(status, body) => {
            attempt::observe_request(cx, call, started);
            admission.completed(None);
            AttemptResult::Ended(answer_outcome(status, &body))
        }
        ExchangeResult::TooLong => {
            admission.completed(None);
            let reason = format!("the answer is longer than {MAX_LINE_BYTES} bytes");
            AttemptResult::Ended(ItemOutcome::Failed { reason: Name::from(reason) })
        }
        ExchangeResult::NotSent(e) => {
            debug!(cx.log, "batch attempt failed"; "request" => &call.request_id, "target" => %target, "error" => %e);
            admission.failed_before_send();
            AttemptResult::Next(admission)
        }
        ExchangeResult::Failed(cause, e) => {
            debug!(cx.log, "batch attempt got no complete answer"; "request" => &call.request_id, "target" => %target, "error" => e);
            admission.failed_after_send(cause);
            AttemptResult::Next(admission)
        }
    }
}

/// Runs an exchange unless a directive or the time limit ends it.
async fn race(
    admission: &Admission,
    limit: Duration,
    exchange: impl Future<Output = ExchangeResult>,
) -> ExchangeResult {
    let interrupt = select(Box::pin(admission.next()), Box::pin(task::sleep(limit)));
    match select(Box::pin(exchange), interrupt).await {
        Either::Left((result, _)) => result,
        Either::Right((Either::Left((directive, _)), _)) => ExchangeResult::Interrupted(directive),
        Either::Right((Either::Right(_), _)) => ExchangeResult::TimedOut,
    }
}

fn on_interruption(admission: Admission, directive: Option<Directive>) -> AttemptResult {
    match directive {
        Some(Directive::Yield) => {
            admission.yielded();
            AttemptResult::Next(admission)
        }
        // A refusal follows, because the item gets no further attempt.
        Some(Directive::Cancel | Directive::Dispatch { .. }) => AttemptResult::Next(admission),
        Some(Directive::Refuse(refusal)) => {
            admission.refused();
            AttemptResult::Ended(refusal_outcome(&refusal))
        }
        Some(Directive::OverRate(_)) | None => AttemptResult::Ended(lost("the daemon stopped")),
    }
}

/// Reads an answer completely, so that no part of an interrupted one is stored.
async fn read_answer(mut res: Response) -> ExchangeResult {
    let mut body = Vec::new();
    let mut buf = vec![0; 16 * 1024];
    loop {
        match res.read(&mut buf).await {
            Ok(0) => return ExchangeResult::Complete(Status::of(&res).code(), body),
            Ok(n) => body.extend_from_slice(&buf[..n]),
            Err(e) => return ExchangeResult::Failed(io_failure_cause(&e), e.to_string()),
        }
        if body.len() > MAX_LINE_BYTES {
            return ExchangeResult::TooLong;
        }
    }
}

fn io_failure_cause(error: &io::Error) -> FailureCause {
    attempt::failure_cause(TargetFailure::from_io(error).as_ref())
}

/// Returns the outcome that an answer of the target gives the item.
fn answer_outcome(status: u16, body: &[u8]) -> ItemOutcome {
    let text = Value::from(String::from_utf8_lossy(body));
    match status {
        200..300 => ItemOutcome::Done { status, body: text },
        429 | 503 if is_not_run(body) => ItemOutcome::NotRun,
        408 | 425 | 429 | 500.. => {
            let reason = Name::from(format!("the target answered with status {status}"));
            ItemOutcome::AttemptFailed { reason }
        }
        _ => ItemOutcome::Rejected { status, body: text },
    }
}

fn is_not_run(body: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Value>(body)
        .is_ok_and(|it| it["execution"].as_str() == Some("not_run"))
}

/// Returns the outcome that a refusal by the dispatcher gives the item.
fn refusal_outcome(refusal: &Refusal) -> ItemOutcome {
    match (refusal.reason, refusal.execution) {
        (Reason::Poison, _) => {
            ItemOutcome::Failed { reason: Name::new("targets died while they ran this request") }
        }
        (_, Execution::NotRun) => ItemOutcome::NotRun,
        _ => lost("the attempt failed and the answer was lost"),
    }
}

fn lost(reason: &str) -> ItemOutcome {
    ItemOutcome::Lost { reason: Name::new(reason) }
}
