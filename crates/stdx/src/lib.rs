//! Small helpers shared by all crates: derive macros, names, time, random numbers and a JSON reader with error positions.
//!
//! - [`derives`]: macros for common sets of derives.
//! - [`header_text`]: text that can be the value of an HTTP header.
//! - [`jsonc`]: reads JSON with comments and reports errors with file, line and column.
//! - [`name`]: the shared immutable string type.
//! - [`panics`]: contains panics, so that whoever waits for a task learns of its end.
//! - [`rng`]: the seeded random number generator.
//! - [`time`]: the monotonic timestamp, passed as an argument to code that makes decisions.

pub mod derives;
pub mod header_text;
pub mod jsonc;
pub mod name;
pub mod panics;
pub mod rng;
pub mod time;

#[cfg(test)]
mod tests;

pub use header_text::HeaderText;
pub use name::Name;
pub use rng::Rng;
pub use time::Timestamp;
