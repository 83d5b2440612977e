//! Helpers for tests of batch jobs on a deployment of separate processes.

#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{
    sync::{Mutex, MutexGuard},
    task,
};
use serde_json::{Value, json};
use test_support::{
    deployment::{Deployment, Plan},
    http::{Call, Reply},
};

pub const KEY: &str = "alpha-key";

/// Returns a guard that lets only one deployment run at a time, because all tests share the machine.
pub async fn exclusive_run() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().await
}

/// Starts three daemons and two engines whose steps take `step_us`.
pub async fn deployment(step_us: u64) -> Deployment {
    let engine_args = ["--step-us", &step_us.to_string(), "--crash", "reset"].map(str::to_owned);
    let plan = Plan { engine_args: engine_args.to_vec(), ..Plan::default() };
    Deployment::start(plan).await.expect("the deployment starts")
}

/// Returns an input file for the model service.
pub fn prompt_file(items: usize) -> String {
    let body = |i| json!({ "model": "assistant", "prompt": format!("Loaf {i}"), "max_tokens": 16 });
    (0..items).map(|i| input_line(i, "/v1/completions", &body(i))).collect()
}

/// Returns an input file for the non-idempotent route of the plain service.
pub fn order_file(items: usize) -> String {
    (0..items).map(|i| input_line(i, "/orders/orders", &json!({ "dish": i }))).collect()
}

pub fn input_line(i: usize, url: &str, body: &Value) -> String {
    let line = json!({ "custom_id": custom_id(i), "method": "POST", "url": url, "body": body });
    format!("{line}\n")
}

pub fn custom_id(i: usize) -> String {
    format!("item-{i:05}")
}

pub async fn send(address: SocketAddr, call: Call) -> Reply {
    // The future is boxed, because the futures of several calls together would overflow the stack of a test thread.
    Box::pin(call.key(KEY).send(address)).await.expect("the daemon answers")
}

/// Uploads a file and returns its id.
pub async fn upload(deployment: &Deployment, daemon: usize, text: &str) -> String {
    let reply = send(deployment.caller_address(daemon), Call::post("/v1/files", text)).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    reply.json()["id"].as_str().expect("files have ids").to_owned()
}

pub fn submission(file: &str, endpoint: &str) -> Call {
    let body = json!({ "input_file_id": file, "endpoint": endpoint, "completion_window": "10m" });
    Call::post("/v1/batches", body.to_string())
}

/// Uploads a file and submits a job; returns the id of the job.
pub async fn submit(deployment: &Deployment, daemon: usize, text: &str, endpoint: &str) -> String {
    let file = upload(deployment, daemon, text).await;
    let reply = send(deployment.caller_address(daemon), submission(&file, endpoint)).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    reply.json()["id"].as_str().expect("jobs have ids").to_owned()
}

pub async fn job_status(deployment: &Deployment, daemon: usize, id: &str) -> Value {
    let call = Call::get(format!("/v1/batches/{id}"));
    send(deployment.caller_address(daemon), call).await.json()
}

/// Waits until a job satisfies a condition.
pub async fn wait_job(
    deployment: &Deployment,
    daemon: usize,
    id: &str,
    is_wanted: impl Fn(&Value) -> bool,
) -> Value {
    const LIMIT: Duration = Duration::from_secs(90);
    let start = Instant::now();
    loop {
        let job = job_status(deployment, daemon, id).await;
        if is_wanted(&job) {
            return job;
        }
        assert!(start.elapsed() < LIMIT, "the job stays {job}");
        task::sleep(Duration::from_millis(100)).await;
    }
}

pub async fn wait_ended(deployment: &Deployment, daemon: usize, id: &str) -> Value {
    let ended = ["completed", "cancelled", "expired"];
    wait_job(deployment, daemon, id, |it| ended.iter().any(|state| it["status"] == *state)).await
}

/// Waits until at least `count` items have completed.
pub async fn wait_completed(deployment: &Deployment, daemon: usize, id: &str, count: u64) {
    let completed = |it: &Value| it["request_counts"]["completed"].as_u64() >= Some(count);
    wait_job(deployment, daemon, id, completed).await;
}

/// Waits until a daemon owns a segment.
pub async fn wait_segment_claimed(deployment: &Deployment, daemon: usize) {
    let owns = |it: &Value| it["segments_owned"].as_u64() > Some(0);
    deployment.wait_status(daemon, owns).await.expect("the daemon claims a segment");
}

/// Reads the lines of a result file of an ended job; `file` is the member of the job with the file's id.
pub async fn result_lines(
    deployment: &Deployment,
    daemon: usize,
    job: &Value,
    file: &str,
) -> Vec<Value> {
    let Some(file) = job[file].as_str() else { return Vec::new() };
    let call = Call::get(format!("/v1/files/{file}/content"));
    let reply = send(deployment.caller_address(daemon), call).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    reply.text().lines().map(|it| serde_json::from_str(it).expect("lines are JSON")).collect()
}

/// Checks that each item has one line in one of the two result files, and that both are in input order.
///
/// Returns how often each code occurs in the error file.
pub async fn check_results(
    deployment: &Deployment,
    daemon: usize,
    job: &Value,
    items: usize,
) -> BTreeMap<String, usize> {
    let output = result_lines(deployment, daemon, job, "output_file_id").await;
    let errors = result_lines(deployment, daemon, job, "error_file_id").await;
    let mut seen = BTreeSet::new();
    for lines in [&output, &errors] {
        let ids: Vec<_> = lines.iter().map(|it| it["custom_id"].as_str().expect("an id")).collect();
        assert!(ids.is_sorted(), "the file is not in input order");
        for id in ids {
            assert!(seen.insert(id.to_owned()), "{id} has two results");
        }
    }
    let all: BTreeSet<String> = (0..items).map(custom_id).collect();
    assert_eq!(seen, all, "an item has no result");
    let counts = &job["request_counts"];
    assert_eq!(counts["completed"], output.len(), "{job}");
    assert_eq!(counts["failed"], errors.len(), "{job}");
    let mut codes = BTreeMap::new();
    for line in &errors {
        let code = line["error"]["code"].as_str().unwrap_or("answered").to_owned();
        *codes.entry(code).or_insert(0) += 1;
    }
    codes
}

/// Returns how often each item ran on the given targets, by segment and index.
pub async fn executions(targets: &[SocketAddr], id: &str) -> BTreeMap<(String, String), u64> {
    let mut counts = BTreeMap::new();
    let prefix = format!("batch-{}-", id.trim_start_matches("batch_"));
    for target in targets {
        let reply = Call::get("/executions").send(*target).await.expect("the target answers");
        for (request, count) in reply.json().as_object().expect("counts by request") {
            let Some(rest) = request.strip_prefix(&prefix) else { continue };
            let mut parts = rest.split('-').map(str::to_owned);
            let item = (parts.next().expect("a segment"), parts.next().expect("an item"));
            *counts.entry(item).or_insert(0) += count.as_u64().expect("a count");
        }
    }
    counts
}

pub fn engines(deployment: &Deployment) -> Vec<SocketAddr> {
    (0..deployment.engines.len()).map(|i| deployment.engine_address(i)).collect()
}

/// Checks that each item of a job ran, and that there were no more repeated runs than attempts interrupted for other
/// requests.
pub async fn check_run_counts(deployment: &Deployment, id: &str, items: usize) {
    let runs = executions(&engines(deployment), id).await;
    assert_eq!(runs.len(), items, "an item with a result did not run");
    let message = "batch attempt interrupted";
    let log = |i| std::fs::read_to_string(deployment.log(&format!("daemon-{i}"))).expect("a log");
    let interruptions: usize =
        (0..deployment.daemons.len()).map(|i| log(i).matches(message).count()).sum();
    let repeated = runs.values().sum::<u64>() - items as u64;
    assert!(
        repeated <= interruptions as u64,
        "{repeated} more runs than items, but {interruptions} interrupted attempts"
    );
}

/// Returns the calls that the platform stand-in received, by path.
pub async fn store_calls(deployment: &Deployment) -> BTreeMap<String, u64> {
    let reply = Call::get("/calls").send(deployment.platform_address()).await.expect("counts");
    serde_json::from_value(reply.json()).expect("counts by path")
}
