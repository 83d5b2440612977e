//! The load report, which lags behind the actual load.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// The load at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub(crate) struct Load {
    pub(crate) slots: usize,
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) cached_tokens: usize,
}

/// Recent loads, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    entries: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Maximum number of entries. Entries are otherwise removed only by reports, so without a limit the history would
    /// grow indefinitely if nobody asks for one.
    const MAX_ENTRIES: usize = 16 * 1024;

    pub(crate) fn record(&mut self, now: Instant, load: Load) {
        if self.entries.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        if self.entries.len() >= Self::MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((now, load));
    }

    /// Returns the load as it was `lag` ago, and removes older entries.
    pub(crate) fn report(&mut self, now: Instant, lag: Duration) -> Load {
        let old_enough = |(at, _): &(Instant, Load)| now.duration_since(*at) >= lag;
        while self.entries.get(1).is_some_and(old_enough) {
            self.entries.pop_front();
        }
        match self.entries.front() {
            Some(entry) if old_enough(entry) => entry.1,
            Some((_, load)) => Load { slots: load.slots, ..Load::default() },
            None => Load::default(),
        }
    }
}
