//! The request rate of an account on this instance.

use std::time::Duration;

use stdx::Timestamp;

/// The time over which requests are averaged. With one second or more, tokens would stay reserved at an instance that
/// callers have left and be missing where they have moved to.
const AVERAGING_TIME_S: f64 = 0.5;

/// An exponentially weighted average of requests per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    per_s: f64,
    updated_at: Timestamp,
}

impl Demand {
    /// Counts one request.
    pub fn record(&mut self, now: Timestamp) {
        self.per_s = self.per_second(now) + 1.0 / AVERAGING_TIME_S;
        self.updated_at = now;
    }

    /// Returns the requests per second as of `now`.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.per_s * (-now.since(self.updated_at).as_secs_f64() / AVERAGING_TIME_S).exp()
    }

    /// Returns the number of requests expected in the next `time`.
    pub fn expected_over(&self, now: Timestamp, time: Duration) -> f64 {
        self.per_second(now) * time.as_secs_f64()
    }
}
