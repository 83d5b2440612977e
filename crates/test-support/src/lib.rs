//! Stand-ins for the systems around the daemon and tools to run them, for tests and examples; not shipped.
//!
//! - [`deployment`]: a complete deployment as separate processes.
//! - [`engine`]: a model engine with continuous batching.
//! - [`fake_store`]: an in-process store with a clock that the test advances.
//! - [`http`]: a small HTTP client.
//! - [`link`]: a TCP relay that can close, delay or silence connections.
//! - [`plain`]: a plain service that counts executions.
//! - [`kv`], [`platform`]: the platform's key-value service, from the crate `platform_stand_in`.
//! - [`processes`]: starts, pauses and stops processes.
//! - [`wait`]: polls a condition until it holds.

pub mod deployment;
pub mod engine;
pub mod fake_store;
pub mod http;
pub mod link;
pub mod plain;
pub mod processes;
pub mod wait;

pub use platform_stand_in::{kv, operator, server as platform, target};
