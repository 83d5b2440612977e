//! One claimed segment and its running items.

use std::collections::HashMap;

use batch::{RunId, SegmentRunner};
use fleet::QualifiedName;
use futures::future::AbortHandle;
use stdx::Timestamp;

/// A claimed segment.
pub struct ClaimedSegment {
    /// The state machine that runs the segment.
    pub runner: SegmentRunner,
    /// The incarnation under which the segment was claimed.
    pub incarnation: u64,
    /// The running items.
    pub items: HashMap<RunId, AbortHandle>,
    /// The service of the last item, which the next one most likely uses as well.
    pub service: Option<QualifiedName>,
    /// No item starts before this time, because one was refused without having run.
    pub paused_until: Timestamp,
    /// The approximate number of items that are not started yet.
    pub unstarted: usize,
    /// Whether the last attempt to start an item found none.
    pub is_exhausted: bool,
}

impl ClaimedSegment {
    /// Creates the state of a segment that was just claimed.
    pub fn new(runner: SegmentRunner, incarnation: u64) -> Self {
        let counts = runner.counts();
        Self {
            unstarted: (counts.total - counts.ended()) as usize,
            runner,
            incarnation,
            items: HashMap::new(),
            service: None,
            paused_until: Timestamp::ZERO,
            is_exhausted: false,
        }
    }

    /// Aborts the running items that the runner has cancelled.
    pub fn stop_cancelled(&mut self) {
        for id in self.runner.take_cancelled() {
            if let Some(item) = self.items.remove(&id) {
                item.abort();
            }
        }
    }

    /// Returns the number of items that can still be started here.
    pub fn backlog(&self) -> usize {
        if self.is_exhausted { 0 } else { self.unstarted }
    }
}

impl Drop for ClaimedSegment {
    fn drop(&mut self) {
        self.items.values().for_each(AbortHandle::abort);
    }
}
