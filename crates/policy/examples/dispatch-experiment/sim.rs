//! A discrete-event simulation of instances, engines and the messages between them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

use fleet::{Kind, QualifiedName};
use hdrhistogram::Histogram;
use policy::dispatch::{
    Action, Class, Dispatcher, Event, FailureCause, Reason, Request, Settings, TargetInfo,
    TargetLoad,
};
use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, rng};

use crate::{
    baseline::{Baseline, Route},
    engine::{Engine, EngineModel, Output, Sequence},
};

pub const SECOND_US: u64 = 1_000_000;
const LINK_DELAY_US: u64 = 500;
const TICK_INTERVAL_US: u64 = 50_000;
const HEARTBEAT_INTERVAL_US: u64 = 250_000;
/// The interval of the engines' load reports, and also the age of a report when it arrives.
const REPORT_INTERVAL_US: u64 = 500_000;
/// The batch items that each instance keeps waiting.
const BATCH_BACKLOG: usize = 32;
/// The tokens of a batch request, with the same ratio of prompt to output as the default online mix, so that a token of
/// either class costs an engine the same.
const BATCH_PROMPT: u32 = 358;
const BATCH_OUTPUT: u32 = 100;

/// The scheduler of each instance.
#[derive(Debug, Clone)]
pub enum Scheduler {
    Dispatcher(Box<Settings>),
    Baseline(Route),
}

/// How an engine fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// One engine answers probes but crashes `after_us` after it received its first request since the last crash, and is
    /// down for `down_us`.
    Flapping {
        after_us: u64,
        down_us: u64,
    },
    /// Until `until_us`, each request fails at any engine with a probability of `percent`.
    Errors {
        percent: u32,
        until_us: u64,
    },
}

/// An online request of the offered load.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_us: u64,
    pub account: usize,
    pub weight: u32,
    pub prompt: u32,
    pub output: u32,
    pub prefix: Option<(u64, u32)>,
    pub timeout: Duration,
}

pub struct Setup {
    pub scheduler: Scheduler,
    pub engine: EngineModel,
    pub failure_domains: usize,
    pub instances_per_domain: usize,
    pub engines_per_domain: usize,
    pub batch: bool,
    pub fault: Fault,
    pub end_us: u64,
    pub seed: u64,
    /// Completions before this time are not counted.
    pub measure_from_us: u64,
}

/// The measurements of a run.
pub struct Measurements {
    /// Time to first token of online requests, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time to the whole answer of online requests, in microseconds.
    pub latency: Histogram<u64>,
    pub batch_tokens: u64,
    pub online_tokens: u64,
    pub tokens_by_account: BTreeMap<usize, u64>,
    pub completed: u64,
    pub refused: BTreeMap<Reason, u64>,
    pub refused_by_account: BTreeMap<usize, u64>,
    pub first_attempts: u64,
    pub attempts: u64,
    pub failed_attempts: u64,
    pub yields: u64,
    pub cache_hits: f64,
}

enum SimEvent {
    Arrive(usize),
    Send { instance: usize, id: u64, target: usize, dispatch: u64 },
    Step { target: usize, incarnation: u64 },
    Deliver { instance: usize, event: Event },
    Crash { target: usize },
    Tick,
    Heartbeats,
    LoadReports,
}

struct Pending {
    arrival: Option<Arrival>,
    class: Class,
    target: usize,
    /// The number of the last dispatch; an earlier, cancelled one may still be in transit.
    dispatch: u64,
}

struct SimTarget {
    engine: Engine,
    incarnation: u64,
    up_at: u64,
    crash_scheduled: bool,
}

enum Instance {
    Dispatcher(Box<Dispatcher>),
    Baseline(Baseline),
}

pub struct Sim<'a> {
    setup: &'a Setup,
    arrivals: &'a [Arrival],
    rng: Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimEvent>,
    next_event: u64,
    instances: Vec<Instance>,
    targets: Vec<SimTarget>,
    pending: HashMap<u64, Pending>,
    next_id: u64,
    measurements: Measurements,
}

pub fn run(setup: &Setup, arrivals: &[Arrival]) -> Measurements {
    Sim::new(setup, arrivals).run()
}

pub fn service() -> QualifiedName {
    QualifiedName::new("kigali", Kind::Service, "chat")
}

pub fn account(index: usize) -> QualifiedName {
    QualifiedName::new("kigali", Kind::Account, format!("account-{index}"))
}

pub fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are allowed")
}

fn failure_domain(index: usize) -> Name {
    Name::new(format!("z{index}"))
}

impl<'a> Sim<'a> {
    fn new(setup: &'a Setup, arrivals: &'a [Arrival]) -> Self {
        let engines = setup.failure_domains * setup.engines_per_domain;
        let infos: Vec<_> = (0..engines)
            .map(|i| TargetInfo {
                name: Name::new(format!("t{i}")),
                failure_domain: failure_domain(i / setup.engines_per_domain),
                concurrency: setup.engine.max_running as u32,
                leaving: false,
                registered: false,
                incarnation: 0,
                version: Name::from(""),
                cold_until: Timestamp::ZERO,
                cold_rate_millis: 0,
            })
            .collect();
        let new_target = || SimTarget {
            engine: Engine::new(setup.engine),
            incarnation: 0,
            up_at: 0,
            crash_scheduled: false,
        };
        let mut sim = Self {
            setup,
            arrivals,
            rng: rng::seeded(setup.seed),
            now: 1,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            instances: Vec::new(),
            targets: (0..engines).map(|_| new_target()).collect(),
            pending: HashMap::new(),
            next_id: 0,
            measurements: Measurements {
                first_token: histogram(),
                latency: histogram(),
                batch_tokens: 0,
                online_tokens: 0,
                tokens_by_account: BTreeMap::new(),
                completed: 0,
                refused: BTreeMap::new(),
                refused_by_account: BTreeMap::new(),
                first_attempts: 0,
                attempts: 0,
                failed_attempts: 0,
                yields: 0,
                cache_hits: 0.0,
            },
        };
        for i in 0..setup.failure_domains * setup.instances_per_domain {
            let failure_domain = failure_domain(i / setup.instances_per_domain);
            match &setup.scheduler {
                Scheduler::Dispatcher(settings) => {
                    let instance = Name::new(format!("d{i}"));
                    let settings = Settings { instance, failure_domain, ..(**settings).clone() };
                    let seed = sim.rng.random();
                    let dispatcher = Box::new(Dispatcher::new(settings, rng::seeded(seed)));
                    sim.instances.push(Instance::Dispatcher(dispatcher));
                    sim.deliver(
                        i,
                        Event::TargetsChanged { service: service(), targets: infos.clone() },
                    );
                }
                Scheduler::Baseline(route) => {
                    let local = infos.iter().filter(|it| it.failure_domain == failure_domain);
                    let limit = (setup.engine.max_running as u32)
                        .div_ceil(setup.instances_per_domain as u32);
                    let baseline = Baseline::new(*route, local.map(|it| it.name.clone()), limit);
                    sim.instances.push(Instance::Baseline(baseline));
                }
            }
        }
        sim
    }

    fn run(mut self) -> Measurements {
        self.schedule_at(1, SimEvent::Tick);
        self.schedule_at(HEARTBEAT_INTERVAL_US, SimEvent::Heartbeats);
        self.schedule_at(REPORT_INTERVAL_US, SimEvent::LoadReports);
        (0..self.arrivals.len())
            .for_each(|i| self.schedule_at(self.arrivals[i].at_us, SimEvent::Arrive(i)));
        while let Some(Reverse((time, key))) = self.queue.pop() {
            if time > self.setup.end_us {
                break;
            }
            self.now = self.now.max(time);
            let event = self.events.remove(&key).expect("each key is queued once");
            self.handle(event);
        }
        let sum = |f: fn(&Engine) -> u64| self.targets.iter().map(|it| f(&it.engine)).sum::<u64>();
        let prompt = sum(|it| it.prompt_tokens).max(1);
        self.measurements.cache_hits = sum(|it| it.cached_tokens) as f64 / prompt as f64;
        self.measurements
    }

    fn schedule_at(&mut self, time: u64, event: SimEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((time, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(index) => self.arrive(index),
            SimEvent::Send { instance, id, target, dispatch } => {
                if self.pending.get(&id).is_some_and(|it| it.dispatch == dispatch) {
                    self.receive(instance, id, target);
                }
            }
            SimEvent::Step { target, incarnation } => self.finish_step(target, incarnation),
            SimEvent::Deliver { instance, event } => self.deliver(instance, event),
            SimEvent::Crash { target } => self.crash(target),
            SimEvent::Tick => {
                for instance in 0..self.instances.len() {
                    let now = Timestamp::from_micros(self.now);
                    if let Instance::Dispatcher(it) = &mut self.instances[instance] {
                        let actions = it.tick(now);
                        self.apply_actions(instance, actions);
                    }
                    self.refill_batch(instance);
                }
                self.schedule_at(self.now + TICK_INTERVAL_US, SimEvent::Tick);
            }
            SimEvent::Heartbeats => self.send_heartbeats(),
            SimEvent::LoadReports => self.send_load_reports(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let arrival = self.arrivals[index].clone();
        let instance = index % self.instances.len();
        let request = Request {
            account: account(arrival.account),
            weight: arrival.weight,
            class: Class::Online,
            cost: u64::from(arrival.prompt + arrival.output),
            deadline: Timestamp::from_micros(self.now) + arrival.timeout,
            prefix: arrival.prefix.map(|it| it.0),
            ..self.default_request()
        };
        let pending =
            Pending { arrival: Some(arrival), class: Class::Online, target: 0, dispatch: 0 };
        self.submit(instance, request, pending);
    }

    fn refill_batch(&mut self, instance: usize) {
        while self.setup.batch && self.batch_backlog(instance) < BATCH_BACKLOG {
            let request = Request {
                account: account(1_000),
                class: Class::Batch,
                cost: u64::from(BATCH_PROMPT + BATCH_OUTPUT),
                ..self.default_request()
            };
            let pending = Pending { arrival: None, class: Class::Batch, target: 0, dispatch: 0 };
            self.submit(instance, request, pending);
        }
    }

    fn batch_backlog(&self, instance: usize) -> usize {
        match &self.instances[instance] {
            Instance::Dispatcher(it) => {
                it.snapshot(Timestamp::from_micros(self.now))[0].batch_queued
            }
            Instance::Baseline(it) => it.queued(),
        }
    }

    fn default_request(&mut self) -> Request {
        self.next_id += 1;
        let mut fingerprint = [0; 32];
        fingerprint[..8].copy_from_slice(&self.next_id.to_le_bytes());
        Request {
            id: self.next_id,
            account: account(0),
            key: None,
            weight: 1,
            service: service(),
            class: Class::Online,
            cost: 1,
            bytes: 1_024,
            deadline: Timestamp::from_micros(u64::MAX),
            idempotent: true,
            resumable: false,
            version: None,
            max_attempts: u32::MAX,
            due: Timestamp::from_millis(3_600_000),
            large_reserve_until: Timestamp::ZERO,
            prefix: None,
            shared_parts: Vec::new(),
            harmless: false,
            fingerprint,
        }
    }

    fn submit(&mut self, instance: usize, request: Request, pending: Pending) {
        self.pending.insert(request.id, pending);
        let now = Timestamp::from_micros(self.now);
        let actions = match &mut self.instances[instance] {
            Instance::Dispatcher(it) => it.submit(now, request),
            Instance::Baseline(it) => it.submit(request),
        };
        self.apply_actions(instance, actions);
    }

    fn deliver(&mut self, instance: usize, event: Event) {
        let refill = matches!(event, Event::Completed { .. });
        let now = Timestamp::from_micros(self.now);
        let actions = match &mut self.instances[instance] {
            Instance::Dispatcher(it) => it.on_event(now, event),
            Instance::Baseline(it) => it.on_event(now, &event),
        };
        self.apply_actions(instance, actions);
        if refill {
            self.refill_batch(instance);
        }
    }

    fn apply_actions(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { id, target, attempt, .. } => {
                    let target = index_of(&target);
                    let pending = self.pending.get_mut(&id).expect("the request is open");
                    pending.target = target;
                    pending.dispatch += 1;
                    let dispatch = pending.dispatch;
                    if pending.class == Class::Online {
                        self.measurements.attempts += 1;
                        self.measurements.first_attempts += u64::from(attempt == 1);
                    }
                    self.schedule_at(
                        self.now + LINK_DELAY_US,
                        SimEvent::Send { instance, id, target, dispatch },
                    );
                }
                Action::Refuse { id, refusal } => {
                    let pending = self.pending.remove(&id);
                    if let Some(arrival) = pending.and_then(|it| it.arrival) {
                        *self.measurements.refused.entry(refusal.reason).or_default() += 1;
                        let by_account = &mut self.measurements.refused_by_account;
                        *by_account.entry(arrival.account).or_default() += 1;
                    }
                }
                Action::CancelBatch { id } => {
                    // The completion of a finished request is in transit.
                    let Some(pending) = self.pending.get_mut(&id) else { continue };
                    pending.dispatch += 1;
                    self.measurements.yields += 1;
                    self.targets[pending.target].engine.cancel(id);
                    self.schedule_at(
                        self.now,
                        SimEvent::Deliver { instance, event: Event::Yielded { id } },
                    );
                }
                Action::ReadLoad { service, target } => {
                    let running = self.targets[index_of(&target)].engine.load();
                    let load = TargetLoad { running, ..TargetLoad::default() };
                    let sent_at = Some(Timestamp::from_micros(self.now));
                    let event = Event::LoadReport { service, target, load, sent_at };
                    self.schedule_at(
                        self.now + 2 * LINK_DELAY_US,
                        SimEvent::Deliver { instance, event },
                    );
                }
                Action::Probe { service, target } => {
                    let ok = self.targets[index_of(&target)].up_at <= self.now;
                    let event = Event::Probed { service, target, ok };
                    self.schedule_at(
                        self.now + 2 * LINK_DELAY_US,
                        SimEvent::Deliver { instance, event },
                    );
                }
                Action::HealthChanged { .. }
                | Action::LimitChanged { .. }
                | Action::ReadEvacuations
                | Action::ColdChanged { .. }
                | Action::EvacuationChanged { .. }
                | Action::BeliefChanged { .. }
                | Action::ShareLimit { .. } => {}
                Action::ShareLoad => self.send_heartbeat(instance),
                // No request of the experiment is poison, and the wait between a claim and its run elapses without answers
                // to the claim.
                Action::Cancel { .. }
                | Action::ShareVerdict { .. }
                | Action::RepeatVerdict { .. }
                | Action::LiftVerdict { .. }
                | Action::ShareSuspicion(_)
                | Action::SharePartCrash { .. }
                | Action::SharePartVerdict { .. }
                | Action::ShareClearedParts(_)
                | Action::LiftPartVerdict { .. }
                | Action::ShareClaim { .. } => {}
            }
        }
    }

    fn receive(&mut self, instance: usize, id: u64, target: usize) {
        let sim_target = &mut self.targets[target];
        if sim_target.up_at > self.now {
            self.measurements.failed_attempts += 1;
            let event = Event::FailedBeforeSend { id };
            return self
                .schedule_at(self.now + LINK_DELAY_US, SimEvent::Deliver { instance, event });
        }
        let pending = &self.pending[&id];
        let (prompt, output, prefix) = match &pending.arrival {
            Some(it) => (it.prompt, it.output, it.prefix),
            None => (BATCH_PROMPT, BATCH_OUTPUT, None),
        };
        sim_target.engine.push(Sequence { id, instance, prompt, output, prefix });
        if !sim_target.engine.is_stepping {
            self.start_step(target);
        }
        match self.setup.fault {
            Fault::Flapping { after_us, .. } if target == 0 && !self.targets[0].crash_scheduled => {
                self.targets[0].crash_scheduled = true;
                self.schedule_at(self.now + after_us, SimEvent::Crash { target });
            }
            Fault::Errors { percent, until_us }
                if self.now < until_us && self.rng.random_range(0..100) < percent =>
            {
                self.measurements.failed_attempts += 1;
                self.targets[target].engine.cancel(id);
                let event = Event::FailedAfterSend { id, cause: FailureCause::BadAnswer };
                self.schedule_at(self.now + LINK_DELAY_US, SimEvent::Deliver { instance, event });
            }
            _ => {}
        }
    }

    fn start_step(&mut self, target: usize) {
        let sim_target = &mut self.targets[target];
        let incarnation = sim_target.incarnation;
        if let Some(step) = sim_target.engine.start_step() {
            self.schedule_at(self.now + step, SimEvent::Step { target, incarnation });
        }
    }

    fn finish_step(&mut self, target: usize, incarnation: u64) {
        if self.targets[target].incarnation != incarnation {
            return;
        }
        for output in self.targets[target].engine.finish_step() {
            match output {
                Output::FirstToken(it) => {
                    self.record_first_token(it.id);
                    let event = Event::FirstByte { id: it.id };
                    let instance = it.instance;
                    self.schedule_at(
                        self.now + LINK_DELAY_US,
                        SimEvent::Deliver { instance, event },
                    );
                }
                Output::Done(it) => self.complete(it),
            }
        }
        self.start_step(target);
    }

    fn record_first_token(&mut self, id: u64) {
        let arrival = self.pending.get(&id).and_then(|it| it.arrival.as_ref());
        if let Some(arrival) = arrival.filter(|it| it.at_us >= self.setup.measure_from_us) {
            self.measurements.first_token += self.now - arrival.at_us;
        }
    }

    fn complete(&mut self, sequence: Sequence) {
        let tokens = u64::from(sequence.prompt + sequence.output);
        let Some(pending) = self.pending.remove(&sequence.id) else { return };
        let is_measured = self.now >= self.setup.measure_from_us;
        match pending.arrival {
            _ if !is_measured => {}
            Some(arrival) => {
                self.measurements.latency += self.now - arrival.at_us;
                self.measurements.online_tokens += tokens;
                self.measurements.completed += 1;
                *self.measurements.tokens_by_account.entry(arrival.account).or_default() += tokens;
            }
            None => self.measurements.batch_tokens += tokens,
        }
        let event = Event::Completed { id: sequence.id, tokens: Some(tokens) };
        self.schedule_at(
            self.now + LINK_DELAY_US,
            SimEvent::Deliver { instance: sequence.instance, event },
        );
    }

    fn crash(&mut self, target: usize) {
        let Fault::Flapping { down_us, .. } = self.setup.fault else { return };
        let sim_target = &mut self.targets[target];
        sim_target.incarnation += 1;
        sim_target.crash_scheduled = false;
        sim_target.up_at = self.now + down_us;
        sim_target.engine.is_stepping = false;
        for lost in sim_target.engine.crash() {
            self.measurements.failed_attempts += 1;
            let cause = FailureCause::ConnectionLost;
            let event = Event::FailedAfterSend { id: lost.id, cause };
            self.schedule_at(
                self.now + LINK_DELAY_US,
                SimEvent::Deliver { instance: lost.instance, event },
            );
        }
    }

    fn send_heartbeats(&mut self) {
        (0..self.instances.len()).for_each(|it| self.send_heartbeat(it));
        self.schedule_at(self.now + HEARTBEAT_INTERVAL_US, SimEvent::Heartbeats);
    }

    fn send_heartbeat(&mut self, from: usize) {
        let Instance::Dispatcher(dispatcher) = &self.instances[from] else { return };
        let loads = dispatcher.in_flight_loads(Timestamp::from_micros(self.now));
        let waiting = dispatcher.waiting_services();
        let batch_waiting = dispatcher.batch_waiting_services();
        for to in (0..self.instances.len()).filter(|it| *it != from) {
            let event = Event::PeerHeartbeat {
                peer: Name::new(format!("d{from}")),
                failure_domain: failure_domain(from / self.setup.instances_per_domain),
                loads: loads.clone(),
                waiting: waiting.clone(),
                batch_waiting: batch_waiting.clone(),
            };
            self.schedule_at(self.now + LINK_DELAY_US, SimEvent::Deliver { instance: to, event });
        }
    }

    fn send_load_reports(&mut self) {
        for target in 0..self.targets.len() {
            let in_flight = self.targets[target].engine.load();
            for instance in 0..self.instances.len() {
                let target = Name::new(format!("t{target}"));
                let load = TargetLoad { running: in_flight, ..TargetLoad::default() };
                let event = Event::LoadReport { service: service(), target, load, sent_at: None };
                self.schedule_at(
                    self.now + REPORT_INTERVAL_US,
                    SimEvent::Deliver { instance, event },
                );
            }
        }
        self.schedule_at(self.now + REPORT_INTERVAL_US, SimEvent::LoadReports);
    }
}

fn index_of(target: &Name) -> usize {
    target[1..].parse().expect("targets are named t and a number")
}
