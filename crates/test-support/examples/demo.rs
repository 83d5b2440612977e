//! Runs a deployment with default settings and sends a streamed request, a plain call and a batch job through three
//! daemons.

use std::{io::Write as _, time::Duration};

use anyhow::{Context as _, Result, ensure};
use async_std::task;
use serde_json::json;
use test_support::{
    deployment::{Deployment, Plan},
    http::Call,
};

fn main() -> Result<()> {
    task::block_on(run())
}

async fn run() -> Result<()> {
    print_line(
        "Starting a platform stand-in, two model engines, a plain service and three daemons in two failure domains.",
    )?;
    let deployment = Deployment::start(Plan::default()).await?;
    for i in 0..deployment.daemons.len() {
        let status = Call::get("/status").send(deployment.admin_address(i)).await?.json();
        print_line(&format!(
            "  {} in failure domain {}: revision {}, {} rate slots, peers {}",
            status["instance"],
            status["failure_domain"],
            status["revision"],
            status["slots_held"],
            status["peers"]
        ))?;
    }
    streamed_answer(&deployment).await?;
    place_order(&deployment).await?;
    batch_job(&deployment).await?;
    print_line("Done.")
}

async fn streamed_answer(deployment: &Deployment) -> Result<()> {
    print_line("Asking for a streamed answer through daemon 0:")?;
    let body = json!({
        "model": "assistant", "stream": true, "max_tokens": 8,
        "messages": [{ "role": "user", "content": "Is there sesame in the bread?" }],
    });
    let call = Call::post("/v1/chat/completions", body.to_string()).key("alpha-key");
    let reply = call.send(deployment.caller_address(0)).await?;
    ensure!(reply.status == 200, "status {}: {}", reply.status, reply.text());
    let text = reply.text();
    let events: Vec<&str> = text.lines().filter(|it| it.starts_with("data: ")).collect();
    print_line(&format!(
        "  {} events, the last one is {:?}",
        events.len(),
        events.last().context("no event")?
    ))
}

async fn place_order(deployment: &Deployment) -> Result<()> {
    print_line("Placing an order twice under one Idempotency-Key, through two daemons:")?;
    for i in [0, 1] {
        let call = Call::post("/orders/orders", r#"{"dish":"flatbread"}"#)
            .key("alpha-key")
            .header("idempotency-key", "order-7");
        let reply = call.send(deployment.caller_address(i)).await?;
        ensure!(reply.status == 200, "status {}: {}", reply.status, reply.text());
        let replayed = reply.header("idempotent-replayed").is_some();
        print_line(&format!(
            "  daemon {i}: status {}, answered from the record: {replayed}",
            reply.status
        ))?;
    }
    let executions = Call::get("/executions").send(deployment.plain_address(0)).await?;
    print_line(&format!("  executions at the service: {}", executions.text()))
}

/// Submits a job through one daemon, follows it through another and reads its results through the third.
async fn batch_job(deployment: &Deployment) -> Result<()> {
    const ITEMS: usize = 600;
    const POLL_INTERVAL: Duration = Duration::from_millis(500);
    /// The demo fails after 2 minutes, many times the duration of the job.
    const MAX_POLLS: usize = 240;
    print_line(&format!(
        "Running a batch job of {ITEMS} items, of which one names an unknown model:"
    ))?;
    let input_line = |i: usize| {
        let model = if i == 7 { "unknown-model" } else { "assistant" };
        let body =
            json!({ "model": model, "prompt": format!("Describe loaf {i}."), "max_tokens": 8 });
        json!({ "custom_id": format!("loaf-{i:04}"), "method": "POST", "url": "/v1/completions", "body": body })
    };
    let input: String = (0..ITEMS).map(|i| format!("{}\n", input_line(i))).collect();
    let upload = Call::post("/v1/files", input).key("alpha-key");
    let file = upload.send(deployment.caller_address(0)).await?;
    ensure!(file.status == 200, "status {}: {}", file.status, file.text());
    let file = file.json();
    print_line(&format!("  daemon 0 stored {} ({} bytes)", file["id"], file["bytes"]))?;
    let job = json!({
        "input_file_id": file["id"], "endpoint": "/v1/completions", "completion_window": "1h",
        "metadata": { "note": "demo" },
    });
    let submit = Call::post("/v1/batches", job.to_string()).key("alpha-key");
    let job = submit.send(deployment.caller_address(0)).await?;
    ensure!(job.status == 200, "status {}: {}", job.status, job.text());
    let id = job.json()["id"].as_str().context("the job has no id")?.to_owned();
    print_line(&format!("  daemon 0 accepted {id}"))?;
    let mut polls = 0;
    let job = loop {
        let get = Call::get(format!("/v1/batches/{id}")).key("alpha-key");
        let job = get.send(deployment.caller_address(1)).await?.json();
        let counts = &job["request_counts"];
        print_line(&format!(
            "  daemon 1 says {}: {} of {} completed, {} failed",
            job["status"], counts["completed"], counts["total"], counts["failed"]
        ))?;
        if job["status"] == "completed" {
            break job;
        }
        polls += 1;
        ensure!(polls < MAX_POLLS, "the job did not end: {job}");
        task::sleep(POLL_INTERVAL).await;
    };
    for (member, expected) in [("output_file_id", ITEMS - 1), ("error_file_id", 1)] {
        let file = job[member].as_str().context("the job has no such file")?;
        let get = Call::get(format!("/v1/files/{file}/content")).key("alpha-key");
        let content = get.send(deployment.caller_address(2)).await?;
        ensure!(content.status == 200, "status {}: {}", content.status, content.text());
        let text = content.text();
        ensure!(text.lines().count() == expected, "{member} has {} lines", text.lines().count());
        let last = text.lines().last().unwrap_or_default();
        print_line(&format!("  daemon 2 gives {file}: {expected} lines, the last one is {last}"))?;
    }
    Ok(())
}

fn print_line(line: &str) -> Result<()> {
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}
