//! Failures of commands and their exit codes.

use std::{fmt::Display, io};

use config_store::ConfigStoreError;
use fleet::{revision::RevisionError, validate::ValidateError};
use stdx::{Name, jsonc::LocatedError};
use thiserror::Error;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Failure>;

/// The part of the help that lists the exit codes.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or not valid
  2  wrong usage
  3  conflict with another operator's change
  4  platform or daemon unreachable
  5  outcome unknown";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The input is not valid, or a service refused the call.
    #[error("{0}")]
    Refused(String),
    /// Arguments are missing or contradict each other.
    #[error("{0}")]
    Usage(String),
    /// Another operator changed the same section.
    #[error("conflict: {0}")]
    Conflict(String),
    /// The platform or a daemon cannot be reached; nothing has changed.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// Whether the change took effect is unknown.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl Failure {
    /// Returns the exit code that is documented in the help.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) => 4,
            Self::Unknown(_) => 5,
        }
    }

    /// Returns the stable name of the failure in JSON output.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::Usage(_) => "usage",
            Self::Conflict(_) => "conflict",
            Self::Unreachable(_) => "unreachable",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Creates a refusal from an I/O error on a file.
    pub fn file(file: impl Display, error: &io::Error) -> Self {
        Self::Refused(format!("{file}: {error}"))
    }
}

impl From<LocatedError> for Failure {
    fn from(error: LocatedError) -> Self {
        Self::Refused(redact(error).to_string())
    }
}

impl From<ValidateError> for Failure {
    fn from(error: ValidateError) -> Self {
        match error {
            ValidateError::Located(error) => error.into(),
            _ => Self::Refused(error.to_string()),
        }
    }
}

impl From<RevisionError> for Failure {
    fn from(error: RevisionError) -> Self {
        match error {
            RevisionError::Conflict { .. } => Self::Conflict(error.to_string()),
            RevisionError::Invalid(error) => error.into(),
            _ => Self::Refused(error.to_string()),
        }
    }
}

impl From<kv_store::Error> for Failure {
    fn from(error: kv_store::Error) -> Self {
        use kv_store::Error as E;
        match error {
            E::Unreachable(_) | E::AnswerLost(_) | E::OverBudget { .. } | E::Protocol(_) => {
                Self::Unreachable(error.to_string())
            }
            E::LeaseGone | E::Compacted | E::TooLarge { .. } | E::Refused { .. } => {
                Self::Refused(error.to_string())
            }
        }
    }
}

impl From<ConfigStoreError> for Failure {
    fn from(error: ConfigStoreError) -> Self {
        match error {
            ConfigStoreError::Platform(e) => e.into(),
            // The head is written after the chunks, so nothing is in force yet.
            ConfigStoreError::UnknownWrite { .. } => Self::Unreachable(error.to_string()),
            ConfigStoreError::DamagedHead { .. } | ConfigStoreError::MissingChunk { .. } => {
                Self::Refused(error.to_string())
            }
        }
    }
}

/// Paths whose values cannot be a key and may be quoted in errors.
const SHOWN_PATHS: [&str; 5] = [".targets", ".serves", ".versions", "failure_domains", "origins"];

/// Removes the string that an error quotes, unless its path shows that it cannot be a key. Operators sometimes write a
/// key in place of its hash, or under a misspelt name.
fn redact(error: LocatedError) -> LocatedError {
    if SHOWN_PATHS.iter().any(|it| error.path.contains(it)) {
        return error;
    }
    let value = match error.value.starts_with('"') {
        true => Name::new(""),
        false => error.value,
    };
    // `serde::de::Unexpected` formats these messages.
    let message = match (error.message.find("string \""), error.message.rfind("\", expected")) {
        (Some(start), Some(end)) if start < end => {
            let (before, after) = (&error.message[..start], &error.message[end + 1..]);
            Name::from(format!("{before}string{after}"))
        }
        _ => error.message,
    };
    LocatedError { value, message, ..error }
}
