//! The HTTP server for callers: accept loop, limits and drain.

mod caller;
mod connection;
mod head;
mod input;
mod pace;
mod status_line;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};
use futures::stream::{Stream, StreamExt};
use stdx::panics;

use crate::memory::MemoryBudget;
use crate::signal::Signal;

pub use self::caller::{Caller, ConnectionId};

/// Delay after an accept error that is not limited to one connection, such as `EMFILE`. Without it the loop would use a
/// whole core until a descriptor becomes free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections over the limit that are answered with 503 at the same time; others are closed without an answer.
const MAX_REFUSALS_IN_PROGRESS: usize = 64;

/// Interval at which a drain checks for the end of the last connection.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a connection costs while it has no request: its task, its buffer for the next head, and its entries in tables.
const IDLE_CONNECTION_BYTES: usize = 16 * 1024;

/// A connection that has waited this long for a request gives its place to a new one when all places are taken.
const REPLACEABLE_AFTER: Duration = Duration::from_secs(1);

/// Limits of the server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLimits {
    /// Maximum number of connections that are served at the same time.
    pub max_connections: usize,
    /// Maximum number of connections that are served at the same time from one address; `None` for no maximum.
    pub max_connections_per_address: Option<usize>,
    /// Maximum length of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time for which a connection without a request stays open.
    pub idle_timeout: Duration,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Maximum time without a byte of a request body.
    pub body_gap_timeout: Duration,
    /// Maximum time until a caller accepts more bytes of an answer.
    pub write_timeout: Duration,
    /// Minimum rate at which callers send a body and read an answer, measured while the server waits for them; the timeouts
    /// above come on top. 0 for none.
    pub min_bytes_per_s: u32,
    /// Memory that callers can make the process hold; servers may share it.
    pub memory: MemoryBudget,
    /// `Retry-After` of connections that are refused because of the connection limit.
    pub refusal_retry_after: Duration,
    /// Time that a connection stays half-open after an early final answer, so that the caller can read it.
    pub linger: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_connections_per_address: None,
            max_head_bytes: 16 * 1024,
            max_body_bytes: 8 * 1024 * 1024,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(60),
            body_gap_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(60),
            min_bytes_per_s: 0,
            memory: MemoryBudget::default(),
            refusal_retry_after: Duration::from_secs(1),
            linger: Duration::from_secs(2),
        }
    }
}

/// Limits that can be replaced while the server runs; clones share them.
#[derive(Debug, Clone)]
pub struct SharedLimits(Arc<RwLock<Arc<ServerLimits>>>);

impl SharedLimits {
    /// Returns the current limits.
    pub fn get(&self) -> Arc<ServerLimits> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the limits; they apply from the next request of each connection on.
    pub fn set(&self, limits: ServerLimits) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(limits);
    }
}

impl From<ServerLimits> for SharedLimits {
    fn from(limits: ServerLimits) -> Self {
        Self(Arc::new(RwLock::new(Arc::new(limits))))
    }
}

/// Counters since the start of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerStats {
    /// Connections that were served.
    pub accepted: u64,
    /// Connections that were refused because of the limit.
    pub refused: u64,
    /// Among them, connections over the limit of their address.
    pub refused_address: u64,
    /// Connections without a request that were closed to make room for new ones.
    pub replaced: u64,
    /// Bodies and answers that were cut because their callers were below the minimum rate.
    pub too_slow: u64,
    /// Errors of the accept call.
    pub accept_errors: u64,
    /// Requests passed to the handler.
    pub requests: u64,
    /// Requests answered by the server itself with 4xx or 5xx.
    pub rejected: u64,
    /// Callers that closed the connection before the end of their answer.
    pub caller_disconnects: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    accepted: AtomicU64,
    refused: AtomicU64,
    refused_address: AtomicU64,
    replaced: AtomicU64,
    pub(crate) too_slow: AtomicU64,
    accept_errors: AtomicU64,
    pub(crate) requests: AtomicU64,
    pub(crate) rejected: AtomicU64,
    pub(crate) caller_disconnects: AtomicU64,
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// State that the connections of one server share.
pub(crate) struct Shared<S> {
    limits: SharedLimits,
    pub(crate) app: tide::Server<S>,
    pub(crate) draining: Signal,
    /// Set when each connection closes after its next answer.
    pub(crate) close_after_answers: Signal,
    /// Set when the accept loop has ended.
    accept_ended: Signal,
    pub(crate) counters: Arc<Counters>,
    next_id: AtomicU64,
    refusals_in_progress: Mutex<usize>,
    callers: Mutex<HashMap<ConnectionId, Caller>>,
}

impl<S> Shared<S> {
    fn callers(&self) -> MutexGuard<'_, HashMap<ConnectionId, Caller>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> Arc<ServerLimits> {
        self.limits.get()
    }

    fn refusals_in_progress(&self) -> MutexGuard<'_, usize> {
        self.refusals_in_progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A handle of the counters of a server.
#[derive(Debug, Clone)]
pub struct ServerCounters(Arc<Counters>);

impl ServerCounters {
    /// Returns the counters.
    pub fn read(&self) -> ServerStats {
        let counters = &self.0;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ServerStats {
            accepted: read(&counters.accepted),
            refused: read(&counters.refused),
            refused_address: read(&counters.refused_address),
            replaced: read(&counters.replaced),
            too_slow: read(&counters.too_slow),
            accept_errors: read(&counters.accept_errors),
            requests: read(&counters.requests),
            rejected: read(&counters.rejected),
            caller_disconnects: read(&counters.caller_disconnects),
        }
    }
}

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainOutcome {
    /// Connections that were closed at the deadline with a request in progress.
    pub closed_at_deadline: usize,
}

/// A running server; dropping it does not stop it.
pub struct Server<S> {
    shared: Arc<Shared<S>>,
    local_addr: Option<SocketAddr>,
}

impl<S: Clone + Send + Sync + 'static> Server<S> {
    /// Binds `addr` and serves `app`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        addr: SocketAddr,
        limits: impl Into<SharedLimits>,
        app: tide::Server<S>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let local_addr = listener.local_addr()?;
        let server = Self::serve(Box::pin(listener.into_incoming()), limits, app);
        Ok(Self { local_addr: Some(local_addr), ..server })
    }

    /// Serves the connections of a stream, such as a wrapped or simulated listener.
    ///
    /// The accept loop is an essential task of the process, see [`panics::essential`]: if it panics, no connection is accepted.
    pub fn serve<I>(incoming: I, limits: impl Into<SharedLimits>, app: tide::Server<S>) -> Self
    where
        I: Stream<Item = io::Result<TcpStream>> + Send + Unpin + 'static,
    {
        let shared = new_shared(limits.into(), app);
        let cx = Arc::clone(&shared);
        let accept = async move { accept_loop(&cx, incoming).await };
        task::spawn(panics::essential("accept loop", accept));
        Self { shared, local_addr: None }
    }

    /// Returns the bound address; `None` for a server over a stream of connections.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    /// Returns the open connections.
    pub fn callers(&self) -> Vec<Caller> {
        self.shared.callers().values().cloned().collect()
    }

    /// Closes one connection immediately; returns `false` if it is not open.
    pub fn close(&self, id: ConnectionId) -> bool {
        let caller = self.shared.callers().get(&id).cloned();
        caller.inspect(Caller::close).is_some()
    }

    /// Returns the counters.
    pub fn stats(&self) -> ServerStats {
        self.counters().read()
    }

    /// Returns a handle of the counters.
    pub fn counters(&self) -> ServerCounters {
        ServerCounters(Arc::clone(&self.shared.counters))
    }

    /// Closes each connection after its next answer; new connections are still accepted.
    pub fn close_after_answers(&self) {
        self.shared.close_after_answers.set();
    }

    /// Stops accepting, closes idle connections and waits for the requests in progress.
    ///
    /// Requests that have already arrived on a connection are still served. Connections that are open after
    /// `deadline` are closed.
    pub async fn drain(&self, deadline: Duration) -> DrainOutcome {
        self.shared.draining.set();
        let ended = async {
            self.shared.accept_ended.wait().await;
            while !self.shared.callers().is_empty() {
                task::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if async_std::future::timeout(deadline, ended).await.is_ok() {
            return DrainOutcome { closed_at_deadline: 0 };
        }
        let left = self.callers();
        left.iter().for_each(Caller::close);
        DrainOutcome { closed_at_deadline: left.len() }
    }
}

fn new_shared<S>(limits: SharedLimits, app: tide::Server<S>) -> Arc<Shared<S>> {
    Arc::new(Shared {
        limits,
        app,
        draining: Signal::new(),
        close_after_answers: Signal::new(),
        accept_ended: Signal::new(),
        counters: Arc::default(),
        next_id: AtomicU64::new(0),
        refusals_in_progress: Mutex::new(0),
        callers: Mutex::new(HashMap::new()),
    })
}

async fn accept_loop<S, I>(cx: &Arc<Shared<S>>, incoming: I)
where
    S: Clone + Send + Sync + 'static,
    I: Stream<Item = io::Result<TcpStream>> + Send + Unpin,
{
    let _ended = SetOnDrop(&cx.accept_ended);
    // Dropped before the signal is set; the drop closes the listener, which refuses further connections.
    let mut incoming = incoming;
    let draining = cx.draining.clone();
    let mut stop = Box::pin(draining.wait());
    loop {
        match select(incoming.next(), stop.as_mut()).await {
            Either::Right(_) | Either::Left((None, _)) => break,
            Either::Left((Some(Ok(stream)), _)) => admit(cx, stream),
            Either::Left((Some(Err(e)), _)) => {
                count(&cx.counters.accept_errors);
                if !is_limited_to_one_connection(&e) {
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Sets a signal when its scope ends, also by a panic, so that a drain does not wait for a loop that is gone.
struct SetOnDrop<'a>(&'a Signal);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.set();
    }
}

/// Returns whether an accept error affects one connection only, so that the next one can be accepted immediately.
fn is_limited_to_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::Interrupted
    )
}

fn admit<S: Clone + Send + Sync + 'static>(cx: &Arc<Shared<S>>, stream: TcpStream) {
    // A connection that was already reset has no peer address.
    let Ok(peer) = stream.peer_addr() else { return };
    // Small writes of a streamed answer must not wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let limits = cx.limits();
    let mut callers = cx.callers();
    let is_over_address = limits.max_connections_per_address.is_some_and(|limit| {
        callers.values().filter(|it| it.peer().ip() == peer.ip()).count() >= limit
    });
    let is_full = callers.len() >= limits.max_connections;
    // Nothing is closed for a connection that is refused for another reason.
    let memory = match is_over_address {
        true => None,
        false => limits.memory.reserve_idle(IDLE_CONNECTION_BYTES).ok(),
    };
    let memory = memory.filter(|_| !is_full || close_longest_waiting(cx, &mut callers));
    let Some(memory) = memory else {
        drop(callers);
        if is_over_address {
            count(&cx.counters.refused_address);
        }
        refuse(cx, stream);
        return;
    };
    count(&cx.counters.accepted);
    let id = ConnectionId::new(cx.next_id.fetch_add(1, Ordering::Relaxed));
    let caller = Caller::new(id, peer, limits.memory.clone());
    callers.insert(id, caller.clone());
    drop(callers);
    let registration = Registration { cx: Arc::clone(cx), id };
    task::spawn(async move {
        connection::run(&registration.cx, stream, caller).await;
        drop(memory);
    });
}

/// Closes the connection that has waited longest for a request, if that is long; its place in the table becomes free.
///
/// Without this, clients that send nothing would keep others away until the idle timeout.
fn close_longest_waiting<S>(cx: &Shared<S>, callers: &mut HashMap<ConnectionId, Caller>) -> bool {
    let waiting = callers.values().filter_map(|it| Some((it.waiting_since()?, it.id())));
    let Some((since, id)) = waiting.min() else { return false };
    if since.elapsed() < REPLACEABLE_AFTER {
        return false;
    }
    count(&cx.counters.replaced);
    if let Some(caller) = callers.remove(&id) {
        caller.mark_closed();
        caller.close();
    }
    true
}

fn refuse<S: Clone + Send + Sync + 'static>(cx: &Arc<Shared<S>>, stream: TcpStream) {
    count(&cx.counters.refused);
    let mut refusals_in_progress = cx.refusals_in_progress();
    if *refusals_in_progress >= MAX_REFUSALS_IN_PROGRESS {
        return;
    }
    *refusals_in_progress += 1;
    drop(refusals_in_progress);
    let cx = Arc::clone(cx);
    task::spawn(async move {
        connection::refuse(&cx.limits(), stream).await;
        *cx.refusals_in_progress() -= 1;
    });
}

/// Removes the connection from the table when its task ends, also when the handler panics.
struct Registration<S> {
    cx: Arc<Shared<S>>,
    id: ConnectionId,
}

impl<S> Drop for Registration<S> {
    fn drop(&mut self) {
        let caller = self.cx.callers().remove(&self.id);
        if let Some(caller) = caller {
            caller.mark_closed();
        }
    }
}
