//! Keeps the configuration in force up to date from the key-value service, from peers and from the data folder.

use std::{path::PathBuf, sync::Arc, time::Duration};

use async_std::{fs, task};
use fleet::revision::{Chunks, Head, Revision};
use futures::future::{Either, select};
use policy::auth::KeyHash;
use rand::Rng as _;
use slog::{debug, error, info, warn};
use stdx::Name;

use crate::{
    control::ControlEvent, directory::TargetTable, in_force::InForce, peers::Peers,
    settings::FleetSource, shared::Shared,
};

/// The mean interval between reads of the head by any daemon of the fleet. Heartbeats announce a new revision to the
/// other daemons within 250 ms, so the number of calls to the key-value service need not grow with the fleet.
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(125);
/// The bounds of the mean interval between reads of the head by one daemon.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(30);
/// How long the connections of a withdrawn key stay open, so that waiting requests still get their final answer.
const WITHDRAWAL_GRACE: Duration = Duration::from_millis(200);

/// A peer's announcement of the revision that it has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRevision {
    /// The peer.
    pub peer: Name,
    /// The revision.
    pub revision: u64,
}

/// Follows new revisions until the daemon stops.
pub async fn run(
    cx: Arc<Shared>,
    peers: Peers,
    peer_revisions: async_channel::Receiver<PeerRevision>,
) {
    load_from_folder(&cx).await;
    let mut next_read = cx.clock.now();
    loop {
        // An announcement from a peer must not change the time of the next read, because all daemons would then read
        // the head at the same time.
        if cx.clock.now() >= next_read {
            if let Err(e) = read_from_store(&cx).await {
                debug!(cx.log, "configuration not read"; "error" => %e);
            }
            next_read = cx.clock.now() + poll_interval(peers.known_count());
        }
        let pause = task::sleep(next_read.since(cx.clock.now()));
        match select(Box::pin(peer_revisions.recv()), Box::pin(pause)).await {
            Either::Left((Ok(peer_revision), _)) => {
                read_from_peer(&cx, &peers, &peer_revision).await
            }
            Either::Left((Err(_), _)) => return,
            Either::Right(_) => {}
        }
    }
}

/// Validates a revision and puts it in force if it is higher than the current one.
pub async fn put_in_force(cx: &Arc<Shared>, head: Head, chunks: Chunks) {
    let number = head.revision;
    // Validating a large document takes tens of milliseconds, which must not block the tasks that serve traffic.
    let read = task::spawn_blocking(move || Revision::read(head, chunks).map(InForce::new)).await;
    let next = match read {
        Ok(next) => next,
        Err(e) => {
            error!(cx.log, "configuration revision is not valid and is not put in force"; "revision" => number, "error" => %e);
            return;
        }
    };
    if let Some(next) = advance(cx, next) {
        save_to_folder(cx, &next).await;
    }
}

/// Puts a configuration in force if its revision is higher than the current one, and returns it in that case.
pub fn advance(cx: &Arc<Shared>, next: InForce) -> Option<Arc<InForce>> {
    let Ok((next, previous)) = cx.in_force.advance(next) else { return None };
    if cx.settings.source == FleetSource::Document {
        cx.directory.set(TargetTable::from_document(next.document()));
    }
    info!(cx.log, "configuration in force"; "revision" => next.number());
    cx.metrics.revision.set(next.number() as i64);
    let cut = previous.as_ref().filter(|_| cx.settings.cut_withdrawn);
    let withdrawn = cut.map(|it| it.keys.withdrawn_by(&next.keys)).unwrap_or_default();
    cx.control.send(ControlEvent::Document {
        document: Arc::clone(next.document()),
        withdrawn: withdrawn
            .iter()
            .map(|it| (it.name.clone(), Name::from(it.key.to_hex())))
            .collect(),
    });
    if let (Some(previous), false) = (previous, withdrawn.is_empty()) {
        let keys = withdrawn.iter().map(|it| it.key).collect();
        task::spawn(close_withdrawn(Arc::clone(cx), previous, keys));
    }
    Some(next)
}

/// Closes the connections of withdrawn keys after the grace period, except those of keys that were restored meanwhile.
async fn close_withdrawn(cx: Arc<Shared>, previous: Arc<InForce>, mut keys: Vec<KeyHash>) {
    task::sleep(WITHDRAWAL_GRACE).await;
    if let Some(now) = cx.in_force.get() {
        let still_withdrawn = previous.keys.withdrawn_by(&now.keys);
        keys.retain(|key| still_withdrawn.iter().any(|it| it.key == *key));
    }
    let closed = cx.close_connections_of_keys(&keys);
    info!(cx.log, "connections of withdrawn keys closed"; "keys" => keys.len(), "connections" => closed);
}

async fn read_from_store(cx: &Arc<Shared>) -> config_store::Result<()> {
    let stored = config_store::read_head(cx.store.as_ref()).await?;
    cx.platform_answered();
    if stored.head.revision > cx.in_force.number() {
        let known = known_chunks(cx);
        let chunks = config_store::read_chunks(cx.store.as_ref(), &stored.head, &known).await?;
        put_in_force(cx, stored.head, chunks).await;
    }
    Ok(())
}

async fn read_from_peer(cx: &Arc<Shared>, peers: &Peers, peer_revision: &PeerRevision) {
    if peer_revision.revision <= cx.in_force.number() {
        return;
    }
    let known = known_chunks(cx);
    match peers.fetch_configuration(&peer_revision.peer, &known).await {
        Some((head, chunks)) => put_in_force(cx, head, chunks).await,
        None => {
            debug!(cx.log, "peer did not send its configuration"; "peer" => %peer_revision.peer)
        }
    }
}

fn known_chunks(cx: &Shared) -> Chunks {
    let current = cx.in_force.get();
    let stored = current.as_ref().and_then(|it| it.stored.as_ref());
    stored.map(|it| it.chunks.clone()).unwrap_or_default()
}

fn poll_interval(others: usize) -> Duration {
    let daemons = u32::try_from(others + 1).unwrap_or(u32::MAX);
    let mean =
        FLEET_POLL_INTERVAL.saturating_mul(daemons).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
    mean.mul_f64(rand::rng().random_range(0.8..1.2))
}

fn saved_configuration_path(cx: &Shared) -> Option<PathBuf> {
    cx.settings.data_folder.as_ref().map(|it| it.join("configuration.json"))
}

/// Loads the saved copy of the last configuration, so that a daemon can start while the key-value service and all peers
/// are unreachable.
async fn load_from_folder(cx: &Arc<Shared>) {
    let Some(path) = saved_configuration_path(cx) else { return };
    let Ok(text) = fs::read(&path).await else { return };
    match serde_json::from_slice::<(Head, Vec<(Name, String)>)>(&text) {
        Ok((head, chunks)) => {
            let chunks = chunks
                .into_iter()
                .map(|(digest, text)| (digest, Arc::from(text.as_bytes())))
                .collect();
            put_in_force(cx, head, chunks).await;
        }
        Err(e) => {
            warn!(cx.log, "saved configuration cannot be read"; "file" => %path.display(), "error" => %e)
        }
    }
}

async fn save_to_folder(cx: &Shared, in_force: &InForce) {
    let Some(path) = saved_configuration_path(cx) else { return };
    let text = |chunk: &Arc<[u8]>| String::from_utf8_lossy(chunk).into_owned();
    let Some(revision) = &in_force.stored else { return };
    let chunks: Vec<(Name, String)> =
        revision.chunks.iter().map(|(digest, chunk)| (digest.clone(), text(chunk))).collect();
    let Ok(bytes) = serde_json::to_vec(&(&revision.head, chunks)) else { return };
    // The rename is atomic, so a crash leaves either the old or the new file.
    let temporary = path.with_extension("tmp");
    let saved = async {
        fs::write(&temporary, &bytes).await?;
        fs::rename(&temporary, &path).await
    };
    if let Err(e) = saved.await {
        warn!(cx.log, "configuration not saved"; "file" => %path.display(), "error" => %e);
    }
}
