//! The monotonic timestamp, passed as an argument to code that makes decisions.

use std::{
    ops::{Add, AddAssign},
    time::Duration,
};

/// Microseconds since an arbitrary start; monotonic within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the process clock.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from microseconds since the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}
