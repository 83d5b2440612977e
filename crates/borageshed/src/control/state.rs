//! The decision logic of the control thread, independent of threads.
//!
//! - `actions`: performs the actions of the dispatcher.
//! - `admission`: takes a token of the account for each request, and queues it.
//! - `rate`: the rate limiter and the slots of this instance.
//! - `targets`: applies documents and lists of targets.

mod actions;
mod admission;
mod rate;
mod targets;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use fleet::{Document, QualifiedName};
use policy::dispatch::{self, Dispatcher};
use slog::{Logger, info};
use stdx::{Name, Timestamp, rng};

use self::rate::RateState;
use super::{AdmittingInstance, ControlConfig, ControlEvent, Directive, Effect, SubmittedRequest};
use crate::status::{ControlStatus, LoadStatus, ServiceStatus};

/// How long after the start of the process batch requests leave room for the requests of other instances. Links to the others
/// and their first load reports take up to a second.
const BATCH_WARM_UP: Duration = Duration::from_millis(1_500);

/// The maximum interval between two ticks, at which queue deadlines, probes and rate slots are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum interval while nothing is due by time, so that idle daemons use little processor time.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The state that the control thread owns.
pub struct State {
    cfg: ControlConfig,
    log: Logger,
    effects: async_channel::Sender<Effect>,
    dispatcher: Dispatcher,
    /// `None` until the first document is in force.
    rate: Option<RateState>,
    /// Requests that wait for a token of their account, by request id.
    waiting_for_token: HashMap<u64, SubmittedRequest>,
    /// The channels to the tasks of the requests that the dispatcher holds, by request id.
    directive_senders: HashMap<u64, async_channel::Sender<Directive>>,
    document: Option<Arc<Document>>,
    /// The registered daemons that admit requests of callers.
    admitting: BTreeMap<Name, AdmittingInstance>,
    /// The registered daemons that run batch items.
    runners: BTreeSet<Name>,
    /// Whether the store or a relay answers for the registered daemons.
    members_are_current: bool,
    /// The registered targets by service; `None` if the targets of the document are used.
    registry: Option<BTreeMap<QualifiedName, Vec<dispatch::TargetInfo>>>,
    peers_up: BTreeSet<Name>,
    /// Peers that announced their shutdown and have not reconnected since.
    peers_leaving: BTreeSet<Name>,
    last_tick: Timestamp,
}

impl State {
    /// Creates the state of a daemon without a document.
    pub fn new(cfg: ControlConfig, log: Logger, effects: async_channel::Sender<Effect>) -> Self {
        let settings = dispatch::Settings {
            warm_up_until: Timestamp::ZERO + BATCH_WARM_UP,
            evacuation: cfg.evacuation,
            cold_start: cfg.cold_start,
            learned_capacity: cfg.learned_capacity,
            ..dispatch::Settings::new(cfg.instance.clone(), cfg.failure_domain.clone())
        };
        let dispatcher = Dispatcher::new(settings, rng::seeded(cfg.seed));
        Self {
            cfg,
            log,
            effects,
            dispatcher,
            rate: None,
            waiting_for_token: HashMap::new(),
            directive_senders: HashMap::new(),
            document: None,
            admitting: BTreeMap::new(),
            runners: BTreeSet::new(),
            members_are_current: false,
            registry: None,
            peers_up: BTreeSet::new(),
            peers_leaving: BTreeSet::new(),
            last_tick: Timestamp::ZERO,
        }
    }

    /// Handles an event and performs the resulting actions.
    pub fn handle(&mut self, now: Timestamp, event: ControlEvent) {
        match event {
            ControlEvent::Submit(submitted) => self.submit(now, *submitted),
            ControlEvent::Dispatch(event) => self.on_dispatch_event(now, event),
            ControlEvent::Rate { from, message } => {
                let Some(rate) = &mut self.rate else { return };
                let actions = rate.limiter.on_message(now, &from, message);
                self.perform_rate_actions(now, actions);
            }
            ControlEvent::PeerLink { peer, up } => self.on_peer_link(now, peer, up),
            ControlEvent::PeerLeaving { peer } => {
                self.peers_leaving.insert(peer);
                self.report_instances(now);
            }
            ControlEvent::Document { document, withdrawn } => {
                self.set_document(now, document, withdrawn)
            }
            ControlEvent::SlotsRead { read, records } => {
                if let Some(rate) = &mut self.rate {
                    rate.slots.on_read(now, read, &records);
                }
            }
            ControlEvent::SlotWritten { slot, record, outcome } => {
                if let Some(rate) = &mut self.rate {
                    rate.slots.on_outcome(now, slot, &record, outcome);
                }
                self.update_holdings(now);
            }
            ControlEvent::Members { admitting, runners, are_current } => {
                self.members_are_current = are_current;
                self.admitting = admitting;
                self.runners = runners;
                self.report_instances(now);
            }
            ControlEvent::Registry { services } => self.set_registry(now, services),
            ControlEvent::GetLoads(reply) => {
                // The receiver may have been dropped.
                let _ = reply.try_send(self.loads(now));
            }
            ControlEvent::Drain => {
                if let Some(rate) = &mut self.rate {
                    rate.slots.drain();
                }
                self.update_holdings(now);
            }
            ControlEvent::GetStatus(reply) => {
                let services = self.dispatcher.snapshot(now).into_iter().map(ServiceStatus::from);
                let status = ControlStatus { services: services.collect(), ..self.summary(now) };
                // The receiver may have been dropped.
                let _ = reply.try_send(status);
            }
            ControlEvent::GetSummary(reply) => {
                // The receiver may have been dropped.
                let _ = reply.try_send(self.summary(now));
            }
            ControlEvent::Stop => {}
        }
    }

    /// Returns when the next tick is due.
    pub fn next_tick(&self) -> Timestamp {
        let regular = match self.dispatcher.is_quiescent() && self.waiting_for_token.is_empty() {
            true => self.last_tick + IDLE_TICK_INTERVAL,
            false => self.last_tick + TICK_INTERVAL,
        };
        let rate = self.rate.as_ref().and_then(|it| it.limiter.next_tick());
        rate.map_or(regular, |it| it.min(regular))
    }

    /// Performs the ticks of the limiter, the dispatcher and the slots that are due.
    pub fn tick_if_due(&mut self, now: Timestamp) {
        if let Some(rate) = &mut self.rate
            && rate.limiter.next_tick().is_some_and(|at| at <= now)
        {
            let actions = rate.limiter.tick(now);
            self.perform_rate_actions(now, actions);
        }
        if now.since(self.last_tick) < TICK_INTERVAL {
            return;
        }
        self.last_tick = now;
        let actions = self.dispatcher.tick(now);
        self.perform_actions(actions);
        self.tick_slots(now);
        self.update_holdings(now);
    }

    fn on_dispatch_event(&mut self, now: Timestamp, event: dispatch::Event) {
        match &event {
            dispatch::Event::CallerGone { id } => {
                if let Some(submitted) = self.waiting_for_token.remove(id) {
                    self.cancel_token_wait(&submitted);
                    return;
                }
                self.directive_senders.remove(id);
            }
            dispatch::Event::Completed { id, .. } => {
                self.directive_senders.remove(id);
            }
            _ => {}
        }
        let actions = self.dispatcher.on_event(now, event);
        self.perform_actions(actions);
    }

    fn on_peer_link(&mut self, now: Timestamp, peer: Name, up: bool) {
        info!(self.log, "peer link changed"; "peer" => %peer, "up" => up);
        self.on_dispatch_event(now, dispatch::Event::PeerLink { peer: peer.clone(), up });
        if up {
            self.peers_up.insert(peer.clone());
            if self.peers_leaving.remove(&peer) {
                self.report_instances(now);
            }
        } else {
            self.peers_up.remove(&peer);
        }
        self.update_holdings(now);
    }

    fn loads(&self, now: Timestamp) -> LoadStatus {
        LoadStatus {
            in_flight: self.dispatcher.in_flight_loads(now),
            waiting: self.dispatcher.waiting_services(),
            batch_waiting: self.dispatcher.batch_waiting_services(),
        }
    }

    fn summary(&self, now: Timestamp) -> ControlStatus {
        let rate = self.rate.as_ref();
        ControlStatus {
            peers: self.peers_up.iter().cloned().collect(),
            slots_held: rate.map_or(0, |it| {
                it.holdings.own.iter().filter(|until| now < **until).count() as u32
            }),
            slots_of_peers: rate.map(|it| it.holdings.peers.clone()).unwrap_or_default(),
            is_admitting: rate.is_some_and(|it| it.is_admitting(now)),
            slots_drained: rate.is_none_or(|it| it.slots.is_drained()),
            accounts_in_use: rate.map_or(0, |it| it.limiter.accounts_in_use()),
            rate: rate.map(|it| it.limiter.stats().into()).unwrap_or_default(),
            requests_open: self.directive_senders.len() + self.waiting_for_token.len(),
            services: Vec::new(),
        }
    }
}
