//! The decisions of the control thread, without threads.

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

use super::{Admitting, ControlConfig, ControlEvent, Directive, Effect, RateRefusal, Ticket};
use crate::status::{ControlStatus, LoadStatus, ServiceStatus};

/// The longest pause between two ticks; queue deadlines, probes and slots are checked this often.
const TICK: Duration = Duration::from_millis(20);
/// The same while nothing waits for the passing of time, so that idle daemons do next to nothing.
const REST_TICK: Duration = Duration::from_millis(200);

/// Everything that the control thread owns.
pub struct State {
    cfg: ControlConfig,
    log: Logger,
    effects: async_channel::Sender<Effect>,
    dispatcher: Dispatcher,
    /// Exists once a document is in force.
    rate: Option<Rate>,
    /// Requests that wait for a token.
    rate_waiting: HashMap<u64, Ticket>,
    /// Requests that the dispatcher holds.
    open: HashMap<u64, async_channel::Sender<Directive>>,
    document: Option<Arc<Document>>,
    /// The registered daemons that admit callers.
    admitting: BTreeMap<Name, Admitting>,
    /// The registered targets by service, where they replace those of the document.
    registry: Option<BTreeMap<QualifiedName, Vec<dispatch::TargetInfo>>>,
    peers_up: BTreeSet<Name>,
    /// Peers that announced their shutdown and have not come back since.
    peers_leaving: BTreeSet<Name>,
    ticked_at: Timestamp,
}

struct Rate {
    /// When the limiter starts to admit: loans of an earlier run under the same id have lapsed then.
    admits_at: Timestamp,
    limiter: RateLimiter,
    slots: SlotManager,
    holdings: Holdings,
}

impl Rate {
    /// Returns whether requests can be admitted: from own slots, or by loans from peers that hold some.
    fn is_admitting(&self, now: Timestamp) -> bool {
        now >= self.admits_at && !(self.holdings.own.is_empty() && self.holdings.peers.is_empty())
    }
}

impl State {
    /// Creates the state of a daemon without a document.
    pub fn new(cfg: ControlConfig, log: Logger, effects: async_channel::Sender<Effect>) -> Self {
        let settings = dispatch::Settings::new(cfg.instance.clone(), cfg.failure_domain.clone());
        let dispatcher = Dispatcher::new(settings, rng::seeded(cfg.seed));
        Self {
            cfg,
            log,
            effects,
            dispatcher,
            rate: None,
            rate_waiting: HashMap::new(),
            open: HashMap::new(),
            document: None,
            admitting: BTreeMap::new(),
            registry: None,
            peers_up: BTreeSet::new(),
            peers_leaving: BTreeSet::new(),
            ticked_at: Timestamp::ZERO,
        }
    }

    /// Takes an event and performs what follows from it.
    pub fn handle(&mut self, now: Timestamp, event: ControlEvent) {
        match event {
            ControlEvent::Submit(ticket) => self.submit(now, *ticket),
            ControlEvent::Dispatch(event) => self.dispatch_event(now, event),
            ControlEvent::Rate { from, message } => {
                let Some(rate) = &mut self.rate else { return };
                let actions = rate.limiter.on_message(now, &from, message);
                self.perform_rate(now, actions);
            }
            ControlEvent::PeerLink { peer, up } => self.peer_link(now, peer, up),
            ControlEvent::PeerLeaving { peer } => {
                self.peers_leaving.insert(peer);
                self.tell_admitting(now);
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
            ControlEvent::Members { admitting } => {
                self.admitting = admitting;
                self.tell_admitting(now);
            }
            ControlEvent::Registry { services } => {
                let gone: Vec<QualifiedName> = self
                    .registry
                    .iter()
                    .flat_map(BTreeMap::keys)
                    .filter(|it| !services.contains_key(*it))
                    .cloned()
                    .collect();
                for service in gone {
                    self.change_targets(now, &service, Vec::new());
                }
                self.registry = Some(services);
                self.change_all_targets(now);
            }
            ControlEvent::Loads(reply) => {
                let loads = LoadStatus {
                    in_flight: self.dispatcher.in_flight_loads(now),
                    waiting: self.dispatcher.waiting_services(),
                    batch_waiting: self.dispatcher.batch_waiting_services(),
                };
                // The asker may have gone.
                let _ = reply.try_send(loads);
            }
            ControlEvent::Drain => {
                if let Some(rate) = &mut self.rate {
                    rate.slots.drain();
                }
                self.update_holdings(now);
            }
            ControlEvent::Status(reply) => {
                // The asker may have gone.
                let _ = reply.try_send(self.status(now));
            }
            ControlEvent::Stop => {}
        }
    }

    /// Returns when the next tick is due.
    pub fn next_tick(&self) -> Timestamp {
        let regular = match self.dispatcher.is_quiescent() && self.rate_waiting.is_empty() {
            true => self.ticked_at + REST_TICK,
            false => self.ticked_at + TICK,
        };
        let rate = self.rate.as_ref().and_then(|it| it.limiter.next_tick());
        rate.map_or(regular, |it| it.min(regular))
    }

    /// Does what is due by time.
    pub fn tick_if_due(&mut self, now: Timestamp) {
        if let Some(rate) = &mut self.rate
            && rate.limiter.next_tick().is_some_and(|at| at <= now)
        {
            let actions = rate.limiter.tick(now);
            self.perform_rate(now, actions);
        }
        if now.since(self.ticked_at) < TICK {
            return;
        }
        self.ticked_at = now;
        let actions = self.dispatcher.tick(now);
        self.perform(actions);
        self.tick_slots(now);
        self.update_holdings(now);
    }

    fn submit(&mut self, now: Timestamp, ticket: Ticket) {
        let id = ticket.request.id;
        let Some(rate) = &mut self.rate else {
            let refusal = Refusal {
                reason: Reason::NoTarget,
                execution: Execution::NotRun,
                retry_after: Duration::from_secs(1),
            };
            answer(&ticket.reply, Directive::Refuse(refusal));
            return;
        };
        let Some(account) = ticket.rate_account else {
            self.enqueue(now, ticket);
            return;
        };
        let (acquired, actions) = rate.limiter.acquire(now, account, WaiterId(id));
        match acquired {
            AcquireOutcome::Granted => self.enqueue(now, ticket),
            AcquireOutcome::Waiting => {
                self.rate_waiting.insert(id, ticket);
            }
            AcquireOutcome::Refused { retry_after } => {
                self.refuse_over_rate(now, &ticket, retry_after);
            }
        }
        self.perform_rate(now, actions);
    }

    fn enqueue(&mut self, now: Timestamp, ticket: Ticket) {
        self.open.insert(ticket.request.id, ticket.reply);
        let actions = self.dispatcher.submit(now, ticket.request);
        self.perform(actions);
    }

    fn dispatch_event(&mut self, now: Timestamp, event: dispatch::Event) {
        match &event {
            dispatch::Event::CallerGone { id } => {
                if let Some(ticket) = self.rate_waiting.remove(id) {
                    self.cancel_rate(&ticket);
                    return;
                }
                self.open.remove(id);
            }
            dispatch::Event::Completed { id, .. } => {
                self.open.remove(id);
            }
            _ => {}
        }
        let actions = self.dispatcher.on_event(now, event);
        self.perform(actions);
    }

    fn cancel_rate(&mut self, ticket: &Ticket) {
        if let (Some(rate), Some(account)) = (&mut self.rate, ticket.rate_account) {
            rate.limiter.cancel(account, WaiterId(ticket.request.id));
        }
    }

    fn peer_link(&mut self, now: Timestamp, peer: Name, up: bool) {
        info!(self.log, "peer link changed"; "peer" => %peer, "up" => up);
        self.dispatch_event(now, dispatch::Event::PeerLink { peer: peer.clone(), up });
        if up {
            self.peers_leaving.remove(&peer);
            self.peers_up.insert(peer);
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
                self.perform_rate(now, actions);
            }
            None => self.rate = Some(self.first_rate(now, &document)),
        }
        self.change_all_targets(now);
        let removed = previous.iter().flat_map(|it| it.services.keys());
        for name in removed.filter(|it| !document.services.contains_key(*it)) {
            self.change_targets(now, name, Vec::new());
        }
        for (account, key) in withdrawn {
            self.withdraw_key(now, account, key);
        }
    }

    fn first_rate(&self, now: Timestamp, document: &Document) -> Rate {
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
        Rate { admits_at: now + LENDER_HOLD, limiter, slots, holdings: Holdings::default() }
    }

    fn change_all_targets(&mut self, now: Timestamp) {
        let Some(document) = self.document.clone() else { return };
        let registry = self.registry.clone();
        for (name, service) in &document.services {
            let targets = match &registry {
                Some(registry) => registry.get(name).cloned().unwrap_or_default(),
                None => target_infos(service),
            };
            self.change_targets(now, name, targets);
        }
    }

    fn change_targets(
        &mut self,
        now: Timestamp,
        service: &QualifiedName,
        targets: Vec<dispatch::TargetInfo>,
    ) {
        let event = dispatch::Event::TargetsChanged { service: service.clone(), targets };
        let actions = self.dispatcher.on_event(now, event);
        self.perform(actions);
    }

    fn withdraw_key(&mut self, now: Timestamp, account: QualifiedName, key: Name) {
        let is_concerned =
            |it: &Ticket| it.request.account == account && it.request.key.as_ref() == Some(&key);
        let ids: Vec<u64> = self
            .rate_waiting
            .iter()
            .filter(|(_, it)| is_concerned(it))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let Some(ticket) = self.rate_waiting.remove(&id) else { continue };
            self.cancel_rate(&ticket);
            let refusal = Refusal {
                reason: Reason::KeyWithdrawn,
                execution: Execution::NotRun,
                retry_after: Duration::from_secs(1),
            };
            answer(&ticket.reply, Directive::Refuse(refusal));
        }
        let event = dispatch::Event::KeyWithdrawn { account, key: Some(key) };
        let actions = self.dispatcher.on_event(now, event);
        self.perform(actions);
    }

    /// Returns the instances that admit callers.
    fn admitting_instances(&self) -> BTreeMap<Name, Admitting> {
        let mut admitting = self.admitting.clone();
        if self.cfg.admits_callers {
            let (failure_domain, capacity) = (self.cfg.failure_domain.clone(), self.cfg.capacity);
            admitting.insert(self.cfg.instance.clone(), Admitting { failure_domain, capacity });
        }
        // A peer that shuts down releases its slots and sends no more requests at once, while the list lags.
        admitting.retain(|it, _| !self.peers_leaving.contains(it));
        admitting
    }

    fn tell_admitting(&mut self, now: Timestamp) {
        let admitting = self.admitting_instances().into_iter();
        let near = admitting.filter(|(_, it)| it.failure_domain == self.cfg.failure_domain);
        let instances = near.map(|(instance, _)| instance).collect();
        self.dispatch_event(now, dispatch::Event::AdmittingInstances(instances));
    }

    fn tick_slots(&mut self, now: Timestamp) {
        if !self.cfg.admits_callers {
            return;
        }
        let admitting = self.admitting_instances();
        let Some(rate) = &mut self.rate else { return };
        let candidates = admitting.iter().map(|(name, it)| slots::Candidate {
            name,
            failure_domain: &it.failure_domain,
            capacity: it.capacity,
        });
        for action in rate.slots.tick(now, &slots::holders(candidates)) {
            self.effect(Effect::Slot(action));
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

    fn perform_rate(&mut self, now: Timestamp, actions: Vec<RateAction>) {
        for action in actions {
            match action {
                RateAction::Send { to, message } => self.effect(Effect::SendRate { to, message }),
                RateAction::Grant { waiter } => {
                    if let Some(ticket) = self.rate_waiting.remove(&waiter.0) {
                        self.enqueue(now, ticket);
                    }
                }
                RateAction::Refuse { waiter, retry_after } => {
                    if let Some(ticket) = self.rate_waiting.remove(&waiter.0) {
                        self.refuse_over_rate(now, &ticket, retry_after);
                    }
                }
            }
        }
    }

    /// Refuses a request whose account is over its rate.
    fn refuse_over_rate(&self, now: Timestamp, ticket: &Ticket, retry_after: Duration) {
        let (Some(rate), Some(account)) = (&self.rate, ticket.rate_account) else { return };
        let inputs = rate.limiter.inputs(now, account);
        answer(&ticket.reply, Directive::OverRate(RateRefusal { retry_after, inputs }));
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { id, target, attempt } => {
                    self.direct(id, Directive::Dispatch { target, attempt })
                }
                Action::CancelBatch { id } => self.direct(id, Directive::Yield),
                Action::Cancel { id } => self.direct(id, Directive::Cancel),
                Action::Refuse { id, refusal } => {
                    self.direct(id, Directive::Refuse(refusal));
                    self.open.remove(&id);
                }
                Action::Probe { service, target } => self.effect(Effect::Probe { service, target }),
                Action::HealthChanged { service, target, health, in_flight } => info!(
                    self.log, "target health changed";
                    "service" => %service, "target" => %target, "health" => ?health, "in_flight" => in_flight
                ),
                Action::ShareLoad => self.effect(Effect::ShareLoad),
                Action::ShareVerdict { fingerprint } => {
                    self.effect(Effect::ShareVerdict { fingerprint })
                }
                Action::RepeatVerdict { to, fingerprint } => {
                    self.effect(Effect::RepeatVerdict { to, fingerprint })
                }
                Action::LiftVerdict { fingerprint } => {
                    self.effect(Effect::LiftVerdict { fingerprint })
                }
                Action::ShareSuspicion(suspicion) => self.effect(Effect::ShareSuspicion(suspicion)),
                Action::ShareClaim { to, claim } => self.effect(Effect::ShareClaim { to, claim }),
            }
        }
    }

    fn direct(&self, id: u64, directive: Directive) {
        if let Some(reply) = self.open.get(&id) {
            answer(reply, directive);
        }
    }

    fn effect(&self, effect: Effect) {
        if self.effects.try_send(effect).is_err() {
            warn!(
                self.log,
                "the daemon is stopping; a step outside the control thread is left out"
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
            requests_open: self.open.len() + self.rate_waiting.len(),
            services: self.dispatcher.snapshot(now).into_iter().map(ServiceStatus::from).collect(),
        }
    }
}

/// Sends a directive to a task; a task that is gone reports that itself.
fn answer(reply: &async_channel::Sender<Directive>, directive: Directive) {
    let _ = reply.try_send(directive);
}
