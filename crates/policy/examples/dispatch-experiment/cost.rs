//! The CPU time per decision and the memory, for growing numbers of accounts and targets.

use std::{
    fs,
    io::{self, Write},
    time::Instant,
};

use policy::dispatch::{Action, Class, Dispatcher, Event, Request, Settings, TargetInfo};
use rand::Rng as _;
use stdx::{Name, Timestamp, rng};

use crate::{
    sim::{account, service},
    targets::costs_by_targets,
};

const DECISIONS: u64 = 100_000;
const PAGE_KIB: u64 = 4;
const CONCURRENCY: u32 = 16;
/// The number of requests that wait while decisions are timed.
const WAITING: u64 = 512;

/// The largest case has the targets of two failure domains and the number of accounts that is expected in two years.
pub fn cost(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    // Dispatchers are kept until the end, so that no case reuses the memory of another.
    let mut kept = Vec::new();
    for (accounts, targets) in [
        (1_812, 16),
        (3_625, 16),
        (7_250, 16),
        (14_500, 16),
        (29_000, 16),
        (29_000, 32),
        (29_000, 65),
        (29_000, 130),
        (29_000, 260),
    ] {
        let before = resident_kib()?;
        let (mut dispatcher, mut running) = loaded_dispatcher(seed, accounts, targets);
        let mut rng = rng::seeded(seed);
        let start = Instant::now();
        let mut now = Timestamp::from_millis(1);
        let mut next = u64::from(targets) * u64::from(CONCURRENCY) + WAITING;
        for _ in 0..DECISIONS {
            now += std::time::Duration::from_micros(100);
            let done = running.swap_remove(rng.random_range(0..running.len()));
            let completed = Event::Completed { id: done, tokens: Some(100) };
            collect_dispatched(&mut running, dispatcher.on_event(now, completed));
            next += 1;
            let actions = dispatcher.submit(now, request(next, rng.random_range(0..accounts)));
            collect_dispatched(&mut running, actions);
        }
        let per_decision = start.elapsed() / DECISIONS as u32;
        let ticks = 200;
        let start = Instant::now();
        for _ in 0..ticks {
            now += std::time::Duration::from_millis(50);
            collect_dispatched(&mut running, dispatcher.tick(now));
        }
        let per_tick = start.elapsed() / ticks;
        let memory = resident_kib()?.saturating_sub(before);
        kept.push(dispatcher);
        writeln!(
            out,
            "  {accounts} accounts, {targets} targets: {per_decision:?} per request (submit and completion), \
             {per_tick:?} per tick, {memory} KiB resident more than before"
        )?;
    }
    drop(kept);
    costs_by_targets(seed, out)
}

/// Returns a dispatcher whose targets are full and in which requests wait, and the requests in flight.
fn loaded_dispatcher(seed: u64, accounts: usize, targets: u32) -> (Dispatcher, Vec<u64>) {
    let settings = Settings { check_invariants: false, ..Settings::new("d0".into(), "z0".into()) };
    let mut dispatcher = Dispatcher::new(settings, rng::seeded(seed));
    let now = Timestamp::from_micros(1);
    let infos: Vec<_> = (0..targets).map(info).collect();
    let names: Vec<_> = infos.iter().map(|it| it.name.clone()).collect();
    let changed = Event::TargetsChanged { service: service(), targets: infos };
    dispatcher.on_event(now, changed);
    for target in names {
        dispatcher.on_event(now, Event::Probed { service: service(), target, ok: true });
    }
    let mut running = Vec::new();
    let mut rng = rng::seeded(seed + 1);
    for id in 0..u64::from(targets) * u64::from(CONCURRENCY) + WAITING {
        let actions = dispatcher.submit(now, request(id, rng.random_range(0..accounts)));
        collect_dispatched(&mut running, actions);
    }
    (dispatcher, running)
}

fn info(index: u32) -> TargetInfo {
    TargetInfo {
        name: Name::new(format!("t{index}")),
        failure_domain: "z0".into(),
        concurrency: CONCURRENCY,
        leaving: false,
        registered: false,
        incarnation: 0,
        version: Name::from(""),
        cold_until: Timestamp::ZERO,
        cold_rate_millis: 0,
    }
}

pub(crate) fn request(id: u64, account_index: usize) -> Request {
    let mut fingerprint = [0; 32];
    fingerprint[..8].copy_from_slice(&id.to_le_bytes());
    Request {
        id,
        account: account(account_index),
        key: None,
        weight: 1,
        service: service(),
        class: Class::Online,
        cost: 100,
        bytes: 1_024,
        deadline: Timestamp::from_micros(u64::MAX),
        idempotent: true,
        resumable: false,
        version: None,
        max_attempts: u32::MAX,
        due: Timestamp::from_millis(3_600_000),
        large_reserve_until: Timestamp::ZERO,
        prefix: Some(id % 64),
        shared_parts: Vec::new(),
        harmless: false,
        fingerprint,
    }
}

fn collect_dispatched(running: &mut Vec<u64>, actions: Vec<Action>) {
    running.extend(actions.into_iter().filter_map(|it| match it {
        Action::Dispatch { id, .. } => Some(id),
        _ => None,
    }));
}

pub(crate) fn resident_kib() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE_KIB)
}
