//! Which item runs next.
//!
//! The load that this answers: more items than the targets can finish in time, after a burst of jobs or while online
//! requests take most of the slots. In the order of due times alone, every item would then be finished just after it is due.
//! Items that can still be in time go first, of those the ones that were begun, since they free their slot soonest; what is
//! late already uses what is left.
//!
//! While there is time, items are patient: they leave more of each target to online requests, whose bursts come without
//! notice. [`RunTimeEstimator::has_slack`] tells when that would make items late.

use std::time::Duration;

use stdx::{Timestamp, record_type, value_type};

/// The weight of the newest item in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The run time that is assumed before any item has finished, per token.
const INITIAL_SECONDS_PER_TOKEN: f64 = 0.003;

/// An item that was begun is stopped for online requests now and then, so it takes this much longer than it runs.
const INTERRUPTION_FACTOR: f64 = 1.5;

/// Items are patient while they would be in time if everything took this much longer: targets and other workers may fail.
const SLACK_FACTOR: f64 = 2.0;

record_type! {
    /// An item that waits.
    #[derive(Copy)]
    pub struct Candidate {
        /// When its job is due.
        pub due_at: Timestamp,
        /// The tokens of its prompt and the most tokens of its answer, together.
        pub tokens: u64,
        /// The events of its answer that have arrived.
        pub events: u64,
    }
}

value_type! {
    /// The place of an item among those that wait; the least goes first.
    #[derive(Copy)]
    pub struct Rank {
        class: RankClass,
        /// The due time since the start of the clock, or for late items the time that is left to run.
        time: Duration,
    }
}

value_type! {
    #[derive(Copy)]
    enum RankClass {
        /// Was begun and can be in time.
        Started,
        /// Can be in time.
        InTime,
        /// Cannot be in time.
        Late,
    }
}

/// What finished items say about the run time of others.
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
    /// Notes an item that finished after it had run for a time, pauses left out.
    pub fn record(&mut self, tokens: u64, events: u64, ran_for: Duration) {
        let tokens = tokens.max(1) as f64;
        let blend = |old: f64, new: f64| old + SMOOTHING_FACTOR * (new - old);
        self.seconds_per_token = blend(self.seconds_per_token, ran_for.as_secs_f64() / tokens);
        self.events_per_token = match self.events_per_token {
            0.0 => events as f64 / tokens,
            old => blend(old, events as f64 / tokens),
        };
    }

    /// Estimates how long an item has still to run.
    pub fn remaining(&self, item: &Candidate) -> Duration {
        let whole = self.seconds_per_token * item.tokens as f64;
        let expected = self.events_per_token * item.tokens as f64;
        let done = if expected > 0.0 { (item.events as f64 / expected).min(0.95) } else { 0.0 };
        Duration::from_secs_f64(whole * (1.0 - done))
    }

    /// Returns whether all items, in the order of their due times, would end well before those with `slots` of them running
    /// at a time.
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

    /// Returns the place of an item among those that wait.
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

/// Leaves out the fraction that the arithmetic of estimates brings with it.
fn truncate_to_millis(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}
