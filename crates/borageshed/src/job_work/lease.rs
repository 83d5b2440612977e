//! Keeps the lease under which jobs are claimed.

use std::{pin::pin, sync::Arc, time::Duration};

use async_std::task;
use futures::future::{Either, select};
use kv_store::LeaseId;
use slog::{debug, info};
use stdx::Timestamp;

use crate::{leases, shared::Shared};

/// The time to live of the lease, after which other daemons take over the jobs of a daemon that crashed or is cut
/// off.
const LEASE_TTL: Duration = Duration::from_millis(2_400);
/// How long after a renewal was sent it is certain that no other daemon has stored results of a job claimed here. An outage may
/// end the lease before its time to live is over, but other daemons then need longer than this to reconnect, claim a job and
/// store results.
const GUARANTEED_HOLD: Duration = Duration::from_millis(2_000);
/// How often the lease is renewed; it survives the loss of one renewal.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);
/// The delay after a failed grant.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A change of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A lease was granted.
    Granted(LeaseId),
    /// No other daemon can have stored results of jobs claimed under the lease before this time.
    HoldsUntil(Timestamp),
    /// The lease ended; other daemons may take over the jobs claimed under it.
    Lost,
}

/// Keeps a lease until the daemon drains.
pub async fn run(cx: Arc<Shared>, events: async_channel::Sender<LeaseEvent>) {
    while !cx.draining.is_set() && !cx.retiring.is_set() {
        let sent_at = cx.clock.now();
        let lease = match cx.store.lease_grant(LEASE_TTL).await {
            Ok(lease) => lease,
            Err(e) => {
                debug!(cx.log, "lease not granted"; "error" => %e);
                task::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        info!(cx.log, "lease granted"; "lease" => lease.0);
        let holds_until = |sent_at: Timestamp| LeaseEvent::HoldsUntil(sent_at + GUARANTEED_HOLD);
        if events.send(LeaseEvent::Granted(lease)).await.is_err()
            || events.send(holds_until(sent_at)).await.is_err()
        {
            return;
        }
        // Failed calls do not show whether the lease still exists, so claimed jobs continue to run during an outage. Their
        // results are stored by compare-and-swap, which fails if another daemon has taken over the job.
        let renewals = leases::keep_alive(&cx, lease, RENEWAL_INTERVAL, "claims", |sent_at| {
            // The worker may have ended.
            let _ = events.try_send(holds_until(sent_at));
        });
        // On a drain, the worker ends the lease, after it has stored what it holds.
        if let Either::Left(_) = select(pin!(cx.draining.wait()), pin!(renewals)).await {
            return;
        }
        if events.send(LeaseEvent::Lost).await.is_err() {
            return;
        }
    }
}
