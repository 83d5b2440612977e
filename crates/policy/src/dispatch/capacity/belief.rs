//! What is believed of a target, for operators.

use std::time::Duration;

use stdx::{Timestamp, record_type};

/// The shortest interval between two reports of what is believed of a target.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// The factor by which the relative time must change to be reported.
const RELATIVE_TIME_CHANGE: f64 = 1.3;
/// By how much the number of requests that a target handles well must change to be reported.
const HANDLED_CHANGE: f64 = 2.0;

record_type! {
    /// What is believed of a target, and by which inputs.
    pub struct Belief {
        /// How long the target usually takes for its work, relative to the others of the service.
        pub relative_time: f64,
        /// The requests that it takes without getting slower.
        pub handled_well: f64,
        /// Whether its reports agree with what callers got.
        pub is_trusted: bool,
        /// The weight of the gaps measured, by this instance or peers; 1 for a single new one.
        pub gap_weight: f64,
        /// How slow its machine is now relative to its usual speed, as reported and measured.
        pub slowdown: f64,
        /// The age of its last report.
        pub report_age: Option<Duration>,
    }
}

/// The belief that was reported last.
#[derive(Debug, Default)]
pub(in super::super) struct Reported {
    last: Option<(Timestamp, Belief)>,
}

impl Reported {
    /// Returns whether a belief differs so much from the last reported one that it is to be reported.
    pub fn is_outdated(&self, now: Timestamp, belief: &Belief) -> bool {
        match &self.last {
            None => differs(&Belief::usual(belief), belief),
            Some((at, last)) => now.since(*at) >= REPORT_INTERVAL && differs(last, belief),
        }
    }

    /// Records that a belief is reported.
    pub fn record(&mut self, now: Timestamp, belief: Belief) {
        self.last = Some((now, belief));
    }
}

impl Belief {
    /// What is believed of a target at first.
    fn usual(belief: &Self) -> Self {
        Self { relative_time: 1.0, is_trusted: true, ..belief.clone() }
    }
}

fn differs(a: &Belief, b: &Belief) -> bool {
    let ratio = a.relative_time / b.relative_time;
    a.is_trusted != b.is_trusted
        || ratio.max(1.0 / ratio) >= RELATIVE_TIME_CHANGE
        || (a.handled_well - b.handled_well).abs() >= HANDLED_CHANGE
}
