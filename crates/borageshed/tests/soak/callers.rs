//! Callers that record the answers to their calls and check that the guarantees of the service hold.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{io::ReadExt as _, net::TcpStream, task};
use http_types::{Method, Request, Url};
use rand::Rng as _;
use stdx::rng;
use test_support::{
    http::{Call, Reply},
    operator::{self, DRAFTS, HOST, JOBS, LOOKUPS, STREAMS},
    target::ReceivedRequest,
};

use super::fixture::{EVENTS, KEY};

/// The longest time that a call may take: the route's timeout of 5 s, a pause of the daemon of up to 3 s, and the time in
/// which the daemon stops.
const MAX_CALL_TIME: Duration = Duration::from_secs(12);
const ITEMS: [&str; 3] = ["i-1", "i-2", "i-3"];

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
        let (violations, jobs) = (violations.len(), accepted.len());
        format!(
            "{served} served, {refused} refused, {failed} failed, {jobs} jobs, {violations} broken"
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

    async fn call_once(self: Arc<Self>, kind: Kind, id: String, entry: SocketAddr) {
        let prefix = match kind {
            Kind::Streams => STREAMS,
            Kind::Drafts => DRAFTS,
            Kind::Lookups | Kind::KeptLookups | Kind::Jobs => LOOKUPS,
        };
        let start = Instant::now();
        let reply = call(prefix, &id).send(entry).await;
        let mut observations = self.lock();
        if start.elapsed() > MAX_CALL_TIME {
            observations.violations.push(format!("{id}: not finished after {:?}", start.elapsed()));
        }
        let Ok(reply) = reply else {
            observations.failed += 1;
            return;
        };
        observations.record(&id, &reply);
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
                Some((u16::from(res.status()), closes))
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
            let job = Call::post(JOBS, operator::job_body(&ITEMS)).key(KEY).header("host", HOST);
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
            if self.read_results(id, *entry).await != Some(ITEMS.len()) {
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
            let texts =
                (0..ITEMS.len()).filter_map(|it| observations.results.get(&(id.clone(), it)));
            let listed: Vec<&String> = texts.collect();
            for item in ITEMS {
                let times = listed.iter().filter(|it| it.contains(&format!("\"{item}\""))).count();
                if times != 1 {
                    violations.push(format!("{id}: {item} is listed {times} times in {listed:?}"));
                }
            }
        }
        violations
    }

    /// Checks how often each request reached a target.
    pub fn check_run_counts(&self, received: &[ReceivedRequest]) -> Vec<String> {
        let mut runs: HashMap<&str, u64> = HashMap::new();
        for it in received.iter().filter(|it| it.ran) {
            *runs.entry(it.header("x-request-id").unwrap_or_default()).or_default() += 1;
        }
        let mut violations = Vec::new();
        for (id, count) in &runs {
            let max_runs = match id.split('-').next() {
                Some("drafts") => 1,
                Some("streams" | "lookups" | "keptlookups") => 2,
                _ => u64::MAX,
            };
            if *count > max_runs {
                violations.push(format!("{id} ran {count} times"));
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
    fn record(&mut self, id: &str, reply: &Reply) {
        *self.counter_for(reply.status) += 1;
        match reply.status {
            200 => {
                let expected: Vec<String> = (1..=EVENTS).map(|n| format!("part {n}")).collect();
                if reply.event_data() != expected {
                    self.violations.push(format!(
                        "{id}: a complete answer with unexpected events {:?}",
                        reply.event_data()
                    ));
                }
            }
            429 | 503 => self.not_run.push(id.to_owned()),
            _ => {}
        }
    }

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
