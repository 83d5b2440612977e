//! What daemons tell each other: heartbeats, loans, configuration, verdicts and cancellations.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{future::timeout, task};
use fleet::{
    QualifiedName,
    revision::{self, Chunks, Head},
};
use jobs::JobId;
use peer::{
    ConfigChunk, ConfigFetch, Heartbeat, Hub, HubConfig, JobCancelled, JobProgress, Leaving,
    Message, Peer, PeerEvent, PoisonVerdict,
};
use policy::{
    dispatch::{Claim, Event, Fingerprint, PeerLoad, Suspicion},
    rate::RateMessage,
};
use slog::{debug, info};
use stdx::{Name, Timestamp, value_type};

use crate::{
    config_sync::PeerRevision,
    control::ControlEvent,
    directory::{ServiceId, TargetId, TargetName},
    loans,
    metrics::PeerLabels,
    shared::Shared,
    status::LoadStatus,
    suspects,
};

/// How often the heartbeat's contents are renewed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest time between two heartbeats that are sent before they are due; a burst needs one to stop batch.
const MIN_SHARE_INTERVAL: Duration = Duration::from_millis(20);
/// How long a peer may take to send a part of its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Events of the links that may wait; a full channel holds the links back.
const QUEUED_EVENTS: usize = 256;

value_type! {
    /// Another daemon.
    pub struct PeerInfo {
        /// Its name.
        pub instance: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// Where it listens for daemons.
        pub address: SocketAddr,
        /// Whether it admits requests of callers.
        pub admits_callers: bool,
        /// Whether it runs batch items.
        pub runs_items: bool,
    }
}

/// The links to other daemons.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

struct Inner {
    hub: Hub,
    events: async_channel::Receiver<PeerEvent>,
    news: async_channel::Sender<PeerRevision>,
    up: AtomicUsize,
    shared_at: Mutex<Option<Timestamp>>,
    domains: Mutex<BTreeMap<Name, Name>>,
    parts: Mutex<BTreeMap<PartKey, async_channel::Sender<ConfigChunk>>>,
    cancelled: (async_channel::Sender<JobCancelled>, async_channel::Receiver<JobCancelled>),
}

/// A part of a peer's configuration that a task waits for; an empty digest stands for the head.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PartKey {
    peer: Name,
    digest: Vec<u8>,
}

impl Peers {
    /// Listens for other daemons.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(cx: &Shared, news: async_channel::Sender<PeerRevision>) -> io::Result<Self> {
        let settings = &cx.settings;
        let cfg = HubConfig::new(
            settings.instance.clone(),
            cx.incarnation,
            settings.failure_domain.clone(),
            settings.peer_listen,
        );
        let (events_tx, events) = async_channel::bounded(QUEUED_EVENTS);
        let hub = Hub::start(cfg, events_tx).await?;
        let inner = Inner {
            hub,
            events,
            news,
            up: AtomicUsize::new(0),
            shared_at: Mutex::default(),
            domains: Mutex::default(),
            parts: Mutex::default(),
            cancelled: async_channel::unbounded(),
        };
        Ok(Self { inner: Arc::new(inner) })
    }

    /// Replaces the daemons to link with.
    pub fn set(&self, peers: Vec<PeerInfo>) {
        let peers: Vec<Peer> =
            peers.into_iter().map(|it| Peer { id: it.instance, address: it.address }).collect();
        self.inner.hub.set_peers(&peers);
    }

    /// Returns the number of open links.
    pub fn up(&self) -> usize {
        self.inner.up.load(Ordering::Relaxed)
    }

    /// Sends a loan message; one that is lost wastes tokens at most.
    pub fn send_rate(&self, to: &Name, message: RateMessage) {
        let _ = self.inner.hub.send(to, &loans::to_wire(message));
    }

    /// Tells every peer the requests in flight, unless that was done just now.
    pub fn share_load(&self, cx: &Arc<Shared>) {
        let now = cx.clock.now();
        let mut shared_at = self.inner.shared_at.lock().unwrap_or_else(PoisonError::into_inner);
        if shared_at.is_some_and(|at| now.since(at) < MIN_SHARE_INTERVAL) {
            return;
        }
        *shared_at = Some(now);
        drop(shared_at);
        let (cx, peers) = (Arc::clone(cx), self.clone());
        task::spawn(async move {
            let Some(status) = cx.control.loads().await else { return };
            let _ = peers.inner.hub.broadcast(&Message::Heartbeat(heartbeat_of(&cx, &status)));
        });
    }

    /// Tells a peer, or every peer, that requests with a fingerprint kill targets.
    pub fn send_verdict(&self, to: Option<&Name>, fingerprint: &Fingerprint) {
        let verdict = PoisonVerdict { fingerprint: fingerprint.to_vec().into() };
        self.send(to, &Message::PoisonVerdict(verdict));
    }

    /// Tells every peer that a target died while it ran a request.
    pub fn broadcast_suspicion(&self, suspicion: &Suspicion) {
        self.send(None, &suspects::suspicion_to_wire(suspicion));
    }

    /// Tells a peer, or every peer, where a suspect is to run, runs or no longer runs.
    pub fn send_claim(&self, to: Option<&Name>, claim: &Claim) {
        self.send(to, &suspects::claim_to_wire(claim));
    }

    /// Sends a message that may be lost: the dispatcher repeats what matters.
    fn send(&self, to: Option<&Name>, message: &Message) {
        match to {
            Some(peer) => drop(self.inner.hub.send(peer, message)),
            None => drop(self.inner.hub.broadcast(message)),
        }
    }

    /// Tells every peer that a job was cancelled.
    pub fn broadcast_cancelled(&self, account: &str, job: &str) {
        let cancelled = JobCancelled { account: account.to_owned(), job: job.to_owned() };
        let _ = self.inner.hub.broadcast(&Message::JobCancelled(cancelled));
    }

    /// Tells every peer how many results of a job are stored; one that misses it only reads the store more often.
    pub fn broadcast_progress(&self, job: &JobId, listed: usize) {
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        let progress = JobProgress { job: job.as_str().to_owned(), listed };
        self.send(None, &Message::JobProgress(progress));
    }

    /// Returns the cancellations that peers report.
    pub fn cancelled(&self) -> async_channel::Receiver<JobCancelled> {
        self.inner.cancelled.1.clone()
    }

    /// Tells every peer that this daemon shuts down.
    pub fn announce_leaving(&self) {
        let _ = self.inner.hub.broadcast(&Message::Leaving(Leaving {}));
    }

    /// Fetches the configuration that a peer has in force; `None` if it does not send all of it in time.
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
        self.parts().insert(key.clone(), tx);
        let digests = if digest.is_empty() { Vec::new() } else { vec![digest.to_vec().into()] };
        let sent =
            self.inner.hub.send(peer, &Message::ConfigFetch(ConfigFetch { revision: 0, digests }));
        let part = match sent {
            Ok(()) => timeout(FETCH_TIMEOUT, rx.recv()).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        self.parts().remove(&key);
        part.map(|it| it.content.to_vec())
    }

    fn parts(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<PartKey, async_channel::Sender<ConfigChunk>>> {
        self.inner.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn domain_of(&self, peer: &Name) -> Option<Name> {
        self.inner.domains.lock().unwrap_or_else(PoisonError::into_inner).get(peer).cloned()
    }
}

/// Handles what happens on the links and renews the heartbeat, until the daemon ends.
pub async fn run(cx: Arc<Shared>, peers: Peers) {
    task::spawn(renew_heartbeat(Arc::clone(&cx), peers.clone()));
    while let Ok(event) = peers.inner.events.recv().await {
        match event {
            PeerEvent::Up { peer, failure_domain, .. } => {
                peers.inner.up.fetch_add(1, Ordering::Relaxed);
                let mut domains =
                    peers.inner.domains.lock().unwrap_or_else(PoisonError::into_inner);
                domains.insert(peer.clone(), failure_domain);
                drop(domains);
                cx.control.send(ControlEvent::PeerLink { peer, up: true });
            }
            PeerEvent::Down { peer, reason, .. } => {
                peers.inner.up.fetch_sub(1, Ordering::Relaxed);
                info!(cx.log, "peer link closed"; "peer" => %peer, "reason" => ?reason);
                cx.control.send(ControlEvent::PeerLink { peer, up: false });
            }
            PeerEvent::Message { from, message } => handle(&cx, &peers, from, message),
        }
    }
}

fn handle(cx: &Shared, peers: &Peers, from: Name, message: Message) {
    match message {
        Message::Heartbeat(heartbeat) => on_heartbeat(cx, peers, &from, &heartbeat),
        Message::ConfigFetch(fetch) => send_configuration(cx, peers, &from, &fetch),
        Message::ConfigChunk(chunk) => {
            let key = PartKey { peer: from, digest: chunk.digest.to_vec() };
            if let Some(tx) = peers.parts().get(&key) {
                // A part that arrives twice is the same part.
                let _ = tx.try_send(chunk);
            }
        }
        Message::PoisonVerdict(verdict) => {
            let Ok(fingerprint) = Fingerprint::try_from(verdict.fingerprint.as_ref()) else {
                return;
            };
            cx.control.send(ControlEvent::Dispatch(Event::PoisonVerdict { fingerprint }));
        }
        Message::PoisonSuspicion(suspicion) => {
            if let Some(suspicion) = suspects::suspicion_from_wire(&suspicion) {
                cx.control.send(ControlEvent::Dispatch(Event::PoisonSuspicion(suspicion)));
            }
        }
        Message::SuspectClaim(claim) => {
            if let Some(claim) = suspects::claim_from_wire(&claim) {
                cx.control.send(ControlEvent::Dispatch(Event::SuspectClaim { peer: from, claim }));
            }
        }
        Message::JobCancelled(cancelled) => {
            let _ = peers.inner.cancelled.0.try_send(cancelled);
        }
        Message::JobProgress(progress) => {
            if let Some(id) = JobId::parse(&progress.job) {
                cx.known_jobs.note_listed(&id, progress.listed as usize);
            }
        }
        Message::Leaving(_) => {
            info!(cx.log, "peer is leaving"; "peer" => %from);
            cx.control.send(ControlEvent::PeerLeaving { peer: from });
        }
        Message::Hello(_) => {}
        message @ (Message::LoanRequest(_) | Message::LoanGrant(_) | Message::LoanReturn(_)) => {
            if let Some(message) = loans::from_wire(message) {
                cx.control.send(ControlEvent::Rate { from, message });
            }
        }
    }
}

fn on_heartbeat(cx: &Shared, peers: &Peers, from: &Name, heartbeat: &Heartbeat) {
    let Some(in_force) = cx.in_force.get() else {
        let _ = peers
            .inner
            .news
            .try_send(PeerRevision { peer: from.clone(), revision: heartbeat.revision });
        return;
    };
    if heartbeat.revision > in_force.number() {
        let _ = peers
            .inner
            .news
            .try_send(PeerRevision { peer: from.clone(), revision: heartbeat.revision });
    }
    let Some(failure_domain) = peers.domain_of(from) else { return };
    let table = cx.directory.get();
    let services = |ids: &[u64]| {
        ids.iter().filter_map(|it| table.service(ServiceId(*it))).cloned().collect::<Vec<_>>()
    };
    // Targets that are not known here get no requests from here either.
    let count = |counts: &[u32], at: usize| counts.get(at).copied().unwrap_or(0);
    let loads = heartbeat.targets.iter().enumerate().filter_map(|(at, id)| {
        let TargetName { service, target } = table.target(TargetId(*id))?.clone();
        let suspects = heartbeat.suspects.iter().filter(|it| **it as usize == at).count() as u32;
        let (online, batch) = (count(&heartbeat.online, at), count(&heartbeat.batch, at));
        Some(PeerLoad { service, target, online, batch, suspects })
    });
    cx.control.send(ControlEvent::Dispatch(Event::PeerInFlight {
        peer: from.clone(),
        failure_domain,
        loads: loads.collect(),
        waiting: services(&heartbeat.waiting),
        batch_waiting: services(&heartbeat.batch_waiting),
    }));
}

fn send_configuration(cx: &Shared, peers: &Peers, to: &Name, fetch: &ConfigFetch) {
    let Some(in_force) = cx.in_force.get() else { return };
    let Some(stored) = &in_force.stored else { return };
    let revision = in_force.number();
    let send = |digest: Vec<u8>, content: Vec<u8>| {
        let chunk = ConfigChunk { revision, digest: digest.into(), content: content.into() };
        if let Err(e) = peers.inner.hub.send(to, &Message::ConfigChunk(chunk)) {
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

async fn renew_heartbeat(cx: Arc<Shared>, peers: Peers) {
    loop {
        if let Some(status) = cx.control.loads().await {
            let heartbeat = heartbeat_of(&cx, &status);
            if let Err(e) = peers.inner.hub.set_heartbeat(heartbeat) {
                debug!(cx.log, "heartbeat too large"; "error" => %e);
            }
        }
        export_traffic(&cx, &peers);
        task::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn heartbeat_of(cx: &Shared, status: &LoadStatus) -> Heartbeat {
    let ids = |services: &[QualifiedName]| {
        services.iter().map(|it| ServiceId::of(it).0).collect::<Vec<_>>()
    };
    let loads = &status.in_flight;
    let suspects = (0_u32..).zip(loads);
    let suspects = suspects.flat_map(|(at, it)| std::iter::repeat_n(at, it.suspects as usize));
    Heartbeat {
        revision: cx.in_force.number(),
        targets: loads.iter().map(|it| TargetId::of(&it.service, &it.target).0).collect(),
        online: loads.iter().map(|it| it.online).collect(),
        batch: loads.iter().map(|it| it.batch).collect(),
        suspects: suspects.collect(),
        waiting: ids(&status.waiting),
        batch_waiting: ids(&status.batch_waiting),
        ..Heartbeat::default()
    }
}

fn export_traffic(cx: &Shared, peers: &Peers) {
    let stats = peers.inner.hub.stats();
    let counts = [
        ("sent", "bytes", stats.bytes_sent),
        ("received", "bytes", stats.bytes_received),
        ("sent", "messages", stats.messages_sent),
        ("received", "messages", stats.messages_received),
    ];
    for (direction, unit, count) in counts {
        let labels = PeerLabels { direction: direction.to_owned(), unit: unit.to_owned() };
        let counter = cx.metrics.peer_traffic.get_or_create(&labels);
        counter.inc_by(count.saturating_sub(counter.get()));
    }
}
