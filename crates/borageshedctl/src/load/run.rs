//! Sends requests when they are due, independent of earlier answers (open loop), and records their outcomes.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join;

use super::{
    batch::Jobs,
    results::{Phase, Recorder, Results},
    schedule::{self, Arrival},
    settings::Load,
};
use crate::{
    context::Context,
    error::Result,
    http::{Answer, Call, Client},
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// The minimum pause between the phases, so that queues of the first phase do not affect the second.
const MIN_PAUSE_S: f64 = 1.0;
/// The maximum pause between the phases. An account that needs longer to refill its burst starts the second phase with
/// fewer tokens.
const MAX_PAUSE_S: f64 = 30.0;
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// The outcome of a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered without error.
    Answered,
    /// The daemon refused it and stated that it did not run.
    Refused,
    /// It got another error or no answer.
    Failed,
}

/// The state that the request tasks of a phase share.
struct Sender {
    load: Load,
    client: Client,
    keys: Vec<String>,
    bodies: Vec<Vec<String>>,
    recorder: Mutex<Recorder>,
    in_flight: AtomicUsize,
}

/// Runs a load: one phase without batch jobs and, if the load has any, a second one with them.
///
/// # Errors
///
/// Fails if the key of an account is missing or a batch job is not accepted.
pub async fn run(cx: &Context, load: &Load) -> Result<Results> {
    let arrivals = schedule::generate_arrivals(load);
    let mut phases = vec![run_phase(cx, load, &arrivals, "online alone", None).await?];
    if load.has_batch() {
        // Each phase counts refusals on the assumption that bursts are full at its start, so every account's burst must
        // refill.
        let pause_s =
            load.accounts.iter().map(|it| it.burst / it.rate_per_s).fold(MIN_PAUSE_S, f64::max);
        task::sleep(Duration::from_secs_f64(pause_s.min(MAX_PAUSE_S))).await;
        let jobs = Jobs::submit(cx, load).await?;
        let phase = run_phase(cx, load, &arrivals, "online with batch", Some(&jobs)).await;
        jobs.cancel().await;
        phases.push(phase?);
    }
    Ok(Results::new(load, phases))
}

/// Replaces each `{n}` in a text by a number.
pub fn substitute_number(text: &str, n: u64) -> String {
    text.replace("{n}", &n.to_string())
}

async fn run_phase(
    cx: &Context,
    load: &Load,
    arrivals: &[Arrival],
    name: &str,
    jobs: Option<&Jobs>,
) -> Result<Phase> {
    let keys =
        load.accounts.iter().map(super::settings::Account::resolve_key).collect::<Result<_>>()?;
    let body = |it: &super::settings::Arrivals| {
        it.body.as_ref().map_or(String::new(), ToString::to_string)
    };
    let sender = Arc::new(Sender {
        bodies: load.accounts.iter().map(|it| it.arrivals.iter().map(body).collect()).collect(),
        keys,
        client: Client::default(),
        recorder: Mutex::new(Recorder::new(load, arrivals.len())),
        in_flight: AtomicUsize::new(0),
        load: load.clone(),
    });
    let start = Instant::now();
    // The counts lag by up to a second, because segments are claimed and commits are grouped. If the warm-up is longer
    // than that, both ends of the measured interval lag equally.
    let warmed_up = async {
        task::sleep(Duration::from_secs_f64(load.warm_up_s)).await;
        read_completed(jobs).await
    };
    let ((), before) = join(send_due(cx, &sender, arrivals, name, start), warmed_up).await;
    let seconds = start.elapsed().as_secs_f64();
    let after = read_completed(jobs).await;
    // Wait for the requests in flight; each ends within its timeout.
    while sender.in_flight.load(Ordering::Acquire) > 0 {
        task::sleep(DRAIN_POLL).await;
    }
    let batch_items_per_s = before.zip(after).map(|((began, before), (ended, after))| {
        after.saturating_sub(before) as f64 / ended.duration_since(began).as_secs_f64()
    });
    let phase = sender.recorder().phase(load, arrivals, name, seconds);
    Ok(Phase { batch_items_per_s, ..phase })
}

/// Sends every request when it is due and returns at the end of the phase, possibly with requests still in flight.
async fn send_due(
    cx: &Context,
    sender: &Arc<Sender>,
    arrivals: &[Arrival],
    name: &str,
    start: Instant,
) {
    let load = &sender.load;
    let mut reported = start;
    for (n, arrival) in arrivals.iter().enumerate() {
        if let Some(wait) = arrival.at.checked_sub(start.elapsed()) {
            task::sleep(wait).await;
        }
        let open = sender.in_flight.load(Ordering::Relaxed);
        if reported.elapsed() >= PROGRESS_INTERVAL {
            reported = Instant::now();
            let (at, length) = (start.elapsed().as_secs(), load.duration_s);
            cx.progress(&format!("{name}: {at} of {length} s, {n} requests due, {open} in flight"));
        }
        if open < load.max_in_flight {
            sender.in_flight.fetch_add(1, Ordering::Relaxed);
            task::spawn(Arc::clone(sender).send(*arrival, n, start));
        }
    }
    if let Some(wait) = Duration::from_secs_f64(load.duration_s).checked_sub(start.elapsed()) {
        task::sleep(wait).await;
    }
}

/// Returns the number of completed items over all jobs with the time of reading it, or `None` if there are no jobs or
/// it cannot be read.
async fn read_completed(jobs: Option<&Jobs>) -> Option<(Instant, u64)> {
    let completed = jobs?.completed_items().await?;
    Some((Instant::now(), completed))
}

impl Sender {
    async fn send(self: Arc<Self>, arrival: Arrival, n: usize, start: Instant) {
        let due = start + arrival.at;
        // The delay in this process counts as latency; otherwise a stall of the load generator would not show in the
        // results.
        let late = due.elapsed();
        let limit = Duration::from_millis(self.load.timeout_ms);
        let address = self.load.callers[n % self.load.callers.len()];
        let answer = self.client.call(address, &self.call(&arrival, n as u64), limit).await;
        let (outcome, first_byte) = match &answer {
            Ok(answer) => (classify_answer(answer), Some(late + answer.first_byte)),
            Err(_) => (Outcome::Failed, None),
        };
        self.recorder().record(n, &arrival, outcome, first_byte);
        self.in_flight.fetch_sub(1, Ordering::Release);
    }

    fn call(&self, arrival: &Arrival, n: u64) -> Call {
        let stream = &self.load.accounts[arrival.account].arrivals[arrival.stream];
        let call = Call::new(stream.method, substitute_number(&stream.path, n))
            .with_key(&self.keys[arrival.account]);
        let body = &self.bodies[arrival.account][arrival.stream];
        match body.is_empty() {
            true => call,
            false => call.with_body("application/json", substitute_number(body, n)),
        }
    }

    fn recorder(&self) -> std::sync::MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn classify_answer(answer: &Answer) -> Outcome {
    match answer.status {
        0..400 => Outcome::Answered,
        429 | 503 => {
            let problem: serde_json::Value =
                serde_json::from_slice(&answer.body).unwrap_or_default();
            if problem["execution"] == "not_run" { Outcome::Refused } else { Outcome::Failed }
        }
        _ => Outcome::Failed,
    }
}
