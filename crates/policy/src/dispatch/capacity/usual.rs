//! What is usual in a service: the medians over its targets.

use std::time::Duration;

use stdx::Timestamp;

use super::super::target::Target;

/// How often the medians are computed.
const INTERVAL: Duration = Duration::from_millis(100);

/// The times that are usual in a service, in seconds; 0 while unknown.
#[derive(Debug, Default)]
pub(in super::super) struct Usual {
    /// Between two events.
    pub gap: f64,
    /// To the first event.
    pub first: f64,
    /// For which a request holds its slot.
    pub slot: f64,
    computed_at: Option<Timestamp>,
    /// When a target last reported how slow its machine is.
    slowdown_at: Option<Timestamp>,
}

impl Usual {
    /// Computes the medians over the targets if it is time, and returns whether it was; a request holds its slot for `slot`.
    pub fn refresh<'a>(
        &mut self,
        now: Timestamp,
        slot: Duration,
        targets: impl Iterator<Item = &'a Target> + Clone,
    ) -> bool {
        if self.computed_at.is_some_and(|it| now.since(it) < INTERVAL) {
            return false;
        }
        self.computed_at = Some(now);
        self.slot = slot.as_secs_f64();
        let known = targets.map(|it| it.learned.known(now));
        // Without measurements, the last ones say more than none.
        self.gap = median(known.clone().filter_map(|it| it.0)).unwrap_or(self.gap);
        self.first = median(known.filter_map(|it| it.1)).unwrap_or(self.first);
        true
    }

    /// Records that a target reported how slow its machine is.
    pub fn record_slowdown(&mut self, now: Timestamp) {
        self.slowdown_at = Some(now);
    }

    /// Returns whether a target reported how slow its machine is in the last `period`.
    pub fn reports_slowdown(&self, now: Timestamp, period: Duration) -> bool {
        self.slowdown_at.is_some_and(|it| now.since(it) < period)
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
