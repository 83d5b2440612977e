//! How fast targets stream, compared with the others of their service.
//!
//! The load that this answers: some targets run slower than the others for seconds, and say nothing about it. Their requests hold
//! slots for longer, so that the same number of requests in flight means a longer wait there, and the pauses between events grow.

use std::time::Duration;

use stdx::Timestamp;

use super::service::Service;

/// How long a measurement counts at least; at most it counts twice as long.
const SPAN: Duration = Duration::from_millis(500);
/// A target is slow whose events come this much further apart than on the median of its service. More requests at a time make
/// a target slower as well, but by much less.
const SLOW_RATIO: f64 = 2.5;
/// With fewer targets measured, the median says too little.
const MIN_MEASURED: usize = 4;
/// How long a slow target is left out after the last measurement that showed it.
const REST: Duration = Duration::from_secs(2);

/// The time between events of one target, as far as it was measured lately.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// The least of the present and of the last span. Whoever measures may be slow itself, so a target is as fast as it was
    /// found by anybody.
    least: [Option<Duration>; 2],
    since: Timestamp,
    /// What this instance measured last.
    own: Option<(Timestamp, Duration)>,
    /// Until then the target is taken for slow.
    slow_until: Timestamp,
    /// Whether the target was slow when it was measured last.
    on_trial: bool,
}

impl Pace {
    /// Takes over a measurement of this instance.
    pub fn measure(&mut self, now: Timestamp, gap: Duration) {
        self.own = Some((now, gap));
        self.note(now, gap);
    }

    /// Takes over a measurement of this instance or of a peer.
    pub fn note(&mut self, now: Timestamp, gap: Duration) {
        self.turn(now);
        self.least[0] = Some(self.least[0].map_or(gap, |it| it.min(gap)));
    }

    /// Lets old measurements go.
    pub fn turn(&mut self, now: Timestamp) {
        if now.since(self.since) >= SPAN {
            let is_recent = now.since(self.since) < 2 * SPAN;
            self.least = [None, self.least[0].filter(|_| is_recent)];
            self.since = now;
        }
    }

    /// Returns the time between events, if it was measured lately.
    pub fn gap(&self) -> Option<Duration> {
        self.least.into_iter().flatten().min()
    }

    /// Judges the target by the gap above which it is slow.
    pub fn judge(&mut self, now: Timestamp, slow_above: Option<Duration>) {
        let (Some(limit), Some(gap)) = (slow_above, self.gap()) else { return };
        self.on_trial = gap > limit;
        self.slow_until = if self.on_trial { now + REST } else { Timestamp::ZERO };
    }

    /// Returns whether requests should go elsewhere. A target that was slow and rested is tried with one request at a time.
    pub fn is_slow(&self, now: Timestamp, in_flight: u32) -> bool {
        now < self.slow_until || (self.on_trial && in_flight > 0)
    }

    /// Returns what this instance measured lately, for peers.
    pub fn own_gap(&self, now: Timestamp) -> Option<Duration> {
        self.own.filter(|(at, _)| now.since(*at) < SPAN).map(|(_, gap)| gap)
    }
}

/// Returns the gap above which a target of the service is slow; `None` if too few are measured. At most half of the measured
/// targets are above it.
pub(super) fn slow_above(service: &Service) -> Option<Duration> {
    let serving = service.targets.values().filter(|it| it.takes_work());
    let mut gaps: Vec<Duration> = serving.filter_map(|it| it.pace.gap()).collect();
    if gaps.len() < MIN_MEASURED {
        return None;
    }
    let middle = gaps.len() / 2;
    let (_, median, _) = gaps.select_nth_unstable(middle);
    Some(median.mul_f64(SLOW_RATIO))
}
