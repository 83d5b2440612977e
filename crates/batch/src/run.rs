//! Dispatches of items, their outcomes, and the limits of a runner.

use std::time::Duration;

use stdx::{Name, record_type, value_type};

use crate::store::Value;

/// The number of failed attempts after which an item ends as failed.
pub const MAX_ATTEMPTS: u32 = 3;
/// The minimum time between two commits of a segment.
pub const MIN_COMMIT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of finished items that makes a commit due.
///
/// At 2,200 items/s, segments of 256 items with one claim and 4 commits of two writes each cause about 80 writes/s.
pub const COMMIT_ITEM_THRESHOLD: usize = 64;
/// The age of the oldest uncommitted result that makes a commit due.
///
/// If an instance is lost, at most the results of this period are lost with it, and their items run again.
pub const MAX_UNCOMMITTED_AGE: Duration = Duration::from_secs(30);
/// The maximum size of the uncommitted results of a segment, with room reserved for the longest result of each running
/// item.
///
/// With 8 open segments, a daemon stays within half of the 128 MB that it may use for control.
pub const MAX_HELD_BYTES: usize = 8 * 1024 * 1024;
/// The maximum number of non-idempotent items that one commit records as started.
///
/// After a crash the recorded items end as unknown even if they were not dispatched, so the number is small.
pub const MAX_STARTS_PER_COMMIT: usize = 16;
/// The delay after a failed attempt of an item, multiplied by the number of its failed attempts.
pub(crate) const ATTEMPT_RETRY_DELAY: Duration = Duration::from_secs(1);

value_type! {
    /// One dispatch of an item.
    #[derive(Copy)]
    pub struct RunId {
        /// The index of the item in the segment.
        pub item: u32,
        /// The number of the dispatch within the segment; outcomes of earlier dispatches of the item are ignored.
        pub run: u32,
    }
}

record_type! {
    /// An item to be dispatched now.
    pub struct ItemRun {
        /// The dispatch.
        pub id: RunId,
        /// The caller's identifier of the request.
        pub custom_id: Name,
        /// The HTTP method.
        pub method: Name,
        /// The path.
        pub url: Name,
        /// The request body.
        pub body: Value,
    }
}

record_type! {
    /// The outcome of a dispatch.
    pub enum ItemOutcome {
        /// The target answered; the answer is the result.
        Done {
            /// The HTTP status.
            status: u16,
            /// The body.
            body: Value,
        },
        /// The target rejected the request permanently; its answer goes to the error file.
        Rejected {
            /// The HTTP status.
            status: u16,
            /// The body.
            body: Value,
        },
        /// The item failed permanently, for example because it is a poison request.
        Failed {
            /// The reason.
            reason: Name,
        },
        /// The attempt failed: the target answered with a retryable error, or the request had no effect.
        AttemptFailed {
            /// The reason.
            reason: Name,
        },
        /// The request was sent and its answer was lost.
        Lost {
            /// The reason.
            reason: Name,
        },
        /// The item was preempted by an online request. Items of non-idempotent routes must not be preempted.
        Yielded,
        /// No byte of the request was sent.
        NotRun,
    }
}
