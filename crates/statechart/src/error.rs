//! The errors in chart files.

use stdx::jsonc::LocatedError;
use thiserror::Error;

/// The result of loading a chart.
pub type Result<T> = std::result::Result<T, ChartError>;

/// An error in a chart file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChartError {
    /// The text is not valid JSON, or a field is missing, unknown or of the wrong type.
    #[error("{0}")]
    Syntax(LocatedError),
    /// A state is not in the closed set of states.
    #[error("{0}")]
    UnknownState(LocatedError),
    /// An event is not in the closed set of events.
    #[error("{0}")]
    UnknownEvent(LocatedError),
    /// An action is not in the closed set of actions.
    #[error("{0}")]
    UnknownAction(LocatedError),
    /// Two transitions leave the same state on the same event.
    #[error("{0}")]
    Ambiguous(LocatedError),
    /// A state of the closed set cannot be reached from the initial state.
    #[error("{0}")]
    Unreachable(LocatedError),
}
