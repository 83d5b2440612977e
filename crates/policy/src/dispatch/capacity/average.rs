//! Averages whose measurements lose weight with age.

use std::time::Duration;

use stdx::Timestamp;

/// An average in which a measurement counts half as much after each half-life.
#[derive(Debug, Clone, Copy)]
pub(super) struct Average {
    half_life: Duration,
    /// The weight beyond which measurements do not add up, so that an average of many follows a change, too.
    max_weight: f64,
    value: f64,
    weight: f64,
    at: Timestamp,
}

impl Average {
    pub const fn new(half_life: Duration, max_weight: f64) -> Self {
        Self { half_life, max_weight, value: 0.0, weight: 0.0, at: Timestamp::ZERO }
    }

    /// Adds a measurement.
    pub fn record(&mut self, now: Timestamp, value: f64) {
        let weight = self.weight(now);
        self.value = (self.value * weight + value) / (weight + 1.0);
        self.weight = (weight + 1.0).min(self.max_weight);
        self.at = self.at.max(now);
    }

    /// Replaces the measurements by one of this weight.
    pub fn set(&mut self, now: Timestamp, value: f64, weight: f64) {
        (self.value, self.weight, self.at) = (value, weight, now);
    }

    /// Returns the weight of the measurements; 1 for a single one that has just been made.
    pub fn weight(&self, now: Timestamp) -> f64 {
        self.weight * 0.5_f64.powf(now.since(self.at).div_duration_f64(self.half_life))
    }

    /// Returns the average of the measurements and one of weight 1 with the value `prior`.
    pub fn with_prior(&self, now: Timestamp, prior: f64) -> f64 {
        let weight = self.weight(now);
        (self.value * weight + prior) / (weight + 1.0)
    }

    /// Returns the average of the measurements, however old; `default` if there are none.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.weight > 0.0 { self.value } else { default }
    }

    /// Returns the average of the measurements; `None` if they weigh less than `min_weight`.
    pub fn known(&self, now: Timestamp, min_weight: f64) -> Option<f64> {
        (self.weight(now) >= min_weight).then_some(self.value)
    }
}
