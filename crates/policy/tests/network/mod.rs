//! Simulates a network of instances that share one account, and the token buckets that their decisions are checked
//! against.

// The tests and the experiment include this module, and neither uses all of it.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use fleet::{
    Account, Document, FleetSection, HostRoutes, Kind, QualifiedName,
    model::{DEFAULT_RATE_SLOTS, Objective},
};
use policy::rate::{
    AccountId, AcquireOutcome, Holdings, LENDER_HOLD, MAX_WAIT, RateAction, RateLimiter,
    RateMessage, Stats, WaiterId,
};
use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, rng::seeded};

const TICK: Duration = Duration::from_millis(5);
const MICROS: f64 = 1e6;

/// How the account's requests are distributed over the instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// All requests come through one instance.
    One,
    /// Each request comes through a random instance.
    Spread,
    /// All requests come through one instance, which changes after one second on average.
    Moving,
}

/// The parameters of one simulation run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub instances: usize,
    pub rate: f64,
    pub burst: f64,
    /// Mean requests per second.
    pub load: f64,
    /// The number of requests that arrive together.
    pub requests_per_arrival: u32,
    pub placement: Placement,
    pub duration: Duration,
    pub one_way: Duration,
    pub faults: Faults,
}

/// The faults of the network and of instances.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is delivered twice.
    pub duplication: f64,
    /// The probability that a message is delayed by up to a second, which also reorders messages.
    pub delay: f64,
    /// The maximum deviation of the speed of a clock, as a fraction.
    pub clock_drift: f64,
    /// The mean number of partitions per second; the fields below are of the same kind.
    pub partitions: f64,
    pub pauses: f64,
    pub restarts: f64,
    pub limit_changes: f64,
}

/// The counts of one simulation run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub requests: u64,
    /// Requests that one bucket for all instances admits.
    pub ideal: u64,
    /// Requests that the rate limiters admit.
    pub escrow: u64,
    /// Requests that a static share of the limits for each instance admits.
    pub fixed: u64,
    /// By how many requests `ideal` exceeds `escrow`.
    pub escrow_wrongful: u64,
    /// By how many requests `ideal` exceeds `fixed`.
    pub fixed_wrongful: u64,
    /// Requests admitted beyond the upper bound of the limits.
    pub over_admitted: u64,
    pub longest_wait: Duration,
    pub stats: Stats,
    pub refusals: u64,
    /// The longest retry time given with a refusal.
    pub longest_retry: Duration,
}

/// A token bucket: one for all instances, or a fixed share of it for one instance.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

pub struct Network {
    scenario: Scenario,
    rng: Rng,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    instances: Vec<Instance>,
    /// The sides of a partition, one bit per instance, and its end; messages between the sides are lost until then.
    partition: Option<(u64, u64)>,
    current_instance: usize,
    waiting: BTreeMap<u64, (u64, usize)>,
    next_waiter: u64,
    account: AccountId,
    limits: (f64, f64),
    ideal: Bucket,
    /// Bounds the admissions from above: refills at the speed of the fastest possible clock and has the largest limits in
    /// force on any instance.
    upper_bound: Bucket,
    fixed: Vec<Bucket>,
    outcome: Outcome,
}

struct Instance {
    name: Name,
    speed: f64,
    offset: f64,
    paused_until: u64,
    is_tick_due: bool,
    limiter: RateLimiter,
}

enum Event {
    Arrival,
    MoveCallers,
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        message: RateMessage,
    },
    Partition,
    Pause,
    Restart,
    ChangeLimits,
    /// A change of rate and burst reaches one instance.
    ApplyLimits(usize, f64, f64),
    /// The old limits are no longer in force on any instance, and loans under them have lapsed.
    RetireOldLimits,
}

impl Scenario {
    pub fn new(seed: u64, instances: usize, rate: f64, burst: f64, load: f64) -> Self {
        Self {
            seed,
            instances,
            rate,
            burst,
            load,
            requests_per_arrival: 1,
            placement: Placement::One,
            duration: Duration::from_secs(60),
            one_way: Duration::from_micros(1_500),
            faults: Faults::default(),
        }
    }

    pub fn run(self) -> Outcome {
        Network::new(self).run()
    }
}

impl Bucket {
    pub fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, at: 0 }
    }

    pub fn admit(&mut self, now: u64) -> bool {
        // One millionth of a token, for rounding.
        const TOLERANCE: f64 = 1e-6;
        self.refill(now);
        let admitted = self.level >= 1.0 - TOLERANCE;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }

    fn refill(&mut self, now: u64) {
        self.level += self.rate * (now - self.at) as f64 / MICROS;
        self.level = self.level.min(self.burst);
        self.at = now;
    }
}

impl Network {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = seeded(scenario.seed);
        let instances = (0..scenario.instances)
            .map(|index| {
                let drift = scenario.faults.clock_drift;
                let speed = 1.0 + if drift > 0.0 { rng.random_range(-drift..=drift) } else { 0.0 };
                let limiter = RateLimiter::new(
                    Timestamp::ZERO,
                    &document(scenario.rate, scenario.burst),
                    seeded(rng.random()),
                );
                Instance {
                    name: Name::new(format!("i{index}")),
                    speed,
                    offset: rng.random_range(0.0..1e12),
                    paused_until: 0,
                    is_tick_due: false,
                    limiter,
                }
            })
            .collect();
        let fixed = (0..scenario.instances)
            .map(|index| {
                let part =
                    f64::from(slots_of(index, scenario.instances)) / f64::from(DEFAULT_RATE_SLOTS);
                Bucket::new(scenario.rate * part, scenario.burst * part)
            })
            .collect();
        let drift = 1.0 + scenario.faults.clock_drift;
        let mut network = Self {
            rng,
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            instances,
            partition: None,
            current_instance: 0,
            waiting: BTreeMap::new(),
            next_waiter: 0,
            account: AccountId::of(&account_name()),
            limits: (scenario.rate, scenario.burst),
            ideal: Bucket::new(scenario.rate, scenario.burst),
            upper_bound: Bucket::new(scenario.rate * drift, scenario.burst),
            fixed,
            outcome: Outcome::default(),
            scenario,
        };
        for index in 0..network.instances.len() {
            network.start_instance(index);
        }
        // The shares start empty; requests start when they are full.
        let fill_time = Duration::from_secs_f64(network.scenario.burst / network.scenario.rate)
            + 2 * LENDER_HOLD;
        network.scenario.duration += fill_time;
        network.schedule(fill_time, Event::Arrival);
        network.schedule(fill_time, Event::MoveCallers);
        let faults = network.scenario.faults;
        network.schedule_random(faults.partitions, Event::Partition);
        network.schedule_random(faults.pauses, Event::Pause);
        network.schedule_random(faults.restarts, Event::Restart);
        network.schedule_random(faults.limit_changes, Event::ChangeLimits);
        network
    }

    pub fn run(mut self) -> Outcome {
        let end = self.scenario.duration.as_micros() as u64;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end + 2 * MAX_WAIT.as_micros() as u64 {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle_event(event, at <= end);
            }
        }
        for instance in &self.instances {
            add_stats(&mut self.outcome.stats, instance.limiter.stats());
        }
        let outcome = &mut self.outcome;
        outcome.escrow_wrongful = outcome.ideal.saturating_sub(outcome.escrow);
        outcome.fixed_wrongful = outcome.ideal.saturating_sub(outcome.fixed);
        self.outcome
    }

    fn handle_event(&mut self, event: Event, is_running: bool) {
        match event {
            Event::Arrival if is_running => {
                let gap = self.exponential(
                    f64::from(self.scenario.requests_per_arrival) / self.scenario.load,
                );
                self.schedule(gap, Event::Arrival);
                for _ in 0..self.scenario.requests_per_arrival {
                    self.send_request();
                }
            }
            Event::Arrival => {}
            Event::MoveCallers => {
                self.current_instance = self.rng.random_range(0..self.instances.len());
                let gap = self.exponential(1.0);
                self.schedule(gap, Event::MoveCallers);
            }
            Event::Tick(index) => {
                self.instances[index].is_tick_due = false;
                if self.now < self.instances[index].paused_until {
                    let wait = Duration::from_micros(self.instances[index].paused_until - self.now);
                    self.instances[index].is_tick_due = true;
                    self.schedule(wait, Event::Tick(index));
                    return;
                }
                let now = self.local_time(index);
                let actions = self.instances[index].limiter.tick(now);
                self.perform_actions(index, actions);
            }
            Event::Deliver { from, to, message } => {
                let paused_until = self.instances[to].paused_until;
                if self.now < paused_until {
                    let wait = Duration::from_micros(paused_until - self.now);
                    self.schedule(wait, Event::Deliver { from, to, message });
                    return;
                }
                let now = self.local_time(to);
                let from = self.instances[from].name.clone();
                let actions = self.instances[to].limiter.on_message(now, &from, message);
                self.perform_actions(to, actions);
            }
            Event::Partition => {
                let sides = self.rng.random::<u64>();
                let until = self.now + self.rng.random_range(10_000..5_000_000);
                self.partition = Some((sides, until));
                self.schedule_random(self.scenario.faults.partitions, Event::Partition);
            }
            Event::Pause => {
                let index = self.rng.random_range(0..self.instances.len());
                self.instances[index].paused_until =
                    self.now + self.rng.random_range(1_000..2_000_000);
                self.schedule_random(self.scenario.faults.pauses, Event::Pause);
            }
            Event::Restart => {
                let index = self.rng.random_range(0..self.instances.len());
                self.waiting.retain(|_, (_, at)| *at != index);
                let (now, doc) = (self.local_time(index), document(self.limits.0, self.limits.1));
                self.instances[index].limiter =
                    RateLimiter::new(now, &doc, seeded(self.rng.random()));
                self.start_instance(index);
                self.schedule_random(self.scenario.faults.restarts, Event::Restart);
            }
            Event::ChangeLimits => {
                let rate = self.scenario.rate * self.rng.random_range(0.2..2.0);
                let burst = self.scenario.burst * self.rng.random_range(0.2..2.0);
                let before = std::mem::replace(&mut self.limits, (rate, burst));
                self.upper_bound.refill(self.now);
                self.upper_bound.rate =
                    rate.max(before.0) * (1.0 + self.scenario.faults.clock_drift);
                self.upper_bound.burst = burst.max(before.1);
                const MAX_SPREAD_US: u64 = 4_000_000;
                for index in 0..self.instances.len() {
                    let delay = Duration::from_micros(self.rng.random_range(0..MAX_SPREAD_US));
                    self.schedule(delay, Event::ApplyLimits(index, rate, burst));
                }
                self.schedule(
                    Duration::from_micros(MAX_SPREAD_US) + 2 * LENDER_HOLD,
                    Event::RetireOldLimits,
                );
            }
            Event::ApplyLimits(index, rate, burst) => {
                // A paused instance may apply the change early: it decides nothing before it resumes.
                let now = self.local_time(index);
                let doc = document(rate, burst);
                let actions = self.instances[index].limiter.set_document(now, &doc);
                self.perform_actions(index, actions);
            }
            Event::RetireOldLimits => {
                self.upper_bound.refill(self.now);
                self.upper_bound.rate = self.limits.0 * (1.0 + self.scenario.faults.clock_drift);
                self.upper_bound.burst = self.limits.1;
                self.upper_bound.refill(self.now);
                self.schedule_random(self.scenario.faults.limit_changes, Event::ChangeLimits);
            }
        }
    }

    fn send_request(&mut self) {
        let index = match self.scenario.placement {
            Placement::One => 0,
            Placement::Moving => self.current_instance,
            Placement::Spread => self.rng.random_range(0..self.instances.len()),
        };
        if self.now < self.instances[index].paused_until {
            return;
        }
        self.outcome.requests += 1;
        self.outcome.ideal += u64::from(self.ideal.admit(self.now));
        self.outcome.fixed += u64::from(self.fixed[index].admit(self.now));
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        let now = self.local_time(index);
        let (answer, actions) =
            self.instances[index].limiter.acquire(now, self.account, WaiterId(waiter));
        match answer {
            AcquireOutcome::Granted => self.count_admission(),
            AcquireOutcome::Waiting => {
                self.waiting.insert(waiter, (self.now, index));
            }
            AcquireOutcome::Refused { retry_after } => self.count_refusal(retry_after),
        }
        self.perform_actions(index, actions);
    }

    fn perform_actions(&mut self, index: usize, actions: Vec<RateAction>) {
        for action in actions {
            match action {
                RateAction::Grant { waiter } => {
                    self.end_wait(waiter.0);
                    self.count_admission();
                }
                RateAction::Refuse { waiter, retry_after } => {
                    self.end_wait(waiter.0);
                    self.count_refusal(retry_after);
                }
                RateAction::Send { to, message } => self.send(index, &to, message),
            }
        }
        let instance = &mut self.instances[index];
        if instance.limiter.accounts_in_use() > 0 && !instance.is_tick_due {
            instance.is_tick_due = true;
            self.schedule(TICK, Event::Tick(index));
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: RateMessage) {
        let to = self.instances.iter().position(|it| it.name == *to).expect("a known peer");
        let faults = self.scenario.faults;
        let is_cut = self.partition.is_some_and(|(sides, until)| {
            self.now < until && (sides >> from) & 1 != (sides >> to) & 1
        });
        if is_cut || self.rng.random_bool(faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(faults.duplication));
        for _ in 0..copies {
            let mut delay = self.scenario.one_way + self.exponential(200e-6);
            if self.rng.random_bool(faults.delay) {
                delay += Duration::from_micros(self.rng.random_range(0..1_000_000));
            }
            self.schedule(delay, Event::Deliver { from, to, message: message.clone() });
        }
    }

    fn count_admission(&mut self) {
        self.outcome.escrow += 1;
        if !self.upper_bound.admit(self.now) {
            self.outcome.over_admitted += 1;
        }
    }

    fn count_refusal(&mut self, retry_after: Duration) {
        self.outcome.refusals += 1;
        self.outcome.longest_retry = self.outcome.longest_retry.max(retry_after);
    }

    fn end_wait(&mut self, waiter: u64) {
        if let Some((since, _)) = self.waiting.remove(&waiter) {
            let wait = Duration::from_micros(self.now - since);
            self.outcome.longest_wait = self.outcome.longest_wait.max(wait);
        }
    }

    fn start_instance(&mut self, index: usize) {
        let now = self.local_time(index);
        let slots = slots_of(index, self.instances.len());
        let peers = (0..self.instances.len())
            .filter(|it| *it != index)
            .map(|it| (self.instances[it].name.clone(), slots_of(it, self.instances.len())))
            .collect();
        let far = now + Duration::from_secs(1_000_000);
        let holdings = Holdings { own: vec![far; slots as usize], peers };
        if self.now == 0 {
            let doc = document(self.scenario.rate, self.scenario.burst);
            self.instances[index].limiter = RateLimiter::new(now, &doc, seeded(self.rng.random()));
        }
        self.instances[index].limiter.set_holdings(now, &holdings);
    }

    fn local_time(&self, index: usize) -> Timestamp {
        let Instance { speed, offset, .. } = &self.instances[index];
        Timestamp::from_micros((offset + speed * self.now as f64) as u64)
    }

    fn exponential(&mut self, mean_s: f64) -> Duration {
        Duration::from_secs_f64(-mean_s * (1.0 - self.rng.random::<f64>()).ln())
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + delay.as_micros() as u64;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_random(&mut self, per_s: f64, event: Event) {
        if per_s > 0.0 {
            let delay = self.exponential(1.0 / per_s);
            self.schedule(delay, event);
        }
    }
}

/// Returns a document with one account.
pub fn document(rate_per_s: f64, burst: f64) -> Document {
    let account = Account { rate_per_s, burst, weight: 1, priority: None, keys: Vec::new() };
    documents([(account_name(), account)].into())
}

pub fn documents(accounts: BTreeMap<QualifiedName, Account>) -> Document {
    Document {
        fleet: FleetSection {
            origins: vec!["one".into()],
            failure_domains: BTreeMap::new(),
            objective: Objective::default(),
            rate_slots: DEFAULT_RATE_SLOTS,
        },
        accounts,
        models: BTreeMap::new(),
        services: BTreeMap::new(),
        batch: BTreeMap::new(),
        host_routes: HostRoutes::default(),
    }
}

pub fn account_name() -> QualifiedName {
    QualifiedName::new("one", Kind::Account, "red")
}

/// Splits the slots evenly.
pub fn slots_of(index: usize, instances: usize) -> u32 {
    let (all, instances, index) = (DEFAULT_RATE_SLOTS, instances as u32, index as u32);
    all / instances + u32::from(index < all % instances)
}

fn add_stats(sum: &mut Stats, part: Stats) {
    sum.messages += part.messages;
    sum.bytes += part.bytes;
    sum.suppressed += part.suppressed;
    sum.granted += part.granted;
    sum.refused += part.refused;
}

/// The longest allowed wait of a caller: [`MAX_WAIT`] with 2% allowance for a slow clock, and two ticks.
pub fn longest_wait_allowed() -> Duration {
    MAX_WAIT + MAX_WAIT / 50 + 2 * TICK
}
