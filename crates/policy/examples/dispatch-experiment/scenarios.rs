//! The scenarios, each with a baseline and, where there is one, the limit that must be met.

use std::{
    io::{self, Write},
    time::Duration,
};

use policy::dispatch::Settings;
use rand::Rng as _;
use stdx::{Rng, rng};

use crate::{
    baseline::Route,
    engine::EngineModel,
    sim::{Arrival, Fault, Measurements, SECOND_US, Scheduler, Setup, run},
};

/// The highest allowed ratio of the online p99 with batch requests to the p99 without.
const MAX_ONLINE_P99_RATIO: f64 = 1.10;
/// The lowest allowed share that batch requests get of the tokens that online requests leave.
const MIN_BATCH_SHARE: f64 = 0.90;
/// The lowest allowed ratio of the tokens of the worst-served account to its weighted fair share.
const MIN_FAIR_RATIO: f64 = 0.95;
/// The requests of the default mix that nine engines complete per second, computed from the engine model: 16 sequences
/// per engine, of 125 decoding steps of 24.8 ms and about 2 steps of prefill.
const CAPACITY_RPS: f64 = 9.0 * 16.0 / (127.0 * 0.0248);

fn setup(seed: u64, seconds: u64) -> Setup {
    Setup {
        scheduler: default_dispatcher(),
        engine: EngineModel::DEFAULT,
        failure_domains: 3,
        instances_per_domain: 3,
        engines_per_domain: 3,
        batch: false,
        fault: Fault::None,
        end_us: seconds * SECOND_US,
        seed,
        measure_from_us: 0,
    }
}

fn default_dispatcher() -> Scheduler {
    Scheduler::Dispatcher(Box::new(Settings {
        check_invariants: false,
        ..Settings::new("d0".into(), "z0".into())
    }))
}

fn dispatcher_with(change: impl FnOnce(&mut Settings)) -> Scheduler {
    let mut settings =
        Settings { check_invariants: false, ..Settings::new("d0".into(), "z0".into()) };
    change(&mut settings);
    Scheduler::Dispatcher(Box::new(settings))
}

/// Draws Poisson arrivals at a rate that depends on the time.
fn arrivals(
    rng: &mut Rng,
    seconds: u64,
    rate: impl Fn(u64) -> f64,
    mut draw: impl FnMut(&mut Rng, u64) -> Arrival,
) -> Vec<Arrival> {
    let mut drawn = Vec::new();
    let mut now = 1;
    while now < seconds * SECOND_US {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        now += (-uniform.ln() / rate(now) * SECOND_US as f64) as u64;
        drawn.push(draw(rng, now));
    }
    drawn
}

fn default_arrival(rng: &mut Rng, at_us: u64) -> Arrival {
    Arrival {
        at_us,
        account: rng.random_range(0..8),
        weight: 1,
        prompt: rng.random_range(128..768),
        output: rng.random_range(50..200),
        prefix: None,
        timeout: Duration::from_secs(60),
    }
}

/// Online load in bursts: 4 s of every 12 s at 95% of capacity and the rest at 30%.
pub fn batch(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    // Engines of both sizes have the same step time when they are full.
    for slots in [16, 32] {
        writeln!(out, "  engines of {slots} slots")?;
        batch_at(seed, slots, out)?;
    }
    Ok(())
}

fn batch_at(seed: u64, slots: usize, out: &mut dyn Write) -> io::Result<()> {
    const SECONDS: u64 = 600;
    let full = EngineModel::DEFAULT;
    let factor = slots as f64 / full.max_running as f64;
    let engine = EngineModel {
        max_running: slots,
        step_per_sequence_us: (full.step_per_sequence_us as f64 / factor) as u64,
        ..full
    };
    let setup = |seed, seconds| Setup { engine, ..setup(seed, seconds) };
    let bursts =
        |now: u64| CAPACITY_RPS * factor * if now / SECOND_US % 12 < 4 { 0.95 } else { 0.3 };
    let online = arrivals(&mut rng::seeded(seed), SECONDS, bursts, default_arrival);
    let with_batch =
        |scheduler: Scheduler| Setup { scheduler, batch: true, ..setup(seed, SECONDS) };
    // The single queue of the baseline keeps the engines full all the time.
    let capacity = run(&with_batch(Scheduler::Baseline(Route::LeastInFlight)), &[]).batch_tokens;
    let alone = run(&with_batch(default_dispatcher()), &[]).batch_tokens;
    writeln!(out, "  capacity {capacity} tokens, batch alone with the dispatcher {alone} tokens")?;
    let single_queue = Scheduler::Baseline(Route::LeastInFlight);
    for (name, scheduler) in [("one queue", single_queue), ("dispatcher", default_dispatcher())] {
        let alone = run(&Setup { scheduler: scheduler.clone(), ..setup(seed, SECONDS) }, &online);
        let both = run(&with_batch(scheduler), &online);
        let left = capacity.saturating_sub(both.online_tokens).max(1);
        let share = both.batch_tokens as f64 / left as f64;
        let ratio = |quantile: f64, of: fn(&Measurements) -> &hdrhistogram::Histogram<u64>| {
            let value = |it| of(it).value_at_quantile(quantile) as f64 / 1e3;
            (value(&alone), value(&both), value(&both) / value(&alone))
        };
        writeln!(
            out,
            "  {name}: {} online requests done alone, {} with batch; {} yields",
            alone.completed, both.completed, both.yields
        )?;
        for (what, (before, after, ratio)) in [
            ("p99 latency", ratio(0.99, |it| &it.latency)),
            ("p99 first token", ratio(0.99, |it| &it.first_token)),
            ("p50 latency", ratio(0.5, |it| &it.latency)),
            ("p50 first token", ratio(0.5, |it| &it.first_token)),
        ] {
            let target = if what.starts_with("p99") {
                limit_label(ratio <= MAX_ONLINE_P99_RATIO)
            } else {
                ""
            };
            writeln!(
                out,
                "    {what}: {before:.0} ms alone, {after:.0} ms with batch, ratio {ratio:.3} {target}"
            )?;
        }
        writeln!(
            out,
            "    batch got {share:.3} of the tokens online leaves {}",
            limit_label(share >= MIN_BATCH_SHARE)
        )?;
    }
    Ok(())
}

/// Eight accounts: one sends five times its rate, one sends few large requests, one has weight 2.
pub fn fairness(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    /// The sum of the accounts' rates as a share of capacity: a fleet with headroom, and one that is almost fully
    /// allocated.
    const RATES: [f64; 2] = [0.8, 0.97];
    for rates in RATES {
        writeln!(out, "  rates add up to {rates} of capacity")?;
        fairness_at(seed, rates, out)?;
    }
    Ok(())
}

fn fairness_at(seed: u64, rates: f64, out: &mut dyn Write) -> io::Result<()> {
    const SECONDS: u64 = 600;
    const WARM_UP: u64 = 60;
    const GREEDY: usize = 0;
    const LARGE: usize = 1;
    const HEAVY: usize = 2;
    /// Parts of the offered load: each account sends at its rate, except that one sends at five times its rate.
    const PARTS: [f64; 8] = [5.0, 1.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    const LARGE_FACTOR: u32 = 8;
    const WEIGHTS: [f64; 8] = [1.0, 1.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    let all: f64 = PARTS.iter().sum();
    let rate = |_| CAPACITY_RPS * rates / WEIGHTS.iter().sum::<f64>() * all;
    let mut offered = arrivals(&mut rng::seeded(seed), SECONDS, rate, |rng, at_us| {
        let mut point = rng.random_range(0.0..all);
        let account = PARTS
            .iter()
            .position(|it| {
                point -= it;
                point < 0.0
            })
            .unwrap_or(GREEDY);
        let weight = if account == HEAVY { 2 } else { 1 };
        Arrival { account, weight, ..default_arrival(rng, at_us) }
    });
    let mut large = 0;
    offered.retain_mut(|it| {
        large += u32::from(it.account == LARGE);
        if it.account == LARGE {
            it.prompt *= LARGE_FACTOR;
            it.output *= LARGE_FACTOR;
        }
        it.account != LARGE || large % LARGE_FACTOR == 0
    });
    for (name, scheduler) in [
        ("first in, first out", Scheduler::Baseline(Route::LeastInFlight)),
        ("dispatcher", default_dispatcher()),
    ] {
        let setup =
            Setup { scheduler, measure_from_us: WARM_UP * SECOND_US, ..setup(seed, SECONDS) };
        let measurements = run(&setup, &offered);
        let mut demand = [0u64; PARTS.len()];
        for it in offered.iter().filter(|it| it.at_us >= WARM_UP * SECOND_US) {
            demand[it.account] += u64::from(it.prompt + it.output);
        }
        let fair = fair_shares(&demand, &WEIGHTS, measurements.online_tokens);
        let share =
            |i: usize| *measurements.tokens_by_account.get(&i).unwrap_or(&0) as f64 / fair[i];
        let worst =
            (0..PARTS.len()).min_by(|a, b| share(*a).total_cmp(&share(*b))).expect("accounts");
        writeln!(
            out,
            "  {name}: worst account {worst} got {:.3} of its fair share {}; greedy {:.3}, large {:.3}, weight 2 {:.3}; {} tokens served; refused {:?} by account {:?}",
            share(worst),
            limit_label(share(worst) >= MIN_FAIR_RATIO),
            share(GREEDY),
            share(LARGE),
            share(HEAVY),
            measurements.online_tokens,
            measurements.refused,
            measurements.refused_by_account
        )?;
    }
    Ok(())
}

/// Returns the weighted max-min fair shares of the tokens served: no account gets more than its demand.
fn fair_shares(demand: &[u64], weights: &[f64], served: u64) -> Vec<f64> {
    let mut shares = vec![0.0; demand.len()];
    let mut open: Vec<usize> = (0..demand.len()).collect();
    let mut left = served as f64;
    loop {
        let weight: f64 = open.iter().map(|it| weights[*it]).sum();
        let (satisfied, rest): (Vec<_>, Vec<_>) =
            open.iter().partition(|it| demand[**it] as f64 <= left * weights[**it] / weight);
        if satisfied.is_empty() {
            rest.iter().for_each(|it: &usize| shares[*it] = left * weights[*it] / weight);
            return shares;
        }
        satisfied.iter().for_each(|it| shares[*it] = demand[*it] as f64);
        left -= satisfied.iter().map(|it| demand[*it] as f64).sum::<f64>();
        open = rest;
    }
}

/// Prompts with shared prefixes, more than one engine's cache can hold.
pub fn routing(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    const SECONDS: u64 = 300;
    const PREFIXES: u64 = 40;
    const PREFIX_TOKENS: u32 = 1_536;
    let rate = |_| CAPACITY_RPS * 0.7;
    let online = arrivals(&mut rng::seeded(seed), SECONDS, rate, |rng, at_us| {
        let arrival = default_arrival(rng, at_us);
        let prefix = Some((rng.random_range(0..PREFIXES), PREFIX_TOKENS));
        Arrival { prompt: arrival.prompt / 2 + PREFIX_TOKENS, prefix, ..arrival }
    });
    let no_affinity = dispatcher_with(|it| it.affinity_bound = 0.0);
    for (name, scheduler) in [
        ("round robin", Scheduler::Baseline(Route::RoundRobin)),
        ("least in flight", Scheduler::Baseline(Route::LeastInFlight)),
        ("dispatcher without affinity", no_affinity),
        ("dispatcher", default_dispatcher()),
    ] {
        let measurements = run(&Setup { scheduler, ..setup(seed, SECONDS) }, &online);
        writeln!(
            out,
            "  {name}: {}; prompt tokens from the cache {:.3}; {} done",
            quantiles(&measurements),
            measurements.cache_hits,
            measurements.completed
        )?;
    }
    Ok(())
}

/// One engine of nine answers probes but crashes 300 ms after it received a request.
pub fn hold_down(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    const SECONDS: u64 = 300;
    let fault = Fault::Flapping { after_us: 300_000, down_us: 200_000 };
    let online = arrivals(&mut rng::seeded(seed), SECONDS, |_| CAPACITY_RPS * 0.6, default_arrival);
    let fixed = dispatcher_with(|it| it.hold_down_max = it.hold_down_min);
    for (name, scheduler) in [("fixed", fixed), ("growing", default_dispatcher())] {
        let measurements = run(&Setup { scheduler, fault, ..setup(seed, SECONDS) }, &online);
        writeln!(
            out,
            "  {name}: {} attempts failed, refused {:?}, {}",
            measurements.failed_attempts,
            measurements.refused,
            quantiles(&measurements)
        )?;
    }
    Ok(())
}

/// Sixty of a hundred attempts fail during the first 60 s.
pub fn retries(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    const SECONDS: u64 = 60;
    let fault = Fault::Errors { percent: 60, until_us: SECONDS * SECOND_US };
    let online = arrivals(&mut rng::seeded(seed), SECONDS, |_| CAPACITY_RPS * 0.8, default_arrival);
    let unlimited = dispatcher_with(|it| it.retry_ratio = f64::INFINITY);
    for (name, scheduler) in [("no budget", unlimited), ("budget", default_dispatcher())] {
        let measurements = run(&Setup { scheduler, fault, ..setup(seed, SECONDS) }, &online);
        writeln!(
            out,
            "  {name}: {:.3} attempts per first attempt ({} of {}), {} done, refused {:?}",
            measurements.attempts as f64 / measurements.first_attempts as f64,
            measurements.attempts,
            measurements.first_attempts,
            measurements.completed,
            measurements.refused
        )?;
    }
    Ok(())
}

fn quantiles(measurements: &Measurements) -> String {
    let ms = |it: u64| it as f64 / 1e3;
    let (first, latency) = (&measurements.first_token, &measurements.latency);
    format!(
        "first token mean {:.0} ms, p95 {:.0} ms, p99 {:.0} ms; latency p99 {:.0} ms",
        first.mean() / 1e3,
        ms(first.value_at_quantile(0.95)),
        ms(first.value_at_quantile(0.99)),
        ms(latency.value_at_quantile(0.99)),
    )
}

fn limit_label(met: bool) -> &'static str {
    if met { "[target met]" } else { "[target missed]" }
}
