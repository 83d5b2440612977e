//! Runs batch jobs whose items come with their submission.
//!
//! - [`worker`]: the task that claims jobs, starts their items and stores their results.
//! - [`index`]: follows the index of unfinished jobs and their claims.
//! - [`claim_plan`]: decides when this daemon claims which job.
//! - [`claiming`]: claims a job and reads its stored data.
//! - [`call`]: builds the request that runs an item.
//! - [`item`]: runs one item through the same dispatcher as online requests.
//! - `group`: transactions that store the state of several jobs.
//! - [`lease`]: keeps the lease under which jobs are claimed.
//! - `own_job`: a job that this daemon runs, and the transactions that store its state.
//! - [`readers`]: answers the questions of other daemons about the jobs of this daemon.

pub mod call;
pub mod claim_plan;
pub mod claiming;
mod group;
pub mod index;
pub mod item;
pub mod lease;
mod own_job;
pub mod readers;
pub mod worker;

use std::sync::Arc;

use crate::{peers::Peers, shared::Shared, tasks::spawn_essential};

/// Starts the tasks that keep the lease and run jobs.
pub fn start(cx: &Arc<Shared>, peers: Peers) {
    let (lease_tx, lease_rx) = async_channel::unbounded();
    spawn_essential("lease of jobs", lease::run(Arc::clone(cx), lease_tx));
    spawn_essential("jobs", worker::run(Arc::clone(cx), peers, lease_rx));
}
