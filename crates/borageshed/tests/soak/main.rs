//! A soak: real daemons as separate processes under random faults from outside, with promises checked from callers and
//! targets.
//!
//! `SOAK_FIRST_SEED` and `SOAK_RUNS` choose other seeds, `SOAK_SECONDS` the length of the faults. A run with the same seed
//! injects the same faults at the same times; what the processes make of them differs from run to run.

mod callers;
mod faults;
mod site;

use std::{env, io, io::Write as _, sync::Arc, time::Duration};

use async_std::task;
use callers::{Callers, Observed};
use faults::Faults;
use site::{POLL, Site};
use test_support::{http::Call, wait::wait_until};

/// Seeds that failed once: the soak let a pause of a daemon last until another daemon had stopped, and took the calls that
/// the paused one held as too slow.
const REGRESSIONS: &[u64] = &[108, 148];
/// The seeds of the short run.
const SHORT_SEEDS: [u64; 2] = [1, 2];
const SHORT_SECONDS: u64 = 6;
/// How long after the last fault everything is served again: leases of 15 s lapse, and a job's owner is replaced.
const RECOVERY: Duration = Duration::from_secs(30);

// Guards against promises that break only where several faults meet.
#[async_std::test]
async fn promises_hold_under_random_faults() -> io::Result<()> {
    let seconds = setting("SOAK_SECONDS").unwrap_or(SHORT_SECONDS);
    let seeds: Vec<u64> = match setting("SOAK_FIRST_SEED") {
        Some(first) => (first..first + setting("SOAK_RUNS").unwrap_or(1)).collect(),
        None => REGRESSIONS.iter().copied().chain(SHORT_SEEDS).collect(),
    };
    let mut broken = Vec::new();
    for seed in seeds {
        let (observed, log) = run(seed, Duration::from_secs(seconds)).await?;
        writeln!(io::stderr(), "seed {seed}: {}", observed.summary())?;
        if !observed.broken.is_empty() {
            broken.push(format!("seed {seed}, logs in {}: {:#?}", log.display(), observed.broken));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
    Ok(())
}

async fn run(seed: u64, time: Duration) -> io::Result<(Observed, std::path::PathBuf)> {
    let mut site = Site::start().await?;
    let callers = Arc::new(Callers::new(site.entries(), seed));
    let tasks: Vec<_> = Callers::KINDS
        .into_iter()
        .map(|kind| task::spawn(Callers::call_all(Arc::clone(&callers), kind)))
        .collect();
    let exits = Faults::new(seed).inject(&mut site, time).await?;
    callers.stop();
    for it in tasks {
        it.await;
    }
    let mut observed = callers.observed();
    observed.broken.extend(exits);
    let is_served = async || serves(&site).await;
    if let Err(e) = wait_until("every entry serves", RECOVERY, POLL, is_served).await {
        observed.broken.push(format!("not served after the faults: {e}"));
    }
    let jobs = callers.jobs();
    let have_ended = async || callers.unfinished(&jobs).await.is_empty();
    if wait_until("every job has ended", RECOVERY, POLL, have_ended).await.is_err() {
        observed.broken.push(format!("jobs not finished: {:?}", callers.unfinished(&jobs).await));
    }
    observed.broken.extend(callers.check_results(&jobs).await);
    observed.broken.extend(callers.check_runs(&site.asked()));
    let folder = site.end(!observed.broken.is_empty());
    Ok((observed, folder))
}

async fn serves(site: &Site) -> bool {
    for entry in site.entries() {
        let call = Call::get("/readyz");
        let is_ready = call.send(site.admin_of(entry)).await.is_ok_and(|it| it.status == 200);
        if !is_ready || !Callers::is_served(entry).await {
            return false;
        }
    }
    true
}

fn setting(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
