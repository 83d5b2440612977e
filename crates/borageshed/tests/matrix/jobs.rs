//! Runs the cells of batch jobs.

use std::{collections::BTreeMap, io, time::Duration};

use async_std::task;
use serde_json::{Value, json};
use test_support::http::Call;

use crate::{
    fixture::{
        CALLER_DAEMON, DAEMONS, Fixture, KEY, POISON_PROMPT, RESEND_DAEMON, Targets, wait_until,
    },
    steps::{CallResult, caller_endpoint, fail, inject, send, start},
    table::{
        BatchStep, Fault,
        Fault::{DaemonKilled, DaemonPaused, LeaseLapsed, PoisonResent, ResentElsewhere},
        Outcome,
    },
};

const ITEMS: usize = 24;
/// Makes an item run for about 0.2 s.
const TOKENS: usize = 40;
/// The delay before a failed call is sent again, after the fault was undone.
const RESEND_DELAY: Duration = Duration::from_millis(200);

pub async fn batch(
    fixture: &mut Fixture,
    step: BatchStep,
    faults: &[Fault],
) -> io::Result<Outcome> {
    let name = fixture.unique_name();
    let has_poison = faults.contains(&PoisonResent);
    let others: Vec<Fault> = faults.iter().copied().filter(|it| *it != PoisonResent).collect();
    let mut refused = false;

    let upload = Call::post("/v1/files", input(&name, has_poison)).key(KEY);
    let file = call_with_faults(fixture, &upload, step == BatchStep::Upload, &others, &mut refused)
        .await?;
    let file = file["id"].as_str().unwrap_or_default().to_owned();
    let body =
        json!({ "input_file_id": file, "endpoint": "/v1/completions", "completion_window": "1h" });
    let submit =
        Call::post("/v1/batches", body.to_string()).key(KEY).header("idempotency-key", &name);
    let runs = fixture.run_count(Targets::Engines).await;
    let job =
        call_with_faults(fixture, &submit, step == BatchStep::Submission, &others, &mut refused)
            .await?;
    let id = job["id"].as_str().unwrap_or_default().to_owned();

    if let BatchStep::ItemsRunning | BatchStep::Commit = step {
        let wanted = if step == BatchStep::Commit { ITEMS as u64 } else { 1 };
        let ran = async || fixture.run_count(Targets::Engines).await >= runs + wanted;
        wait_until("the items run", ran).await?;
        select_owner_for_faults(fixture, &others).await;
        inject(fixture, &others, Targets::Engines).await?;
        if others.contains(&ResentElsewhere) {
            let resend =
                send(submit.clone(), fixture.deployment.caller_address(RESEND_DAEMON)).await;
            check_same(&resend, &id)?;
        }
        // The fault stays active for a while before it is undone. If a daemon was killed, the others must finish the job
        // before it is restarted.
        let pause = if others.contains(&DaemonKilled) { 0 } else { 500 };
        task::sleep(Duration::from_millis(pause)).await;
        if others.contains(&DaemonKilled) {
            wait_ended(fixture, RESEND_DAEMON, &id).await?;
        }
        fixture.recover(&others, Targets::Engines).await?;
        fixture.faulted_daemon = CALLER_DAEMON;
    }
    let status = wait_ended(fixture, RESEND_DAEMON, &id).await?;
    if step == BatchStep::Results {
        inject(fixture, &others, Targets::Engines).await?;
        let (address, call_timeout) = caller_endpoint(fixture, &others);
        let path = format!("/v1/files/{}/content", status["output_file_id"].as_str().unwrap_or(""));
        // The call may fail while the fault is active, but must not return a part of the results as all of them.
        let result = start(Call::get(path).key(KEY), address, call_timeout).0.await;
        if result.is_ok() {
            check_results(&result.text, &name, has_poison)?;
        }
        fixture.recover(&others, Targets::Engines).await?;
    }
    let counts = &status["request_counts"];
    let failed = u64::from(has_poison);
    if counts["completed"] != ITEMS as u64 - failed || counts["failed"] != failed {
        return fail(format!("the job ended with {counts}"));
    }
    for i in [CALLER_DAEMON, RESEND_DAEMON] {
        let path = format!("/v1/files/{}/content", status["output_file_id"].as_str().unwrap_or(""));
        let result = send(Call::get(path).key(KEY), fixture.deployment.caller_address(i)).await;
        check_results(&result.text, &name, has_poison)?;
    }
    let resend = send(submit, fixture.deployment.caller_address(1)).await;
    check_same(&resend, &id)?;
    Ok(if refused { Outcome::RefusedNotRun } else { Outcome::FinishedOnce })
}

/// Makes a call, with the faults active if this is the step under test. A failed call is sent again through another daemon.
async fn call_with_faults(
    fixture: &mut Fixture,
    call: &Call,
    is_step: bool,
    faults: &[Fault],
    refused: &mut bool,
) -> io::Result<Value> {
    if !is_step {
        let result = send(call.clone(), fixture.deployment.caller_address(CALLER_DAEMON)).await;
        return success_body(&result);
    }
    inject(fixture, faults, Targets::Engines).await?;
    if faults.contains(&Fault::KeyWithdrawn) {
        wait_until("the key is withdrawn", async || !fixture.accepts_key(CALLER_DAEMON, KEY).await)
            .await?;
    }
    let (address, call_timeout) = caller_endpoint(fixture, faults);
    let first = start(call.clone(), address, call_timeout).0.await;
    let concurrent_resend = match faults.contains(&ResentElsewhere) {
        true => Some(send(call.clone(), fixture.deployment.caller_address(RESEND_DAEMON)).await),
        false => None,
    };
    *refused = first.execution() == "not_run";
    fixture.recover(faults, Targets::Engines).await?;
    if let Some(concurrent_resend) = concurrent_resend.filter(CallResult::is_ok) {
        return success_body(&concurrent_resend);
    }
    if first.is_ok() {
        return success_body(&first);
    }
    task::sleep(RESEND_DELAY).await;
    success_body(&send(call.clone(), fixture.deployment.caller_address(RESEND_DAEMON)).await)
}

fn success_body(result: &CallResult) -> io::Result<Value> {
    match &result.reply {
        Some(reply) if reply.status == 200 => Ok(reply.json()),
        _ => fail(format!("no answer: {result:?}")),
    }
}

fn check_same(resend: &CallResult, id: &str) -> io::Result<()> {
    let job = success_body(resend)?;
    if job["id"] == id { Ok(()) } else { fail(format!("the resend created another job: {job}")) }
}

/// Directs faults of daemons at the one that owns the segment.
async fn select_owner_for_faults(fixture: &mut Fixture, faults: &[Fault]) {
    if !faults.iter().any(|it| matches!(it, DaemonKilled | DaemonPaused | LeaseLapsed)) {
        return;
    }
    for i in 0..DAEMONS {
        // The test reads the job through this daemon, so it must stay alive.
        if i != RESEND_DAEMON && fixture.status(i).await["segments_owned"].as_u64() > Some(0) {
            fixture.faulted_daemon = i;
        }
    }
}

async fn wait_ended(fixture: &Fixture, via: usize, id: &str) -> io::Result<Value> {
    let mut last = Value::Null;
    let call = Call::get(format!("/v1/batches/{id}")).key(KEY);
    let address = fixture.deployment.caller_address(via);
    let ended = wait_until("the job ends", async || {
        if let Ok(reply) = call.send(address).await {
            last = reply.json();
        }
        task::sleep(Duration::from_millis(40)).await;
        last["status"] == "completed"
    });
    ended.await.map_err(|e| io::Error::other(format!("{e}: {last}")))?;
    Ok(last)
}

fn input(name: &str, has_poison: bool) -> String {
    let line = |i: usize| {
        let prompt = if has_poison && i == 0 { POISON_PROMPT } else { name };
        let body = json!({ "model": "assistant", "prompt": prompt, "max_tokens": TOKENS });
        let line = json!({ "custom_id": format!("{name}-{i}"), "method": "POST", "url": "/v1/completions", "body": body });
        format!("{line}\n")
    };
    (0..ITEMS).map(line).collect()
}

fn check_results(text: &str, name: &str, has_poison: bool) -> io::Result<()> {
    let mut found: BTreeMap<String, u32> = BTreeMap::new();
    for line in text.lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        *found.entry(line["custom_id"].as_str().unwrap_or("?").to_owned()).or_default() += 1;
    }
    let wanted = (usize::from(has_poison)..ITEMS).map(|i| (format!("{name}-{i}"), 1)).collect();
    if found == wanted { Ok(()) } else { fail(format!("results of the job: {found:?}")) }
}
