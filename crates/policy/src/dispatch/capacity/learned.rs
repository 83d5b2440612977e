//! What is known of one target (the *knee* is the share of the slots beyond which each further request makes all slower): how fast it serves, how much is in flight there, and how well that predicted what callers got.

use std::time::Duration;

use stdx::Timestamp;

use super::{
    super::{event::TargetLoad, target::Counts},
    average::Average,
    belief::Belief,
    usual::Usual,
};

/// The half-life of the usual speed of a target, which depends on its machine and hardly changes.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(5);
const MAX_SPEED_WEIGHT: f64 = 8.0;
/// The half-life of the number of requests beyond which a target gets slower.
const KNEE_HALF_LIFE: Duration = Duration::from_secs(10);
const MAX_KNEE_WEIGHT: f64 = 12.0;
/// Requests that take this share of the slots or less are taken to make no target slower.
const MIN_KNEE: f64 = 0.25;
/// A gap that is longer than the usual one by less than this factor does not show that the target is beyond its knee.
const KNEE_TOLERANCE: f64 = 1.2;
/// The half-life of disturbances, such as those by other programs on the machine of a target.
const DISTURBANCE_HALF_LIFE: Duration = Duration::from_millis(300);
const MAX_DISTURBANCE_WEIGHT: f64 = 3.0;
/// The usual age of what is known of the requests of peers: they are reported every 250 ms, often through a relay.
const PEER_AGE: Duration = Duration::from_millis(300);
/// The half-life of the difference between what was expected of a target and what callers got.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(1);
const MAX_ERROR_WEIGHT: f64 = 3.0;
/// The part of that difference which the next request is expected to see, too. Most of it is due to requests that have ended.
const ERROR_WEIGHT: f64 = 0.3;
/// The weight of a time to the first event that is longer than the usual one of the target.
const WEIGHT_OF_LONGER: f64 = 0.1;
/// The half-life of evidence that a target reports something else than callers get.
const MISTRUST_HALF_LIFE: Duration = Duration::from_secs(30);
const MAX_MISTRUST_WEIGHT: f64 = 4.0;
/// An event that follows a report within this time belongs to the same answer.
const SAME_ANSWER: Duration = Duration::from_millis(5);
/// A request that came later than without others by this multiple of the usual time to a first event has waited for a slot, so
/// the target was full.
const MIN_WAIT_RATIO: f64 = 2.0;
/// The same, as a share of the time for which a request holds a slot. A target that is slow for a moment delays by less.
const MIN_WAIT_SHARE: f64 = 0.3;
/// How long a target may report to be full, while the known requests there are few, before it is tried.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);
/// The bounds of a relative speed. Beyond them, a measurement says nothing about the machine of the target.
const RELATIVE_TIME: std::ops::RangeInclusive<f64> = 0.2..=10.0;
/// How long a target is not asked for its load after it did not answer in time, so that requests do not wait for it in vain.
const SILENCE: Duration = Duration::from_secs(2);
/// The share of the known requests of peers, less one, that a target has at least, whatever it reports.
const MIN_OF_PEERS: f64 = 0.7;
/// The interval at which peers report; what a target said before that is old when it reaches them.
const PEER_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The weight of what a target reported to a peer, which is about [`PEER_AGE`] old.
const PEER_SLOWDOWN_WEIGHT: f64 = 0.5;
/// The bounds of the fourth figure of a report, 100 meaning as usual.
const SLOWDOWN: std::ops::RangeInclusive<u32> = 50..=1_000;
/// The longest time from a request to its answer for which the answer's report counts as new.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);
/// The time in which other instances react to the figures that this one has, too.
const REACTION_TIME: Duration = Duration::from_millis(150);
/// The variance of the number of requests on a target if all figures are new, as requests are on their way.
const MIN_DOUBT: f64 = 0.25;

/// What this instance knows of a target.
#[derive(Debug)]
pub(in super::super) struct Learned {
    /// The seconds between two events.
    gap: Average,
    /// The seconds between two events relative to `gap`, now.
    disturbance: Average,
    /// The share of the slots that the target takes without getting slower.
    knee: Average,
    /// The seconds to the first event if nothing waits.
    first: Average,
    /// The reported slowness of the machine relative to its usual one, now.
    slowdown: Average,
    /// The last slowness reported to this instance, in percent.
    own_slowdown: Option<(Timestamp, u32)>,
    /// The seconds by which first events came later than expected.
    error: Average,
    /// The share of requests that got something else than the report before them let expect.
    mistrust: Average,
    report: Option<Report>,
    /// Until then, the target is not asked for its load.
    unreadable_until: Timestamp,
    /// Since when its reports say that it is full and no request went there.
    full_since: Option<Timestamp>,
}

/// What a target reported last.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: Timestamp,
    /// The requests there.
    total: u32,
    /// Those that are not of this instance.
    others: u32,
}

/// What is to be expected of a target, depending on how many requests are there. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub(in super::super) struct Outlook {
    /// The requests of this instance.
    own: f64,
    /// The requests of other instances when the figures were current.
    others: f64,
    /// The share of these that has ended since.
    ended: f64,
    /// The requests that the target handles well.
    capacity: f64,
    /// For which a request holds a slot.
    service: f64,
    /// To the first event without a wait.
    first: f64,
    /// Between two events.
    gap: f64,
    /// By which first events came later than expected.
    error: f64,
}

/// What a caller would get if one more request went to a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in super::super) struct Expected {
    /// The seconds until a slot is free.
    pub wait: f64,
    /// The seconds to the first event, the wait included.
    pub first: f64,
    /// The seconds between two events.
    pub gap: f64,
    /// The seconds for which a request holds a slot.
    pub service: f64,
    /// The seconds to the first event without a wait.
    pub unloaded: f64,
    /// The requests that the target handles well.
    pub capacity: f64,
    /// The requests in flight, relative to those that the target handles well.
    pub occupancy: f64,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            gap: Average::new(SPEED_HALF_LIFE, MAX_SPEED_WEIGHT),
            disturbance: Average::new(DISTURBANCE_HALF_LIFE, MAX_DISTURBANCE_WEIGHT),
            knee: Average::new(KNEE_HALF_LIFE, MAX_KNEE_WEIGHT),
            first: Average::new(SPEED_HALF_LIFE, MAX_SPEED_WEIGHT),
            own_slowdown: None,
            slowdown: Average::new(DISTURBANCE_HALF_LIFE, 1.0),
            error: Average::new(ERROR_HALF_LIFE, MAX_ERROR_WEIGHT),
            mistrust: Average::new(MISTRUST_HALF_LIFE, MAX_MISTRUST_WEIGHT),
            report: None,
            unreadable_until: Timestamp::ZERO,
            full_since: None,
        }
    }
}

impl Learned {
    /// Records the time between two events that a peer measured.
    pub fn record_gap(&mut self, now: Timestamp, gap: Duration) {
        let gap = gap.as_secs_f64();
        if let Some(usual) = self.gap.known(now, 1.0) {
            self.disturbance.record(now, clamp(gap / usual));
        }
        self.gap.record(now, gap);
    }

    /// Records the time between two events that this instance measured, with these requests in flight.
    pub fn record_own_gap(
        &mut self,
        now: Timestamp,
        gap: Duration,
        slots: u32,
        own: Counts,
        peers: Counts,
    ) {
        let (others, _) = self.others(now, peers);
        let occupancy = (f64::from(own.total()) + others) / f64::from(slots.max(1));
        let knee = self.knee(now);
        if occupancy > MIN_KNEE
            && let Some(usual) = self.gap.known(now, 1.0)
        {
            // Beyond the knee, the same work is shared by more requests, so that each takes longer in proportion.
            let slowness = gap.as_secs_f64() / usual / self.slowdown.with_prior(now, 1.0);
            let shown = if slowness < KNEE_TOLERANCE { 1.0 } else { occupancy / slowness };
            if shown < occupancy || occupancy >= knee {
                self.knee.record(now, shown.clamp(MIN_KNEE, 1.0));
            }
        }
        self.record_gap(now, gap.div_f64((occupancy / knee).max(1.0)));
    }

    fn knee(&self, now: Timestamp) -> f64 {
        self.knee.with_prior(now, 1.0)
    }

    /// Records the time to the first event of a request of this instance, of which `expected` was expected at its dispatch.
    pub fn record_first(&mut self, now: Timestamp, time: Duration, expected: Expected) {
        let time = time.as_secs_f64();
        let error = time - expected.first;
        self.error.record(now, error);
        self.compare_with_report(now, time - expected.unloaded, &expected);
        // A longer time is mostly due to other requests, a shorter one to the target.
        let unloaded = self.first.known(now, 0.1).unwrap_or(time);
        let weight = if time < unloaded { 1.0 } else { WEIGHT_OF_LONGER };
        self.first.record(now, unloaded + weight * (time - unloaded));
    }

    /// Records what the target reported when it had `own` requests of this instance; it has `slots`.
    ///
    /// The report was made after `sent_at`, usually just before it arrived. After more than [`MAX_ANSWER_TIME`], this instance
    /// may have been stopped in between, so the report counts as made at `sent_at`.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        sent_at: Option<Timestamp>,
        load: &TargetLoad,
        (slots, own): (u32, u32),
    ) {
        let at = sent_at.filter(|_| is_old(now, sent_at)).unwrap_or(now);
        let total = load.in_flight();
        self.report = Some(Report { at, total, others: total.saturating_sub(own) });
        let is_full = total.saturating_sub(own) >= slots;
        self.full_since = is_full.then(|| self.full_since.unwrap_or(at));
        if let Some(slowdown) = load.slowdown {
            let slowdown = slowdown.clamp(*SLOWDOWN.start(), *SLOWDOWN.end());
            self.slowdown.set(at, f64::from(slowdown) / 100.0, 1.0);
            self.own_slowdown = Some((at, slowdown));
        }
    }

    /// Records what the target reported to peers, in percent, or 0 if nothing; only if this instance knows nothing newer.
    pub fn record_slowdown_of_peer(&mut self, now: Timestamp, slowdown: u32) {
        if slowdown > 0 && self.slowdown.weight(now) < PEER_SLOWDOWN_WEIGHT {
            let slowdown = slowdown.clamp(*SLOWDOWN.start(), *SLOWDOWN.end());
            self.slowdown.set(now, f64::from(slowdown) / 100.0, PEER_SLOWDOWN_WEIGHT);
        }
    }

    /// Returns what the target last reported to this instance, in percent, for peers; 0 if that was not just now.
    pub fn own_slowdown(&self, now: Timestamp) -> u32 {
        let recent = self.own_slowdown.filter(|(at, _)| now.since(*at) < PEER_REPORT_INTERVAL);
        recent.map_or(0, |it| it.1)
    }

    /// Compares the report in an answer with the time that its request waited at the target.
    fn compare_with_report(&mut self, now: Timestamp, wait: f64, expected: &Expected) {
        let Some(report) = self.report.filter(|it| now.since(it.at) < SAME_ANSWER) else { return };
        let (total, slots) = (f64::from(report.total), expected.capacity);
        let waited =
            wait > MIN_WAIT_RATIO * expected.unloaded && wait > MIN_WAIT_SHARE * expected.service;
        if waited || total >= 2.0 * slots {
            let agrees = if waited { total >= 0.5 * slots } else { false };
            self.mistrust.record(now, if agrees { 0.0 } else { 1.0 });
        }
    }

    /// Returns whether the reports of the target agree with what callers got.
    pub fn is_trusted(&self, now: Timestamp) -> bool {
        self.trust(now) > 0.5
    }

    /// Returns how far the reports of the target agree with what callers got, from 0 to 1.
    fn trust(&self, now: Timestamp) -> f64 {
        (1.5 - 2.0 * self.mistrust.with_prior(now, 0.0)).clamp(0.0, 1.0)
    }

    /// Returns whether to try the target: it has reported for a while that it is full, but the known requests there leave half
    /// of the slots.
    pub fn is_trial_due(&self, now: Timestamp, slots: u32, known: u32) -> bool {
        let waits_since = |it: Timestamp| now.since(it) >= TRIAL_INTERVAL;
        self.full_since.is_some_and(waits_since) && known <= slots / 2 && self.is_trusted(now)
    }

    /// Returns whether the last reports of the target say that it is full, so that it may have to be tried.
    pub fn reports_full(&self) -> bool {
        self.full_since.is_some()
    }

    /// Records that a request goes to the target.
    pub fn record_dispatch(&mut self, now: Timestamp) {
        self.full_since = self.full_since.map(|_| now);
    }

    /// Records that the target did not tell its load when it was asked.
    pub fn record_silence(&mut self, now: Timestamp) {
        self.unreadable_until = now + SILENCE;
    }

    /// Returns whether the target may be asked for its load.
    pub fn is_readable(&self, now: Timestamp) -> bool {
        now >= self.unreadable_until
    }

    /// Returns when the target last reported its load.
    pub fn reported_at(&self) -> Option<Timestamp> {
        self.report.map(|it| it.at)
    }

    /// Returns the seconds between two events and to the first one, as far as they are known.
    pub fn known(&self, now: Timestamp) -> (Option<f64>, Option<f64>) {
        (self.gap.known(now, 0.1), self.first.known(now, 0.1))
    }

    /// Returns what is to be expected of the target, which has `slots` and these requests in flight.
    pub fn outlook(
        &self,
        now: Timestamp,
        usual: &Usual,
        slots: u32,
        own: Counts,
        peers: Counts,
    ) -> Outlook {
        let speed = self.relative_time(now, usual);
        let (others, age) = self.others(now, peers);
        // The older the figures, the less a difference from the other targets says: requests end, and other instances, which
        // see the same figures, have sent theirs where there was room.
        let ended = 1.0 - (-age.div_duration_f64(REACTION_TIME)).exp();
        Outlook {
            own: f64::from(own.total()),
            others,
            ended,
            capacity: f64::from(slots.max(1)) * self.knee(now),
            service: usual.slot * speed,
            first: usual.first * speed,
            gap: usual.gap * speed,
            error: ERROR_WEIGHT * self.error.with_prior(now, 0.0),
        }
    }

    /// Returns what is believed of the target, which has `slots`.
    pub fn belief(&self, now: Timestamp, usual: &Usual, slots: u32) -> Belief {
        let relative_time = self.usual_time(now, usual);
        Belief {
            relative_time,
            handled_well: self.knee(now) * f64::from(slots),
            is_trusted: self.is_trusted(now),
            gap_weight: self.gap.weight(now),
            slowdown: self.relative_time(now, usual) / relative_time,
            report_age: self.report.map(|it| now.since(it.at)),
        }
    }

    /// Returns the time that the target usually takes for its work, relative to what is usual in the service.
    fn usual_time(&self, now: Timestamp, usual: &Usual) -> f64 {
        match (usual.gap > 0.0, usual.first > 0.0) {
            (true, _) => clamp(self.gap.with_prior(now, usual.gap) / usual.gap),
            (false, true) => clamp(self.first.with_prior(now, usual.first) / usual.first),
            (false, false) => 1.0,
        }
    }

    /// Returns the time that the target takes for its work now, relative to what is usual in the service.
    fn relative_time(&self, now: Timestamp, usual: &Usual) -> f64 {
        let speed = self.usual_time(now, usual);
        // What callers got counts at least as much as what the target reports.
        let (measured, reported) = (self.disturbance.weight(now), self.slowdown.weight(now));
        let reported = reported.min(1.0);
        let weight = measured + reported + 0.5;
        let sum = measured * self.disturbance.value_or(1.0)
            + reported * self.slowdown.value_or(1.0)
            + 0.5;
        clamp(speed * sum / weight)
    }

    /// Returns the requests of other instances by the newest figures and the age of these.
    fn others(&self, now: Timestamp, peers: Counts) -> (f64, Duration) {
        let by_peers = f64::from(peers.total());
        let Some(report) = self.report else { return (by_peers, PEER_AGE) };
        let age = now.since(report.at);
        let weight = PEER_AGE.div_duration_f64(PEER_AGE + age) * self.trust(now);
        let reported = f64::from(report.others).max(by_peers * MIN_OF_PEERS - 1.0);
        let others = weight * reported + (1.0 - weight) * by_peers;
        // Together, two figures say as much as one that is newer than both.
        let untrusted = (1.0 - weight) * (1.0 - self.trust(now));
        (others, age.mul_f64(weight) + PEER_AGE.mul_f64(untrusted))
    }
}

impl Outlook {
    /// Returns how many requests of other instances have begun since the figures were current, if as many begin as end.
    pub fn begun(&self) -> f64 {
        self.others * self.ended
    }

    /// Returns how many requests per second the target handles.
    pub fn rate(&self) -> f64 {
        self.capacity / self.service.max(0.001)
    }

    /// Returns what a caller gets if one more request goes to the target, of whose unknown requests `begun` are there.
    pub fn expect(&self, begun: f64) -> Expected {
        let in_flight = self.own + self.others * (1.0 - self.ended) + begun + 1.0;
        let doubt = (MIN_DOUBT + self.begun()).sqrt();
        let excess = softplus((in_flight - self.capacity) / doubt) * doubt;
        let wait = excess * self.service / self.capacity;
        // Measured times count as far as they differ from the expected ones, but an event never comes before a part of the
        // unloaded time has passed.
        let first = (self.first + wait + self.error).max(self.first * 0.5);
        Expected {
            wait,
            first,
            gap: self.gap * (in_flight / self.capacity).max(1.0),
            service: self.service,
            unloaded: self.first,
            capacity: self.capacity,
            occupancy: in_flight / self.capacity,
        }
    }
}

/// Returns whether a report in the answer to a request sent at `sent_at` may be old.
pub(in super::super) fn is_old(now: Timestamp, sent_at: Option<Timestamp>) -> bool {
    sent_at.is_some_and(|it| now.since(it) > MAX_ANSWER_TIME)
}

fn clamp(relative_time: f64) -> f64 {
    relative_time.clamp(*RELATIVE_TIME.start(), *RELATIVE_TIME.end())
}

/// Returns about `x` if it is large and about 0 if it is negative: the mean of what exceeds 0 if `x` is uncertain by about 1.
fn softplus(x: f64) -> f64 {
    if x > 30.0 { x } else { x.exp().ln_1p() }
}
