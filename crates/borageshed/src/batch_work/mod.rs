//! Runs batch jobs by performing the actions that the state machines of the crate `batch`, which does no I/O, return.
//!
//! - [`executor`]: performs store actions on the platform's key-value service.
//! - [`lease`]: keeps the lease and the key `live/<instance>`.
//! - [`prepare`]: turns an item into a call of a service.
//! - [`item`]: runs one item through the dispatcher.
//! - [`queue_limits`]: limits how many items wait in the dispatcher's queue.
//! - [`claimed_segment`]: one claimed segment and its running items.
//! - [`driver`]: the task that owns the planner and all claimed segments.

pub mod claimed_segment;
pub mod driver;
pub mod executor;
pub mod item;
pub mod lease;
pub mod prepare;
pub mod queue_limits;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use batch::JobId;
use http_edge::signal::Signal;
use stdx::Name;

use crate::{peers::Peers, shared::Shared, tasks::spawn_essential};

/// A notification from the HTTP API to the driver.
#[derive(Debug)]
pub enum Notice {
    /// A job was accepted through this daemon.
    Accepted {
        /// The account that owns the job.
        account: Name,
        /// The job.
        job: JobId,
    },
    /// A job was cancelled through this daemon.
    Cancelled {
        /// The account that owns the job.
        account: Name,
        /// The job.
        job: JobId,
    },
}

/// The interface of the driver to the rest of the daemon.
#[derive(Debug)]
pub struct Handle {
    tx: async_channel::Sender<Notice>,
    rx: async_channel::Receiver<Notice>,
    segments: AtomicUsize,
    stopped: Signal,
}

impl Handle {
    /// Sends a notification to the driver.
    pub fn notify(&self, notice: Notice) {
        // If the channel is full, the notification is dropped and only a delay results: the driver also finds jobs and
        // cancellations by polling.
        let _ = self.tx.try_send(notice);
    }

    /// Returns the number of segments that this instance owns.
    pub fn segments(&self) -> usize {
        self.segments.load(Ordering::Relaxed)
    }

    /// Waits until a drain has released every segment.
    pub async fn stopped(&self) {
        self.stopped.wait().await;
    }
}

impl Default for Handle {
    fn default() -> Self {
        const QUEUED_NOTICES: usize = 1_024;
        let (tx, rx) = async_channel::bounded(QUEUED_NOTICES);
        Self { tx, rx, segments: AtomicUsize::new(0), stopped: Signal::new() }
    }
}

/// Starts the batch work of a daemon.
pub fn start(cx: &Arc<Shared>, peers: Peers) {
    let (lease_tx, lease_rx) = async_channel::unbounded();
    let (restart_tx, restart_rx) = async_channel::unbounded();
    spawn_essential("lease of segments", lease::run(Arc::clone(cx), lease_tx, restart_rx));
    let driver = driver::Driver::new(Arc::clone(cx), peers, restart_tx);
    spawn_essential("segments", driver.run(lease_rx));
}
