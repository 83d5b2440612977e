//! The retry budget, which limits retries to a share of first attempts.

use std::{collections::VecDeque, time::Duration};

use stdx::Timestamp;

/// Counts first attempts and retries over a sliding window, in steps of a tenth of the window.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    steps: VecDeque<StepCounts>,
}

#[derive(Debug)]
struct StepCounts {
    step: u64,
    first_attempts: u64,
    retries: u64,
}

/// How many retries are allowed.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetryLimit {
    /// Retries as a share of first attempts.
    pub ratio: f64,
    /// The retries within the window that are allowed in addition.
    pub floor: u32,
    pub window: Duration,
}

const STEPS: u64 = 10;

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_first(&mut self, window: Duration, now: Timestamp) {
        self.current_step(window, now).first_attempts += 1;
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn try_retry(&mut self, limit: RetryLimit, now: Timestamp) -> bool {
        self.current_step(limit.window, now);
        let first: u64 = self.steps.iter().map(|it| it.first_attempts).sum();
        let retries: u64 = self.steps.iter().map(|it| it.retries).sum();
        let allowed = limit.ratio * first as f64 + f64::from(limit.floor);
        if (retries + 1) as f64 > allowed {
            return false;
        }
        self.current_step(limit.window, now).retries += 1;
        true
    }

    fn current_step(&mut self, window: Duration, now: Timestamp) -> &mut StepCounts {
        let step_micros = (window.as_micros() as u64 / STEPS).max(1);
        let step = now.as_micros() / step_micros;
        while self.steps.front().is_some_and(|it| it.step + STEPS <= step) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|it| it.step < step) {
            self.steps.push_back(StepCounts { step, first_attempts: 0, retries: 0 });
        }
        self.steps.back_mut().expect("a step was pushed if there was none")
    }
}
