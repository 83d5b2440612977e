//! Which item runs next.
//!
//! The load that this answers: more items than the targets can finish in time, after a burst of jobs or while online
//! requests take most of the slots. In the order of due times alone, every item would then be finished just after it is due.
//! Items that can still be in time go first, of those the ones that were begun, since they free their slot soonest; what is
//! late already uses what is left.
//!
//! While there is time, items are patient: they leave more of each target to online requests, whose bursts come without
//! notice. [`RunTimes::has_time`] tells when that would make items late.

use std::time::Duration;

use stdx::{Timestamp, record_type, value_type};

/// The weight of the newest item in the moving averages.
const NEWEST: f64 = 0.1;

/// The run time that is assumed before any item has finished, per token.
const FIRST_SECONDS_PER_TOKEN: f64 = 0.003;

/// An item that was begun is stopped for online requests now and then, so it takes this much longer than it runs.
const INTERRUPTIONS: f64 = 1.5;

/// Items are patient while they would be in time if everything took this much longer: targets and other workers may fail.
const PATIENCE_MARGIN: f64 = 2.0;

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
    pub struct Place {
        class: PlaceClass,
        /// The due time since the start of the clock, or for late items the time that is left to run.
        within: Duration,
    }
}

value_type! {
    #[derive(Copy)]
    enum PlaceClass {
        /// Was begun and can be in time.
        Begun,
        /// Can be in time.
        InTime,
        /// Cannot be in time.
        Late,
    }
}

/// What finished items say about the run time of others.
#[derive(Debug, Clone)]
pub struct RunTimes {
    seconds_per_token: f64,
    events_per_token: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self { seconds_per_token: FIRST_SECONDS_PER_TOKEN, events_per_token: 0.0 }
    }
}

impl RunTimes {
    /// Notes an item that finished after it had run for a time, pauses left out.
    pub fn record(&mut self, tokens: u64, events: u64, ran_for: Duration) {
        let tokens = tokens.max(1) as f64;
        let mix = |old: f64, new: f64| old + NEWEST * (new - old);
        self.seconds_per_token = mix(self.seconds_per_token, ran_for.as_secs_f64() / tokens);
        self.events_per_token = match self.events_per_token {
            0.0 => events as f64 / tokens,
            old => mix(old, events as f64 / tokens),
        };
    }

    /// Estimates how long an item has still to run.
    pub fn left(&self, item: &Candidate) -> Duration {
        let whole = self.seconds_per_token * item.tokens as f64;
        let expected = self.events_per_token * item.tokens as f64;
        let done = if expected > 0.0 { (item.events as f64 / expected).min(0.95) } else { 0.0 };
        Duration::from_secs_f64(whole * (1.0 - done))
    }

    /// Returns whether all items, in the order of their due times, would end well before those with `slots` of them running
    /// at a time.
    pub fn has_time(
        &self,
        items_by_due: impl IntoIterator<Item = Candidate>,
        slots: usize,
        now: Timestamp,
    ) -> bool {
        let mut work = Duration::ZERO;
        items_by_due.into_iter().all(|item| {
            let left = self.left(&item).mul_f64(INTERRUPTIONS);
            work += left;
            let end = (work / slots.max(1) as u32 + left).mul_f64(PATIENCE_MARGIN);
            now + whole_millis(end) <= item.due_at
        })
    }

    /// Returns the place of an item among those that wait.
    pub fn place(&self, item: &Candidate, now: Timestamp) -> Place {
        let left = whole_millis(self.left(item).mul_f64(INTERRUPTIONS));
        let class = match (now + left <= item.due_at, item.events > 0) {
            (true, true) => PlaceClass::Begun,
            (true, false) => PlaceClass::InTime,
            (false, _) => PlaceClass::Late,
        };
        let within =
            if class == PlaceClass::Late { left } else { item.due_at.since(Timestamp::ZERO) };
        Place { class, within }
    }
}

/// Leaves out the fraction that the arithmetic of estimates brings with it.
fn whole_millis(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}
