//! Runs batch jobs whose items come with their submission.
//!
//! - [`worker`]: the task that claims jobs, starts their items and stores their results.
//! - [`index`]: which jobs are unfinished and which are claimed.
//! - [`claim_plan`]: which jobs are unfinished, who runs them and when one is claimed.
//! - [`claiming`]: claims a job and reads it.
//! - [`call`]: the request that an item is run with.
//! - [`item`]: runs one item through the same dispatcher as online requests.
//! - [`lease`]: the lease under which jobs are claimed.
//! - [`readers`]: what the owner of a job tells those that serve its callers.

pub mod call;
pub mod claim_plan;
pub mod claiming;
pub mod index;
pub mod item;
pub mod lease;
pub mod readers;
pub mod worker;

use std::sync::Arc;

use async_std::task;

use crate::{peers::Peers, shared::Shared};

/// Starts the work of a daemon.
pub fn start(cx: &Arc<Shared>, peers: Peers) {
    let (lease_tx, lease_rx) = async_channel::unbounded();
    task::spawn(lease::run(Arc::clone(cx), lease_tx));
    task::spawn(worker::run(Arc::clone(cx), peers, lease_rx));
}
