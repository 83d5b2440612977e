//! Measures how cost grows with the number of open jobs.

use std::time::Duration;

use anyhow::{Result, ensure};
use async_std::task;
use serde_json::{Value, json};
use test_support::{
    deployment::{Deployment, Plan},
    http::Call,
};

use crate::{
    document::{self, LOAD_KEY},
    measure, print_line,
};

const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);
const DAEMONS: usize = 3;
const READ_PATH: &str = "/v3/kv/range";

/// Fills the daemons with more slow items than can end during the series, and then adds jobs for which no daemon has room.
pub async fn run(counts: &[usize]) -> Result<()> {
    /// Makes enough segments to fill every daemon.
    const FILLER_ITEMS: usize = 256 * 16 * DAEMONS;
    let deployment = start_deployment(["--slots", "1", "--delay-ms", "9000"]).await?;
    submit(&deployment, 0, "filler", FILLER_ITEMS).await?;
    task::sleep(SETTLE_TIME).await;
    print_line("3 daemons that are full; per daemon:")?;
    print_line("open_jobs calls/s reads_of_keys/s bytes/s control_% process_% MiB")?;
    let mut open = 1;
    for &count in counts {
        while open < count {
            submit(&deployment, open % DAEMONS, &format!("open-{open}"), 1).await?;
            open += 1;
        }
        task::sleep(SETTLE_TIME).await;
        let used = measure::usage_during(&deployment, MEASUREMENT_TIME).await?;
        let daemon_seconds = used.seconds * DAEMONS as f64;
        let (memory, _) = measure::memory(&deployment.daemons[0])?;
        print_line(&format!(
            "{count:9} {:7.2} {:15.2} {:7.0} {:9.3} {:9.2} {memory:5.1}",
            used.all_calls() / daemon_seconds,
            calls_to(&used, READ_PATH) / daemon_seconds,
            used.all_bytes() / daemon_seconds,
            used.control_percent(),
            used.process_percent(),
        ))?;
        print_line(&format!("          calls by kind: {}", used.call_rates_by_kind()))?;
    }
    Ok(())
}

/// Returns the number of calls to one path of the platform stand-in.
fn calls_to(usage: &measure::Usage, path: &str) -> f64 {
    usage.calls.get(path).copied().unwrap_or(0.0)
}

async fn start_deployment<const N: usize>(engine_args: [&str; N]) -> Result<Deployment> {
    let plan = Plan {
        daemons: vec!["a"; DAEMONS],
        engines: vec!["a", "a"],
        plain: Vec::new(),
        engine_args: engine_args.map(str::to_owned).to_vec(),
        concurrency: 64,
        settings: json!({ "log_level": "info" }),
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    let revision =
        deployment.apply(&[document::accounts(3, 5.0), document::batch_limits()]).await?;
    for i in 0..DAEMONS {
        deployment.wait_status(i, |it| it["revision"].as_u64() >= Some(revision)).await?;
    }
    task::sleep(SETTLE_TIME).await;
    Ok(deployment)
}

/// Uploads a file of `items` items through daemon `i` and submits it as a job.
async fn submit(deployment: &Deployment, i: usize, name: &str, items: usize) -> Result<()> {
    let line = |item: usize| {
        let body =
            json!({ "model": "assistant", "prompt": format!("{name} {item}"), "max_tokens": 4 });
        let line = json!({
            "custom_id": format!("{name}-{item}"), "method": "POST", "url": "/v1/completions", "body": body,
        });
        format!("{line}\n")
    };
    let input: String = (0..items).map(line).collect();
    let file = post(deployment, i, "/v1/files", input).await?;
    let job = json!({
        "input_file_id": file["id"], "endpoint": "/v1/completions", "completion_window": "24h",
    });
    post(deployment, i, "/v1/batches", job.to_string()).await?;
    Ok(())
}

async fn post(deployment: &Deployment, i: usize, path: &str, body: String) -> Result<Value> {
    let reply = Call::post(path, body).key(LOAD_KEY).send(deployment.caller_address(i)).await?;
    ensure!(reply.status == 200, "{path}: {} {}", reply.status, reply.text());
    Ok(reply.json())
}
