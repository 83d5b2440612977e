//! A timer that measures the time since the last progress.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::task;

type Sleep = Pin<Box<dyn Future<Output = ()> + Send>>;

/// What a [`GapTimer`] reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GapEvent {
    /// The gap reached the warning threshold; reported once per gap.
    Warning(Duration),
    /// The gap reached the limit.
    Expired,
}

/// Reports a warning, and later an expiry, when there is no progress for the configured times.
///
/// Progress only stores the time, and the underlying timer is armed again when it fires. This avoids a timer
/// registration for every read.
pub(crate) struct GapTimer {
    warning: Option<Duration>,
    limit: Duration,
    last_progress: Instant,
    warned: bool,
    // The mutex makes the timer `Sync`, which a body reader must be; it is never contended.
    sleep: Mutex<Option<Sleep>>,
}

impl GapTimer {
    pub(crate) fn new(warning: Option<Duration>, limit: Duration) -> Self {
        Self {
            warning,
            limit,
            last_progress: Instant::now(),
            warned: false,
            sleep: Mutex::new(None),
        }
    }

    pub(crate) fn progress(&mut self) {
        self.last_progress = Instant::now();
        self.warned = false;
    }

    /// Records progress and replaces the limit of the following gap.
    pub(crate) fn restart(&mut self, limit: Duration) {
        self.progress();
        self.limit = limit;
        *self.sleep.get_mut().unwrap_or_else(PoisonError::into_inner) = None;
    }

    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<GapEvent> {
        loop {
            let gap = self.last_progress.elapsed();
            if gap >= self.limit {
                return Poll::Ready(GapEvent::Expired);
            }
            let next = match self.warning {
                Some(warning) if !self.warned && warning < self.limit => {
                    if gap >= warning {
                        self.warned = true;
                        return Poll::Ready(GapEvent::Warning(gap));
                    }
                    warning
                }
                _ => self.limit,
            };
            let pending_sleep = self.sleep.get_mut().unwrap_or_else(PoisonError::into_inner);
            let sleep = pending_sleep.get_or_insert_with(|| Box::pin(task::sleep(next - gap)));
            match sleep.as_mut().poll(cx) {
                Poll::Ready(()) => *pending_sleep = None,
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}
