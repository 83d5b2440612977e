//! The processor time of the dispatcher and its memory, for growing numbers of targets.

use std::{
    hint::black_box,
    io::{self, Write},
    time::{Duration, Instant},
};

use policy::dispatch::{Action, Dispatcher, Event, Instances, PeerLoad, Settings, TargetInfo};
use rand::Rng as _;
use stdx::{Name, Timestamp, rng};

use crate::{
    cost::{request, resident_kib},
    sim::service,
};

const COUNTS: [u32; 5] = [86, 300, 910, 3_000, 10_000];
const DOMAINS: u32 = 7;
const CONCURRENCY: u32 = 16;
const INSTANCES: usize = 40;
const ACCOUNTS: usize = 100;
const DECISIONS: u32 = 20_000;
const ROUNDS: u32 = 200;
/// The requests in flight of this instance while others are decided on.
const IN_FLIGHT: u64 = 64;
const WAITING: u64 = 512;
/// The targets of one load report.
const REPORTED: u32 = 400;

/// What a call costs on average.
#[derive(Debug, Default)]
struct Costs {
    quiet_tick: Duration,
    /// The median, since the windows of all targets end in the same tick.
    median_quiet_tick: Duration,
    busy_tick: Duration,
    waiting_tick: Duration,
    decision: Duration,
    prefix_decision: Duration,
    full_decision: Duration,
    heartbeat: Duration,
    list: Duration,
    loads: Duration,
    kib: u64,
}

/// Writes the costs at each number of targets in [`DOMAINS`] failure domains, one of which is that of the dispatcher.
pub fn costs_by_targets(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    // Dispatchers are kept until the end, so that no case reuses the memory of another.
    let mut kept = Vec::new();
    for targets in COUNTS {
        let (it, dispatcher) = costs(seed, targets)?;
        kept.push(dispatcher);
        writeln!(
            out,
            "  {targets} targets: tick {:?} with nothing in flight (median {:?}), {:?} with requests in flight, {:?} with requests waiting; \
             request {:?}, {:?} with a prefix, {:?} while all targets are full; heartbeat {:?}, list {:?}, own report {:?}; {} KiB",
            it.quiet_tick,
            it.median_quiet_tick,
            it.busy_tick,
            it.waiting_tick,
            it.decision,
            it.prefix_decision,
            it.full_decision,
            it.heartbeat,
            it.list,
            it.loads,
            it.kib
        )?;
    }
    Ok(())
}

fn costs(seed: u64, targets: u32) -> io::Result<(Costs, Dispatcher)> {
    let before = resident_kib()?;
    let settings = Settings { check_invariants: false, ..Settings::new("d0".into(), "z0".into()) };
    let mut dispatcher = Dispatcher::new(settings, rng::seeded(seed));
    let mut run = Run { now: Timestamp::from_millis(1), next: 0, rng: rng::seeded(seed), seed };
    dispatcher.on_event(run.now, Event::Instances(instances()));
    let list = |changed: u32| Event::TargetsChanged {
        service: service(),
        targets: (0..targets).map(|it| info(it, it == 0 && changed % 2 == 1)).collect(),
    };
    dispatcher.on_event(run.now, list(0));
    let mut costs = Costs::default();
    (costs.quiet_tick, costs.median_quiet_tick) = run.ticks(&mut dispatcher);
    // One report for each other failure domain, as relays send them, and the reports of the instances in the own one.
    for domain in 1..DOMAINS {
        let peer = run.heartbeat(domain, targets);
        dispatcher.on_event(run.now, peer);
    }
    let mut running = Vec::new();
    for _ in 0..IN_FLIGHT {
        let actions = run.submit(&mut dispatcher, None);
        collect_dispatched(&mut running, actions);
    }
    (costs.busy_tick, _) = run.ticks(&mut dispatcher);
    costs.decision = run.decisions(&mut dispatcher, &mut running, |_| None);
    costs.prefix_decision = run.decisions(&mut dispatcher, &mut running, |it| Some(it % 64));
    costs.heartbeat = run.time(|run| {
        let peer = run.heartbeat(1, targets);
        let start = Instant::now();
        dispatcher.on_event(run.now, peer);
        start.elapsed()
    });
    costs.list = run.time(|run| {
        let event = list(run.next as u32);
        run.next += 1;
        let start = Instant::now();
        dispatcher.on_event(run.now, event);
        start.elapsed()
    });
    costs.loads = run.time(|run| {
        let start = Instant::now();
        black_box(dispatcher.in_flight_loads(run.now));
        black_box(dispatcher.is_quiescent());
        start.elapsed()
    });
    dispatcher.on_event(run.now, list(0));
    costs.kib = resident_kib()?.saturating_sub(before);
    for _ in 0..u64::from(targets) * u64::from(CONCURRENCY) + WAITING {
        let actions = run.submit(&mut dispatcher, None);
        collect_dispatched(&mut running, actions);
    }
    (costs.waiting_tick, _) = run.ticks(&mut dispatcher);
    costs.full_decision = run.decisions(&mut dispatcher, &mut running, |_| None);
    Ok((costs, dispatcher))
}

/// The course of one case.
struct Run {
    now: Timestamp,
    next: u64,
    rng: stdx::Rng,
    seed: u64,
}

impl Run {
    fn time(&mut self, mut round: impl FnMut(&mut Self) -> Duration) -> Duration {
        let total: Duration = (0..ROUNDS).map(|_| round(self)).sum();
        total / ROUNDS
    }

    /// Returns the mean and the median time of a tick.
    fn ticks(&mut self, dispatcher: &mut Dispatcher) -> (Duration, Duration) {
        let mut times = Vec::new();
        let mean = self.time(|run| {
            run.now += Duration::from_millis(20);
            let start = Instant::now();
            dispatcher.tick(run.now);
            times.push(start.elapsed());
            start.elapsed()
        });
        times.sort_unstable();
        (mean, times[times.len() / 2])
    }

    /// Returns the time of the completion of a request and the submission of the next.
    fn decisions(
        &mut self,
        dispatcher: &mut Dispatcher,
        running: &mut Vec<u64>,
        prefix: impl Fn(u64) -> Option<u64>,
    ) -> Duration {
        let start = Instant::now();
        for _ in 0..DECISIONS {
            self.now += Duration::from_micros(100);
            let id = running.swap_remove(self.rng.random_range(0..running.len()));
            let completed = Event::Completed { id, tokens: Some(100) };
            collect_dispatched(running, dispatcher.on_event(self.now, completed));
            let actions = self.submit(dispatcher, prefix(id));
            collect_dispatched(running, actions);
        }
        start.elapsed() / DECISIONS
    }

    fn submit(&mut self, dispatcher: &mut Dispatcher, prefix: Option<u64>) -> Vec<Action> {
        self.next += 1;
        let account = self.rng.random_range(0..ACCOUNTS);
        let req = policy::dispatch::Request { prefix, ..request(self.next, account) };
        dispatcher.submit(self.now, req)
    }

    /// Returns the report of a relay on the targets of its failure domain.
    fn heartbeat(&mut self, domain: u32, targets: u32) -> Event {
        let in_domain = (0..targets).filter(|it| it % DOMAINS == domain).take(REPORTED as usize);
        let seed = self.seed as u32;
        let loads = in_domain.map(|it| PeerLoad {
            service: service(),
            target: name(it),
            online: (it + seed) % 4,
            batch: 1,
            suspects: 0,
            contending: 0,
            batch_contending: 0,
            event_gap_ms: 20 + it % 3,
            starts: 0,
            slowdown: 0,
        });
        Event::PeerHeartbeat {
            peer: Name::new(format!("r{domain}")),
            failure_domain: Name::new(format!("z{domain}")),
            loads: loads.collect(),
            waiting: Vec::new(),
            batch_waiting: Vec::new(),
        }
    }
}

fn instances() -> Instances {
    let admitting = (0..INSTANCES).map(|it| (Name::new(format!("d{it}")), "z0".into()));
    Instances { admitting: admitting.collect(), ..Instances::default() }
}

fn name(index: u32) -> Name {
    Name::new(format!("t{index}"))
}

fn info(index: u32, leaving: bool) -> TargetInfo {
    TargetInfo {
        name: name(index),
        failure_domain: Name::new(format!("z{}", index % DOMAINS)),
        concurrency: CONCURRENCY,
        leaving,
        registered: true,
        incarnation: 0,
        version: Name::from(""),
        cold_until: Timestamp::ZERO,
        cold_rate_millis: 0,
    }
}

fn collect_dispatched(running: &mut Vec<u64>, actions: Vec<Action>) {
    running.extend(actions.into_iter().filter_map(|it| match it {
        Action::Dispatch { id, .. } => Some(id),
        _ => None,
    }));
}
