//! Online decisions, free of I/O, threads and the wall clock.
//!
//! - [`auth`]: maps a caller's key to its account.
//! - [`confirmed_versions`]: which version each target had in lists that are known to have been current.
//! - [`dispatch`]: queues, routing, target health, retries and poison requests.
//! - [`paths`]: by which path requests go to their targets.
//! - [`rate`]: the shares and loans that keep an account within its rate and burst over all instances.
//! - [`slots`]: which instance holds which share of every account's rate.
//! - [`versions`]: the software versions of targets, and which of them began a caller's stream.

pub mod auth;
pub mod confirmed_versions;
pub mod dispatch;
pub mod paths;
pub mod rate;
pub mod slots;
pub mod versions;
