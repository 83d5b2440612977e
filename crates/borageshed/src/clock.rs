//! The process clock, the only place where the daemon reads time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stdx::Timestamp;

/// A clock that starts at zero when the process starts.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the monotonic time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }
}

/// Returns the time since the machine started, which goes on while the machine is suspended, unlike [`Clock::now`].
pub fn since_boot() -> Timestamp {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Timestamp::ZERO + Duration::from(time),
        // The system call takes any clock that this kernel has, and every one has this.
        Err(_) => Timestamp::ZERO,
    }
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
