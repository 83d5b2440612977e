//! The end of a drain, before which every request of a caller gets an answer.
//!
//! Connections that are still open at the end of a drain are closed. A request is therefore passed on to a target only if its
//! answer can be expected before that; otherwise the caller is told at once that it has not run. A request that has been passed
//! on and has no answer shortly before the end gets one from the daemon.

use std::{sync::OnceLock, time::Duration};

use async_std::task;
use futures::future;
use http_edge::{
    problem::{Execution, Problem, ProblemKind},
    signal::Signal,
};
use stdx::Timestamp;

use crate::{
    clock::Clock,
    online::{Call, Resumption},
};

/// How long before the end of a drain the daemon answers requests that have no answer, so that the answers reach their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// The `Retry-After` of requests that a drain refuses: another instance can take them at once.
const RETRY_AFTER: Duration = Duration::from_millis(20);

/// The schedule of the drain of this daemon, if one has started.
#[derive(Debug, Default)]
pub struct DrainSchedule {
    started: Signal,
    answer_by: OnceLock<Timestamp>,
}

impl DrainSchedule {
    /// Records that a drain has started, which closes the connections of callers at `ends_at`.
    pub fn start(&self, ends_at: Timestamp) {
        let answer_by = ends_at.as_micros().saturating_sub(ANSWER_MARGIN.as_micros() as u64);
        // A daemon drains once.
        let _ = self.answer_by.set(Timestamp::from_micros(answer_by));
        self.started.set();
    }

    /// Returns why a request is refused at `now` instead of being passed on to a target; `None` if it may be passed on.
    pub fn refusal(&self, call: &Call, now: Timestamp) -> Option<Problem> {
        let answer_by = *self.answer_by.get()?;
        let is_late = now + time_to_answer(call, now) > answer_by;
        is_late.then(|| {
            let detail = "the instance shuts down before the request could be answered";
            Problem::new(ProblemKind::Draining, Execution::NotRun, detail)
                .with_retry_after(RETRY_AFTER)
        })
    }

    /// Waits until a drain leaves too little time to pass a waiting request on.
    pub async fn too_late(&self, clock: &Clock, call: &Call) {
        self.started.wait().await;
        loop {
            let now = clock.now();
            if self.refusal(call, now).is_some() {
                return;
            }
            let Some(answer_by) = self.answer_by.get() else { return future::pending().await };
            let left = answer_by.since(now + time_to_answer(call, now));
            task::sleep(left.max(Duration::from_millis(1))).await;
        }
    }

    /// Waits until requests that have been passed on must be answered.
    pub async fn answer_due(&self, clock: &Clock) {
        self.started.wait().await;
        let Some(answer_by) = self.answer_by.get() else { return future::pending().await };
        task::sleep(answer_by.since(clock.now())).await;
    }
}

/// Returns how long the answer to a request may take that is passed on now.
///
/// A request that may run once, and a stream, may take all of their time. For others, which the caller can repeat if they get an
/// error, the time counts within which callers expect an answer.
fn time_to_answer(call: &Call, now: Timestamp) -> Duration {
    let longest = call.time_left(now);
    let is_repeatable = call.idempotent && call.resumption == Resumption::Never;
    match call.objective {
        Some(objective) if is_repeatable => objective.min(longest),
        _ => longest,
    }
}
