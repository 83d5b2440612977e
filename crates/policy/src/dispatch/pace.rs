//! How fast targets stream, compared with the others of their service.
//!
//! The load that this answers: some targets run slower than the others for seconds, and say nothing about it. Their requests hold
//! slots for longer, so that the same number of requests in flight means a longer wait there, and the pauses between events grow.

use std::time::Duration;

use stdx::Timestamp;

use super::service::Service;

/// How long a measurement counts at least; at most it counts twice as long.
const WINDOW: Duration = Duration::from_millis(500);
/// A target is slow whose events come this much further apart than on the median of its service. More requests at a time make
/// a target slower as well, but by much less.
const SLOW_RATIO: f64 = 2.5;
/// With fewer targets measured, the median says too little.
const MIN_MEASURED: usize = 4;
/// How long a slow target is left out after the last measurement that showed it.
const SLOW_PERIOD: Duration = Duration::from_secs(2);

/// The time between events of one target, as far as it was measured lately.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// The least of the present and of the last span. Whoever measures may be slow itself, so a target is as fast as it was
    /// found by anybody.
    min_gaps: [Option<Duration>; 2],
    window_start: Timestamp,
    /// What this instance measured last.
    own: Option<(Timestamp, Duration)>,
    /// Until then the target is taken for slow.
    slow_until: Timestamp,
    /// Whether the target was slow when it was measured last.
    was_slow: bool,
}

impl Pace {
    /// Takes over a measurement of this instance.
    pub fn record_own(&mut self, now: Timestamp, gap: Duration) {
        self.own = Some((now, gap));
        self.record(now, gap);
    }

    /// Takes over a measurement of this instance or of a peer.
    pub fn record(&mut self, now: Timestamp, gap: Duration) {
        self.expire(now);
        self.min_gaps[0] = Some(self.min_gaps[0].map_or(gap, |it| it.min(gap)));
    }

    /// Lets old measurements go.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.window_start) >= WINDOW {
            let is_recent = now.since(self.window_start) < 2 * WINDOW;
            self.min_gaps = [None, self.min_gaps[0].filter(|_| is_recent)];
            self.window_start = now;
        }
    }

    /// Returns the time between events, if it was measured lately.
    pub fn gap(&self) -> Option<Duration> {
        self.min_gaps.into_iter().flatten().min()
    }

    /// Judges the target by the gap above which it is slow.
    pub fn update_slow(&mut self, now: Timestamp, slow_threshold: Option<Duration>) {
        let (Some(threshold), Some(gap)) = (slow_threshold, self.gap()) else { return };
        self.was_slow = gap > threshold;
        self.slow_until = if self.was_slow { now + SLOW_PERIOD } else { Timestamp::ZERO };
    }

    /// Returns whether requests should go elsewhere. A target that was slow and rested is tried with one request at a time.
    pub fn is_slow(&self, now: Timestamp, in_flight: u32) -> bool {
        now < self.slow_until || (self.was_slow && in_flight > 0)
    }

    /// Returns what this instance measured lately, for peers.
    pub fn own_gap(&self, now: Timestamp) -> Option<Duration> {
        self.own.filter(|(at, _)| now.since(*at) < WINDOW).map(|(_, gap)| gap)
    }
}

/// Returns the gap above which a target of the service is slow; `None` if too few are measured. At most half of the measured
/// targets are above it.
pub(super) fn slow_threshold(service: &Service) -> Option<Duration> {
    let serving = service.targets.values().filter(|it| it.takes_work());
    let mut gaps: Vec<Duration> = serving.filter_map(|it| it.pace.gap()).collect();
    if gaps.len() < MIN_MEASURED {
        return None;
    }
    let middle = gaps.len() / 2;
    let (_, median, _) = gaps.select_nth_unstable(middle);
    Some(median.mul_f64(SLOW_RATIO))
}
