//! Loads state charts from JSON with comments and interprets them.
//!
//! - [`chart`]: the chart, its file format and its validation.
//! - [`error`]: the errors in chart files.

pub mod chart;
pub mod error;

pub use chart::{Chart, ChartEnum, Step};
pub use error::{ChartError, Result};
