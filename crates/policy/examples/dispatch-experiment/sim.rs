//! Simulated time: instances, engines and the events between them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

use fleet::{Kind, QualifiedName};
use hdrhistogram::Histogram;
use policy::dispatch::{
    Action, Class, Dispatcher, Event, FailureCause, Reason, Request, Settings, TargetInfo,
};
use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, rng};

use crate::{
    baseline::{Baseline, Route},
    engine::{Engine, EngineModel, Output, Sequence},
};

pub const SECOND_US: u64 = 1_000_000;
const LINK_US: u64 = 500;
const TICK_US: u64 = 50_000;
const GOSSIP_US: u64 = 250_000;
/// Engines report their load this often, and the report is as old when it arrives.
const REPORT_US: u64 = 500_000;
/// The batch items that each instance keeps waiting.
const BATCH_BACKLOG: usize = 32;
/// The same proportion of prompt and output as the default online mix, so that tokens of both cost engines the same.
const BATCH_PROMPT: u32 = 358;
const BATCH_OUTPUT: u32 = 100;

/// What decides at the instances.
#[derive(Debug, Clone)]
pub enum Decider {
    Dispatcher(Box<Settings>),
    Baseline(Route),
}

/// How an engine fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The engine answers probes and dies `after_us` after the first request that follows; it is down for `down_us`.
    Flapping {
        after_us: u64,
        down_us: u64,
    },
    /// Each request at any engine fails with this probability until the time has passed.
    Errors {
        percent: u32,
        until_us: u64,
    },
}

/// One online request of the input.
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
    pub decider: Decider,
    pub engine: EngineModel,
    pub zones: usize,
    pub instances_per_zone: usize,
    pub engines_per_zone: usize,
    pub batch: bool,
    pub fault: Fault,
    pub end_us: u64,
    pub seed: u64,
    /// Completions before this time are not counted.
    pub measure_from_us: u64,
}

/// What a run measured.
pub struct Outcome {
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

enum Happening {
    Arrive(usize),
    Send { instance: usize, id: u64, target: usize, dispatch: u64 },
    Step { target: usize, life: u64 },
    Tell { instance: usize, event: Event },
    Crash { target: usize },
    Tick,
    Gossip,
    Report,
}

struct Pending {
    arrival: Option<Arrival>,
    class: Class,
    target: usize,
    /// The number of the last dispatch; a cancelled dispatch may still be on its way.
    dispatch: u64,
}

struct Node {
    engine: Engine,
    life: u64,
    up_at: u64,
    doomed: bool,
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
    happenings: HashMap<u64, Happening>,
    next_happening: u64,
    instances: Vec<Instance>,
    nodes: Vec<Node>,
    pending: HashMap<u64, Pending>,
    next_id: u64,
    outcome: Outcome,
}

pub fn run(setup: &Setup, arrivals: &[Arrival]) -> Outcome {
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

fn zone(index: usize) -> Name {
    Name::new(format!("z{index}"))
}

impl<'a> Sim<'a> {
    fn new(setup: &'a Setup, arrivals: &'a [Arrival]) -> Self {
        let engines = setup.zones * setup.engines_per_zone;
        let infos: Vec<_> = (0..engines)
            .map(|i| TargetInfo {
                name: Name::new(format!("t{i}")),
                failure_domain: zone(i / setup.engines_per_zone),
                concurrency: setup.engine.max_running as u32,
                leaving: false,
                registered: false,
                incarnation: 0,
            })
            .collect();
        let node = || Node { engine: Engine::new(setup.engine), life: 0, up_at: 0, doomed: false };
        let mut sim = Self {
            setup,
            arrivals,
            rng: rng::seeded(setup.seed),
            now: 1,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            next_happening: 0,
            instances: Vec::new(),
            nodes: (0..engines).map(|_| node()).collect(),
            pending: HashMap::new(),
            next_id: 0,
            outcome: Outcome {
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
        for i in 0..setup.zones * setup.instances_per_zone {
            let home = zone(i / setup.instances_per_zone);
            match &setup.decider {
                Decider::Dispatcher(settings) => {
                    let instance = Name::new(format!("d{i}"));
                    let settings =
                        Settings { instance, failure_domain: home, ..(**settings).clone() };
                    let seed = sim.rng.random();
                    let dispatcher = Box::new(Dispatcher::new(settings, rng::seeded(seed)));
                    sim.instances.push(Instance::Dispatcher(dispatcher));
                    sim.tell(
                        i,
                        Event::TargetsChanged { service: service(), targets: infos.clone() },
                    );
                }
                Decider::Baseline(route) => {
                    let local = infos.iter().filter(|it| it.failure_domain == home);
                    let limit =
                        (setup.engine.max_running as u32).div_ceil(setup.instances_per_zone as u32);
                    let baseline = Baseline::new(*route, local.map(|it| it.name.clone()), limit);
                    sim.instances.push(Instance::Baseline(baseline));
                }
            }
        }
        sim
    }

    fn run(mut self) -> Outcome {
        self.at(1, Happening::Tick);
        self.at(GOSSIP_US, Happening::Gossip);
        self.at(REPORT_US, Happening::Report);
        (0..self.arrivals.len())
            .for_each(|i| self.at(self.arrivals[i].at_us, Happening::Arrive(i)));
        while let Some(Reverse((time, key))) = self.queue.pop() {
            if time > self.setup.end_us {
                break;
            }
            self.now = self.now.max(time);
            let happening = self.happenings.remove(&key).expect("each key is queued once");
            self.handle(happening);
        }
        let sum = |f: fn(&Engine) -> u64| self.nodes.iter().map(|it| f(&it.engine)).sum::<u64>();
        let prompt = sum(|it| it.prompt_tokens).max(1);
        self.outcome.cache_hits = sum(|it| it.cached_tokens) as f64 / prompt as f64;
        self.outcome
    }

    fn at(&mut self, time: u64, happening: Happening) {
        self.next_happening += 1;
        self.queue.push(Reverse((time, self.next_happening)));
        self.happenings.insert(self.next_happening, happening);
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(index) => self.arrive(index),
            Happening::Send { instance, id, target, dispatch } => {
                if self.pending.get(&id).is_some_and(|it| it.dispatch == dispatch) {
                    self.receive(instance, id, target);
                }
            }
            Happening::Step { target, life } => self.step(target, life),
            Happening::Tell { instance, event } => self.tell(instance, event),
            Happening::Crash { target } => self.crash(target),
            Happening::Tick => {
                for instance in 0..self.instances.len() {
                    let now = Timestamp::from_micros(self.now);
                    if let Instance::Dispatcher(it) = &mut self.instances[instance] {
                        let actions = it.tick(now);
                        self.perform(instance, actions);
                    }
                    self.feed_batch(instance);
                }
                self.at(self.now + TICK_US, Happening::Tick);
            }
            Happening::Gossip => self.gossip(),
            Happening::Report => self.report(),
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
            ..self.blank_request()
        };
        let pending =
            Pending { arrival: Some(arrival), class: Class::Online, target: 0, dispatch: 0 };
        self.submit(instance, request, pending);
    }

    fn feed_batch(&mut self, instance: usize) {
        while self.setup.batch && self.batch_backlog(instance) < BATCH_BACKLOG {
            let request = Request {
                account: account(1_000),
                class: Class::Batch,
                cost: u64::from(BATCH_PROMPT + BATCH_OUTPUT),
                ..self.blank_request()
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

    fn blank_request(&mut self) -> Request {
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
            max_attempts: u32::MAX,
            large_reserve_until: Timestamp::ZERO,
            prefix: None,
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
        self.perform(instance, actions);
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let refill = matches!(event, Event::Completed { .. });
        let now = Timestamp::from_micros(self.now);
        let actions = match &mut self.instances[instance] {
            Instance::Dispatcher(it) => it.on_event(now, event),
            Instance::Baseline(it) => it.on_event(now, &event),
        };
        self.perform(instance, actions);
        if refill {
            self.feed_batch(instance);
        }
    }

    fn perform(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { id, target, attempt } => {
                    let target = index_of(&target);
                    let pending = self.pending.get_mut(&id).expect("the request is open");
                    pending.target = target;
                    pending.dispatch += 1;
                    let dispatch = pending.dispatch;
                    if pending.class == Class::Online {
                        self.outcome.attempts += 1;
                        self.outcome.first_attempts += u64::from(attempt == 1);
                    }
                    self.at(self.now + LINK_US, Happening::Send { instance, id, target, dispatch });
                }
                Action::Refuse { id, refusal } => {
                    let pending = self.pending.remove(&id);
                    if let Some(arrival) = pending.and_then(|it| it.arrival) {
                        *self.outcome.refused.entry(refusal.reason).or_default() += 1;
                        let by_account = &mut self.outcome.refused_by_account;
                        *by_account.entry(arrival.account).or_default() += 1;
                    }
                }
                Action::CancelBatch { id } => {
                    // A request that is done already has its completion on the way.
                    let Some(pending) = self.pending.get_mut(&id) else { continue };
                    pending.dispatch += 1;
                    self.outcome.yields += 1;
                    self.nodes[pending.target].engine.cancel(id);
                    self.at(self.now, Happening::Tell { instance, event: Event::Yielded { id } });
                }
                Action::Probe { service, target } => {
                    let ok = self.nodes[index_of(&target)].up_at <= self.now;
                    let event = Event::Probed { service, target, ok };
                    self.at(self.now + 2 * LINK_US, Happening::Tell { instance, event });
                }
                Action::HealthChanged { .. } => {}
                Action::ShareLoad => self.heartbeat(instance),
                // No request of the experiment is poison, and the delay of claims counts without their answers.
                Action::Cancel { .. }
                | Action::ShareVerdict { .. }
                | Action::RepeatVerdict { .. }
                | Action::LiftVerdict { .. }
                | Action::ShareSuspicion(_)
                | Action::ShareClaim { .. } => {}
            }
        }
    }

    fn receive(&mut self, instance: usize, id: u64, target: usize) {
        let node = &mut self.nodes[target];
        if node.up_at > self.now {
            self.outcome.failed_attempts += 1;
            let event = Event::FailedBeforeSend { id };
            return self.at(self.now + LINK_US, Happening::Tell { instance, event });
        }
        let pending = &self.pending[&id];
        let (prompt, output, prefix) = match &pending.arrival {
            Some(it) => (it.prompt, it.output, it.prefix),
            None => (BATCH_PROMPT, BATCH_OUTPUT, None),
        };
        node.engine.push(Sequence { id, instance, prompt, output, prefix });
        if !node.engine.stepping {
            self.start_step(target);
        }
        match self.setup.fault {
            Fault::Flapping { after_us, .. } if target == 0 && !self.nodes[0].doomed => {
                self.nodes[0].doomed = true;
                self.at(self.now + after_us, Happening::Crash { target });
            }
            Fault::Errors { percent, until_us }
                if self.now < until_us && self.rng.random_range(0..100) < percent =>
            {
                self.outcome.failed_attempts += 1;
                self.nodes[target].engine.cancel(id);
                let event = Event::FailedAfterSend { id, cause: FailureCause::BadAnswer };
                self.at(self.now + LINK_US, Happening::Tell { instance, event });
            }
            _ => {}
        }
    }

    fn start_step(&mut self, target: usize) {
        let node = &mut self.nodes[target];
        let life = node.life;
        if let Some(step) = node.engine.start_step() {
            self.at(self.now + step, Happening::Step { target, life });
        }
    }

    fn step(&mut self, target: usize, life: u64) {
        if self.nodes[target].life != life {
            return;
        }
        for output in self.nodes[target].engine.finish_step() {
            match output {
                Output::FirstToken(it) => {
                    self.record_first_token(it.id);
                    let event = Event::FirstByte { id: it.id };
                    let instance = it.instance;
                    self.at(self.now + LINK_US, Happening::Tell { instance, event });
                }
                Output::Done(it) => self.done(it),
            }
        }
        self.start_step(target);
    }

    fn record_first_token(&mut self, id: u64) {
        let arrival = self.pending.get(&id).and_then(|it| it.arrival.as_ref());
        if let Some(arrival) = arrival.filter(|it| it.at_us >= self.setup.measure_from_us) {
            self.outcome.first_token += self.now - arrival.at_us;
        }
    }

    fn done(&mut self, sequence: Sequence) {
        let tokens = u64::from(sequence.prompt + sequence.output);
        let Some(pending) = self.pending.remove(&sequence.id) else { return };
        let counts = self.now >= self.setup.measure_from_us;
        match pending.arrival {
            _ if !counts => {}
            Some(arrival) => {
                self.outcome.latency += self.now - arrival.at_us;
                self.outcome.online_tokens += tokens;
                self.outcome.completed += 1;
                *self.outcome.tokens_by_account.entry(arrival.account).or_default() += tokens;
            }
            None => self.outcome.batch_tokens += tokens,
        }
        let event = Event::Completed { id: sequence.id, tokens: Some(tokens) };
        self.at(self.now + LINK_US, Happening::Tell { instance: sequence.instance, event });
    }

    fn crash(&mut self, target: usize) {
        let Fault::Flapping { down_us, .. } = self.setup.fault else { return };
        let node = &mut self.nodes[target];
        node.life += 1;
        node.doomed = false;
        node.up_at = self.now + down_us;
        node.engine.stepping = false;
        for lost in node.engine.crash() {
            self.outcome.failed_attempts += 1;
            let cause = FailureCause::ConnectionLost;
            let event = Event::FailedAfterSend { id: lost.id, cause };
            self.at(self.now + LINK_US, Happening::Tell { instance: lost.instance, event });
        }
    }

    fn gossip(&mut self) {
        (0..self.instances.len()).for_each(|it| self.heartbeat(it));
        self.at(self.now + GOSSIP_US, Happening::Gossip);
    }

    fn heartbeat(&mut self, from: usize) {
        let Instance::Dispatcher(dispatcher) = &self.instances[from] else { return };
        let loads = dispatcher.in_flight_loads(Timestamp::from_micros(self.now));
        let waiting = dispatcher.waiting_services();
        let batch_waiting = dispatcher.batch_waiting_services();
        for to in (0..self.instances.len()).filter(|it| *it != from) {
            let event = Event::PeerHeartbeat {
                peer: Name::new(format!("d{from}")),
                failure_domain: zone(from / self.setup.instances_per_zone),
                loads: loads.clone(),
                waiting: waiting.clone(),
                batch_waiting: batch_waiting.clone(),
            };
            self.at(self.now + LINK_US, Happening::Tell { instance: to, event });
        }
    }

    fn report(&mut self) {
        for target in 0..self.nodes.len() {
            let in_flight = self.nodes[target].engine.load();
            for instance in 0..self.instances.len() {
                let target = Name::new(format!("t{target}"));
                let event = Event::LoadReport { service: service(), target, in_flight };
                self.at(self.now + REPORT_US, Happening::Tell { instance, event });
            }
        }
        self.at(self.now + REPORT_US, Happening::Report);
    }
}

fn index_of(target: &Name) -> usize {
    target[1..].parse().expect("targets are named t and a number")
}
