//! Determines the order in which items run.
//!
//! The order is designed for overload: after a burst of jobs, or while online requests occupy most slots, there are more items
//! than the targets can finish in time. With earliest-deadline-first alone, every item would then finish just after its
//! deadline. Items that can still meet their deadline therefore run first, among them those already started, since they free
//! their slot soonest. Items that are already late use the remaining slots.
//!
//! While there is slack, items leave a larger share of each target free for online requests, which arrive in unpredictable
//! bursts. [`RunTimeEstimator::has_slack`] returns whether items can afford that.

use std::time::Duration;

use stdx::{Timestamp, record_type, value_type};

/// The weight of the newest item in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The run time per token that is assumed until the first item has finished.
const INITIAL_SECONDS_PER_TOKEN: f64 = 0.003;

/// The ratio of elapsed time to run time of a started item, because online requests preempt it now and then.
const INTERRUPTION_FACTOR: f64 = 1.5;

/// There is slack while items would meet their deadlines even if everything took this many times as long; the margin covers
/// failures of targets and other workers.
const SLACK_FACTOR: f64 = 2.0;

record_type! {
    /// A waiting item.
    #[derive(Copy)]
    pub struct Candidate {
        /// The deadline of the job.
        pub due_at: Timestamp,
        /// The number of prompt tokens plus the maximum number of answer tokens.
        pub tokens: u64,
        /// The number of answer events received so far.
        pub events: u64,
    }
}

value_type! {
    /// The scheduling rank of a waiting item; the lowest runs first.
    #[derive(Copy)]
    pub struct Rank {
        class: RankClass,
        /// The deadline since the start of the clock; for late items, the remaining run time.
        time: Duration,
    }
}

value_type! {
    #[derive(Copy)]
    enum RankClass {
        /// Already started, and can meet its deadline.
        Started,
        /// Can meet its deadline.
        InTime,
        /// Cannot meet its deadline.
        Late,
    }
}

/// Estimates the run time of items from that of finished ones.
#[derive(Debug, Clone)]
pub struct RunTimeEstimator {
    seconds_per_token: f64,
    events_per_token: f64,
}

impl Default for RunTimeEstimator {
    fn default() -> Self {
        Self { seconds_per_token: INITIAL_SECONDS_PER_TOKEN, events_per_token: 0.0 }
    }
}

impl RunTimeEstimator {
    /// Records a finished item; `ran_for` is its run time without pauses.
    pub fn record(&mut self, tokens: u64, events: u64, ran_for: Duration) {
        let tokens = tokens.max(1) as f64;
        let blend = |old: f64, new: f64| old + SMOOTHING_FACTOR * (new - old);
        self.seconds_per_token = blend(self.seconds_per_token, ran_for.as_secs_f64() / tokens);
        self.events_per_token = match self.events_per_token {
            0.0 => events as f64 / tokens,
            old => blend(old, events as f64 / tokens),
        };
    }

    /// Estimates the remaining run time of an item.
    pub fn remaining(&self, item: &Candidate) -> Duration {
        let whole = self.seconds_per_token * item.tokens as f64;
        let expected = self.events_per_token * item.tokens as f64;
        let done = if expected > 0.0 { (item.events as f64 / expected).min(0.95) } else { 0.0 };
        Duration::from_secs_f64(whole * (1.0 - done))
    }

    /// Returns whether all items would end well before their deadlines if they ran in the order of these, `slots` at a time.
    pub fn has_slack(
        &self,
        items_by_due: impl IntoIterator<Item = Candidate>,
        slots: usize,
        now: Timestamp,
    ) -> bool {
        let mut work = Duration::ZERO;
        items_by_due.into_iter().all(|item| {
            let remaining = self.remaining(&item).mul_f64(INTERRUPTION_FACTOR);
            work += remaining;
            let end = (work / slots.max(1) as u32 + remaining).mul_f64(SLACK_FACTOR);
            now + truncate_to_millis(end) <= item.due_at
        })
    }

    /// Returns the scheduling rank of a waiting item.
    pub fn rank(&self, item: &Candidate, now: Timestamp) -> Rank {
        let remaining = truncate_to_millis(self.remaining(item).mul_f64(INTERRUPTION_FACTOR));
        let class = match (now + remaining <= item.due_at, item.events > 0) {
            (true, true) => RankClass::Started,
            (true, false) => RankClass::InTime,
            (false, _) => RankClass::Late,
        };
        let time =
            if class == RankClass::Late { remaining } else { item.due_at.since(Timestamp::ZERO) };
        Rank { class, time }
    }
}

/// Discards the sub-millisecond rounding errors of floating-point estimates.
fn truncate_to_millis(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}
