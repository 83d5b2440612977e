//! The decision logic of the control thread, independent of threads.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use fleet::{Document, QualifiedName};
use policy::{
    dispatch::{self, Action, Dispatcher, Execution, Reason, Refusal, target_infos},
    rate::{AcquireOutcome, Holdings, LENDER_HOLD, RateAction, RateLimiter, WaiterId},
    slots::{self, DEFAULT_SLOT_VALIDITY, SlotManager},
};
use slog::{Logger, debug, info, warn};
use stdx::{Name, Timestamp, rng};

use super::{
    AdmittingInstance, ControlConfig, ControlEvent, Directive, Effect, RateRefusal,
    SubmittedRequest,
};
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
    /// The registered targets by service; `None` if the targets of the document are used.
    registry: Option<BTreeMap<QualifiedName, Vec<dispatch::TargetInfo>>>,
    peers_up: BTreeSet<Name>,
    /// Peers that announced their shutdown and have not reconnected since.
    peers_leaving: BTreeSet<Name>,
    last_tick: Timestamp,
}

struct RateState {
    /// The time from which requests are admitted: by then, loans of an earlier process of this instance have expired.
    admits_from: Timestamp,
    limiter: RateLimiter,
    slots: SlotManager,
    holdings: Holdings,
}

impl RateState {
    /// Returns whether requests can be admitted: with this instance's slots, or with loans from peers that hold slots.
    fn is_admitting(&self, now: Timestamp) -> bool {
        now >= self.admits_from && !(self.holdings.own.is_empty() && self.holdings.peers.is_empty())
    }
}

impl State {
    /// Creates the state of a daemon without a document.
    pub fn new(cfg: ControlConfig, log: Logger, effects: async_channel::Sender<Effect>) -> Self {
        let settings = dispatch::Settings {
            warm_up_until: Timestamp::ZERO + BATCH_WARM_UP,
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
            ControlEvent::Members { admitting, runners } => {
                self.admitting = admitting;
                self.runners = runners;
                self.report_instances(now);
            }
            ControlEvent::Registry { services } => {
                let removed: Vec<QualifiedName> = self
                    .registry
                    .iter()
                    .flat_map(BTreeMap::keys)
                    .filter(|it| !services.contains_key(*it))
                    .cloned()
                    .collect();
                for service in removed {
                    self.set_targets(now, &service, Vec::new());
                }
                self.registry = Some(services);
                self.set_all_targets(now);
            }
            ControlEvent::GetLoads(reply) => {
                let loads = LoadStatus {
                    in_flight: self.dispatcher.in_flight_loads(now),
                    waiting: self.dispatcher.waiting_services(),
                    batch_waiting: self.dispatcher.batch_waiting_services(),
                };
                // The receiver may have been dropped.
                let _ = reply.try_send(loads);
            }
            ControlEvent::Drain => {
                if let Some(rate) = &mut self.rate {
                    rate.slots.drain();
                }
                self.update_holdings(now);
            }
            ControlEvent::GetStatus(reply) => {
                // The receiver may have been dropped.
                let _ = reply.try_send(self.status(now));
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

    fn submit(&mut self, now: Timestamp, submitted: SubmittedRequest) {
        let id = submitted.request.id;
        let Some(rate) = &mut self.rate else {
            let refusal = Refusal {
                reason: Reason::NoTarget,
                execution: Execution::NotRun,
                retry_after: Duration::from_secs(1),
            };
            send_to_task(&submitted.directives, Directive::Refuse(refusal));
            return;
        };
        let Some(account) = submitted.rate_account else {
            self.enqueue(now, submitted);
            return;
        };
        let (acquired, actions) = rate.limiter.acquire(now, account, WaiterId(id));
        match acquired {
            AcquireOutcome::Granted => self.enqueue(now, submitted),
            AcquireOutcome::Waiting => {
                self.waiting_for_token.insert(id, submitted);
            }
            AcquireOutcome::Refused { retry_after } => {
                self.refuse_over_rate(now, &submitted, retry_after);
            }
        }
        self.perform_rate_actions(now, actions);
    }

    fn enqueue(&mut self, now: Timestamp, submitted: SubmittedRequest) {
        self.directive_senders.insert(submitted.request.id, submitted.directives);
        let actions = self.dispatcher.submit(now, submitted.request);
        self.perform_actions(actions);
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

    fn cancel_token_wait(&mut self, submitted: &SubmittedRequest) {
        if let (Some(rate), Some(account)) = (&mut self.rate, submitted.rate_account) {
            rate.limiter.cancel(account, WaiterId(submitted.request.id));
        }
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

    fn set_document(
        &mut self,
        now: Timestamp,
        document: Arc<Document>,
        withdrawn: Vec<(QualifiedName, Name)>,
    ) {
        let previous = self.document.replace(Arc::clone(&document));
        match &mut self.rate {
            Some(rate) => {
                let actions = rate.limiter.set_document(now, &document);
                self.perform_rate_actions(now, actions);
            }
            None => self.rate = Some(self.new_rate_state(now, &document)),
        }
        self.set_all_targets(now);
        let removed = previous.iter().flat_map(|it| it.services.keys());
        for name in removed.filter(|it| !document.services.contains_key(*it)) {
            self.set_targets(now, name, Vec::new());
        }
        for (account, key) in withdrawn {
            self.withdraw_key(now, account, key);
        }
    }

    fn new_rate_state(&self, now: Timestamp, document: &Document) -> RateState {
        let slots = SlotManager::new(
            self.cfg.instance.clone(),
            self.cfg.incarnation,
            document.fleet.rate_slots,
            DEFAULT_SLOT_VALIDITY,
            rng::seeded(self.cfg.seed ^ 1),
        );
        let limiter = RateLimiter::new(now, document, rng::seeded(self.cfg.seed ^ 2))
            .with_head_start(self.cfg.head_start)
            .with_loan_bytes_per_s(self.cfg.loan_bytes_per_s);
        RateState { admits_from: now + LENDER_HOLD, limiter, slots, holdings: Holdings::default() }
    }

    fn set_all_targets(&mut self, now: Timestamp) {
        let Some(document) = self.document.clone() else { return };
        let registry = self.registry.clone();
        for (name, service) in &document.services {
            let targets = match &registry {
                Some(registry) => registry.get(name).cloned().unwrap_or_default(),
                None => target_infos(service),
            };
            self.set_targets(now, name, targets);
        }
    }

    fn set_targets(
        &mut self,
        now: Timestamp,
        service: &QualifiedName,
        targets: Vec<dispatch::TargetInfo>,
    ) {
        let event = dispatch::Event::TargetsChanged { service: service.clone(), targets };
        let actions = self.dispatcher.on_event(now, event);
        self.perform_actions(actions);
    }

    fn withdraw_key(&mut self, now: Timestamp, account: QualifiedName, key: Name) {
        let uses_key = |it: &SubmittedRequest| {
            it.request.account == account && it.request.key.as_ref() == Some(&key)
        };
        let ids: Vec<u64> = self
            .waiting_for_token
            .iter()
            .filter(|(_, it)| uses_key(it))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(submitted) = self.waiting_for_token.remove(&id) else { continue };
            self.cancel_token_wait(&submitted);
            let refusal = Refusal {
                reason: Reason::KeyWithdrawn,
                execution: Execution::NotRun,
                retry_after: Duration::from_secs(1),
            };
            send_to_task(&submitted.directives, Directive::Refuse(refusal));
        }
        let event = dispatch::Event::KeyWithdrawn { account, key: Some(key) };
        let actions = self.dispatcher.on_event(now, event);
        self.perform_actions(actions);
    }

    /// Returns the instances that admit requests of callers, including this one if it does.
    fn admitting_instances(&self) -> BTreeMap<Name, AdmittingInstance> {
        let mut admitting = self.admitting.clone();
        if self.cfg.admits_callers {
            let (failure_domain, capacity) = (self.cfg.failure_domain.clone(), self.cfg.capacity);
            admitting
                .insert(self.cfg.instance.clone(), AdmittingInstance { failure_domain, capacity });
        }
        admitting
    }

    fn report_instances(&mut self, now: Timestamp) {
        let admitting = self.admitting_instances().into_iter();
        let instances = dispatch::Instances {
            admitting: admitting.map(|(name, it)| (name, it.failure_domain)).collect(),
            leaving: self.peers_leaving.clone(),
            runners: self.runners.clone(),
        };
        self.on_dispatch_event(now, dispatch::Event::Instances(instances));
    }

    fn tick_slots(&mut self, now: Timestamp) {
        if !self.cfg.admits_callers {
            return;
        }
        let mut admitting = self.admitting_instances();
        // A peer that shuts down releases its slots at once, before the list of registered daemons shows it.
        admitting.retain(|it, _| !self.peers_leaving.contains(it));
        let Some(rate) = &mut self.rate else { return };
        let candidates = admitting.iter().map(|(name, it)| slots::Candidate {
            name,
            failure_domain: &it.failure_domain,
            capacity: it.capacity,
        });
        for action in rate.slots.tick(now, &slots::holders(candidates)) {
            self.send_effect(Effect::Slot(action));
        }
    }

    fn update_holdings(&mut self, now: Timestamp) {
        let Some(rate) = &mut self.rate else { return };
        let holdings = rate.slots.holdings(now, &self.peers_up);
        if holdings != rate.holdings {
            debug!(self.log, "rate slots changed"; "held" => holdings.own.len());
            rate.limiter.set_holdings(now, &holdings);
            rate.holdings = holdings;
        }
    }

    fn perform_rate_actions(&mut self, now: Timestamp, actions: Vec<RateAction>) {
        for action in actions {
            match action {
                RateAction::Send { to, message } => {
                    self.send_effect(Effect::SendRate { to, message })
                }
                RateAction::Grant { waiter } => {
                    if let Some(submitted) = self.waiting_for_token.remove(&waiter.0) {
                        self.enqueue(now, submitted);
                    }
                }
                RateAction::Refuse { waiter, retry_after } => {
                    if let Some(submitted) = self.waiting_for_token.remove(&waiter.0) {
                        self.refuse_over_rate(now, &submitted, retry_after);
                    }
                }
            }
        }
    }

    fn refuse_over_rate(
        &self,
        now: Timestamp,
        submitted: &SubmittedRequest,
        retry_after: Duration,
    ) {
        let (Some(rate), Some(account)) = (&self.rate, submitted.rate_account) else { return };
        let inputs = rate.limiter.inputs(now, account);
        send_to_task(
            &submitted.directives,
            Directive::OverRate(RateRefusal { retry_after, inputs }),
        );
    }

    fn perform_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { id, target, version, attempt } => {
                    self.send_directive(id, Directive::Dispatch { target, version, attempt })
                }
                Action::CancelBatch { id } => self.send_directive(id, Directive::Yield),
                Action::Cancel { id } => self.send_directive(id, Directive::Cancel),
                Action::Refuse { id, refusal } => {
                    self.send_directive(id, Directive::Refuse(refusal));
                    self.directive_senders.remove(&id);
                }
                Action::Probe { service, target } => {
                    self.send_effect(Effect::Probe { service, target })
                }
                Action::HealthChanged { service, target, health, in_flight } => info!(
                    self.log, "target health changed";
                    "service" => %service, "target" => %target, "health" => ?health, "in_flight" => in_flight
                ),
                Action::LimitChanged { service, target, limit } => info!(
                    self.log, "target limit changed";
                    "service" => %service, "target" => %target, "limit_per_s" => limit.map(|it| it.0 as f64 / 1_000.0)
                ),
                Action::ShareLimit { to, news } => {
                    self.send_effect(Effect::ShareLimit { to, news })
                }
                Action::ShareLoad => self.send_effect(Effect::ShareLoad),
                Action::ShareVerdict { fingerprint } => {
                    self.send_effect(Effect::ShareVerdict { fingerprint })
                }
                Action::RepeatVerdict { to, fingerprint } => {
                    self.send_effect(Effect::RepeatVerdict { to, fingerprint })
                }
                Action::LiftVerdict { fingerprint } => {
                    self.send_effect(Effect::LiftVerdict { fingerprint })
                }
                Action::ShareSuspicion(suspicion) => {
                    self.send_effect(Effect::ShareSuspicion(suspicion))
                }
                Action::SharePartCrash { target, parts } => {
                    self.send_effect(Effect::SharePartCrash { target, parts })
                }
                Action::SharePartVerdict { part, lifetime } => {
                    self.send_effect(Effect::SharePartVerdict { part, lifetime })
                }
                Action::ShareClearedParts(parts) => {
                    self.send_effect(Effect::ShareClearedParts(parts))
                }
                Action::LiftPartVerdict { part } => {
                    self.send_effect(Effect::LiftPartVerdict { part })
                }
                Action::ShareClaim { to, claim } => {
                    self.send_effect(Effect::ShareClaim { to, claim })
                }
            }
        }
    }

    fn send_directive(&self, id: u64, directive: Directive) {
        if let Some(directives) = self.directive_senders.get(&id) {
            send_to_task(directives, directive);
        }
    }

    fn send_effect(&self, effect: Effect) {
        if self.effects.try_send(effect).is_err() {
            warn!(
                self.log,
                "the daemon is stopping; an action of the control thread is not performed"
            );
        }
    }

    fn status(&self, now: Timestamp) -> ControlStatus {
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
            services: self.dispatcher.snapshot(now).into_iter().map(ServiceStatus::from).collect(),
        }
    }
}

/// Sends a directive to a request task. Errors are ignored, because a task that ends reports that by itself.
fn send_to_task(directives: &async_channel::Sender<Directive>, directive: Directive) {
    let _ = directives.try_send(directive);
}
