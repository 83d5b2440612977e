//! Measures how fast a stream comes.

use std::time::Duration;

use stdx::Timestamp;

/// Over how long the mean is taken, so that a stream costs few reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The events of one stream since the last report.
#[derive(Debug, Default)]
pub struct EventGapMeter {
    /// When the last report ended, and how many events had arrived then.
    since: Option<(Timestamp, u64)>,
}

impl EventGapMeter {
    /// Notes how many events have arrived in all; returns the mean time between two of them once in a while.
    pub fn record(&mut self, now: Timestamp, events: u64) -> Option<Duration> {
        // The time before the first event is no time between two.
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
