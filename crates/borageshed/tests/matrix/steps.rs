//! A function for each kind of operation: it runs the operation up to the step, injects the faults, and classifies the
//! outcome.
//!
//! An outcome that breaks an invariant is an error, regardless of what the table expects.

use std::{
    fmt, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::ReadExt as _,
    task::{self, JoinHandle},
};
use http_edge::status::Status;
use serde_json::{Value, json};
use test_support::{
    deployment::account,
    http::{Call, Reply},
};

use crate::{
    fixture::{
        CALLER_DAEMON, DAEMONS, Fixture, KEY, POISON_PROMPT, RESEND_DAEMON, Targets, completion,
        execution, wait_until,
    },
    table::{
        ConfigStep, Fault,
        Fault::{
            CallerSilent, CutFromBoth, DaemonKilled, KeyWithdrawn, OperatorsRace, PoisonResent,
            ResentElsewhere, ServiceDown, TargetSilent,
        },
        OnlineStep, OrderStep, Outcome, Step,
    },
};

/// Takes half a second, so that the request is still running when the fault is injected.
const TOKENS: usize = 100;
/// Long enough for the withdrawal of a key to take effect while the request is running.
const LONG_TOKENS: usize = 500;
/// The requests of a withdrawn key are stopped within this time.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(2);
/// An accepted configuration must be in force within this time.
const CONFIG_LIMIT: Duration = Duration::from_secs(4);
/// How long a caller waits on a silent connection before it sends again.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller waits for an answer in all other cases.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How long after the end of a fault a resend may be told that the first execution has not ended.
const RECORD_LIMIT: Duration = Duration::from_secs(8);

/// Runs one cell and returns its outcome.
///
/// # Errors
///
/// Fails if an invariant is broken, or if the deployment does not recover.
pub async fn run(fixture: &mut Fixture, step: Step, faults: &[Fault]) -> io::Result<Outcome> {
    match step {
        Step::Online(step) => online(fixture, step, faults).await,
        Step::Order(step) => order(fixture, step, faults).await,
        Step::Batch(step) => crate::jobs::batch(fixture, step, faults).await,
        Step::Config(step) => config(fixture, step, faults).await,
    }
}

/// Injects faults: changes of the configuration first, because they need the service, and pauses last, because they end by
/// themselves.
pub async fn inject(fixture: &mut Fixture, faults: &[Fault], targets: Targets) -> io::Result<()> {
    let rank = |fault: &Fault| match fault {
        KeyWithdrawn | OperatorsRace | TargetSilent => 0,
        Fault::DaemonPaused | Fault::LeaseLapsed => 2,
        _ => 1,
    };
    let mut faults = faults.to_vec();
    faults.sort_by_key(rank);
    for fault in faults {
        fixture.inject(fault, targets).await?;
    }
    Ok(())
}

/// What a caller received in answer to a call.
#[derive(Clone)]
pub struct CallResult {
    /// The whole answer; `None` if the connection broke or the call timed out.
    pub reply: Option<Reply>,
    /// The part of the body that arrived.
    pub text: String,
}

impl fmt::Debug for CallResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = self.reply.as_ref().map(|it| (it.status, &it.headers));
        // The last characters of a long stream show how it ended.
        let end = self.text.char_indices().rev().nth(300).map_or(0, |(at, _)| at);
        write!(f, "{head:?} ..{}", &self.text[end..])
    }
}

impl CallResult {
    pub fn is_ok(&self) -> bool {
        self.reply.as_ref().is_some_and(|it| it.status == 200)
    }

    pub fn execution(&self) -> String {
        self.reply.as_ref().map(execution).unwrap_or_default()
    }
}

/// Makes a call in the background; the receiver is notified when the first bytes of the answer arrive.
pub fn start(
    call: Call,
    address: SocketAddr,
    call_timeout: Duration,
) -> (JoinHandle<CallResult>, async_channel::Receiver<()>) {
    let (tx, rx) = async_channel::bounded(1);
    let run = async move {
        let mut bytes = Vec::new();
        let outcome = timeout(call_timeout, read(&call, address, &mut bytes, &tx)).await;
        let reply = outcome.ok().and_then(Result::ok);
        CallResult { reply, text: String::from_utf8_lossy(&bytes).into_owned() }
    };
    (task::spawn(run), rx)
}

pub async fn send(call: Call, address: SocketAddr) -> CallResult {
    start(call, address, CALL_TIMEOUT).0.await
}

async fn read(
    call: &Call,
    address: SocketAddr,
    bytes: &mut Vec<u8>,
    started: &async_channel::Sender<()>,
) -> io::Result<Reply> {
    let mut res = call.open(address).await.map_err(io::Error::other)?;
    let mut buf = [0; 4096];
    loop {
        let n = res.read(&mut buf).await?;
        let _ = started.try_send(());
        if n == 0 {
            break;
        }
        bytes.extend_from_slice(&buf[..n]);
    }
    let header = |name: &str| res.header(name).map(|it| (name.to_owned(), it.last().to_string()));
    let headers = ["retry-after", "idempotent-replayed"].into_iter().filter_map(header).collect();
    Ok(Reply { status: Status::of(&res).code(), headers, body: bytes.clone() })
}

/// Returns the address to which the caller sends, and how long it waits for an answer.
pub fn caller_endpoint(fixture: &Fixture, faults: &[Fault]) -> (SocketAddr, Duration) {
    match faults.contains(&CallerSilent) {
        true => (fixture.caller.address(), SHORT_CALL_TIMEOUT),
        false => (fixture.deployment.caller_address(CALLER_DAEMON), CALL_TIMEOUT),
    }
}

pub fn fail<T>(message: impl Into<String>) -> io::Result<T> {
    Err(io::Error::other(message.into()))
}

async fn online(fixture: &mut Fixture, step: OnlineStep, faults: &[Fault]) -> io::Result<Outcome> {
    let is_before = step == OnlineStep::BeforeSending;
    let prompt = fixture.unique_name();
    if is_before && faults.contains(&PoisonResent) {
        return poison(fixture, faults, &prompt).await;
    }
    let is_long = matches!(step, OnlineStep::InFlight | OnlineStep::MidStream)
        && faults.contains(&KeyWithdrawn);
    let tokens = if is_long { LONG_TOKENS } else { TOKENS };
    let is_stream = step == OnlineStep::MidStream;
    let call = completion(&prompt, tokens, is_stream);
    let runs = fixture.run_count(Targets::Engines).await;
    if is_before {
        // Leaves an idle connection to the target, so that the fault affects it as well.
        send(completion("warm", 1, false), fixture.deployment.caller_address(CALLER_DAEMON)).await;
        inject(fixture, faults, Targets::Engines).await?;
        if faults.contains(&KeyWithdrawn) {
            wait_until("the key is withdrawn", async || {
                !fixture.accepts_key(CALLER_DAEMON, KEY).await
            })
            .await?;
        }
    }
    let (address, call_timeout) = caller_endpoint(fixture, faults);
    let (first, started) = start(call.clone(), address, call_timeout);
    let concurrent_resend = faults.contains(&ResentElsewhere).then(|| {
        start(call.clone(), fixture.deployment.caller_address(RESEND_DAEMON), CALL_TIMEOUT).0
    });
    match step {
        OnlineStep::BeforeSending => {}
        OnlineStep::InFlight => fixture.wait_busy_target(Targets::Engines).await?,
        // An error means that no answer has arrived, which is classified below.
        OnlineStep::MidStream | OnlineStep::AfterLastByte => drop(started.recv().await),
    }
    let (result, injected) = match step {
        OnlineStep::BeforeSending => (first.await, Instant::now()),
        OnlineStep::AfterLastByte => {
            let result = first.await;
            inject(fixture, faults, Targets::Engines).await?;
            (result, Instant::now())
        }
        _ => {
            let since = Instant::now();
            inject(fixture, faults, Targets::Engines).await?;
            (first.await, since)
        }
    };
    let took = injected.elapsed();
    if let Some(concurrent_resend) = concurrent_resend {
        check_resend(&concurrent_resend.await, tokens, is_stream, faults)?;
    }
    let outcome = if check_answer(&result, tokens, is_stream).is_ok() {
        let resumed = is_stream && faults.contains(&TargetSilent);
        if resumed { Outcome::ResumedWhole } else { Outcome::Completed }
    } else if result.execution() == "not_run" {
        // The warm-up request is counted as well.
        let more = fixture.run_count(Targets::Engines).await - runs - u64::from(is_before);
        if more > 0 && !faults.contains(&ResentElsewhere) && !faults.contains(&PoisonResent) {
            return fail(format!("refused as not run, and run {more} times: {result:?}"));
        }
        Outcome::RefusedNotRun
    } else if faults.contains(&KeyWithdrawn) && !is_before {
        if took > WITHDRAWAL_LIMIT {
            return fail(format!("the request of a withdrawn key ended after {took:?}"));
        }
        Outcome::CutOff
    } else if result.text.contains("event: error") && result.text.contains("\"ran\"") {
        Outcome::EndedRan
    } else if faults.contains(&DaemonKilled) || faults.contains(&CallerSilent) {
        let resend = send(call, fixture.deployment.caller_address(RESEND_DAEMON)).await;
        check_resend(&resend, tokens, is_stream, faults)?;
        Outcome::ResentCompleted
    } else if faults.len() > 1 && result.reply.is_some() {
        // Two faults can use up the retries; the error is a final answer.
        Outcome::EndedRan
    } else {
        return fail(format!("no final answer after {took:?}: {result:?}"));
    };
    fixture.recover(faults, Targets::Engines).await?;
    Ok(outcome)
}

/// Fails unless a resend has the whole answer or was refused because its key is withdrawn.
fn check_resend(
    result: &CallResult,
    tokens: usize,
    is_stream: bool,
    faults: &[Fault],
) -> io::Result<()> {
    let is_refused = result.reply.as_ref().is_some_and(|it| it.status == 401);
    if faults.contains(&KeyWithdrawn) && is_refused {
        return Ok(());
    }
    check_answer(result, tokens, is_stream)
}

/// Fails unless the answer is complete: all tokens, and in a stream each of them once and in order.
fn check_answer(result: &CallResult, tokens: usize, is_stream: bool) -> io::Result<()> {
    let Some(reply) = result.reply.as_ref().filter(|it| it.status == 200) else {
        return fail(format!("no answer: {result:?}"));
    };
    if !is_stream {
        let count = reply.json()["usage"]["completion_tokens"].as_u64();
        let is_whole = count == Some(tokens as u64);
        return if is_whole { Ok(()) } else { fail(format!("{count:?} tokens: {result:?}")) };
    }
    let data = result.text.lines().filter_map(|it| it.strip_prefix("data: "));
    let offsets = data
        .filter_map(|it| serde_json::from_str::<Value>(it).ok())
        .filter_map(|it| it["offset"].as_u64());
    let is_whole = offsets.eq(1..=tokens as u64) && result.text.ends_with("data: [DONE]\n\n");
    if is_whole { Ok(()) } else { fail(format!("incomplete stream: {}", result.text)) }
}

async fn poison(fixture: &mut Fixture, faults: &[Fault], prompt: &str) -> io::Result<Outcome> {
    let others: Vec<Fault> = faults.iter().copied().filter(|it| *it != PoisonResent).collect();
    inject(fixture, &others, Targets::Engines).await?;
    let call = completion(&format!("{POISON_PROMPT} {prompt}"), 4, false);
    let runs = fixture.run_count(Targets::Engines).await;
    let first = send(call.clone(), fixture.deployment.caller_address(CALLER_DAEMON)).await;
    fixture.recover(&others, Targets::Engines).await?;
    let resend_start = Instant::now();
    let resend = send(call, fixture.deployment.caller_address(RESEND_DAEMON)).await;
    let is_final = |result: &CallResult| result.reply.as_ref().is_some_and(|it| it.status == 422);
    if others.is_empty() && (!is_final(&first) || !is_final(&resend)) {
        return fail(format!("not refused as poison: {first:?}, then {resend:?}"));
    }
    let deaths = fixture.run_count(Targets::Engines).await.saturating_sub(runs);
    if others.is_empty() && resend_start.elapsed() > SHORT_CALL_TIMEOUT || deaths > 2 {
        return fail(format!("{deaths} deaths, refused again in {:?}", resend_start.elapsed()));
    }
    Ok(Outcome::RefusedPoison)
}

async fn order(fixture: &mut Fixture, step: OrderStep, faults: &[Fault]) -> io::Result<Outcome> {
    let name = fixture.unique_name();
    let call = Call::post("/orders/orders", r#"{"dish":"soup"}"#)
        .key(KEY)
        .header("idempotency-key", &name);
    // Leaves an idle connection to the target, so that the fault affects it as well.
    send(Call::get("/orders/orders").key(KEY), fixture.deployment.caller_address(CALLER_DAEMON))
        .await;
    let before = fixture.run_count(Targets::Plain).await;
    // Delays the answer long enough that the fault is injected before it, even on a busy machine.
    let delay_ms = if step == OrderStep::AfterRun { 2_500 } else { 0 };
    fixture.plain_faults(&json!({ "answer_delay_ms": delay_ms })).await?;
    if step == OrderStep::BeforeSending {
        inject(fixture, faults, Targets::Plain).await?;
        if faults.contains(&KeyWithdrawn) {
            wait_until("the key is withdrawn", async || {
                !fixture.accepts_key(CALLER_DAEMON, KEY).await
            })
            .await?;
        }
    }
    let (address, call_timeout) = caller_endpoint(fixture, faults);
    let (first, _) = start(call.clone(), address, call_timeout);
    let concurrent_resend = faults.contains(&ResentElsewhere).then(|| {
        start(call.clone(), fixture.deployment.caller_address(RESEND_DAEMON), CALL_TIMEOUT).0
    });
    let first = match step {
        OrderStep::BeforeSending => first.await,
        OrderStep::AfterRun => {
            let ran = async || fixture.run_count(Targets::Plain).await > before;
            wait_until("the order runs", ran).await?;
            inject(fixture, faults, Targets::Plain).await?;
            first.await
        }
        OrderStep::AfterAnswer => {
            let result = first.await;
            inject(fixture, faults, Targets::Plain).await?;
            result
        }
    };
    let concurrent_resend = match concurrent_resend {
        Some(concurrent_resend) => Some(concurrent_resend.await),
        None => None,
    };
    let runs_before_recovery = fixture.run_count(Targets::Plain).await - before;
    fixture.plain_faults(&json!({ "answer_delay_ms": 0 })).await?;
    fixture.recover(faults, Targets::Plain).await?;
    if first.execution() == "not_run" && runs_before_recovery > 0 && concurrent_resend.is_none() {
        return fail(format!("refused as not run, and run: {first:?}"));
    }
    // A daemon stores the end of an execution as soon as the service answers again.
    let since = Instant::now();
    let resend = loop {
        let result = send(call.clone(), fixture.deployment.caller_address(RESEND_DAEMON)).await;
        let may_be_stored =
            first.is_ok() || faults.contains(&CallerSilent) || concurrent_resend.is_some();
        if result.is_ok() || !may_be_stored || since.elapsed() > RECORD_LIMIT {
            break result;
        }
        task::sleep(Duration::from_millis(100)).await;
    };
    let runs = fixture.run_count(Targets::Plain).await - before;
    if runs > 1 {
        return fail(format!("run {runs} times: {first:?}, then {resend:?}"));
    }
    for result in [&first].into_iter().chain(&concurrent_resend).filter(|it| it.is_ok()) {
        if !resend.is_ok() || resend.text != result.text {
            return fail(format!("the resend differs: {result:?}, then {resend:?}"));
        }
    }
    match (first.execution().as_str(), resend.execution().as_str()) {
        ("not_run", _) if runs == 1 && resend.is_ok() && concurrent_resend.is_none() => {
            Ok(Outcome::RefusedNotRun)
        }
        // Of two concurrent requests, the later one may have been told that the other has not ended.
        (_, "none")
            if runs == 1
                && resend.is_ok()
                && (first.is_ok()
                    || first.reply.is_none()
                    || concurrent_resend.is_some_and(|it| it.is_ok())) =>
        {
            Ok(Outcome::AnsweredOnce)
        }
        (_, "unknown") => Ok(Outcome::UnknownOnce),
        _ => fail(format!("run {runs} times: {first:?}, then {resend:?}")),
    }
}

async fn config(fixture: &mut Fixture, step: ConfigStep, faults: &[Fault]) -> io::Result<Outcome> {
    let (name, rival) = (fixture.unique_name(), fixture.unique_name());
    let is_race = faults.contains(&OperatorsRace) && step != ConfigStep::InForce;
    let others: Vec<Fault> = faults.iter().copied().filter(|it| *it != OperatorsRace).collect();
    if step == ConfigStep::BeforeAcceptance {
        inject(fixture, &others, Targets::Engines).await?;
    }
    let changed = match is_race {
        true => fixture.race_edits(&name, &rival).await,
        false => {
            let account = account(&key_of(&name), 500.0, 500.0);
            fixture.set_account(&name, account).await.map(|()| name.clone())
        }
    };
    let refused = changed.is_err();
    if refused && !others.contains(&ServiceDown) {
        return fail(format!("the change was not accepted: {changed:?}"));
    }
    let accepted = changed.unwrap_or_else(|_| name.clone());
    let mut since = Instant::now();
    if step == ConfigStep::InForce {
        wait_in_force(fixture, &accepted, &[0, 1, 2], since).await?;
    }
    if step != ConfigStep::BeforeAcceptance {
        inject(fixture, &others, Targets::Engines).await?;
    }
    // These daemons cannot learn of the change before the fault ends.
    let cannot_learn = |i: usize| match step {
        ConfigStep::InForce => others.contains(&DaemonKilled) && i == CALLER_DAEMON,
        _ => {
            others.contains(&ServiceDown)
                || i == CALLER_DAEMON
                    && others.iter().any(|it| matches!(it, DaemonKilled | CutFromBoth))
        }
    };
    let reached: Vec<usize> = (0..DAEMONS).filter(|i| !cannot_learn(*i)).collect();
    if !refused {
        // Two faults together can keep the change from a daemon in ways that `cannot_learn` does not cover.
        if others.len() < 2 {
            wait_in_force(fixture, &accepted, &reached, since).await?;
        }
    }
    fixture.recover(&others, Targets::Engines).await?;
    if refused {
        if (fixture.accepts_key(RESEND_DAEMON, &key_of(&name))).await {
            return fail("a change that was not accepted is in force");
        }
        fixture.set_account(&name, account(&key_of(&name), 500.0, 500.0)).await?;
    }
    if refused || reached.len() < DAEMONS || others.len() > 1 {
        since = Instant::now();
    }
    wait_in_force(fixture, &accepted, &[0, 1, 2], since.max(Instant::now() - CONFIG_LIMIT / 2))
        .await?;
    let loser = if accepted == name { &rival } else { &name };
    if is_race && fixture.accepts_key(RESEND_DAEMON, &key_of(loser)).await {
        return fail("both of two racing changes are in force");
    }
    Ok(match () {
        () if refused => Outcome::NotAccepted,
        () if is_race => Outcome::OneInForce,
        () if reached.len() < DAEMONS => Outcome::InForceAfter,
        () => Outcome::InForce,
    })
}

fn key_of(name: &str) -> String {
    format!("{name}-key")
}

async fn wait_in_force(
    fixture: &Fixture,
    name: &str,
    daemons: &[usize],
    since: Instant,
) -> io::Result<()> {
    let key = key_of(name);
    for i in daemons {
        while !fixture.accepts_key(*i, &key).await {
            if since.elapsed() > CONFIG_LIMIT {
                return fail(format!(
                    "daemon {i} does not know the change after {:?}: {}",
                    since.elapsed(),
                    fixture.status(*i).await
                ));
            }
            task::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}
