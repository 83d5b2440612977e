//! Keeps the lease and the key `live/<instance>`, which show other daemons that the owner of a segment is running.

use std::{sync::Arc, time::Duration};

use async_std::task;
use batch::{Key, Owner};
use futures::future::{Either, select};
use kv_store::{Error, LeaseId, Outcome};
use slog::{debug, info, warn};
use stdx::Name;

use crate::shared::Shared;

/// The time to live of the lease.
pub const LEASE_TTL: Duration = Duration::from_secs(5);
/// How often the lease is renewed. Two consecutive renewals may be lost before it lapses. In a large
/// fleet, an interval of one second would use up most of the writes that the platform's key-value service accepts.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_600);
/// The delay before a failed attempt to acquire the lease is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The start or end of a batch incarnation of this instance, which lasts as long as its lease.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// The lease is granted and the live key of the new incarnation is written.
    Acquired(Owner),
    /// The lease has lapsed or was given up; other daemons may take over the segments of this incarnation.
    Ended,
}

/// Keeps a lease until a drain ends it. A message on `restart` ends the current incarnation at once.
pub async fn run(
    cx: Arc<Shared>,
    events: async_channel::Sender<LeaseEvent>,
    restart: async_channel::Receiver<()>,
) {
    let mut number = 0_u64;
    loop {
        // The incarnation of the process is its start time, so the names also differ between processes.
        let incarnation = Name::from(format!("{:x}-{number:x}", cx.incarnation));
        number += 1;
        let owner = Owner { instance: cx.settings.instance.clone(), incarnation };
        let Some(lease) = acquire(&cx, &owner).await else {
            task::sleep(RETRY_DELAY).await;
            continue;
        };
        // Discards requests for a new incarnation that arrived before this one started.
        while restart.try_recv().is_ok() {}
        info!(cx.log, "batch lease acquired"; "incarnation" => %owner.incarnation);
        if events.send(LeaseEvent::Acquired(owner)).await.is_err() {
            return;
        }
        let stopped = renew(&cx, lease, &restart).await;
        let _ = events.send(LeaseEvent::Ended).await;
        if let Err(e) = cx.store.lease_revoke(lease).await {
            debug!(cx.log, "lease not revoked; it expires after its time to live"; "error" => %e);
        }
        if stopped {
            return;
        }
        warn!(cx.log, "batch lease lapsed");
    }
}

async fn acquire(cx: &Shared, owner: &Owner) -> Option<LeaseId> {
    let key = Key::Live { instance: owner.instance.clone() }.to_string();
    let lease = cx.store.lease_grant(LEASE_TTL).await.ok()?;
    match cx.store.put_with_lease(&key, owner.incarnation.as_bytes(), lease).await {
        Ok(Outcome::Won(_)) => Some(lease),
        _ => None,
    }
}

/// Renews the lease until it is gone, a restart is requested or the batch work has stopped. Returns whether the batch work
/// has stopped.
///
/// A call without an answer does not show whether the lease still exists, so the owned segments continue during an outage.
/// If another daemon has taken one over meanwhile, its next commit here fails its compare-and-swap.
async fn renew(cx: &Shared, lease: LeaseId, restart: &async_channel::Receiver<()>) -> bool {
    loop {
        let pause = select(Box::pin(task::sleep(RENEWAL_INTERVAL)), Box::pin(restart.recv()));
        match select(Box::pin(pause), Box::pin(cx.batch.stopped())).await {
            Either::Left((Either::Left(_), _)) => {}
            Either::Left((Either::Right(_), _)) => return false,
            Either::Right(_) => return true,
        }
        match cx.store.lease_keep_alive(lease).await {
            Ok(_) => cx.platform_answered(),
            Err(Error::LeaseGone) => return false,
            Err(e) => debug!(cx.log, "lease not renewed"; "error" => %e),
        }
    }
}
