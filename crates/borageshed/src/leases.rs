//! Keeps leases of the key-value service alive.

use std::time::Duration;

use async_std::future::timeout;
use kv_store::{Error, LeaseId};
use slog::{debug, warn};
use stdx::Timestamp;

use crate::shared::Shared;

/// Renews a lease until it is gone or the daemon drains, and ends it then. `purpose` names what depends on it in the log;
/// `on_renewed` is told when a renewal that took effect was sent.
///
/// A service that does not answer says nothing about the lease, so an outage does not end it here.
pub async fn keep_alive(
    cx: &Shared,
    lease: LeaseId,
    renewal_interval: Duration,
    purpose: &'static str,
    mut on_renewed: impl FnMut(Timestamp),
) {
    loop {
        if timeout(renewal_interval, cx.draining.wait()).await.is_ok() {
            if let Err(e) = cx.store.lease_revoke(lease).await {
                debug!(cx.log, "lease not ended; it lapses by itself"; "purpose" => purpose, "error" => %e);
            }
            return;
        }
        let sent_at = cx.clock.now();
        match cx.store.lease_keep_alive(lease).await {
            Ok(_) => {
                cx.platform_answered();
                on_renewed(sent_at);
            }
            Err(Error::LeaseGone) => {
                warn!(cx.log, "lease lapsed"; "purpose" => purpose, "lease" => lease.0);
                return;
            }
            Err(e) => {
                debug!(cx.log, "lease not renewed"; "purpose" => purpose, "lease" => lease.0, "error" => %e);
            }
        }
    }
}
