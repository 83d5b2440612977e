//! The errors of the crate.

use std::time::Duration;

use thiserror::Error as ThisError;

/// Why a call returned no result.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The request was not sent, so it has no effect.
    #[error("the key-value service is unreachable: {0}")]
    Unreachable(String),
    /// The request was sent but no valid answer was received; a write may have taken effect.
    #[error("the answer of the key-value service was lost: {0}")]
    AnswerLost(String),
    /// The call would exceed the budget and was not sent.
    #[error("the call budget is used up; the next call is free in {retry_after:?}")]
    OverBudget {
        /// The time until the next call fits the budget.
        retry_after: Duration,
    },
    /// The lease has ended, so nothing was written.
    #[error("the lease is gone")]
    LeaseGone,
    /// The changes since the requested revision are no longer available.
    #[error("the history is compacted")]
    Compacted,
    /// The value exceeds the limit of the service.
    #[error("a value of {size} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// The size of the value, in bytes.
        size: usize,
        /// The maximum size of a value, in bytes.
        limit: usize,
    },
    /// The service refused the call, so it has no effect.
    #[error("the key-value service refused the call with status {status}")]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
    /// An answer or a stored value has an unexpected form.
    #[error("unexpected data from the key-value service: {0}")]
    Protocol(String),
}

/// A result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
