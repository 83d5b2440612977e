//! Renews leases of the key-value service.

use std::time::Duration;

use async_std::future::timeout;
use kv_store::{Error, LeaseId};
use slog::{debug, warn};
use stdx::Timestamp;

use crate::shared::Shared;

/// Renews a lease until it has lapsed or the daemon drains; on a drain, the lease is revoked. `purpose` identifies the
/// lease in the log. `on_renewed` is called after each successful renewal, with the time at which the renewal was sent.
///
/// A missing answer does not show whether the lease is still valid, so renewals continue during an outage.
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
                debug!(cx.log, "lease not revoked; it expires after its time to live"; "purpose" => purpose, "error" => %e);
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
