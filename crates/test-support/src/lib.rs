//! Stand-ins for what surrounds the daemon, for tests and examples; never shipped.
//!
//! - [`deployment`]: a whole deployment as separate processes.
//! - [`engine`]: a model engine with continuous batching.
//! - [`fake_store`]: an in-process store with a clock that the test moves.
//! - [`http`]: a small HTTP client.
//! - [`link`]: a TCP relay that can cut or silence connections.
//! - [`plain`]: a plain service that counts executions.
//! - [`kv`], [`platform`]: the platform's key-value service.
//! - [`processes`]: starts, pauses and ends processes.
//! - [`wait`]: waits for what another process brings about.

pub mod deployment;
pub mod engine;
pub mod fake_store;
pub mod http;
pub mod link;
pub mod plain;
pub mod processes;
pub mod wait;

pub use platform_stand_in::{kv, operator, server as platform, target};
