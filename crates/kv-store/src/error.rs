//! The errors of the crate.

use std::time::Duration;

use thiserror::Error as ThisError;

/// Why a call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The request was not sent, so it has no effect.
    #[error("the key-value service is unreachable: {0}")]
    Unreachable(String),
    /// The request was sent and no valid answer came; a write may have taken effect.
    #[error("the answer of the key-value service was lost: {0}")]
    AnswerLost(String),
    /// The call would exceed the budget and was not sent.
    #[error("the call budget is used up; the next call is free in {retry_after:?}")]
    OverBudget {
        /// When the next call fits the budget.
        retry_after: Duration,
    },
    /// The lease is gone, so nothing was written.
    #[error("the lease is gone")]
    LeaseGone,
    /// The changes since the revision that was asked for are no longer kept.
    #[error("the history is compacted")]
    Compacted,
    /// The value exceeds what the service takes.
    #[error("a value of {size} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// The size of the value, in bytes.
        size: usize,
        /// The largest value, in bytes.
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
