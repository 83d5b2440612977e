//! The lease and the key `live/<instance>`, by which other daemons see that the owner of a segment lives.

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
/// How often the lease is renewed; two renewals in a row may be lost. A second would cost a large fleet most of the writes
/// that the platform's service takes.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_600);
/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A change of the instance's life.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// The live key of a new incarnation exists.
    Acquired(Owner),
    /// The lease is gone; whatever was owned may be taken over.
    Ended,
}

/// Keeps a lease until a drain ends it. A message on `restart` ends the present life at once.
pub async fn run(
    cx: Arc<Shared>,
    events: async_channel::Sender<LeaseEvent>,
    restart: async_channel::Receiver<()>,
) {
    let mut number = 0_u64;
    loop {
        // The incarnation of the process is the time of its start, so lives of different processes differ as well.
        let incarnation = Name::from(format!("{:x}-{number:x}", cx.incarnation));
        number += 1;
        let owner = Owner { instance: cx.settings.instance.clone(), incarnation };
        let Some(lease) = acquire(&cx, &owner).await else {
            task::sleep(RETRY_DELAY).await;
            continue;
        };
        // Requests for a new life that came before this one are met by it.
        while restart.try_recv().is_ok() {}
        info!(cx.log, "batch life begun"; "incarnation" => %owner.incarnation);
        if events.send(LeaseEvent::Acquired(owner)).await.is_err() {
            return;
        }
        let stopped = renew(&cx, lease, &restart).await;
        let _ = events.send(LeaseEvent::Ended).await;
        if let Err(e) = cx.store.lease_revoke(lease).await {
            debug!(cx.log, "lease not revoked; it lapses by itself"; "error" => %e);
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

/// Renews the lease until it is gone or the batch work has stopped; returns whether it has stopped.
///
/// A service that does not answer says nothing about the lease, so owned segments go on during an outage. Their commits
/// fail by compare-and-swap if another daemon took them over meanwhile.
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
