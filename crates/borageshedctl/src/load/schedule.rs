//! The arrivals of a phase, generated before it starts.

use std::time::Duration;

use rand::Rng as _;

use super::settings::{Account, Load};

/// A scheduled request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// The time at which it is due, from the start of the phase.
    pub at: Duration,
    /// The index of the account in the settings.
    pub account: usize,
    /// The index of the stream of arrivals in the account.
    pub stream: usize,
    /// Whether the request is due after the warm-up and therefore counts.
    pub is_measured: bool,
}

/// The token bucket of an account in an ideal limiter, used as the reference for the daemons' limiter.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    at: f64,
}

/// Generates the arrivals of a phase in order of time. They depend only on the settings, so that two runs with the same
/// seed send the same load, whatever the answers are.
pub fn generate_arrivals(load: &Load) -> Vec<Arrival> {
    let mut rng = stdx::rng::seeded(load.seed);
    let mut arrivals = Vec::new();
    for (account, it) in load.accounts.iter().enumerate() {
        for (stream, it) in it.arrivals.iter().enumerate() {
            let peak = it.peak();
            let mut seconds = 0.0;
            loop {
                // Thinning: arrivals are generated at the peak rate and kept with probability rate / peak.
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

    /// Takes a token if one is available and returns whether it did.
    pub fn try_take(&mut self, at: Duration) -> bool {
        let has_token = self.level_at(at) >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Takes a token even if none is available; the level may become negative.
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
