//! Measures what a daemon spends on targets that register and then write their entries again and again.

use std::time::{Duration, Instant};

use anyhow::Result;
use async_std::task;
use serde_json::json;
use test_support::{operator, platform::Platform};

use crate::{
    measure::{self, Cpu},
    operator_site::Site,
    print_line,
};

/// How long it takes until all targets have registered.
const BURST_TIME: Duration = Duration::from_secs(3);
/// The interval at which a target writes its entry.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_200);
const REST_TIME: Duration = Duration::from_secs(6);
/// How long the daemons may take to work off a burst.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(20);
const DOMAINS: usize = 7;

/// Measures an entry daemon that reads from the service itself.
pub async fn run(counts: &[usize]) -> Result<()> {
    print_line(&format!(
        "targets register within {} s, then write their entries every {} s; processor time of an entry daemon in ms per second:",
        BURST_TIME.as_secs_f64(),
        WRITE_INTERVAL.as_secs_f64()
    ))?;
    print_line(
        "targets burst_control burst_process rest_control rest_process MiB peak_MiB anonymous_MiB",
    )?;
    for &count in counts {
        measure_registry(count).await?;
    }
    Ok(())
}

async fn measure_registry(count: usize) -> Result<()> {
    let site = Site::start(&[]).await?;
    let start = measure::cpu_time(&site.entry)?;
    write_entries(&site.platform, count, BURST_TIME, 1).await;
    task::sleep(SETTLE_TIME).await;
    let burst = since(start, measure::cpu_time(&site.entry)?, BURST_TIME + SETTLE_TIME);
    let (start, began) = (measure::cpu_time(&site.entry)?, Instant::now());
    let mut seq = 1;
    while began.elapsed() < REST_TIME {
        seq += 1;
        write_entries(&site.platform, count, WRITE_INTERVAL, seq).await;
    }
    let rest = since(start, measure::cpu_time(&site.entry)?, began.elapsed());
    let (memory, peak) = measure::memory(&site.entry)?;
    let anonymous = measure::anonymous_memory(&site.entry)?;
    print_line(&format!(
        "{count:7} {:13.1} {:13.1} {:12.1} {:12.1} {memory:5.1} {peak:8.1} {anonymous:13.1}",
        burst.control, burst.all, rest.control, rest.all
    ))
}

/// Writes the entries of all targets, spread evenly over some time.
async fn write_entries(platform: &Platform, count: usize, time: Duration, seq: u64) {
    let start = Instant::now();
    let mut written = 0;
    while written < count {
        let due = start.elapsed().div_duration_f64(time) * count as f64;
        while written < count.min(due as usize) {
            let [.., high, low] = (written as u32 + 1).to_be_bytes();
            let entry = json!({
                "service": operator::SERVICE, "address": format!("127.250.{high}.{low}:80"),
                "zone": format!("z{}", written % DOMAINS), "slots": 8, "state": "ready", "version": "1",
                "cold_left_ms": 0, "seq": seq,
            });
            let id = format!("target-{written:05}");
            operator::register_bytes(platform, &id, entry.to_string().into_bytes());
            written += 1;
        }
        task::sleep(STEP).await;
    }
}

/// Returns the processor time between two measurements in milliseconds per second.
fn since(start: Cpu, end: Cpu, time: Duration) -> Cpu {
    let rate = |start: f64, end: f64| (end - start) * 1e3 / time.as_secs_f64();
    Cpu { control: rate(start.control, end.control), all: rate(start.all, end.all) }
}
