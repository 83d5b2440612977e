//! When a job is due, by the steady clock of the daemon that runs it.
//!
//! The time of day differs between instances and jumps, so nothing is decided by comparing two readings of it. A daemon that
//! hears of a job right after its acceptance counts from there. One that finds the job in a listing takes its age from the time
//! of day for the order of items, which an error of seconds only makes worse, and gives items up no earlier than as if the
//! job had just been accepted.

use std::time::Duration;

use stdx::{Timestamp, value_type};

use crate::model::JobRecord;

value_type! {
    /// How a daemon has heard of a job.
    #[derive(Copy)]
    pub struct Discovery {
        /// When it did.
        pub at: Timestamp,
        /// Whether the job had just been accepted.
        pub is_fresh: bool,
    }
}

value_type! {
    /// When a job is due.
    #[derive(Copy)]
    pub struct JobTimes {
        /// When all results are due; now or earlier for a job that is late.
        pub due_at: Timestamp,
        /// When items may be given up.
        pub give_up_at: Timestamp,
    }
}

impl JobTimes {
    /// Reckons the times of a job; `unix_ms` is the time of day here.
    pub fn of(record: &JobRecord, seen: Discovery, now: Timestamp, unix_ms: u64) -> Self {
        let known_for = now.since(seen.at);
        let age = match seen.is_fresh {
            true => known_for,
            false => {
                Duration::from_millis(unix_ms.saturating_sub(record.received_ms)).max(known_for)
            }
        };
        Self {
            due_at: now + Duration::from_millis(record.due_after_ms).saturating_sub(age),
            give_up_at: seen.at + Duration::from_millis(record.give_up_after_ms),
        }
    }
}
