//! The process clock. The daemon reads the time through this module; only the rate limit of the log and the
//! confirmations of copied keys use `Instant`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stdx::Timestamp;

/// A clock that starts at zero when the process starts. It keeps running while the machine is suspended, so that
/// leases, loans and the like that expire during the suspension are not treated as valid afterwards.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    // The system call fails only for clocks that the kernel does not support, and every kernel supports this one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Returns the Unix time in seconds. The wall clock is used only in answers and for the deadlines of jobs.
pub fn unix_seconds() -> u64 {
    since_epoch().as_secs()
}

/// Returns the Unix time in milliseconds, which serves as the incarnation of a process.
pub fn unix_millis() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
