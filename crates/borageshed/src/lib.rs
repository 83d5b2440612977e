//! The daemon on each entry instance.
//!
//! - [`daemon`]: assembles the parts, runs them and drains.
//! - [`settings`], [`logging`], [`clock`], [`metrics`], [`status`]: what surrounds the work.
//! - [`summary`]: totals in the log from time to time.
//! - [`retirement`]: empties an instance that is taken away.
//! - [`shared`]: the context that every task gets.
//! - [`control`]: the control thread, which takes every decision about a request.
//! - [`effects`]: performs what the control thread asks for.
//! - [`batch_work`]: runs batch jobs.
//! - [`job_work`]: runs batch jobs whose items come with their submission.
//! - [`job_cache`]: what never changes about the jobs that callers asked for lately.
//! - [`api`]: the HTTP interface towards callers and operators.
//! - [`online`]: runs one request on targets.
//! - [`idempotency`]: one execution of non-idempotent requests with a key.
//! - [`in_force`], [`config_sync`]: the configuration in force and how it is kept up to date.
//! - [`operator`]: configuration and targets as the platform's operator declares them.
//! - [`directory`]: where the targets listen.
//! - [`leases`]: keeps leases of the key-value service alive.
//! - [`load_reports`]: the load that targets report.
//! - [`membership`], [`peers`], [`loans`], [`suspects`]: other daemons.
//! - [`silence`]: silent connections to targets.
//! - [`burn`]: counts of good and bad requests against the objective.
//! - [`answer`]: helpers for answers.

pub mod answer;
pub mod api;
pub mod batch_work;
pub mod burn;
pub mod clock;
pub mod config_sync;
pub mod control;
pub mod daemon;
pub mod directory;
pub mod effects;
pub mod idempotency;
pub mod in_force;
pub mod job_cache;
pub mod job_work;
pub mod leases;
pub mod load_reports;
pub mod loans;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod online;
pub mod operator;
pub mod peers;
pub mod retirement;
pub mod settings;
pub mod shared;
pub mod silence;
pub mod status;
pub mod summary;
pub mod suspects;
