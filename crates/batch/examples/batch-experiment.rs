//! Measures the store calls, bytes, CPU time and memory of batch jobs as the number of items and jobs doubles.
//!
//! `cargo run --release -p batch --example batch-experiment`
//!
//! The store is the fake of the tests, in the same process. The CPU column excludes the time spent in the fake store
//! and includes the time of the simulation loop. Items take 10 s of simulated time each.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    fs,
    io::{self, Write as _},
    time::Instant,
};

use batch::JobState;
use common::{Simulation, done, store::Fault};

const INSTANCES: usize = 4;
const SEGMENTS_PER_INSTANCE: usize = 8;
const ITEM_MS: u64 = 10_000;
/// Long enough for the largest run, so that no item expires.
const WINDOW_S: u64 = 7 * 86_400;

struct Row {
    jobs: usize,
    items: usize,
    reads: f64,
    writes: f64,
    bytes: f64,
    cpu_us: f64,
    simulated_s: u64,
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    // Memory is measured first and all simulations are kept, since reused freed memory would hide the growth.
    let mut kept = Vec::new();
    writeln!(out, "open_segments kib/segment")?;
    for segments in [64, 128, 256, 512] {
        writeln!(out, "{segments:13} {:11.1}", memory(segments, &mut kept)?)?;
    }
    drop(kept);
    writeln!(out, "jobs items/job reads/item writes/item bytes/item cpu_us/item simulated_s")?;
    let by_items = (0..7).map(|it| (1, 1_280 << it));
    let by_jobs = (1..6).map(|it| (1 << it, 2_560));
    for (jobs, items) in by_items.chain(by_jobs) {
        let it = measure(jobs, items);
        writeln!(
            out,
            "{:4} {:9} {:10.4} {:11.4} {:10.0} {:11.2} {:11}",
            it.jobs, it.items, it.reads, it.writes, it.bytes, it.cpu_us, it.simulated_s
        )?;
    }
    let (reads, bytes) = idle(100);
    writeln!(out, "idle daemon with 100 open jobs: {reads:.2} reads/s, {bytes:.0} bytes/s")
}

fn measure(jobs: usize, items: usize) -> Row {
    let mut sim = Simulation::new();
    let manifests: Vec<_> =
        (0..jobs).map(|i| sim.accept(&format!("kigali/a{i}"), items, WINDOW_S, true)).collect();
    (0..INSTANCES).for_each(|i| sim.start(i, SEGMENTS_PER_INSTANCE));
    let start = Instant::now();
    while sim.ended.len() < jobs {
        sim.update_leases();
        for i in 0..INSTANCES {
            sim.drive(i, &mut |_| Fault::None, &mut |run| (ITEM_MS, done(run)));
        }
        sim.advance(100);
    }
    let elapsed = start.elapsed().saturating_sub(sim.store.call_time);
    assert!(manifests.iter().all(|it| sim.manifest(it).state == JobState::Ended));
    let total = (jobs * items) as f64;
    Row {
        jobs,
        items,
        reads: sim.store.usage.reads as f64 / total,
        writes: sim.store.usage.writes as f64 / total,
        bytes: sim.store.usage.bytes as f64 / total,
        cpu_us: elapsed.as_secs_f64() * 1e6 / total,
        simulated_s: sim.time.as_micros() / 1_000_000,
    }
}

/// Returns the memory of an open segment of 256 items of about 90 bytes each, in KiB.
///
/// The fake store shares the input text with the runner, so its size is added to the growth of resident memory.
fn memory(segments: usize, kept: &mut Vec<Simulation>) -> io::Result<f64> {
    let mut sim = Simulation::new();
    let _ = sim.accept("kigali/acme", segments * 256, WINDOW_S, true);
    sim.start(0, segments);
    let before = resident_kib()?;
    let is_open = |sim: &mut Simulation| {
        let runners = &sim.instance(0).runners;
        runners.len() == segments && runners.iter().all(|it| it.running() > 0)
    };
    while !is_open(&mut sim) {
        sim.step(0, &mut |run| (1_000 * WINDOW_S, done(run)));
    }
    let resident = resident_kib()?.saturating_sub(before) * 1_024;
    let shared: usize = sim.instance(0).runners.iter().map(|it| it.held_bytes()).sum();
    kept.push(sim);
    Ok((resident as f64 + shared as f64) / 1_024.0 / segments as f64)
}

/// Returns the reads and bytes per second of a daemon that has no capacity for segments.
fn idle(jobs: usize) -> (f64, f64) {
    const SECONDS: u64 = 600;
    let mut sim = Simulation::new();
    for i in 0..jobs {
        sim.accept(&format!("kigali/a{i}"), 2_560, WINDOW_S, true);
    }
    sim.start(0, 0);
    sim.store.usage = common::store::Usage::default();
    for _ in 0..SECONDS * 10 {
        sim.step(0, &mut |run| (ITEM_MS, done(run)));
    }
    let usage = sim.store.usage;
    (usage.reads as f64 / SECONDS as f64, usage.bytes as f64 / SECONDS as f64)
}

fn resident_kib() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let digits = line.and_then(|it| it.split_whitespace().next());
    digits
        .and_then(|it| it.parse().ok())
        .ok_or_else(|| io::Error::other("the process status has no VmRSS line"))
}
