//! Actions on the key-value service, their outcomes, time, and the retry delays that the state machines share.

use std::{sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use stdx::{Timestamp, record_type, value_type};

use crate::key::{Key, Span};

/// The key-value service rejects values of 1 MB or more; all writers stay well below this limit.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The delay after the first call that failed or whose outcome is unknown; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest delay between retries; it bounds the calls per state machine in an outage and the delay after it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A value of the key-value service: JSON, or JSON lines.
pub type Value = Arc<str>;

value_type! {
    /// The current time on both clocks that the state machines use.
    #[derive(Copy)]
    pub struct Now {
        /// The monotonic clock of the process, for intervals and retries.
        pub mono: Timestamp,
        /// The wall clock in milliseconds since the Unix epoch, for deadlines that instances share.
        pub unix_ms: u64,
    }
}

value_type! {
    /// The mod revision of a key.
    #[derive(Copy)]
    pub struct Revision(pub u64);
}

record_type! {
    /// A key with its value and mod revision.
    pub struct Entry {
        /// The key.
        pub key: Key,
        /// The value.
        pub value: Value,
        /// The mod revision.
        pub revision: Revision,
    }
}

record_type! {
    /// One call to the key-value service.
    pub enum StoreAction {
        /// Reads a key; the outcome is `Found` with at most one entry.
        Get {
            /// The key.
            key: Key,
        },
        /// Reads a range in key order.
        Range {
            /// The range.
            span: Span,
            /// The maximum number of entries to return.
            limit: u32,
        },
        /// Writes a key if it does not exist.
        Create {
            /// The key.
            key: Key,
            /// The value.
            value: Value,
        },
        /// Replaces the value of a key if its mod revision is `expected`.
        CompareAndSwap {
            /// The key.
            key: Key,
            /// The mod revision that was last read.
            expected: Revision,
            /// The new value.
            value: Value,
        },
        /// Removes a key; removing an absent key is not an error.
        Delete {
            /// The key.
            key: Key,
        },
    }
}

record_type! {
    /// The outcome of a call.
    pub enum StoreOutcome {
        /// The write took effect.
        Won {
            /// The new mod revision of the key.
            revision: Revision,
        },
        /// The write had no effect because its condition did not hold.
        Lost {
            /// The current entry of the key; `None` if it is absent.
            current: Option<Entry>,
        },
        /// The result of a read.
        Found {
            /// The entries in key order.
            entries: Vec<Entry>,
            /// Whether the range has entries beyond the limit.
            more: bool,
        },
        /// The write may have taken effect, or may still do so.
        Unknown,
        /// The call had no effect and will have none.
        Unavailable,
    }
}

impl StoreOutcome {
    /// Returns whether the call must be repeated to learn its result.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::Unknown | Self::Unavailable)
    }
}

/// Tracks the outstanding call of a state machine and its exponential retry delay.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetryState {
    outstanding: bool,
    failures: u32,
    retry_at: Timestamp,
}

impl RetryState {
    pub(crate) fn is_due(&self, now: Now) -> bool {
        !self.outstanding && now.mono >= self.retry_at
    }

    pub(crate) fn is_outstanding(&self) -> bool {
        self.outstanding
    }

    pub(crate) fn mark_sent(&mut self) {
        assert!(!self.outstanding, "a state machine has at most one call outstanding");
        self.outstanding = true;
    }

    /// Records an outcome and returns whether it is final; otherwise the same call is due again after a delay.
    pub(crate) fn record_outcome(&mut self, now: Now, outcome: &StoreOutcome) -> bool {
        assert!(self.outstanding, "no call is outstanding");
        self.outstanding = false;
        if outcome.is_retryable() {
            let delay = MIN_RETRY_DELAY * 2_u32.pow(self.failures.min(8));
            self.retry_at = now.mono + delay.min(MAX_RETRY_DELAY);
            self.failures += 1;
            return false;
        }
        self.failures = 0;
        self.retry_at = now.mono;
        true
    }
}

/// Encodes a record as JSON. Encoding the record types of this crate cannot fail.
pub(crate) fn encode<T: Serialize>(record: &T) -> Value {
    let text = serde_json::to_string(record).expect("a record encodes as JSON");
    assert!(
        text.len() < MAX_VALUE_BYTES,
        "a record exceeds the value limit of the key-value service"
    );
    Value::from(text)
}

/// Decodes a record; returns `None` if this version cannot read the value.
pub(crate) fn decode<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}
