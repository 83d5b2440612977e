//! The limit on control traffic.

use std::time::Duration;

use stdx::Timestamp;

/// The part of the daemon's 13 KB/s of control traffic that loans may use, unless the caller configures otherwise;
/// heartbeats and configuration use the rest.
pub const LOAN_BYTES_PER_S: f64 = 8_000.0;
/// How far answers may exceed the limit: an unanswered request makes the borrower wait in vain.
const ANSWER_RESERVE_BYTES: f64 = 4_000.0;

/// The time over which unused bytes accumulate. After a restart of all instances each caller's first request needs loans:
/// many times the usual traffic for a second or two.
const MAX_ACCUMULATION: Duration = Duration::from_secs(10);

/// A byte budget that refills over time.
#[derive(Debug)]
pub struct TrafficBudget {
    bytes_per_s: f64,
    bytes: f64,
    updated_at: Timestamp,
}

impl TrafficBudget {
    /// Creates a full budget with the default rate.
    pub fn new(now: Timestamp) -> Self {
        Self::with_rate(now, LOAN_BYTES_PER_S)
    }

    /// Creates a full budget that refills at `bytes_per_s`.
    pub fn with_rate(now: Timestamp, bytes_per_s: f64) -> Self {
        Self { bytes_per_s, bytes: bytes_per_s * MAX_ACCUMULATION.as_secs_f64(), updated_at: now }
    }

    /// Spends the bytes of a request; returns `false` if it must not be sent.
    pub fn try_take_request(&mut self, now: Timestamp, bytes: usize) -> bool {
        self.try_take(now, bytes, 0.0)
    }

    /// Spends the bytes of an answer; returns `false` if it must not be sent.
    pub fn try_take_answer(&mut self, now: Timestamp, bytes: usize) -> bool {
        self.try_take(now, bytes, -ANSWER_RESERVE_BYTES)
    }

    fn try_take(&mut self, now: Timestamp, bytes: usize, floor: f64) -> bool {
        let refilled = self.bytes + now.since(self.updated_at).as_secs_f64() * self.bytes_per_s;
        self.bytes = refilled.min(self.bytes_per_s * MAX_ACCUMULATION.as_secs_f64());
        self.updated_at = self.updated_at.max(now);
        let left = self.bytes - bytes as f64;
        let may_send = left >= floor;
        if may_send {
            self.bytes = left;
        }
        may_send
    }
}
