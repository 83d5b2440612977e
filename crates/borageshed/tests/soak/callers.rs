//! Callers that record the answers to their calls and check that the guarantees of the service hold.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{io::ReadExt as _, net::TcpStream, task};
use http_edge::status::Status;
use http_types::{Method, Request, Url};
use rand::Rng as _;
use serde_json::Value;
use stdx::rng;
use test_support::{
    http::Call,
    operator::{self, DRAFTS, HOST, JOBS, LOOKUPS, STREAMS},
    target::ReceivedRequest,
};

use super::{
    fixture::{EVENTS, KEY},
    order::{self, Runs, Text},
};

/// The longest time that a call may take: the route's timeout of 5 s, a pause of the daemon of up to 3 s, and the time in
/// which the daemon stops.
const MAX_CALL_TIME: Duration = Duration::from_secs(12);
/// How often a caller takes up a stream that broke.
const MAX_TAKE_UPS: usize = 3;
/// The longest pause of a slow reader before it reads on.
const MAX_READ_PAUSE_MS: u64 = 150;
/// The number of items of a job.
const ITEMS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Streams,
    Drafts,
    Lookups,
    /// Lookups over one connection, which is used until the daemon closes it.
    KeptLookups,
    Jobs,
}

/// What the callers received, and the violations of guarantees.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    pub violations: Vec<String>,
    served: u64,
    refused: u64,
    failed: u64,
    /// How many attempts to take up a stream brought further events, and how many were made.
    taken_up: (u64, u64),
    /// The streams, as each caller had received them after its last attempt.
    texts: Vec<Text>,
    /// The requests whose answer says that they have not run.
    not_run: Vec<String>,
    /// The results of each job by position, as they were first read.
    results: BTreeMap<(String, usize), String>,
    accepted: Vec<String>,
}

pub struct Callers {
    entries: Vec<SocketAddr>,
    seed: u64,
    is_stopped: AtomicBool,
    observations: Mutex<Observations>,
}

impl Observations {
    pub fn summary(&self) -> String {
        let Self { violations, served, refused, failed, accepted, .. } = self;
        let (went_on, taken_up) = self.taken_up;
        let (violations, jobs) = (violations.len(), accepted.len());
        format!(
            "{served} served, {refused} refused, {failed} failed, {went_on} of {taken_up} taken up, {jobs} jobs, {violations} broken"
        )
    }
}

impl Callers {
    pub const KINDS: [Kind; 5] =
        [Kind::Streams, Kind::Drafts, Kind::Lookups, Kind::KeptLookups, Kind::Jobs];

    pub fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        let (is_stopped, observations) = (AtomicBool::new(false), Mutex::default());
        Self { entries, seed, is_stopped, observations }
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    pub fn observations(&self) -> Observations {
        self.lock().clone()
    }

    pub fn jobs(&self) -> Vec<String> {
        self.lock().accepted.clone()
    }

    /// Returns whether an entry daemon serves a request now.
    pub async fn is_served(entry: SocketAddr) -> bool {
        let id = format!("check-{:x}", rand::rng().random::<u64>());
        let reply = call(LOOKUPS, &id).send(entry).await;
        reply.is_ok_and(|it| it.status == 200 && it.event_data().len() as u64 == EVENTS)
    }

    /// Makes calls of one kind until [`Callers::stop`].
    pub async fn run_calls(self: Arc<Self>, kind: Kind) {
        let mut rng = rng::seeded(self.seed ^ ((kind as u64) << 32));
        let mut number = 0;
        let mut running = Vec::new();
        while !self.is_stopped.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{kind:?}-{number}").to_lowercase();
            let entry = self.entries[rng.random_range(0..self.entries.len())];
            let callers = Arc::clone(&self);
            match kind {
                Kind::KeptLookups => callers.call_over_one_connection(&id, entry).await,
                Kind::Jobs => {
                    running.push(task::spawn(callers.submit(id)));
                    task::sleep(Duration::from_millis(700)).await;
                }
                Kind::Streams | Kind::Drafts | Kind::Lookups => {
                    running.push(task::spawn(callers.call_once(kind, id, entry)));
                    task::sleep(Duration::from_millis(rng.random_range(20..120))).await;
                }
            }
        }
        for it in running {
            it.await;
        }
    }

    /// Makes a call. The caller of a stream that may go on elsewhere takes it up at another entry daemon each time it breaks.
    async fn call_once(self: Arc<Self>, kind: Kind, id: String, entry: SocketAddr) {
        let prefix = match kind {
            Kind::Streams => STREAMS,
            Kind::Drafts => DRAFTS,
            Kind::Lookups | Kind::KeptLookups | Kind::Jobs => LOOKUPS,
        };
        let mut rng = rng::seeded(rand::random());
        let read_pause = match rng.random_bool(0.1) {
            true => Duration::from_millis(rng.random_range(1..MAX_READ_PAUSE_MS)),
            false => Duration::ZERO,
        };
        let mut text = Text { id: id.clone(), ..Text::default() };
        self.attempt(call(prefix, &id), entry, read_pause, &mut text).await;
        let mut first = id.clone();
        for n in 1..=MAX_TAKE_UPS {
            if kind != Kind::Streams || text.is_complete {
                break;
            }
            task::sleep(Duration::from_millis(rng.random_range(1..500))).await;
            text.id = format!("{id}-{n}");
            let received = text.data.len();
            let mut take_up = call(prefix, &text.id);
            if received == 0 {
                first.clone_from(&text.id);
            } else {
                take_up = take_up.header("last-event-id", &received.to_string());
                take_up = take_up.header("resumes", &first);
            }
            let own = self.entries.iter().position(|it| *it == entry).unwrap_or_default();
            let next = self.entries[(own + n) % self.entries.len()];
            self.attempt(take_up, next, read_pause, &mut text).await;
            if received > 0 {
                let mut observations = self.lock();
                observations.taken_up.0 += u64::from(text.data.len() > received);
                observations.taken_up.1 += 1;
            }
        }
        self.lock().texts.push(text);
    }

    /// Makes one attempt and adds the events that it brings.
    async fn attempt(&self, call: Call, entry: SocketAddr, read_pause: Duration, text: &mut Text) {
        let answer = async {
            let mut res = call.open(entry).await.ok()?;
            let status = Status::of(&res).code();
            let mut body = Vec::new();
            let mut buf = [0; 512];
            let is_whole = loop {
                match res.read(&mut buf).await {
                    Ok(0) => break true,
                    Ok(n) => body.extend_from_slice(&buf[..n]),
                    Err(_) => break false,
                }
                task::sleep(read_pause).await;
            };
            Some((status, body, is_whole))
        };
        let start = Instant::now();
        let answer = async_std::future::timeout(2 * MAX_CALL_TIME, answer).await.ok().flatten();
        let mut observations = self.lock();
        // A slow reader makes its call last longer.
        if read_pause.is_zero() && start.elapsed() > MAX_CALL_TIME {
            let id = &text.id;
            observations.violations.push(format!("{id}: not finished after {:?}", start.elapsed()));
        }
        let Some((status, body, is_whole)) = answer else {
            observations.failed += 1;
            return;
        };
        match is_whole {
            true => *observations.counter_for(status) += 1,
            false => observations.failed += 1,
        }
        match status {
            200 => {
                let (events, rest) = split_events(&body);
                text.data.extend(events);
                text.is_complete = is_whole;
                if is_whole && !rest.is_empty() {
                    let id = &text.id;
                    observations.violations.push(format!("{id}: complete, but ends in {rest:?}"));
                }
            }
            429 | 503 if is_whole => observations.not_run.push(text.id.clone()),
            _ => {}
        }
    }

    /// Sends requests over one connection until the daemon closes it.
    async fn call_over_one_connection(&self, id: &str, entry: SocketAddr) {
        let Ok(stream) = TcpStream::connect(entry).await else {
            task::sleep(Duration::from_millis(100)).await;
            return;
        };
        for n in 0.. {
            if self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let url = Url::parse(&format!("http://{HOST}{LOOKUPS}x")).expect("a fixed URL");
            let mut req = Request::new(Method::Post, url);
            req.insert_header("authorization", format!("Bearer {KEY}"));
            req.insert_header("x-request-id", format!("{id}-{n}"));
            req.set_body("body");
            let exchange = async {
                let mut res = async_h1::connect(stream.clone(), req).await.ok()?;
                let mut body = Vec::new();
                res.read_to_end(&mut body).await.ok()?;
                let closes = res.header("connection").is_some_and(|it| it.as_str() == "close");
                Some((Status::of(&res).code(), closes))
            };
            let Ok(answer) = async_std::future::timeout(MAX_CALL_TIME, exchange).await else {
                self.lock()
                    .violations
                    .push(format!("{id}-{n}: not finished after {MAX_CALL_TIME:?}"));
                return;
            };
            let Some((status, closes)) = answer else {
                self.lock().failed += 1;
                return;
            };
            *self.lock().counter_for(status) += 1;
            if closes {
                return;
            }
            task::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Sends a job until it is accepted, each time to the next entry daemon, and then reads its results repeatedly.
    async fn submit(self: Arc<Self>, id: String) {
        let mut tries = 0;
        loop {
            let entry = self.entries[tries % self.entries.len()];
            let items = item_ids(&id);
            let items: Vec<&str> = items.iter().map(String::as_str).collect();
            let job = Call::post(JOBS, operator::job_body(&items)).key(KEY).header("host", HOST);
            if job.header("x-request-id", &id).send(entry).await.is_ok_and(|it| it.status == 202) {
                break;
            }
            tries += 1;
            if tries > 10 || self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            task::sleep(Duration::from_millis(300)).await;
        }
        self.lock().accepted.push(id.clone());
        while !self.is_stopped.load(Ordering::Relaxed) {
            tries += 1;
            self.read_results(&id, self.entries[tries % self.entries.len()]).await;
            task::sleep(Duration::from_millis(300)).await;
        }
    }

    /// Returns how many results a job has, or `None` if the entry daemon does not answer with them.
    async fn read_results(&self, id: &str, entry: SocketAddr) -> Option<usize> {
        let call = Call::get(operator::results_path(id, 0)).key(KEY).header("host", HOST);
        let reply = call.send(entry).await.ok().filter(|it| it.status != 503)?;
        let answer = reply.json();
        let mut observations = self.lock();
        let Some(results) = answer["results"].as_array() else {
            observations.violations.push(format!("{id}: accepted, then {} {answer}", reply.status));
            return None;
        };
        for (position, result) in results.iter().enumerate() {
            let text = result.to_string();
            let known =
                observations.results.entry((id.to_owned(), position)).or_insert(text.clone());
            if *known != text {
                let change = format!(
                    "{id}: the result at position {position} was {known} and is now {text}"
                );
                observations.violations.push(change);
            }
        }
        Some(results.len())
    }

    pub async fn unfinished_jobs(&self, jobs: &[String]) -> Vec<String> {
        let mut unfinished = Vec::new();
        for (id, entry) in jobs.iter().zip(self.entries.iter().cycle()) {
            if self.read_results(id, *entry).await != Some(ITEMS) {
                unfinished.push(id.clone());
            }
        }
        unfinished
    }

    /// Checks that every entry daemon returns the same results, with each item once.
    pub async fn check_results(&self, jobs: &[String]) -> Vec<String> {
        let before = self.lock().violations.len();
        for entry in &self.entries {
            for id in jobs {
                self.read_results(id, *entry).await;
            }
        }
        let observations = self.lock();
        let mut violations = observations.violations[before..].to_vec();
        for id in jobs {
            let texts = (0..ITEMS).filter_map(|it| observations.results.get(&(id.clone(), it)));
            let listed: Vec<&String> = texts.collect();
            for item in item_ids(id) {
                let times = listed.iter().filter(|it| it.contains(&format!("\"{item}\""))).count();
                if times != 1 {
                    violations.push(format!("{id}: {item} is listed {times} times in {listed:?}"));
                }
            }
        }
        violations
    }

    /// Checks the order of events in all streams and results.
    pub fn check_order(&self, runs: &Runs) -> Vec<String> {
        let observations = self.lock();
        let results = observations.results.iter().filter_map(|((job, _), result)| {
            let result: Value = serde_json::from_str(result).ok()?;
            let data = result["text"].as_str()?.lines().map(str::to_owned).collect();
            let id = format!("{job}/{}", result["id"].as_str().unwrap_or_default());
            Some(Text { id, data, is_complete: result["state"] == "completed" })
        });
        let texts = observations.texts.iter().cloned().chain(results);
        texts.flat_map(|it| order::violations(&it, runs)).collect()
    }

    /// Checks at how many targets each request has run, and how often: once for each attempt of its route, and once more for each time that it left a lost
    /// link, as the logs of the daemons say.
    pub fn check_run_counts(&self, received: &[ReceivedRequest], logs: &str) -> Vec<String> {
        let mut runs: HashMap<&str, Vec<&str>> = HashMap::new();
        for it in received.iter().filter(|it| it.ran) {
            let id = it.header("x-request-id").unwrap_or_default();
            runs.entry(id).or_default().push(it.expected_target().unwrap_or_default());
        }
        let lost_links = count_lost_links(logs);
        let mut violations = Vec::new();
        for (id, targets) in &runs {
            let (attempts, resends) = match id.split('-').next() {
                Some("drafts") => (1, 0),
                Some("streams" | "lookups" | "keptlookups") => {
                    (2, lost_links.get(id).copied().unwrap_or(0))
                }
                _ => continue,
            };
            let distinct: HashSet<_> = targets.iter().collect();
            if distinct.len() > attempts || targets.len() > attempts + resends {
                violations.push(format!("{id} ran at {targets:?} with {resends} lost links"));
            }
        }
        let not_run = self.lock().not_run.clone();
        let has_run = not_run.into_iter().filter(|it| runs.contains_key(it.as_str()));
        violations
            .extend(has_run.map(|it| format!("{it} ran although its answer says that it has not")));
        violations
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Observations {
    fn counter_for(&mut self, status: u16) -> &mut u64 {
        match status {
            200 => &mut self.served,
            429 | 503 => &mut self.refused,
            _ => &mut self.failed,
        }
    }
}

fn call(prefix: &str, id: &str) -> Call {
    let call = Call::post(format!("{prefix}x"), "body").key(KEY);
    call.header("host", HOST).header("x-request-id", id)
}

fn item_ids(job: &str) -> Vec<String> {
    (1..=ITEMS).map(|n| format!("{job}-i-{n}")).collect()
}

/// Returns the data of the events that have arrived as a whole, and what follows them.
fn split_events(body: &[u8]) -> (Vec<String>, String) {
    let text = String::from_utf8_lossy(body);
    let Some((whole, rest)) = text.rsplit_once("\n\n") else {
        return (Vec::new(), text.into_owned());
    };
    let data = whole.lines().filter_map(|it| it.strip_prefix("data: "));
    (data.map(str::to_owned).collect(), rest.to_owned())
}

/// Returns how often each request was sent again because the link under it was lost.
fn count_lost_links(logs: &str) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for line in logs.lines() {
        let is_resend = line.contains("request leaves a lost link")
            || (line.contains("stream broke") && line.contains("cause=LinkLost"));
        let id = line.split_whitespace().find_map(|it| it.strip_prefix("request="));
        if let Some(id) = id.filter(|_| is_resend) {
            *counts.entry(id).or_default() += 1;
        }
    }
    counts
}
