//! The lease under which jobs are claimed.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kv_store::LeaseId;
use slog::{debug, info};
use stdx::Timestamp;

use crate::{leases, shared::Shared};

/// The time to live; the jobs of a daemon that is lost are taken over after it.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// How long after a renewal was sent nobody else can have taken jobs over. The lease may end before its time in an outage, after
/// which it takes others more than this to come back, claim a job and store results.
const GUARANTEED_HOLD: Duration = Duration::from_millis(2_000);
/// How often the lease is renewed; one renewal may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_300);
/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A change of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A lease was granted.
    Granted(LeaseId),
    /// The lease holds until then at least.
    HoldsUntil(Timestamp),
    /// The lease is gone; whatever was claimed under it may be taken over.
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
        // A service that does not answer says nothing about the lease, so claimed jobs go on during an outage. Their results
        // are stored by compare-and-swap, which fails if another daemon has taken the job over.
        leases::keep(&cx, lease, RENEWAL_INTERVAL, "claims", |sent_at| {
            // The worker may have ended.
            let _ = events.try_send(holds_until(sent_at));
        })
        .await;
        if events.send(LeaseEvent::Lost).await.is_err() {
            return;
        }
    }
}
