//! Checks the minimum rate at which a caller sends or reads.

use std::time::Duration;

/// Measures the rate over the time that was spent waiting for a caller.
#[derive(Debug)]
pub(crate) struct Pace {
    /// Time that the caller may take beyond what the minimum rate allows.
    grace: Duration,
    /// Zero for no minimum.
    min_bytes_per_s: u32,
    waited: Duration,
    bytes: u64,
}

impl Pace {
    pub(crate) fn new(grace: Duration, min_bytes_per_s: u32) -> Self {
        Self { grace, min_bytes_per_s, waited: Duration::ZERO, bytes: 0 }
    }

    pub(crate) fn progress(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    pub(crate) fn wait(&mut self, time: Duration) {
        self.waited += time;
    }

    pub(crate) fn is_too_slow(&self) -> bool {
        let rate = f64::from(self.min_bytes_per_s);
        rate > 0.0
            && self.waited.as_secs_f64() > self.grace.as_secs_f64() + self.bytes as f64 / rate
    }
}
