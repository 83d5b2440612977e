//! The process clock, the only place where the daemon reads time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stdx::Timestamp;

/// A clock that starts at zero when the process starts. It goes on while the machine is suspended, so that what was valid for
/// a time before, such as a lease or a loan, is not taken for valid after.
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
    // The system call fails only for clocks that the kernel lacks, and every one has this.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Returns the seconds since 1970 by the wall clock, which only appears in answers and deadlines of jobs.
pub fn unix_seconds() -> u64 {
    since_epoch().as_secs()
}

/// Returns the milliseconds since 1970 by the wall clock, used as the incarnation of a process.
pub fn unix_millis() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
