//! The arrivals of a phase, drawn before it starts.

use std::time::Duration;

use rand::Rng as _;

use super::settings::{Account, Load};

/// A request that is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// The time from the start of the phase.
    pub at: Duration,
    /// The number of the account in the settings.
    pub account: usize,
    /// The number of the stream in the account.
    pub stream: usize,
    /// Whether the request is after the warm-up.
    pub is_measured: bool,
}

/// The tokens of an account, as an ideal limiter would count them.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    at: f64,
}

/// Draws the arrivals of a phase in order of time. They depend on the settings alone, so that two runs with the same
/// seed get the same load whatever the answers are.
pub fn generate_arrivals(load: &Load) -> Vec<Arrival> {
    let mut rng = stdx::rng::seeded(load.seed);
    let mut arrivals = Vec::new();
    for (account, it) in load.accounts.iter().enumerate() {
        for (stream, it) in it.arrivals.iter().enumerate() {
            let peak = it.peak();
            let mut seconds = 0.0;
            loop {
                // Arrivals at the peak rate are thinned out to the rate of the moment.
                seconds += -(1.0 - rng.random::<f64>()).ln() / peak;
                if seconds >= load.duration_s {
                    break;
                }
                if rng.random::<f64>() * peak < it.rate_at(seconds) {
                    let at = Duration::from_secs_f64(seconds);
                    let is_measured = seconds >= load.warm_up_s;
                    arrivals.push(Arrival { at, account, stream, is_measured });
                }
            }
        }
    }
    arrivals.sort_by_key(|it| it.at);
    arrivals
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(account: &Account) -> Self {
        Self { rate_per_s: account.rate_per_s, burst: account.burst, level: account.burst, at: 0.0 }
    }

    /// Takes a token if there is one.
    pub fn try_take(&mut self, at: Duration) -> bool {
        let has_token = self.level_at(at) >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Takes a token even if there is none.
    pub fn charge(&mut self, at: Duration) {
        self.level = self.level_at(at) - 1.0;
    }

    fn level_at(&mut self, at: Duration) -> f64 {
        let now = at.as_secs_f64();
        self.level = (self.level + (now - self.at) * self.rate_per_s).min(self.burst);
        self.at = now;
        self.level
    }
}
