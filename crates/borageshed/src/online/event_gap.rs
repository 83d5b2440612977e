//! Measures the time between the events of a stream.

use std::time::Duration;

use stdx::Timestamp;

/// The shortest time over which the mean is taken, so that a stream causes few reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Measures the mean time between the events of one stream since the last report.
#[derive(Debug, Default)]
pub struct EventGapMeter {
    /// The time of the last report and the number of events that had arrived by then.
    since: Option<(Timestamp, u64)>,
}

impl EventGapMeter {
    /// Records the total number of events so far; returns the mean time between two events if a report is due.
    pub fn record(&mut self, now: Timestamp, events: u64) -> Option<Duration> {
        // The time before the first event is not a gap between two events.
        let Some((since, before)) = self.since else {
            self.since = (events > 0).then_some((now, events));
            return None;
        };
        let (time, count) = (now.since(since), events.saturating_sub(before));
        if time < REPORT_INTERVAL || count == 0 {
            return None;
        }
        self.since = Some((now, events));
        Some(time / u32::try_from(count).unwrap_or(u32::MAX))
    }
}
