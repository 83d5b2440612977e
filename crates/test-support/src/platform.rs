//! The platform's key-value service and instance list over HTTP/1.1, with switches for faults.
//!
//! | path | methods |
//! |---|---|
//! | `/v3/kv/range`, `/v3/kv/put`, `/v3/kv/txn`, `/v3/kv/deleterange` | `POST` |
//! | `/v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke` | `POST` |
//! | `/v3/watch` (a stream of JSON lines) | `POST` |
//! | `/instances` | `GET`, `PUT` |
//! | `/faults` | `GET`, `PUT` |
//! | `/calls`, `/bytes` | `GET` |

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::{
    future,
    net::{TcpListener, TcpStream},
    task,
};
use futures::{
    AsyncReadExt, TryStreamExt,
    future::{AbortHandle, abortable},
};
use http_types::{Body, Method, Request, Response, StatusCode};
use kv_store::{
    instances::Instance,
    wire::{
        ErrorBody, FAILED_PRECONDITION, INVALID_ARGUMENT, Int, LeaseGrantRequest, LeaseRequest,
        NOT_FOUND, OUT_OF_RANGE, PutResponse, Streamed, WatchRequest, WatchResponse,
    },
};
use serde::{Serialize, de::DeserializeOwned};
use stdx::{Timestamp, wire_type};

use crate::kv::{self, Kv};

/// The service takes requests of up to 1.5 MiB of content; base64 makes a third more of it.
const MAX_BODY: u64 = 2 << 20;

/// How often leases are checked.
const LEASE_TICK: Duration = Duration::from_millis(20);

/// How often a quiet watch with `progress_notify` gets a line.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

wire_type! {
    /// A change of the fault switches; what is left out stays as it is.
    #[derive(Default)]
    #[serde(default)]
    pub struct Faults {
        /// Every connection of callers is closed without an answer, and no call takes effect.
        pub outage: Option<bool>,
        /// Each call waits this long before it takes effect.
        pub delay_ms: Option<u64>,
        /// The next N writes that take effect get no answer; their connections are closed.
        pub lose_answers: Option<u32>,
        /// Ends this lease now and deletes its keys.
        pub lapse_lease: Option<i64>,
        /// Ends all leases now and deletes their keys.
        pub lapse_all_leases: Option<bool>,
        /// Restores the state of this revision and breaks all watches.
        pub roll_back_to: Option<i64>,
        /// Forgets the history before this revision.
        pub compact_to: Option<i64>,
        /// Breaks all watches once.
        pub break_watches: Option<bool>,
        /// The instance list is given as it was this long ago.
        pub instance_lag_ms: Option<u64>,
    }
}

wire_type! {
    /// The switches in force.
    pub struct FaultState {
        /// Whether the outage is on.
        pub outage: bool,
        /// The delay of each call, in milliseconds.
        pub delay_ms: u64,
        /// How many more answers will be lost.
        pub lose_answers: u32,
        /// The lag of the instance list, in milliseconds.
        pub instance_lag_ms: u64,
        /// The current revision.
        pub revision: i64,
        /// The leases in force.
        pub leases: Vec<i64>,
    }
}

#[derive(Default)]
struct State {
    kv: Kv,
    outage: bool,
    delay: Duration,
    lose_answers: u32,
    instance_lag: Duration,
    /// Each list with the time at which it was put.
    instances: Vec<(Timestamp, Vec<Instance>)>,
    calls: BTreeMap<String, u64>,
    /// Bytes of request and answer bodies by path; streams of watches are left out.
    bytes: BTreeMap<String, u64>,
    /// A watch ends when the epoch in which it was opened has passed.
    watch_epoch: u64,
    watchers: Vec<Sender<()>>,
}

struct Shared {
    state: Mutex<State>,
    started: Instant,
}

/// A running stand-in; it stops when dropped.
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<AbortHandle>,
}

impl Platform {
    /// Listens on an address; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { state: Mutex::default(), started: Instant::now() });
        let (accept, accept_handle) = abortable(accept_all(listener, Arc::clone(&shared)));
        let (expire, expire_handle) = abortable(expire_leases(Arc::clone(&shared)));
        task::spawn(accept);
        task::spawn(expire);
        Ok(Self { address, shared, tasks: vec![accept_handle, expire_handle] })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the fault switches.
    ///
    /// # Errors
    ///
    /// Fails if a lease or a revision doesn't exist.
    pub fn set_faults(&self, faults: &Faults) -> kv::Result<FaultState> {
        self.shared.set_faults(faults)
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.shared.put_instances(instances);
    }

    /// Returns how many calls arrived, by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.lock().calls.clone()
    }

    /// Runs a closure on the state, for checks that go round the protocol.
    pub fn with_kv<T>(&self, f: impl FnOnce(&mut Kv) -> T) -> T {
        let mut state = self.shared.lock();
        let result = f(&mut state.kv);
        state.wake_watchers();
        result
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for handle in &self.tasks {
            handle.abort();
        }
        let mut state = self.shared.lock();
        state.outage = true;
        state.end_watches();
    }
}

impl State {
    fn wake_watchers(&mut self) {
        // A full channel holds a wake-up already.
        self.watchers.retain(|wake| {
            !matches!(wake.try_send(()), Err(async_channel::TrySendError::Closed(())))
        });
    }

    fn end_watches(&mut self) {
        self.watch_epoch += 1;
        self.wake_watchers();
    }

    fn fault_state(&self) -> FaultState {
        FaultState {
            outage: self.outage,
            delay_ms: self.delay.as_millis() as u64,
            lose_answers: self.lose_answers,
            instance_lag_ms: self.instance_lag.as_millis() as u64,
            revision: self.kv.revision(),
            leases: self.kv.leases(),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    fn set_faults(&self, faults: &Faults) -> kv::Result<FaultState> {
        let now = self.now();
        let mut state = self.lock();
        if let Some(revision) = faults.roll_back_to {
            state.kv.roll_back(now, revision)?;
            state.end_watches();
        }
        if let Some(revision) = faults.compact_to {
            state.kv.compact(revision);
        }
        if let Some(lease) = faults.lapse_lease {
            state.kv.lease_revoke(lease)?;
        }
        if faults.lapse_all_leases == Some(true) {
            for lease in state.kv.leases() {
                state.kv.lease_revoke(lease)?;
            }
        }
        if let Some(delay) = faults.delay_ms {
            state.delay = Duration::from_millis(delay);
        }
        if let Some(count) = faults.lose_answers {
            state.lose_answers = count;
        }
        if let Some(lag) = faults.instance_lag_ms {
            state.instance_lag = Duration::from_millis(lag);
        }
        if let Some(outage) = faults.outage {
            state.outage = outage;
        }
        if state.outage || faults.break_watches == Some(true) {
            state.end_watches();
        }
        state.wake_watchers();
        Ok(state.fault_state())
    }

    fn put_instances(&self, instances: Vec<Instance>) {
        let now = self.now();
        self.lock().instances.push((now, instances));
    }

    fn lagging_instances(&self) -> Vec<Instance> {
        let now = self.now();
        let state = self.lock();
        let visible = |put_at: &Timestamp| now.since(*put_at) >= state.instance_lag;
        // The first list counts as old, so that a lag that is switched on doesn't take the list away.
        let list = state.instances.iter().rev().find(|(put_at, _)| visible(put_at));
        let list = list.or(state.instances.first());
        list.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

async fn accept_all(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors; waiting gives running connections the time to end.
            task::sleep(Duration::from_millis(50)).await;
            continue;
        };
        // Without this, small answers wait for the acknowledgement of the former one.
        let _ = stream.set_nodelay(true);
        task::spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    // An error ends the connection without an answer, which is how faults are brought about.
    let _ = async_h1::accept(stream.clone(), |req| answer(Arc::clone(&shared), req)).await;
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        task::sleep(LEASE_TICK).await;
        let now = shared.now();
        let mut state = shared.lock();
        if state.kv.expire(now) {
            state.wake_watchers();
        }
    }
}

async fn answer(shared: Arc<Shared>, mut req: Request) -> http_types::Result<Response> {
    let path = req.url().path().to_owned();
    let mut body = Vec::new();
    req.take_body().into_reader().take(MAX_BODY + 1).read_to_end(&mut body).await?;
    if body.len() as u64 > MAX_BODY {
        return Ok(refusal(StatusCode::BadRequest, INVALID_ARGUMENT, "request is too large"));
    }
    match (req.method(), path.as_str()) {
        (Method::Get, "/faults") => return json(&shared.lock().fault_state()),
        (Method::Put, "/faults") => {
            return reply(&body, |faults: Faults| shared.set_faults(&faults));
        }
        (Method::Get, "/calls") => return json(&shared.lock().calls),
        (Method::Get, "/bytes") => return json(&shared.lock().bytes),
        (Method::Put, "/instances") => {
            return reply(&body, |instances: Vec<Instance>| {
                shared.put_instances(instances);
                Ok(())
            });
        }
        _ => {}
    }
    let delay = {
        let mut state = shared.lock();
        *state.calls.entry(path.clone()).or_default() += 1;
        state.delay
    };
    if !delay.is_zero() {
        task::sleep(delay).await;
    }
    if shared.lock().outage {
        return Err(cut("outage"));
    }
    let res = match (req.method(), path.as_str()) {
        (Method::Get, "/instances") => json(&shared.lagging_instances()),
        (Method::Post, "/v3/watch") => reply_watch(&shared, &body),
        (Method::Post, _) => call(&shared, &path, &body),
        _ => Ok(Response::new(StatusCode::NotFound)),
    };
    let answered = res.as_ref().ok().and_then(Response::len).unwrap_or(0);
    *shared.lock().bytes.entry(path).or_default() += (body.len() + answered) as u64;
    res
}

fn call(shared: &Shared, path: &str, body: &[u8]) -> http_types::Result<Response> {
    let now = shared.now();
    let mut state = shared.lock();
    let revision = state.kv.revision();
    let leases = state.kv.leases().len();
    let kv = &mut state.kv;
    let res = match path {
        "/v3/kv/range" => reply(body, |req| kv.range(&req)),
        "/v3/kv/put" => reply(body, |req| kv.put(&req)),
        "/v3/kv/txn" => reply(body, |req| kv.txn(&req)),
        "/v3/kv/deleterange" => reply(body, |req| Ok(kv.delete(&req))),
        "/v3/lease/grant" => {
            reply(body, |req: LeaseGrantRequest| kv.lease_grant(now, req.id.0, req.ttl.0))
        }
        "/v3/lease/keepalive" => reply(body, |req: LeaseRequest| {
            Ok(Streamed { result: kv.lease_keep_alive(now, req.id.0) })
        }),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => reply(body, |req: LeaseRequest| {
            kv.lease_revoke(req.id.0)?;
            Ok(PutResponse { header: kv.header() })
        }),
        _ => Ok(Response::new(StatusCode::NotFound)),
    };
    let took_effect = state.kv.revision() != revision || state.kv.leases().len() != leases;
    if !took_effect {
        return res;
    }
    state.wake_watchers();
    if state.lose_answers > 0 {
        state.lose_answers -= 1;
        return Err(cut("answer lost"));
    }
    res
}

fn reply_watch(shared: &Arc<Shared>, body: &[u8]) -> http_types::Result<Response> {
    let Ok(req) = serde_json::from_slice::<WatchRequest>(body) else {
        return Ok(refusal(StatusCode::BadRequest, INVALID_ARGUMENT, "malformed watch"));
    };
    // Bounded, so that a caller that doesn't read holds its watch back and takes no memory.
    let (lines, body) = async_channel::bounded(16);
    let (wake_tx, wake) = async_channel::bounded(1);
    let epoch = {
        let mut state = shared.lock();
        state.watchers.push(wake_tx);
        state.watch_epoch
    };
    task::spawn(run_watch(Arc::clone(shared), epoch, req, wake, lines));
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(Box::pin(body).into_async_read(), None));
    res.insert_header("content-type", "application/json");
    Ok(res)
}

type Line = io::Result<Vec<u8>>;

async fn run_watch(
    shared: Arc<Shared>,
    epoch: u64,
    req: WatchRequest,
    wake: Receiver<()>,
    lines: Sender<Line>,
) {
    let watch = req.create_request;
    let mut next = watch.start_revision.0;
    let mut created = false;
    let mut progress = false;
    loop {
        let (message, ended) = {
            let state = shared.lock();
            let header = state.kv.header();
            if state.watch_epoch != epoch || state.outage {
                (None, true)
            } else if !created {
                if next == 0 {
                    next = header.revision.0 + 1;
                }
                (Some(WatchResponse { header, created: true, ..WatchResponse::default() }), false)
            } else {
                match state.kv.events(&watch.key.0, &watch.range_end.0, next) {
                    Ok(events) => {
                        next = next.max(header.revision.0 + 1);
                        let wanted = !events.is_empty() || progress;
                        let message = WatchResponse { header, events, ..WatchResponse::default() };
                        (wanted.then_some(message), false)
                    }
                    Err(kv::Error::Compacted(first)) => {
                        let message = WatchResponse {
                            header,
                            canceled: true,
                            compact_revision: Int(first),
                            ..WatchResponse::default()
                        };
                        (Some(message), true)
                    }
                    Err(_) => (None, true),
                }
            }
        };
        let opening = !created;
        created = true;
        progress = false;
        if let Some(result) = message {
            let Ok(mut line) = serde_json::to_vec(&Streamed { result }) else { return };
            line.push(b'\n');
            if lines.send(Ok(line)).await.is_err() {
                return;
            }
        }
        if ended {
            // The error cuts the connection within the answer, as a failing server does.
            let _ = lines.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
            return;
        }
        if opening {
            continue;
        }
        match future::timeout(PROGRESS_INTERVAL, wake.recv()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => progress = watch.progress_notify,
        }
    }
}

fn reply<Req: DeserializeOwned, Res: Serialize>(
    body: &[u8],
    run: impl FnOnce(Req) -> kv::Result<Res>,
) -> http_types::Result<Response> {
    let req = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(error) => {
            let text = error.to_string();
            return Ok(refusal(StatusCode::BadRequest, INVALID_ARGUMENT, &text));
        }
    };
    match run(req) {
        Ok(res) => json(&res),
        Err(error) => {
            let (status, code) = match error {
                kv::Error::LeaseNotFound => (StatusCode::NotFound, NOT_FOUND),
                kv::Error::LeaseExists => (StatusCode::BadRequest, FAILED_PRECONDITION),
                kv::Error::Compacted(_) | kv::Error::Future => {
                    (StatusCode::BadRequest, OUT_OF_RANGE)
                }
                kv::Error::TooLarge => (StatusCode::BadRequest, INVALID_ARGUMENT),
            };
            Ok(refusal(status, code, &error.to_string()))
        }
    }
}

fn json(value: &impl Serialize) -> http_types::Result<Response> {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_bytes(serde_json::to_vec(value)?));
    res.insert_header("content-type", "application/json");
    Ok(res)
}

fn refusal(status: StatusCode, code: i32, message: &str) -> Response {
    let mut res = Response::new(status);
    let body = ErrorBody { code, message: message.to_owned() };
    res.set_body(Body::from_bytes(serde_json::to_vec(&body).unwrap_or_default()));
    res
}

fn cut(reason: &'static str) -> http_types::Error {
    http_types::Error::from_str(StatusCode::ServiceUnavailable, reason)
}
