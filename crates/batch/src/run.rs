//! Dispatches of items, their outcomes, and the bounds of a runner.

use std::time::Duration;

use stdx::{Name, record_type, value_type};

use crate::store::Value;

/// The most attempts of an item that fail before the item ends as failed.
pub const MAX_ATTEMPTS: u32 = 3;
/// The least time between two commits of a segment.
pub const MIN_COMMIT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of finished items that makes a commit due.
///
/// 2,200 items/s in segments of 256 items, each with a claim and 4 commits of two writes, make some 80 writes/s.
pub const COMMIT_ITEM_THRESHOLD: usize = 64;
/// The age of an uncommitted result that makes a commit due; a lost instance's segments run again what is younger.
pub const MAX_UNCOMMITTED_AGE: Duration = Duration::from_secs(30);
/// The bytes of results that a segment may hold, with room kept for the longest result of each running item.
///
/// 8 open segments per daemon stay within half of the 128 MB that a daemon may use for control.
pub const MAX_HELD_BYTES: usize = 8 * 1024 * 1024;
/// The number of non-idempotent items that one commit records as started.
///
/// A crash ends the recorded items as unknown even if they were not dispatched, so the number is kept small.
pub const MAX_STARTS_PER_COMMIT: usize = 16;
/// The pause after a failed attempt, multiplied by the number of failures.
pub(crate) const ATTEMPT_RETRY_DELAY: Duration = Duration::from_secs(1);

value_type! {
    /// One dispatch of an item.
    #[derive(Copy)]
    pub struct RunId {
        /// The item's index in the segment.
        pub item: u32,
        /// The dispatch number in the segment; outcomes of earlier dispatches are ignored.
        pub run: u32,
    }
}

record_type! {
    /// An item to be dispatched now.
    pub struct ItemRun {
        /// The dispatch.
        pub id: RunId,
        /// The caller's name of the request.
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
        /// The target's answer is the result.
        Done {
            /// The HTTP status.
            status: u16,
            /// The body.
            body: Value,
        },
        /// The target refused the request for good; its answer goes to the error file.
        Rejected {
            /// The HTTP status.
            status: u16,
            /// The body.
            body: Value,
        },
        /// The item can never be done, for instance because it is a poison request.
        Failed {
            /// Why.
            reason: Name,
        },
        /// The attempt failed; the target answered so, or the request ran without effect.
        AttemptFailed {
            /// Why.
            reason: Name,
        },
        /// The request was sent and its answer was lost.
        Lost {
            /// Why.
            reason: Name,
        },
        /// The item was cancelled for an online request. Items of non-idempotent routes must not be cancelled for that.
        Yielded,
        /// No byte of the request was sent.
        NotRun,
    }
}
