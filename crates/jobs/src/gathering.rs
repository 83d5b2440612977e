//! How long results wait for others to be stored with.
//!
//! A transaction costs one call of the key-value service, whatever number of results and jobs it stores. Callers get only stored
//! results, so a caller that waits for one bounds the wait, and so does the due time of the job.

use std::time::Duration;

use stdx::{Timestamp, value_type};

/// How long results wait if no caller waits for them. They are lost if the daemon crashes; their items then run again.
pub const UNREAD_DELAY: Duration = Duration::from_millis(400);
/// How long results wait if a caller waits for them; less than half of the time that a caller may wait.
pub const READER_DELAY: Duration = Duration::from_millis(200);
/// How long the last results of a job wait if a caller waits for them, or shortly before they are due.
pub const LAST_DELAY: Duration = Duration::from_millis(100);
/// How long before they are due results are no longer held back; their callers may ask for them only once a second.
const DUE_MARGIN: Duration = Duration::from_secs(2);

value_type! {
    /// The results of a job that are not stored.
    #[derive(Copy)]
    pub struct Unstored {
        /// When the oldest of them came.
        pub since: Timestamp,
        /// When all results of the job are due.
        pub due_at: Timestamp,
        /// Whether a caller waits for results of the job.
        pub has_reader: bool,
        /// Whether no other item of the job is left.
        pub is_complete: bool,
    }
}

impl Unstored {
    /// Returns when the results are stored, if no other job's results or outputs are stored before.
    pub fn store_at(&self) -> Timestamp {
        let delay = match (self.has_reader, self.is_complete) {
            (true, true) => LAST_DELAY,
            (true, false) | (false, true) => READER_DELAY,
            (false, false) => UNREAD_DELAY,
        };
        let is_late = self.due_at <= self.since;
        let is_urgent = !is_late && self.due_at <= self.since + delay + DUE_MARGIN;
        self.since + if is_urgent { LAST_DELAY } else { delay }
    }
}
