//! Fetches the configuration from peers and serves it to them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_std::future::timeout;
use fleet::revision::{self, Chunks, Head};
use peer::{ConfigChunk, ConfigFetch, Message};
use slog::debug;
use stdx::Name;

use super::Peers;
use crate::{config_sync::PeerRevision, shared::Shared};

/// How long a peer may take to send the head or one chunk of its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The parts (the head or chunks) that tasks are waiting for.
#[derive(Debug, Default)]
pub(super) struct PendingParts(Mutex<BTreeMap<PartKey, async_channel::Sender<ConfigChunk>>>);

/// A part of a peer's configuration; an empty digest stands for the head.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PartKey {
    peer: Name,
    digest: Vec<u8>,
}

impl Peers {
    /// Fetches the configuration that a peer has in force, without the chunks in `known`. Returns `None` if the peer does
    /// not send all of it in time.
    pub async fn fetch_configuration(&self, peer: &Name, known: &Chunks) -> Option<(Head, Chunks)> {
        let head = self.fetch_part(peer, &[]).await?;
        let head: Head = serde_json::from_slice(&head).ok()?;
        let mut chunks = Chunks::new();
        for digest in head.digests() {
            let chunk = match known.get(digest) {
                Some(chunk) => Arc::clone(chunk),
                None => {
                    let content =
                        self.fetch_part(peer, &hex::decode(digest.as_str()).ok()?).await?;
                    (revision::digest(&content) == *digest)
                        .then(|| Arc::from(content.as_slice()))?
                }
            };
            chunks.insert(digest.clone(), chunk);
        }
        Some((head, chunks))
    }

    async fn fetch_part(&self, peer: &Name, digest: &[u8]) -> Option<Vec<u8>> {
        let (tx, rx) = async_channel::bounded(1);
        let key = PartKey { peer: peer.clone(), digest: digest.to_vec() };
        self.inner.pending_parts.lock().insert(key.clone(), tx);
        let digests = if digest.is_empty() { Vec::new() } else { vec![digest.to_vec().into()] };
        let fetch = Message::ConfigFetch(ConfigFetch { revision: 0, digests });
        self.send(Some(peer), &fetch);
        let part = timeout(FETCH_TIMEOUT, rx.recv()).await.ok().and_then(Result::ok);
        self.inner.pending_parts.lock().remove(&key);
        part.map(|it| it.content.to_vec())
    }

    /// Passes a received part to the task that waits for it.
    pub(super) fn on_part(&self, from: Name, chunk: ConfigChunk) {
        let key = PartKey { peer: from, digest: chunk.digest.to_vec() };
        if let Some(tx) = self.inner.pending_parts.lock().get(&key) {
            // The channel holds one part; a duplicate has the same content and is dropped.
            let _ = tx.try_send(chunk);
        }
    }

    /// Notifies the configuration sync task if a peer has a newer revision than this daemon.
    pub(super) fn report_newer_revision(&self, cx: &Shared, peer: &Name, revision: u64) {
        if revision > cx.in_force.number() || cx.in_force.get().is_none() {
            // If the queue is full, the notifications in it already trigger a fetch.
            let _ =
                self.inner.newer_revisions.try_send(PeerRevision { peer: peer.clone(), revision });
        }
    }

    /// Sends the parts that a peer asked for; the head if it named no digests.
    pub(super) fn send_configuration(&self, cx: &Shared, to: &Name, fetch: &ConfigFetch) {
        let Some(in_force) = cx.in_force.get() else { return };
        let Some(stored) = &in_force.stored else { return };
        let revision = in_force.number();
        let send = |digest: Vec<u8>, content: Vec<u8>| {
            let chunk = ConfigChunk { revision, digest: digest.into(), content: content.into() };
            if let Err(e) = self.inner.hub.send(to, &Message::ConfigChunk(chunk)) {
                debug!(cx.log, "configuration not sent"; "peer" => %to, "error" => %e);
            }
        };
        if fetch.digests.is_empty() {
            if let Ok(head) = serde_json::to_vec(&stored.head) {
                send(Vec::new(), head);
            }
            return;
        }
        for digest in &fetch.digests {
            if let Some(chunk) = stored.chunks.get(hex::encode(digest).as_str()) {
                send(digest.to_vec(), chunk.to_vec());
            }
        }
    }
}

impl PendingParts {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<PartKey, async_channel::Sender<ConfigChunk>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
