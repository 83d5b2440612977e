//! Pool of idle connections.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Context;
use std::time::{Duration, Instant};

use async_std::io::Read;
use async_std::net::TcpStream;
use bytes::BytesMut;
use futures::task::noop_waker_ref;
use socket2::SockRef;

use super::ConnectionHandle;
use super::traffic::{AddressTraffic, OwedAnswer};

/// The number of exchanges of a connection whose ids are remembered. A copied answer arrives after the answers to the exchanges in
/// between, so a copy that is further behind would be seconds late.
const MAX_REMEMBERED_EXCHANGES: usize = 256;

/// An open connection and the bytes that were read from it but not consumed.
#[derive(Debug)]
pub(crate) struct Connection {
    id: u64,
    pub(crate) addr: SocketAddr,
    pub(crate) opened_at: Instant,
    pub(crate) stream: TcpStream,
    pub(crate) buf: BytesMut,
    closed_by_owner: Arc<AtomicBool>,
    /// The hashes of the ids of the last exchanges.
    carried: VecDeque<u64>,
    pub(crate) traffic: Arc<AddressTraffic>,
    /// Set while an exchange has begun and its answer has not ended.
    exchange: Option<OwedAnswer>,
    /// Time for which the target keeps the connection open while it is idle, if it announced one.
    pub(crate) keep_alive_timeout: Option<Duration>,
}

impl Connection {
    pub(crate) fn new(
        id: u64,
        addr: SocketAddr,
        stream: TcpStream,
        traffic: Arc<AddressTraffic>,
    ) -> Self {
        Self {
            id,
            addr,
            opened_at: Instant::now(),
            stream,
            buf: BytesMut::new(),
            closed_by_owner: Arc::new(AtomicBool::new(false)),
            carried: VecDeque::new(),
            traffic,
            exchange: None,
            keep_alive_timeout: None,
        }
    }

    pub(crate) fn handle(&self) -> ConnectionHandle {
        ConnectionHandle {
            id: self.id,
            stream: self.stream.clone(),
            closed_by_owner: Arc::clone(&self.closed_by_owner),
        }
    }

    /// Records that the connection carries an exchange with this id.
    pub(crate) fn begin_exchange(&mut self, request_id: &str) {
        self.exchange = Some(self.traffic.begin_exchange());
        if self.carried.len() >= MAX_REMEMBERED_EXCHANGES {
            self.carried.pop_front();
        }
        self.carried.push_back(hash(request_id));
    }

    /// Records that the answer has ended.
    pub(crate) fn end_exchange(&mut self) {
        self.exchange = None;
    }

    fn has_carried(&self, request_id: &str) -> bool {
        self.carried.contains(&hash(request_id))
    }

    pub(crate) fn is_closed_by_owner(&self) -> bool {
        self.closed_by_owner.load(Ordering::Acquire)
    }

    /// Returns the idle time up to which the connection may be used. The target starts its timeout when it sends the
    /// answer and may round it, so the last quarter of the timeout is not used.
    fn max_idle_age(&self, max_age: Duration) -> Duration {
        const USED_FRACTION: f64 = 0.75;
        self.keep_alive_timeout.map_or(max_age, |it| it.mul_f64(USED_FRACTION).min(max_age))
    }

    /// Returns whether the connection is open and nothing has arrived since the last answer.
    ///
    /// Surplus bytes would be read as the start of the next answer.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        let mut socket = &self.stream;
        let mut cx = Context::from_waker(noop_waker_ref());
        self.buf.is_empty()
            && !self.is_closed_by_owner()
            && Pin::new(&mut socket).poll_read(&mut cx, &mut probe).is_pending()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.exchange.is_some() {
            // The kernel would otherwise go on delivering the request, for as long as a network partition lasts and longer, to a
            // target that may have left meanwhile. A failure leaves that behaviour.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        // Handles hold clones of the stream, so dropping this one might not close the socket.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

struct IdleConnection {
    conn: Connection,
    since: Instant,
}

/// Idle connections by address, the most recently used one last.
#[derive(Default)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// Connections with a lower id are not returned to the pool, by address.
    min_kept_id: HashMap<SocketAddr, u64>,
}

impl Pool {
    /// Takes the most recently used connection that can still be used and has not carried a request with this id.
    pub(crate) fn take(
        &mut self,
        addr: SocketAddr,
        request_id: &str,
        max_age: Duration,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&addr)?;
        while let Some(at) = idle.iter().rposition(|it| !it.conn.has_carried(request_id)) {
            let IdleConnection { conn, since } = idle.remove(at);
            if since.elapsed() < conn.max_idle_age(max_age) && conn.is_reusable() {
                return Some(conn);
            }
        }
        if idle.is_empty() {
            self.idle.remove(&addr);
        }
        None
    }

    pub(crate) fn put(&mut self, conn: Connection, now: Instant, max_idle: usize) {
        let min_kept_id = self.min_kept_id.get(&conn.addr).copied().unwrap_or(0);
        let idle = self.idle.entry(conn.addr).or_default();
        if conn.id >= min_kept_id && idle.len() < max_idle && conn.is_reusable() {
            idle.push(IdleConnection { conn, since: now });
        }
    }

    /// Closes the idle connections with an id below `id`; those in use are closed when they are returned.
    pub(crate) fn close_older(&mut self, addr: SocketAddr, id: u64) -> usize {
        let min_kept_id = self.min_kept_id.entry(addr).or_default();
        *min_kept_id = (*min_kept_id).max(id);
        let limit = *min_kept_id;
        self.idle
            .get_mut(&addr)
            .map_or(0, |idle| retain_counting(idle, |idle| idle.conn.id >= limit))
    }

    pub(crate) fn close_expired(&mut self, max_age: Duration) -> usize {
        let closed = self
            .idle
            .values_mut()
            .map(|idle| retain_counting(idle, |idle| idle.since.elapsed() < max_age))
            .sum();
        self.idle.retain(|_, idle| !idle.is_empty());
        closed
    }

    pub(crate) fn idle_count(&self, addr: SocketAddr) -> usize {
        self.idle.get(&addr).map_or(0, Vec::len)
    }
}

fn hash(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}

fn retain_counting(
    idle: &mut Vec<IdleConnection>,
    keep: impl Fn(&IdleConnection) -> bool,
) -> usize {
    let before = idle.len();
    idle.retain(keep);
    before - idle.len()
}
