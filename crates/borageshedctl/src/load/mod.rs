//! The load generator: sends open-loop arrivals to daemons and computes four measures of the service.
//!
//! - [`settings`]: the settings of a load, such as accounts, arrival rates and batch jobs.
//! - [`schedule`]: the arrivals, generated before the run.
//! - [`batch`]: the batch jobs of a run.
//! - [`run`]: sends requests when they are due and records their outcomes.
//! - [`results`]: the results of a run, which can be written to a file and compared.

pub mod batch;
pub mod results;
pub mod run;
pub mod schedule;
pub mod settings;
