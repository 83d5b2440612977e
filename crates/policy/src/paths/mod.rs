//! By which path requests go to their targets: over a direct connection, or through another daemon whose links are sound.
//!
//! - [`links`]: which direct links of this instance to targets are lost, and when they are checked again.
//! - [`helpers`]: through which other daemon a request goes.

pub mod helpers;
pub mod links;

pub use helpers::{Candidate, HelperTable};
pub use links::{LinkFault, LinkTable, Path};
