//! Measures how cost grows with the number of accounts.

use std::time::{Duration, Instant};

use anyhow::Result;
use async_std::task;
use fleet::revision::{Edit, Revision};
use policy::auth::KeyTable;
use serde_json::json;
use test_support::deployment::{Deployment, Plan};

use crate::{document, measure, print_line};

const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

pub async fn run(counts: &[usize]) -> Result<()> {
    print_line(
        "accounts document_KiB chunks read_ms keys_ms edit_ms edit_chunks edit_KiB memory_MiB",
    )?;
    let mut results = Vec::new();
    for &count in counts {
        results.push(measure_library(count).await?);
    }
    drop(results);
    print_line("one daemon with the document in force:")?;
    print_line(
        "accounts in_force_ms edit_in_force_ms edit_gets edit_cpu_ms edit_control_ms idle_control_% idle_process_% MiB peak_MiB",
    )?;
    for &count in counts {
        measure_daemon(count).await?;
    }
    Ok(())
}

/// Measures the library crates without a daemon. The caller keeps the returned values until all rows are measured, so that
/// no row reuses memory that an earlier one has freed.
async fn measure_library(count: usize) -> Result<(Revision, KeyTable)> {
    let plan =
        Plan { daemons: Vec::new(), engines: Vec::new(), plain: Vec::new(), ..Plan::default() };
    let mut sections = Deployment::start(plan).await?.sections();
    let (id, text) = document::accounts(count, 5.0);
    sections.retain(|(known, _)| *known != id);
    sections.push((id.clone(), text));
    let before = measure::own_memory()?.0;
    let first = Revision::first(&sections)?;
    drop(sections);
    let start = Instant::now();
    let revision = Revision::read(first.head.clone(), first.chunks.clone())?;
    let read = start.elapsed();
    drop(first);
    let start = Instant::now();
    let keys = KeyTable::new(&revision.document);
    let table = start.elapsed();
    let memory = measure::own_memory()?.0 - before;
    let edit = Edit { section: id.clone(), base: 1, text: Some(document::accounts(count, 6.0).1) };
    let start = Instant::now();
    let next = revision.edit(&edit)?;
    let edited = start.elapsed();
    let new_chunks: Vec<usize> = next
        .chunks
        .iter()
        .filter(|(digest, _)| !revision.chunks.contains_key(*digest))
        .map(|(_, chunk)| chunk.len())
        .collect();
    let bytes: usize = revision.chunks.values().map(|it| it.len()).sum();
    print_line(&format!(
        "{count:8} {:12} {:6} {:7.1} {:7.1} {:7.1} {:11} {:8.1} {memory:10.1}",
        bytes / 1_024,
        revision.chunks.len(),
        as_millis(read),
        as_millis(table),
        as_millis(edited),
        new_chunks.len(),
        new_chunks.iter().sum::<usize>() as f64 / 1_024.0,
    ))?;
    Ok((revision, keys))
}

async fn measure_daemon(count: usize) -> Result<()> {
    let plan = Plan {
        daemons: vec!["a"],
        engines: Vec::new(),
        plain: Vec::new(),
        settings: json!({ "log_level": "info" }),
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    let first = apply_accounts(&deployment, count, 5.0).await?;
    task::sleep(SETTLE_TIME).await;
    let idle = measure::usage_during(&deployment, MEASUREMENT_TIME).await?;
    let snapshot = measure::Snapshot::take(&deployment).await?;
    let second = apply_accounts(&deployment, count, 6.0).await?;
    task::sleep(Duration::from_millis(500)).await;
    let edit = snapshot.usage(&deployment).await?;
    let idle_share = edit.seconds / idle.seconds;
    let (now, peak) = measure::memory(&deployment.daemons[0])?;
    let gets = edit.calls_of_kind("get") - idle.calls_of_kind("get") * idle_share;
    print_line(&format!(
        "{count:8} {:11.0} {:16.0} {gets:9.1} {:11.0} {:15.1} {:14.3} {:14.2} {now:5.1} {peak:8.1}",
        as_millis(first),
        as_millis(second),
        (edit.process_seconds() - idle.process_seconds() * idle_share) * 1e3,
        (edit.control_seconds() - idle.control_seconds() * idle_share) * 1e3,
        idle.control_percent(),
        idle.process_percent(),
    ))
}

/// Writes a document with `count` accounts and returns the time from its acceptance until it is in force.
async fn apply_accounts(deployment: &Deployment, count: usize, rate: f64) -> Result<Duration> {
    let revision = deployment.apply(&[document::accounts(count, rate)]).await?;
    let start = Instant::now();
    deployment.wait_status(0, |it| it["revision"].as_u64() >= Some(revision)).await?;
    Ok(start.elapsed())
}

fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
