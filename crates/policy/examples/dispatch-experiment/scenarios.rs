//! The scenarios, each with its baseline and, where one is stated, its target.

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
    sim::{Arrival, Decider, Fault, Outcome, SECOND_US, Setup, run},
};

/// The highest allowed ratio of online p99 with batch to p99 without.
const MAX_BATCH_HARM: f64 = 1.10;
/// The least allowed share of the tokens online leaves that batch gets.
const MIN_BATCH_SHARE: f64 = 0.90;
/// The least allowed share of its weighted fair share that the worst-served account gets.
const MIN_FAIR_SHARE: f64 = 0.95;
/// The requests of the default mix that nine engines complete per second, computed from the engine model: 16 sequences
/// per engine, of 125 decoding steps of 24.8 ms and about 2 steps of prefill.
const CAPACITY_RPS: f64 = 9.0 * 16.0 / (127.0 * 0.0248);

fn setup(seed: u64, seconds: u64) -> Setup {
    Setup {
        decider: dispatcher(),
        engine: EngineModel::DEFAULT,
        zones: 3,
        instances_per_zone: 3,
        engines_per_zone: 3,
        batch: false,
        fault: Fault::None,
        end_us: seconds * SECOND_US,
        seed,
        measure_from_us: 0,
    }
}

fn dispatcher() -> Decider {
    Decider::Dispatcher(Box::new(Settings {
        check_invariants: false,
        ..Settings::new("d0".into(), "z0".into())
    }))
}

fn with_settings(change: impl FnOnce(&mut Settings)) -> Decider {
    let mut settings =
        Settings { check_invariants: false, ..Settings::new("d0".into(), "z0".into()) };
    change(&mut settings);
    Decider::Dispatcher(Box::new(settings))
}

/// Draws Poisson arrivals at a rate that depends on the time.
fn arrivals(
    rng: &mut Rng,
    seconds: u64,
    rate: impl Fn(u64) -> f64,
    mut draw: impl FnMut(&mut Rng, u64) -> Arrival,
) -> Vec<Arrival> {
    let mut found = Vec::new();
    let mut now = 1;
    while now < seconds * SECOND_US {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        now += (-uniform.ln() / rate(now) * SECOND_US as f64) as u64;
        found.push(draw(rng, now));
    }
    found
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
    // Both have the same step time when they are full.
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
    let with_batch = |decider: Decider| Setup { decider, batch: true, ..setup(seed, SECONDS) };
    // With one queue, the engines are always full.
    let capacity = run(&with_batch(Decider::Baseline(Route::LeastInFlight)), &[]).batch_tokens;
    let alone = run(&with_batch(dispatcher()), &[]).batch_tokens;
    writeln!(out, "  capacity {capacity} tokens, batch alone with the dispatcher {alone} tokens")?;
    let single_queue = Decider::Baseline(Route::LeastInFlight);
    for (name, decider) in [("one queue", single_queue), ("dispatcher", dispatcher())] {
        let alone = run(&Setup { decider: decider.clone(), ..setup(seed, SECONDS) }, &online);
        let both = run(&with_batch(decider), &online);
        let left = capacity.saturating_sub(both.online_tokens).max(1);
        let share = both.batch_tokens as f64 / left as f64;
        let ratio = |quantile: f64, of: fn(&Outcome) -> &hdrhistogram::Histogram<u64>| {
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
            let target =
                if what.starts_with("p99") { verdict(ratio <= MAX_BATCH_HARM) } else { "" };
            writeln!(
                out,
                "    {what}: {before:.0} ms alone, {after:.0} ms with batch, ratio {ratio:.3} {target}"
            )?;
        }
        writeln!(
            out,
            "    batch got {share:.3} of the tokens online leaves {}",
            verdict(share >= MIN_BATCH_SHARE)
        )?;
    }
    Ok(())
}

/// Eight accounts: one sends five times its rate, one sends few large requests, one has weight 2.
pub fn fairness(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    /// The accounts' rates together, as shares of capacity: a fleet with headroom, and one that is sold out.
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
    /// Parts of the offered load: each account sends at its rate, and the greedy one at five times its rate.
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
    for (name, decider) in [
        ("first in, first out", Decider::Baseline(Route::LeastInFlight)),
        ("dispatcher", dispatcher()),
    ] {
        let setup = Setup { decider, measure_from_us: WARM_UP * SECOND_US, ..setup(seed, SECONDS) };
        let outcome = run(&setup, &offered);
        let mut demand = [0u64; PARTS.len()];
        for it in offered.iter().filter(|it| it.at_us >= WARM_UP * SECOND_US) {
            demand[it.account] += u64::from(it.prompt + it.output);
        }
        let fair = fair_shares(&demand, &WEIGHTS, outcome.online_tokens);
        let share = |i: usize| *outcome.tokens_by_account.get(&i).unwrap_or(&0) as f64 / fair[i];
        let worst =
            (0..PARTS.len()).min_by(|a, b| share(*a).total_cmp(&share(*b))).expect("accounts");
        writeln!(
            out,
            "  {name}: worst account {worst} got {:.3} of its fair share {}; greedy {:.3}, large {:.3}, weight 2 {:.3}; {} tokens served; refused {:?} by account {:?}",
            share(worst),
            verdict(share(worst) >= MIN_FAIR_SHARE),
            share(GREEDY),
            share(LARGE),
            share(HEAVY),
            outcome.online_tokens,
            outcome.refused,
            outcome.refused_by_account
        )?;
    }
    Ok(())
}

/// Divides the tokens served by weight, without giving an account more than it asked for.
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
    let no_affinity = with_settings(|it| it.affinity_bound = 0.0);
    for (name, decider) in [
        ("round robin", Decider::Baseline(Route::RoundRobin)),
        ("least in flight", Decider::Baseline(Route::LeastInFlight)),
        ("dispatcher without affinity", no_affinity),
        ("dispatcher", dispatcher()),
    ] {
        let outcome = run(&Setup { decider, ..setup(seed, SECONDS) }, &online);
        writeln!(
            out,
            "  {name}: {}; prompt tokens from the cache {:.3}; {} done",
            quantiles(&outcome),
            outcome.cache_hits,
            outcome.completed
        )?;
    }
    Ok(())
}

/// One engine of nine answers probes and dies 300 ms after it takes work.
pub fn hold_down(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    const SECONDS: u64 = 300;
    let fault = Fault::Flapping { after_us: 300_000, down_us: 200_000 };
    let online = arrivals(&mut rng::seeded(seed), SECONDS, |_| CAPACITY_RPS * 0.6, default_arrival);
    let fixed = with_settings(|it| it.hold_down_max = it.hold_down_min);
    for (name, decider) in [("fixed", fixed), ("growing", dispatcher())] {
        let outcome = run(&Setup { decider, fault, ..setup(seed, SECONDS) }, &online);
        writeln!(
            out,
            "  {name}: {} attempts failed, refused {:?}, {}",
            outcome.failed_attempts,
            outcome.refused,
            quantiles(&outcome)
        )?;
    }
    Ok(())
}

/// Sixty of a hundred attempts fail during the first 60 s.
pub fn retries(seed: u64, out: &mut dyn Write) -> io::Result<()> {
    const SECONDS: u64 = 60;
    let fault = Fault::Errors { percent: 60, until_us: SECONDS * SECOND_US };
    let online = arrivals(&mut rng::seeded(seed), SECONDS, |_| CAPACITY_RPS * 0.8, default_arrival);
    let unlimited = with_settings(|it| it.retry_ratio = f64::INFINITY);
    for (name, decider) in [("no budget", unlimited), ("budget", dispatcher())] {
        let outcome = run(&Setup { decider, fault, ..setup(seed, SECONDS) }, &online);
        writeln!(
            out,
            "  {name}: {:.3} attempts per first attempt ({} of {}), {} done, refused {:?}",
            outcome.attempts as f64 / outcome.first_attempts as f64,
            outcome.attempts,
            outcome.first_attempts,
            outcome.completed,
            outcome.refused
        )?;
    }
    Ok(())
}

fn quantiles(outcome: &Outcome) -> String {
    let ms = |it: u64| it as f64 / 1e3;
    let (first, latency) = (&outcome.first_token, &outcome.latency);
    format!(
        "first token mean {:.0} ms, p95 {:.0} ms, p99 {:.0} ms; latency p99 {:.0} ms",
        first.mean() / 1e3,
        ms(first.value_at_quantile(0.95)),
        ms(first.value_at_quantile(0.99)),
        ms(latency.value_at_quantile(0.99)),
    )
}

fn verdict(met: bool) -> &'static str {
    if met { "[target met]" } else { "[target missed]" }
}
