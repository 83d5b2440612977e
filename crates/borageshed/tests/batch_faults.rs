//! Batch jobs on a deployment of separate processes, while daemons and the key-value service fail.

mod batch_common;

use std::time::{Duration, Instant};

use async_std::task;
use batch_common::{
    check_results, deployment, exclusive_run, executions, order_file, prompt_file, send,
    submission, submit, upload, wait_completed, wait_ended, wait_segment_claimed,
};
use serde_json::json;
use test_support::{deployment::Deployment, http::Call, processes::Process};

const COMPLETIONS: &str = "/v1/completions";
/// Longer than the lease of 5 s.
const LONG_PAUSE: Duration = Duration::from_secs(8);

// Guards against the loss of an acknowledged job when the daemon that accepted it crashes.
#[async_std::test]
async fn a_job_survives_the_daemon_that_acknowledged_it() {
    const ITEMS: usize = 300;
    let _exclusive = exclusive_run().await;
    let mut deployment = deployment(5_000).await;
    let id = submit(&deployment, 0, &prompt_file(ITEMS), COMPLETIONS).await;
    deployment.daemons[0].crash();
    let job = wait_ended(&deployment, 1, &id).await;
    assert!(check_results(&deployment, 2, &job, ITEMS).await.is_empty());
}

// Guards against items that are lost with a killed owner, and against results that count twice because a paused owner
// resumes after its lease has lapsed.
#[async_std::test]
async fn a_job_survives_a_killed_daemon_and_one_paused_beyond_its_lease() {
    const ITEMS: usize = 2_000;
    let _exclusive = exclusive_run().await;
    let mut deployment = deployment(10_000).await;
    let id = submit(&deployment, 0, &prompt_file(ITEMS), COMPLETIONS).await;
    for daemon in 0..3 {
        wait_segment_claimed(&deployment, daemon).await;
    }
    deployment.daemons[0].crash();
    deployment.daemons[1].pause();
    task::sleep(LONG_PAUSE).await;
    deployment.daemons[1].resume();
    let job = wait_ended(&deployment, 2, &id).await;
    assert!(check_results(&deployment, 2, &job, ITEMS).await.is_empty());
    assert!(check_results(&deployment, 1, &job, ITEMS).await.is_empty());
    check_new_incarnation(&deployment, 1);
}

// Guards against jobs that stop for good or lose results when the service is unavailable for less or for more than the
// duration of a lease.
#[async_std::test]
async fn a_job_survives_outages_of_the_platform_service() {
    const ITEMS: usize = 1_500;
    let _exclusive = exclusive_run().await;
    let deployment = deployment(10_000).await;
    let id = submit(&deployment, 0, &prompt_file(ITEMS), COMPLETIONS).await;
    wait_completed(&deployment, 0, &id, 64).await;
    for outage in [Duration::from_secs(3), LONG_PAUSE] {
        let faults = deployment.platform_faults(json!({ "outage": true })).await;
        assert_eq!(faults.expect("the stand-in answers").status, 200);
        let start = Instant::now();
        let reply = send(deployment.caller_address(1), submission("file-none", COMPLETIONS)).await;
        assert_eq!(reply.status, 400, "an invalid file id is refused without the service");
        let status = Call::get(format!("/v1/batches/{id}"));
        let reply = send(deployment.caller_address(1), status).await;
        assert_eq!((reply.status, &reply.json()["execution"]), (503, &json!("not_run")));
        assert!(reply.header("retry-after").is_some());
        task::sleep(outage.saturating_sub(start.elapsed())).await;
        let faults = deployment.platform_faults(json!({ "outage": false })).await;
        assert_eq!(faults.expect("the stand-in answers").status, 200);
        task::sleep(Duration::from_secs(2)).await;
    }
    let job = wait_ended(&deployment, 2, &id).await;
    assert!(check_results(&deployment, 2, &job, ITEMS).await.is_empty());
}

// Guards against a second run of items that must not be repeated, whatever happens to their owner.
#[async_std::test]
async fn non_idempotent_items_run_at_most_once_over_a_kill_a_pause_and_lost_answers() {
    const ITEMS: usize = 600;
    let _exclusive = exclusive_run().await;
    let mut deployment = deployment(5_000).await;
    let plain = deployment.plain_address(0);
    // Slow answers keep items in flight most of the time, so that the faults hit some.
    let slow = json!({ "start_delay_ms": 100, "answer_delay_ms": 200 });
    Call::put("/faults", slow.to_string()).send(plain).await.expect("the service answers");
    // The job has three segments. Daemons 0 and 1 fail below, so each must claim one before daemon 2 may compete.
    deployment.daemons[1..].iter().for_each(Process::pause);
    let id = submit(&deployment, 0, &order_file(ITEMS), "/orders/orders").await;
    wait_segment_claimed(&deployment, 0).await;
    deployment.daemons[1].resume();
    wait_segment_claimed(&deployment, 1).await;
    deployment.daemons[2].resume();
    wait_completed(&deployment, 2, &id, 16).await;
    deployment.daemons[0].crash();
    deployment.daemons[1].pause();
    deployment.platform_faults(json!({ "lose_answers": 5 })).await.expect("the stand-in answers");
    task::sleep(LONG_PAUSE).await;
    deployment.daemons[1].resume();
    // A daemon runs one non-idempotent item at a time on a target. At 300 ms per item, two daemons would not finish the
    // remaining items within the time limit of the wait.
    let quick = json!({ "start_delay_ms": 0, "answer_delay_ms": 0 });
    Call::put("/faults", quick.to_string()).send(plain).await.expect("the service answers");
    let job = wait_ended(&deployment, 2, &id).await;
    let codes = check_results(&deployment, 2, &job, ITEMS).await;
    assert!(codes.keys().all(|it| it == "outcome_unknown"), "{codes:?}");
    assert!(!codes.is_empty(), "the faults hit no item, so the test shows nothing");
    let runs = executions(&[plain], &id).await;
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "items ran twice: {twice:?}");
    let done = job["request_counts"]["completed"].as_u64().expect("a count") as usize;
    assert!((done..=done + codes["outcome_unknown"]).contains(&runs.len()), "{} {job}", runs.len());
}

// Guards against a shutdown that leaves segments owned or the outcome of non-idempotent items unknown.
#[async_std::test]
async fn a_daemon_that_drains_gives_its_segments_back() {
    const ITEMS: usize = 200;
    let _exclusive = exclusive_run().await;
    let mut deployment = deployment(5_000).await;
    // Each job has one segment, so daemon 0, which drains below, must claim one before the others compete for them.
    deployment.daemons[1..].iter().for_each(Process::pause);
    let id = submit(&deployment, 0, &order_file(ITEMS), "/orders/orders").await;
    let file = upload(&deployment, 0, &prompt_file(ITEMS)).await;
    let reply = send(deployment.caller_address(0), submission(&file, COMPLETIONS)).await;
    let second = reply.json()["id"].as_str().expect("an id").to_owned();
    wait_segment_claimed(&deployment, 0).await;
    deployment.daemons[1..].iter().for_each(Process::resume);
    wait_completed(&deployment, 1, &id, 16).await;
    deployment.daemons[0].terminate();
    let status = deployment.daemons[0].wait(Duration::from_secs(15));
    assert!(status.is_some_and(|it| it.success()), "{status:?}");
    for id in [id, second] {
        let job = wait_ended(&deployment, 1, &id).await;
        assert!(check_results(&deployment, 2, &job, ITEMS).await.is_empty());
    }
}

/// Checks that a resumed daemon continued under a new incarnation.
fn check_new_incarnation(deployment: &Deployment, daemon: usize) {
    let log = std::fs::read_to_string(deployment.log(&format!("daemon-{daemon}"))).expect("a log");
    let incarnations = log.lines().filter(|it| it.contains("batch lease acquired")).count();
    assert!(incarnations >= 2, "the daemon kept the incarnation of a lapsed lease");
}
