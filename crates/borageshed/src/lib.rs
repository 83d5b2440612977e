//! The daemon that runs on each entry instance.
//!
//! - [`daemon`]: starts, runs and drains the daemon.
//! - [`settings`], [`logging`], [`clock`], [`metrics`], [`status`]: settings, time and observability.
//! - [`summary`]: logs totals at a fixed interval.
//! - [`drain`]: what a drain still passes on, and when it answers the rest.
//! - [`retirement`]: empties an instance that the operator removes.
//! - [`shared`]: the state that all tasks share.
//! - [`control`]: the control thread, which takes every decision about a request.
//! - [`effects`]: performs the side effects that the control thread requests.
//! - [`batch_work`]: runs batch jobs.
//! - [`job_work`]: runs batch jobs whose items are part of the submission.
//! - [`job_cache`]: caches the immutable data of recently requested jobs.
//! - [`api`]: the HTTP interface for callers and operators.
//! - [`online`]: runs one request on targets.
//! - [`idempotency`]: runs non-idempotent requests with an `Idempotency-Key` at most once.
//! - [`in_force`], [`config_sync`]: the configuration in force and how it is kept up to date.
//! - [`operator`]: follows the configuration and the targets that the platform's operator declares.
//! - [`directory`]: the addresses of the targets.
//! - [`leases`]: renews leases of the key-value service.
//! - [`load_reports`]: reads the load that targets report.
//! - [`membership`], [`peers`], [`loans`], [`suspects`]: communication with other daemons.
//! - [`streams`]: which software version began a caller's stream.
//! - [`target_paths`]: the paths of requests to targets, directly or through other daemons.
//! - [`target_limits`]: messages about targets that limit the requests of all instances together.
//! - [`silence`]: resets silent connections to targets.
//! - [`tasks`]: runs tasks whose panics must not pass unnoticed.
//! - [`verdicts`]: stores verdicts on requests and prompt parts that crash targets.
//! - [`burn`]: counts good and bad requests against the objective.
//! - [`answer`]: bodies of answers to callers that tasks fill while they are sent.

pub mod answer;
pub mod api;
pub mod batch_work;
pub mod burn;
pub mod clients;
pub mod clock;
pub mod config_sync;
pub mod control;
pub mod daemon;
pub mod directory;
pub mod drain;
pub mod effects;
pub mod evacuations;
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
pub mod streams;
pub mod summary;
pub mod suspects;
pub mod target_limits;
pub mod target_paths;
pub mod tasks;
pub mod verdicts;
