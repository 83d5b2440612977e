//! The deadlines of a job on the monotonic clock of the daemon that runs it.
//!
//! Wall clocks differ between instances and jump, so no decision may depend on comparing wall-clock times of two instances. A
//! daemon that is notified of a job right after its acceptance counts from then. A daemon that finds the job in a listing uses
//! the wall clock only to estimate the job's age for the order of items, where an error of seconds merely makes the order
//! worse. It gives up items no earlier than if the job had just been accepted.

use std::time::Duration;

use stdx::{Timestamp, value_type};

use crate::model::JobRecord;

value_type! {
    /// When and how a daemon discovered a job.
    #[derive(Copy)]
    pub struct Discovery {
        /// When the daemon discovered the job.
        pub at: Timestamp,
        /// Whether the job had just been accepted at that time.
        pub is_fresh: bool,
    }
}

value_type! {
    /// The deadlines of a job.
    #[derive(Copy)]
    pub struct JobTimes {
        /// When all results are due; not in the future for a late job.
        pub due_at: Timestamp,
        /// When unfinished items may be failed.
        pub give_up_at: Timestamp,
    }
}

impl JobTimes {
    /// Computes the deadlines of a job; `unix_ms` is the wall-clock time of this instance.
    pub fn of(record: &JobRecord, discovery: Discovery, now: Timestamp, unix_ms: u64) -> Self {
        let known_for = now.since(discovery.at);
        let age = match discovery.is_fresh {
            true => known_for,
            false => {
                Duration::from_millis(unix_ms.saturating_sub(record.received_ms)).max(known_for)
            }
        };
        Self {
            due_at: now + Duration::from_millis(record.due_after_ms).saturating_sub(age),
            give_up_at: discovery.at + Duration::from_millis(record.give_up_after_ms),
        }
    }
}
