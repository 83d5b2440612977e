//! Why a request to a target failed, over a direct connection or through another daemon.

use std::io;

use http_edge::client::{self, Failure, Progress};
use policy::dispatch::FailureCause;
use stdx::Name;
use thiserror::Error;

/// Why a request to a target, or its answer, failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TargetFailure {
    /// The direct connection failed.
    #[error(transparent)]
    Direct(#[from] Failure),
    /// The link of this daemon to the target was lost while the answer was awaited.
    #[error("the link to the target is lost")]
    LinkLost,
    /// The daemon that carried out the exchange reports a failure.
    #[error("through {peer}: {detail}")]
    ThroughPeer {
        /// That daemon.
        peer: Name,
        /// What it knows of the target.
        cause: FailureCause,
        /// Whether an answer without a length ended before its first byte.
        empty_body: bool,
        /// The failure in words.
        detail: String,
    },
    /// The daemon that carried out the exchange has failed.
    #[error("{peer} did not end the exchange: {detail}")]
    PeerLost {
        /// That daemon.
        peer: Name,
        /// How it failed, in words.
        detail: String,
    },
}

/// A request that failed before a valid answer head arrived.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{failure} ({progress:?})")]
pub struct SendError {
    /// Whether a byte of the request may have reached the target.
    pub progress: Progress,
    /// The reason.
    pub failure: TargetFailure,
}

impl TargetFailure {
    /// Extracts the reason from an error that reading the body of an answer returned.
    pub fn from_io(error: &io::Error) -> Option<Self> {
        if let Some(failure) = Failure::from_io(error) {
            return Some(Self::Direct(failure.clone()));
        }
        error.get_ref().and_then(|it| it.downcast_ref::<Self>()).cloned()
    }

    /// Returns whether no byte of an answer arrived in time.
    pub fn is_first_byte_timeout(&self) -> bool {
        *self == Self::Direct(Failure::FirstByteTimeout)
    }

    /// Returns whether an answer without a length ended before its first byte.
    pub fn is_empty_body(&self) -> bool {
        match self {
            Self::Direct(failure) => *failure == Failure::EmptyBody,
            Self::ThroughPeer { empty_body, .. } => *empty_body,
            Self::LinkLost | Self::PeerLost { .. } => false,
        }
    }

    pub(super) fn into_io(self) -> io::Error {
        let kind = match self {
            Self::LinkLost => io::ErrorKind::TimedOut,
            _ => io::ErrorKind::ConnectionAborted,
        };
        io::Error::new(kind, self)
    }
}

impl SendError {
    pub(super) fn not_sent(failure: impl Into<TargetFailure>) -> Self {
        Self { progress: Progress::NotSent, failure: failure.into() }
    }

    pub(super) fn sent(failure: impl Into<TargetFailure>) -> Self {
        Self { progress: Progress::Sent, failure: failure.into() }
    }
}

impl From<client::SendError> for SendError {
    fn from(error: client::SendError) -> Self {
        Self { progress: error.progress, failure: error.failure.into() }
    }
}
