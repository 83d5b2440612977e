//! How fast targets stream events, compared with the other targets of their service.
//!
//! Some targets become slower than the others for seconds without reporting it. Their requests hold slots for longer, so
//! that the same number of requests in flight means a longer wait there, and the time between events grows.

use std::time::Duration;

use stdx::Timestamp;

/// The length of a window of measurements. A measurement counts for at least one window and at most two.
const WINDOW: Duration = Duration::from_millis(500);
/// A target is slow if the time between its events is more than this multiple of the median of its service. More concurrent
/// requests make a target slower as well, but by much less.
const SLOW_RATIO: f64 = 2.5;
/// The least number of measured targets; with fewer, the median is not meaningful.
const MIN_MEASURED: usize = 4;
/// How long a target counts as slow after the last measurement that showed it to be.
const SLOW_PERIOD: Duration = Duration::from_secs(2);

/// The recent measurements of the time between events of one target.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// The shortest times between events in the current and in the previous window. An instance that is slow itself measures
    /// too long a time, so the shortest one that any instance measured counts.
    min_gaps: [Option<Duration>; 2],
    window_start: Timestamp,
    /// The last measurement of this instance.
    own: Option<(Timestamp, Duration)>,
    /// The target counts as slow until then.
    slow_until: Timestamp,
    /// Whether the target was slow by the last measurement.
    was_slow: bool,
    /// The time between events at the last update of `was_slow`.
    updated_for: Option<Duration>,
}

impl Pace {
    /// Records a measurement of this instance.
    pub fn record_own(&mut self, now: Timestamp, gap: Duration) {
        self.own = Some((now, gap));
        self.record(now, gap);
    }

    /// Records a measurement of this instance or of a peer.
    pub fn record(&mut self, now: Timestamp, gap: Duration) {
        self.expire(now);
        self.min_gaps[0] = Some(self.min_gaps[0].map_or(gap, |it| it.min(gap)));
    }

    /// Starts a new window if the current one is over, and drops measurements from before the previous one.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.window_start) >= WINDOW {
            let is_recent = now.since(self.window_start) < 2 * WINDOW;
            self.min_gaps = [None, self.min_gaps[0].filter(|_| is_recent)];
            self.window_start = now;
        }
    }

    /// Returns the time between events, if it was measured recently.
    pub fn gap(&self) -> Option<Duration> {
        self.min_gaps.into_iter().flatten().min()
    }

    /// Updates whether the target is slow, given the gap above which it is.
    pub fn update_slow(&mut self, now: Timestamp, slow_threshold: Option<Duration>) {
        self.updated_for = self.gap();
        let (Some(threshold), Some(gap)) = (slow_threshold, self.updated_for) else { return };
        self.was_slow = gap > threshold;
        self.slow_until = if self.was_slow { now + SLOW_PERIOD } else { Timestamp::ZERO };
    }

    /// Returns whether [`Self::update_slow`] may change something at the next tick even if the threshold stays the same.
    pub fn is_update_due(&self) -> bool {
        let gap = self.gap();
        gap != self.updated_for || (self.was_slow && gap.is_some())
    }

    /// Returns when the current window ends.
    pub fn expires_at(&self) -> Option<Timestamp> {
        Some(self.window_start + WINDOW)
    }

    /// Returns whether requests should go to other targets. When [`SLOW_PERIOD`] has passed since a target was slow, it is
    /// tried with one request at a time.
    pub fn is_slow(&self, now: Timestamp, in_flight: u32) -> bool {
        now < self.slow_until || (self.was_slow && in_flight > 0)
    }

    /// Returns the last measurement of this instance if it is recent, for peers.
    pub fn own_gap(&self, now: Timestamp) -> Option<Duration> {
        self.own.filter(|(at, _)| now.since(*at) < WINDOW).map(|(_, gap)| gap)
    }
}

/// Returns the gap above which a target is slow, given those of the measured targets of its service that take work; `None` if there are
/// fewer than [`MIN_MEASURED`]. At most half of the measured targets are above it.
pub(super) fn slow_threshold(mut gaps: Vec<Duration>) -> Option<Duration> {
    if gaps.len() < MIN_MEASURED {
        return None;
    }
    let middle = gaps.len() / 2;
    let (_, median, _) = gaps.select_nth_unstable(middle);
    Some(median.mul_f64(SLOW_RATIO))
}
