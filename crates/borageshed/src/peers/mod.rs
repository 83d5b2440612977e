//! The messages between daemons: requests in flight, loans, configuration, followed keys, poison verdicts, job questions and
//! cancellations.
//!
//! - `configuration`: fetches the configuration from peers and serves it to them.
//! - `dispatch`: what the dispatchers of the daemons tell each other about requests and targets.
//! - `jobs`: questions about batch jobs to the daemons that run them, and the handover of accepted jobs.
//! - `links`: decides which daemons this one is linked with and through which relays its messages pass.
//! - `loads`: reports of requests in flight between daemons.
//! - `pending`: tracks questions to other daemons until they are answered.
//! - `reads`: reads of the key-value service through relays.
//! - `streams`: questions about the software versions that began callers' streams.
//! - `store_calls`: calls to the key-value service for daemons that cannot reach it.

mod configuration;
mod dispatch;
mod jobs;
mod links;
mod loads;
mod pending;
mod reads;
mod store_calls;
mod streams;

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::task;
use bytes::Bytes;
use overlay::{Frame, LoadReports, Member, Report, Role, RoutingAction};
use peer::{
    Flood, Forward, Heartbeat, Hub, HubConfig, JobAnswer, JobCancelled, JobRequest, Leaving,
    LinkRole, Loads, Message, OriginAnswer, OriginRequest, PeerEvent, SendError,
    exchange::IncomingExchange, message,
};
use policy::{rate::RateMessage, versions::StreamId};
use slog::{debug, info, warn};
use stdx::{Name, Timestamp};

pub use links::{PeerInfo, millicores};
pub use streams::OriginReply;

use self::{
    jobs::JobQuestions, links::Links, pending::PendingQuestions, reads::Reads,
    store_calls::StoreCalls,
};
use crate::{
    config_sync::PeerRevision, control::ControlEvent, loans, metrics::PeerLabels, shared::Shared,
    status::OverlayStatus, tasks::spawn_essential,
};

/// How often the contents of the heartbeat are renewed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest time between two load reports that are sent ahead of schedule. A burst of requests needs one such report to
/// make other daemons stop batch work.
const MIN_SHARE_INTERVAL: Duration = Duration::from_millis(20);
/// The capacity of the channel of link events; a full channel stops the links from reading.
const QUEUED_EVENTS: usize = 256;
/// The exchanges that wait to be looked at; further ones are refused.
const QUEUED_EXCHANGES: usize = 64;

/// The links to other daemons.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

struct Inner {
    hub: Hub,
    events: async_channel::Receiver<PeerEvent>,
    exchanges: async_channel::Receiver<IncomingExchange>,
    newer_revisions: async_channel::Sender<PeerRevision>,
    links: Links,
    reads: Reads,
    jobs: JobQuestions,
    store_calls: StoreCalls,
    origins: PendingQuestions<OriginAnswer>,
    /// The latest load reports of other daemons, which a relay sums up.
    load_reports: Mutex<LoadReports>,
    /// The number of rounds of load reports so far.
    load_round: AtomicU64,
    load_shared_at: Mutex<Option<Timestamp>>,
    failure_domains: Mutex<BTreeMap<Name, Name>>,
    pending_parts: configuration::PendingParts,
    cancellations: (async_channel::Sender<JobCancelled>, async_channel::Receiver<JobCancelled>),
}

impl Peers {
    /// Listens for other daemons.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        cx: &Shared,
        newer_revisions: async_channel::Sender<PeerRevision>,
    ) -> io::Result<Self> {
        let settings = &cx.settings;
        let cfg = HubConfig::new(
            settings.instance.clone(),
            cx.incarnation,
            settings.failure_domain.clone(),
            settings.peer_listen,
        );
        let (events_tx, events) = async_channel::bounded(QUEUED_EVENTS);
        let (exchanges_tx, exchanges) = async_channel::bounded(QUEUED_EXCHANGES);
        let exchanges_tx = cx.target_paths.is_enabled().then_some(exchanges_tx);
        let hub = Hub::start_with_exchanges(cfg, events_tx, exchanges_tx).await?;
        let own = Member {
            name: settings.instance.clone(),
            failure_domain: settings.failure_domain.clone(),
            capacity: millicores(settings.cpu_share),
            runs_items: settings.batch.enabled,
            registered: true,
        };
        let inner = Inner {
            hub,
            events,
            exchanges,
            newer_revisions,
            links: Links::new(own),
            reads: Reads::default(),
            jobs: JobQuestions::default(),
            store_calls: StoreCalls::default(),
            origins: PendingQuestions::default(),
            load_reports: Mutex::default(),
            load_round: AtomicU64::new(0),
            load_shared_at: Mutex::default(),
            failure_domains: Mutex::default(),
            pending_parts: configuration::PendingParts::default(),
            cancellations: async_channel::unbounded(),
        };
        let peers = Self { inner: Arc::new(inner) };
        peers.enable_relayed_reads(cx);
        peers.enable_forwarded_calls(cx);
        Ok(peers)
    }

    /// Replaces the set of known daemons and updates the links accordingly.
    pub fn set_known(&self, cx: &Shared, peers: Vec<PeerInfo>) {
        self.inner.links.set_peers(peers);
        self.update_links(cx);
    }

    /// Returns the queue of exchanges with targets that other daemons ask for.
    pub fn exchanges(&self) -> async_channel::Receiver<IncomingExchange> {
        self.inner.exchanges.clone()
    }

    /// Returns the number of other known daemons.
    pub fn known_count(&self) -> usize {
        self.inner.links.known_count()
    }

    /// Returns this daemon's role and links in the overlay.
    pub fn overlay(&self) -> OverlayStatus {
        self.inner.links.status()
    }

    /// Sends a loan message. A lost message at most wastes tokens.
    pub fn send_rate(&self, to: &Name, message: RateMessage) {
        self.send(Some(to), &loans::to_wire(message));
    }

    /// Opens and closes links, and reports the changes to linked peers and the control thread.
    fn update_links(&self, cx: &Shared) {
        let changes = self.inner.links.update(cx.clock.now());
        self.inner.hub.set_dialled_peers(&changes.dialled);
        for (peer, Role { relays, subscribes }) in changes.roles {
            if subscribes {
                info!(cx.log, "relay in use"; "peer" => %peer);
            }
            // If the link is closed, its `PeerEvent::Down` handles that.
            let _ = self.inner.hub.send(&peer, &Message::LinkRole(LinkRole { relays, subscribes }));
        }
        for (peer, up) in changes.reachability {
            cx.control.send(ControlEvent::PeerLink { peer, up });
        }
    }

    /// Sends the requests in flight to the peers ahead of schedule, unless the last such report is newer than
    /// `MIN_SHARE_INTERVAL`.
    pub fn share_load(&self, cx: &Arc<Shared>) {
        let now = cx.clock.now();
        let mut load_shared_at =
            self.inner.load_shared_at.lock().unwrap_or_else(PoisonError::into_inner);
        if load_shared_at.is_some_and(|at| now.since(at) < MIN_SHARE_INTERVAL) {
            return;
        }
        *load_shared_at = Some(now);
        drop(load_shared_at);
        let (cx, peers) = (Arc::clone(cx), self.clone());
        task::spawn(async move {
            let Some(status) = cx.control.loads().await else { return };
            let report = loads::own_report(&status);
            let is_mesh = peers.inner.links.with_router(|it| it.topology().is_mesh());
            match is_mesh {
                true => {
                    let heartbeat = loads::heartbeat(cx.in_force.number(), &report);
                    let _ = peers.inner.hub.broadcast(&Message::Heartbeat(heartbeat));
                }
                false => peers.send_loads(&cx, &report, true),
            }
        });
    }

    /// Sends the requests in flight here to the linked peers that need them. A relay includes those that were reported to
    /// it.
    fn send_loads(&self, cx: &Shared, report: &Report, is_urgent: bool) {
        let round = self.inner.load_round.fetch_add(1, Ordering::Relaxed);
        let own = (&cx.settings.instance, &cx.settings.failure_domain, report);
        let mut reports = self.load_reports();
        let outgoing = self.inner.links.with_router(|router| {
            loads::outgoing_reports(router, &mut reports, own, round, is_urgent)
        });
        drop(reports);
        let revision = cx.in_force.number();
        for (peer, parts) in outgoing.parts {
            // The next round makes up for a lost report.
            let loads = Loads { parts, urgent: is_urgent, revision };
            let _ = self.inner.hub.send(&peer, &Message::Loads(loads));
        }
    }

    /// Sends a message to one daemon or to all, over as many links as needed, and returns whether it was sent over any. It
    /// may still be lost on the way, so senders repeat messages that matter.
    fn send(&self, to: Option<&Name>, message: &Message) -> bool {
        let Ok(payload) = message::encode(message) else { return false };
        let frames = self.inner.links.with_router(|router| match to {
            Some(to) => router.unicast(to, payload).into_iter().collect(),
            None => router.broadcast(&payload),
        });
        let mut has_left = false;
        for (link, frame) in frames {
            has_left |= self.send_frame(&link, frame).is_ok();
        }
        has_left
    }

    fn send_frame(&self, link: &Name, frame: Frame) -> Result<(), SendError> {
        let hub = &self.inner.hub;
        match frame {
            Frame::Direct(payload) => hub.send_encoded(link, payload),
            Frame::Flood { origin, payload } => {
                hub.send(link, &Message::Flood(Flood { origin: origin.to_string(), payload }))
            }
            Frame::Forward { to, origin, payload, hops } => {
                let (to, origin) = (to.to_string(), origin.to_string());
                hub.send(link, &Message::Forward(Forward { to, origin, payload, hops }))
            }
        }
    }

    /// Tells every peer that a job was cancelled.
    pub fn broadcast_cancelled(&self, account: &str, job: &str) {
        let cancelled = JobCancelled { account: account.to_owned(), job: job.to_owned() };
        self.send(None, &Message::JobCancelled(cancelled));
    }

    /// Returns the queue of cancellations that peers report.
    pub fn cancellations(&self) -> async_channel::Receiver<JobCancelled> {
        self.inner.cancellations.1.clone()
    }

    /// Tells every peer that this daemon shuts down.
    pub fn announce_leaving(&self) {
        self.send(None, &Message::Leaving(Leaving {}));
    }

    fn load_reports(&self) -> MutexGuard<'_, LoadReports> {
        self.inner.load_reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn failure_domain_of(&self, peer: &Name) -> Option<Name> {
        self.inner.failure_domains.lock().unwrap_or_else(PoisonError::into_inner).get(peer).cloned()
    }
}

/// Handles the events of the links and renews the heartbeat until the daemon exits.
pub async fn run(cx: Arc<Shared>, peers: Peers) {
    spawn_essential("updates for peers", run_periodic_updates(Arc::clone(&cx), peers.clone()));
    while let Ok(event) = peers.inner.events.recv().await {
        match event {
            PeerEvent::Up { peer, failure_domain, .. } => {
                let mut failure_domains =
                    peers.inner.failure_domains.lock().unwrap_or_else(PoisonError::into_inner);
                failure_domains.insert(peer.clone(), failure_domain);
                drop(failure_domains);
                peers.inner.links.set_link(&peer, true);
                peers.update_links(&cx);
            }
            PeerEvent::Down { peer, reason, .. } => {
                info!(cx.log, "peer link closed"; "peer" => %peer, "reason" => ?reason);
                peers.inner.links.set_link(&peer, false);
                peers.inner.reads.pending.on_link_lost(&peer);
                peers.inner.jobs.pending.on_link_lost(&peer);
                peers.inner.store_calls.pending.on_link_lost(&peer);
                peers.inner.origins.on_link_lost(&peer);
                peers.load_reports().forget(&peer);
                peers.update_links(&cx);
            }
            PeerEvent::Message { from, message } => on_link_message(&cx, &peers, from, message),
        }
    }
}

/// Handles a message from a linked peer. Forwarded messages pass through the router.
fn on_link_message(cx: &Arc<Shared>, peers: &Peers, from: Name, message: Message) {
    let frame = match message {
        Message::LinkRole(LinkRole { relays, subscribes }) => {
            peers.inner.links.set_role(&from, Role { relays, subscribes });
            return peers.update_links(cx);
        }
        Message::Loads(loads) => return on_loads(cx, peers, &from, &loads),
        Message::ReadRequest(req) => return peers.answer_read(cx, from, req),
        Message::ReadAnswer(answer) => {
            return peers.inner.reads.pending.on_answer(answer.id, answer);
        }
        Message::StoreCall(call) => return peers.perform_call(cx, from, call),
        Message::StoreCallAnswer(answer) => {
            return peers.inner.store_calls.pending.on_answer(answer.id, answer);
        }
        Message::Flood(Flood { origin, payload }) => {
            Frame::Flood { origin: Name::from(origin), payload }
        }
        Message::Forward(Forward { to, origin, payload, hops }) => {
            Frame::Forward { to: Name::from(to), origin: Name::from(origin), payload, hops }
        }
        message => return handle(cx, peers, from, message),
    };
    for action in peers.inner.links.receive(&from, frame) {
        match action {
            RoutingAction::Deliver { origin, payload } => {
                deliver(cx, peers, &from, origin, payload)
            }
            RoutingAction::Send { link, frame } => {
                if let Err(e) = peers.send_frame(&link, frame) {
                    debug!(cx.log, "message not forwarded"; "from" => %from, "to" => %link, "error" => %e);
                }
            }
        }
    }
}

/// Handles a message that the overlay delivered.
fn deliver(cx: &Shared, peers: &Peers, link: &Name, origin: Name, payload: Bytes) {
    match message::decode(payload) {
        Ok(Some(message)) => handle(cx, peers, origin, message),
        // The kind of message was added in a newer version.
        Ok(None) => {}
        Err(e) => {
            warn!(cx.log, "forwarded message cannot be decoded"; "link" => %link, "origin" => %origin, "error" => %e);
        }
    }
}

fn handle(cx: &Shared, peers: &Peers, from: Name, message: Message) {
    match message {
        Message::Heartbeat(heartbeat) => on_heartbeat(cx, peers, &from, &heartbeat),
        Message::ConfigFetch(fetch) => peers.send_configuration(cx, &from, &fetch),
        Message::ConfigChunk(chunk) => peers.on_part(from, chunk),
        Message::PoisonVerdict(_)
        | Message::PoisonSuspicion(_)
        | Message::SuspectClaim(_)
        | Message::PartCrash(_)
        | Message::PartVerdict(_)
        | Message::ClearedParts(_)
        | Message::TargetLimit(_) => match dispatch::event(from.clone(), message) {
            Some(event) => cx.control.send(ControlEvent::Dispatch(event)),
            None => debug!(cx.log, "message about requests cannot be decoded"; "from" => %from),
        },
        Message::JobCancelled(cancelled) => {
            let _ = peers.inner.cancellations.0.try_send(cancelled);
        }
        Message::Leaving(_) => {
            info!(cx.log, "peer is leaving"; "peer" => %from);
            cx.target_paths.on_peer_leaving(&from);
            cx.control.send(ControlEvent::PeerLeaving { peer: from });
        }
        // These are valid only between linked peers, never when forwarded.
        Message::Hello(_)
        | Message::ExchangeOpen(_)
        | Message::LinkRole(_)
        | Message::Flood(_)
        | Message::Forward(_)
        | Message::Loads(_)
        | Message::ReadRequest(_)
        | Message::ReadAnswer(_)
        | Message::StoreCall(_)
        | Message::StoreCallAnswer(_) => {}
        Message::JobAccepted(job) => peers.inner.jobs.enqueue_job(job),
        Message::JobRequest(req) if cx.settings.batch.enabled => {
            peers.inner.jobs.enqueue_question(from, req);
        }
        Message::JobRequest(JobRequest { id, .. }) => {
            peers.answer_about_job(&from, JobAnswer { id, ..JobAnswer::default() });
        }
        Message::StreamOrigin(origin) => cx.streams.on_origin(cx, origin),
        Message::OriginRequest(OriginRequest { id, stream }) => {
            let origin = cx.streams.known_origin(StreamId(stream));
            peers.answer_about_origin(&from, id, origin);
        }
        Message::OriginAnswer(answer) => peers.inner.origins.on_answer(answer.id, answer),
        Message::JobAnswer(answer) => peers.inner.jobs.pending.on_answer(answer.id, answer),
        message @ (Message::LoanRequest(_) | Message::LoanGrant(_) | Message::LoanReturn(_)) => {
            if let Some(message) = loans::from_wire(message) {
                cx.control.send(ControlEvent::Rate { from, message });
            }
        }
    }
}

fn on_heartbeat(cx: &Shared, peers: &Peers, from: &Name, heartbeat: &Heartbeat) {
    peers.report_newer_revision(cx, from, heartbeat.revision);
    let Some(failure_domain) = peers.failure_domain_of(from) else { return };
    let table = cx.directory.snapshot();
    let part = loads::part_of_heartbeat(&table, from, failure_domain, heartbeat);
    cx.control.send(ControlEvent::Dispatch(loads::dispatch_event(&table, &part)));
}

fn on_loads(cx: &Arc<Shared>, peers: &Peers, from: &Name, loads: &Loads) {
    peers.report_newer_revision(cx, from, loads.revision);
    let (sender, is_relay) = peers
        .inner
        .links
        .with_router(|router| (loads::sender(router, from), router.acts_as_relay()));
    let table = cx.directory.snapshot();
    for part in loads.parts.iter().map(loads::from_wire) {
        cx.control.send(ControlEvent::Dispatch(loads::dispatch_event(&table, &part)));
        if let (true, Some(sender)) = (is_relay, sender) {
            peers.load_reports().record(from, sender, part);
        }
    }
    if is_relay && loads.urgent {
        peers.share_load(cx);
    }
}

async fn run_periodic_updates(cx: Arc<Shared>, peers: Peers) {
    loop {
        peers.update_links(&cx);
        if let Some(status) = cx.control.loads().await {
            let report = loads::own_report(&status);
            let is_mesh = peers.inner.links.with_router(|it| it.topology().is_mesh());
            match is_mesh {
                true => {
                    let heartbeat = loads::heartbeat(cx.in_force.number(), &report);
                    if let Err(e) = peers.inner.hub.set_heartbeat(heartbeat) {
                        debug!(cx.log, "heartbeat too large"; "error" => %e);
                    }
                }
                false => {
                    peers.inner.hub.clear_heartbeat();
                    peers.send_loads(&cx, &report, false);
                }
            }
        }
        export_traffic(&cx, &peers);
        task::sleep(HEARTBEAT_INTERVAL).await;
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
