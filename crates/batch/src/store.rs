//! Actions on the key-value service, their outcomes, time, and the retry pace that the machines share.

use std::{sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use stdx::{Timestamp, record_type, value_type};

use crate::key::{Key, Span};

/// The service refuses values of 1 MB and more; all writers stay well below.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The first pause after a call that failed or whose outcome is unknown.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest pause between retries; it bounds the calls per machine in an outage and the delay after it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A value of the service; all values are JSON or lines of JSON.
pub type Value = Arc<str>;

value_type! {
    /// The time as a machine needs it.
    #[derive(Copy)]
    pub struct Now {
        /// The process clock, for pace and retries.
        pub mono: Timestamp,
        /// Milliseconds since the Unix epoch, for deadlines that instances share.
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
    /// One call of the service.
    pub enum StoreAction {
        /// Reads a key; the outcome is `Found` with no or one entry.
        Get {
            /// The key.
            key: Key,
        },
        /// Reads a range in key order.
        Range {
            /// The range.
            span: Span,
            /// The most entries to return.
            limit: u32,
        },
        /// Writes a key that must not exist.
        Create {
            /// The key.
            key: Key,
            /// The value.
            value: Value,
        },
        /// Replaces a key whose mod revision must be `expected`.
        CompareAndSwap {
            /// The key.
            key: Key,
            /// The mod revision that was last seen.
            expected: Revision,
            /// The new value.
            value: Value,
        },
        /// Removes a key; removing an absent key is no error.
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
        /// The write had no effect because its condition does not hold.
        Lost {
            /// What the key holds; `None` if it is absent.
            current: Option<Entry>,
        },
        /// The read's answer.
        Found {
            /// The entries in key order.
            entries: Vec<Entry>,
            /// Whether the limit cut the answer short.
            more: bool,
        },
        /// The write may or may not have taken effect, or may yet do so.
        Unknown,
        /// The call had no effect and will have none.
        Unavailable,
    }
}

impl StoreOutcome {
    /// Returns whether the call has to be repeated to learn anything.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::Unknown | Self::Unavailable)
    }
}

/// The retry pace of a machine with at most one call outstanding.
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
        assert!(!self.outstanding, "a machine has at most one call outstanding");
        self.outstanding = true;
    }

    /// Notes an outcome and returns whether it is final; otherwise the same call is due again after a pause.
    pub(crate) fn record_outcome(&mut self, now: Now, outcome: &StoreOutcome) -> bool {
        assert!(self.outstanding, "an outcome belongs to an outstanding call");
        self.outstanding = false;
        if outcome.is_retryable() {
            let pause = MIN_RETRY_DELAY * 2_u32.pow(self.failures.min(8));
            self.retry_at = now.mono + pause.min(MAX_RETRY_DELAY);
            self.failures += 1;
            return false;
        }
        self.failures = 0;
        self.retry_at = now.mono;
        true
    }
}

/// Encodes a record; the types of this crate always encode.
pub(crate) fn encode<T: Serialize>(record: &T) -> Value {
    let text = serde_json::to_string(record).expect("records hold only JSON types");
    assert!(text.len() < MAX_VALUE_BYTES, "values stay below the limit of the service");
    Value::from(text)
}

/// Decodes a record; `None` if the value was not written by this version.
pub(crate) fn decode<T: DeserializeOwned>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}
