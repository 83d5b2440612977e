//! Compares the rate limiter, whose instances lend each other tokens, with static 1/N shares, and measures its cost as the
//! numbers of accounts and instances double.
//!
//! Run with `cargo run --release -p policy --example rate-experiment`.

#![allow(clippy::print_stdout)]

#[path = "../../tests/network/mod.rs"]
mod network;

use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use fleet::{Account, Kind, QualifiedName};
use network::{Placement, Scenario, documents, slots_of};
use policy::rate::{AccountId, Holdings, LENDER_HOLD, RateLimiter, WaiterId};
use stdx::{Name, Timestamp, rng::seeded};

/// Rate and burst of the measured accounts: one with shares of a fraction of a token, a small one, two large ones, and one
/// with a burst of less than a second.
const LIMITS: [(f64, f64); 5] =
    [(1.0, 3.0), (5.0, 20.0), (50.0, 50.0), (200.0, 400.0), (100.0, 30.0)];
/// The mean load as a multiple of the rate.
const LOADS: [f64; 3] = [0.5, 0.9, 3.0];
/// The tokens that a run yields: enough that 0.1% of them is several requests.
const TOKENS_PER_RUN: f64 = 10_000.0;

fn main() {
    compare_admissions();
    measure_cost();
}

fn compare_admissions() {
    println!(
        "| placement | rate/burst | load | requests | ideal | escrow | static | wrongful escrow | wrongful static | over-admitted | longest wait | messages/s | B/s per daemon |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for placement in [Placement::One, Placement::Spread, Placement::Moving] {
        for (rate, burst) in LIMITS {
            for load in LOADS {
                const INSTANCES: usize = 9;
                let mut scenario = Scenario::new(7, INSTANCES, rate, burst, rate * load);
                scenario.placement = placement;
                scenario.duration = Duration::from_secs_f64(TOKENS_PER_RUN / rate);
                let time_s = scenario.duration.as_secs_f64();
                let it = scenario.run();
                let percent = |part: u64| 100.0 * part as f64 / it.ideal as f64;
                println!(
                    "| {placement:?} | {rate}/{burst} | {load} | {} | {} | {} | {} | {:.3}% | {:.3}% | {} | {:.1} ms | {:.1} | {:.0} |",
                    it.requests,
                    it.ideal,
                    it.escrow,
                    it.fixed,
                    percent(it.escrow_wrongful),
                    percent(it.fixed_wrongful),
                    it.over_admitted,
                    it.longest_wait.as_secs_f64() * 1e3,
                    it.stats.messages as f64 / time_s,
                    it.stats.bytes as f64 / time_s / INSTANCES as f64,
                );
            }
        }
    }
}

fn measure_cost() {
    println!(
        "\n| accounts | instances | memory per account | idle tick | granted decision | refused decision |"
    );
    println!("|---|---|---|---|---|---|");
    for (accounts, instances) in
        [(3_625, 3), (7_250, 5), (14_500, 9), (29_000, 18), (58_000, 36), (29_000, 370)]
    {
        measure_fleet(accounts, instances);
    }
}

fn measure_fleet(accounts: usize, instances: usize) {
    const DECISIONS: u32 = 200_000;
    let account = |rate, burst| Account {
        rate_per_s: rate,
        burst,
        weight: 1,
        priority: None,
        keys: Vec::new(),
    };
    let names: Vec<_> = (0..accounts)
        .map(|it| QualifiedName::new("one", Kind::Account, format!("account-{it}")))
        .collect();
    let doc: BTreeMap<_, _> = names.iter().map(|it| (it.clone(), account(1e6, 1e6))).collect();
    let doc = documents(doc);
    let before = resident_bytes();
    let mut limiter = RateLimiter::new(Timestamp::ZERO, &doc, seeded(1));
    let memory = resident_bytes().saturating_sub(before);
    let far = Timestamp::from_millis(1_000_000_000);
    let peers = (1..instances)
        .map(|it| (Name::new(format!("i{it}")), slots_of(it, instances)))
        .filter(|it| it.1 > 0)
        .collect();
    let own = vec![far; slots_of(0, instances) as usize];
    limiter.set_holdings(Timestamp::ZERO, &Holdings { own, peers });
    let mut now = Timestamp::ZERO + 2 * LENDER_HOLD;
    let idle_tick = mean_time(1_000, |_| drop(black_box(limiter.tick(now))));
    let ids: Vec<_> = names.iter().map(AccountId::of).collect();
    let granted = mean_time(DECISIONS, |it| {
        now += Duration::from_micros(10);
        let id = ids[it as usize * 7919 % ids.len()];
        black_box(limiter.acquire(now, id, WaiterId(u64::from(it))));
    });
    let low_limits: BTreeMap<_, _> =
        names.iter().map(|it| (it.clone(), account(1e-3, 1e-3))).collect();
    limiter.set_document(now, &documents(low_limits));
    let refused = mean_time(DECISIONS, |it| {
        now += Duration::from_micros(10);
        let id = ids[it as usize * 7919 % ids.len()];
        black_box(limiter.acquire(now, id, WaiterId(u64::from(it))));
    });
    println!(
        "| {accounts} | {instances} | {} B | {idle_tick:?} | {granted:?} | {refused:?} |",
        memory / accounts as u64
    );
}

fn mean_time(count: u32, mut run: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    for it in 0..count {
        run(it);
    }
    start.elapsed() / count
}

/// Returns the resident memory of this process, or zero if the system does not report it.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
