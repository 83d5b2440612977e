//! Failures of an exchange with a target.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::framing::{BodyError, FramingError};

/// Whether a byte of the request may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No byte of the request was sent, so the target did not run it.
    NotSent,
    /// Some bytes may have been sent, so the target may have run the request.
    Sent,
}

/// Why an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Failure {
    /// The connection could not be opened.
    #[error("the connection could not be opened: {0}")]
    Connect(io::ErrorKind),
    /// The connection was not open in time.
    #[error("the connection was not open in time")]
    ConnectTimeout,
    /// The request can't be sent in this form.
    #[error("the request is not valid: {0}")]
    InvalidRequest(&'static str),
    /// The request body could not be read.
    #[error("the request body could not be read: {0}")]
    RequestBody(io::ErrorKind),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(io::ErrorKind),
    /// The target closed the connection before its answer.
    #[error("the target closed the connection before the end of an answer head")]
    ClosedBeforeAnswer,
    /// The owner closed the connection through its handle.
    #[error("the connection was closed by its owner")]
    ClosedByOwner,
    /// No byte of the answer arrived in time.
    #[error("no byte of the answer came in time")]
    FirstByteTimeout,
    /// The gap between two bytes was too long.
    #[error("the gap between two bytes was too long")]
    GapTimeout,
    /// The head of the answer is not valid.
    #[error("the head of the answer is not valid: {0}")]
    MalformedHead(&'static str),
    /// The framing headers of the answer are not valid.
    #[error("the answer is not valid: {0}")]
    Framing(#[from] FramingError),
    /// The body of the answer is not valid or not complete.
    #[error("the answer is not valid: {0}")]
    Body(#[from] BodyError),
    /// A success without a length ended before the first byte of its body.
    #[error("the target closed the connection before the first byte of an answer without a length")]
    EmptyBody,
    /// The answer carries the id of another request, or none.
    #[error("the answer carries the request id {found:?} and not {expected:?}")]
    RequestId {
        /// The id that was sent.
        expected: String,
        /// The id of the answer.
        found: Option<String>,
    },
}

impl Failure {
    /// Extracts the reason from an I/O error that reading the body of an answer returned.
    pub fn from_io(error: &io::Error) -> Option<&Self> {
        error.get_ref().and_then(|inner| inner.downcast_ref::<Self>())
    }

    pub(crate) fn into_io(self) -> io::Error {
        let kind = match self {
            Self::Io(kind) => kind,
            Self::GapTimeout | Self::FirstByteTimeout => io::ErrorKind::TimedOut,
            Self::ClosedByOwner => io::ErrorKind::ConnectionAborted,
            Self::EmptyBody | Self::Body(BodyError::Truncated) => io::ErrorKind::UnexpectedEof,
            _ => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, self)
    }
}

/// A request that failed before a valid answer head arrived.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("request to {addr} failed ({progress:?}): {failure}")]
pub struct SendError {
    /// The target.
    pub addr: SocketAddr,
    /// Whether a byte of the request may have been sent.
    pub progress: Progress,
    /// The reason.
    pub failure: Failure,
}

impl SendError {
    pub(crate) fn not_sent(addr: SocketAddr, failure: Failure) -> Self {
        Self { addr, progress: Progress::NotSent, failure }
    }
}
