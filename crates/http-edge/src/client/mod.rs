//! The HTTP client for targets: pooled connections, time limits and typed failures.

mod answer;
mod error;
mod exchange;
mod head;
mod pool;
mod traffic;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Request, Response};
use socket2::SockRef;

use crate::keepalive;

use self::pool::{Connection, Pool};
use self::traffic::TrafficTable;

pub use self::error::{Failure, Progress, SendError};
pub use self::traffic::Traffic;

/// Header that carries the request id to the target and back.
pub const REQUEST_ID: &str = "x-request-id";

/// Settings of the client.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientSettings {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time from the end of the request to the first byte of the answer.
    pub first_byte_timeout: Duration,
    /// Maximum time without a byte in either direction.
    pub gap_timeout: Duration,
    /// Time without an acknowledgement of bytes or probes after which the kernel breaks the connection. It may go on delivering
    /// what was sent, so a client that resets silent connections itself sets a longer time than it needs for that.
    pub unacknowledged_limit: Duration,
    /// Time without a byte after which the silence callback is called, once per gap.
    pub silence_after: Duration,
    /// Maximum length of an answer head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of an answer body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of idle connections in the pool for each address.
    pub max_idle_per_address: usize,
    /// Idle time after which a connection is no longer used. It must be shorter than the idle timeout of the targets:
    /// if the target closes a connection while a request is sent on it, the request may or may not have run.
    pub idle_timeout: Duration,
    /// How answers without a request id are handled.
    pub request_id_check: RequestIdCheck,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            first_byte_timeout: Duration::from_secs(10),
            gap_timeout: Duration::from_secs(10),
            unacknowledged_limit: Duration::from_secs(3),
            silence_after: Duration::from_secs(2),
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            max_idle_per_address: 64,
            idle_timeout: Duration::from_secs(15),
            request_id_check: RequestIdCheck::Required,
        }
    }
}

/// How answers without a request id are handled; an answer with another id always fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestIdCheck {
    /// The answer fails.
    Required,
    /// The answer is delivered if it is the first one on its connection. On a connection that has carried other answers, it may be
    /// a part or a copy of one of them.
    RequiredOnReuse,
    /// The answer is delivered.
    IfPresent,
}

impl RequestIdCheck {
    /// Returns the check for an answer on a new or a reused connection.
    fn on_connection(self, is_reused: bool) -> Self {
        match (self, is_reused) {
            (Self::RequiredOnReuse, true) => Self::Required,
            (Self::RequiredOnReuse, false) => Self::IfPresent,
            (check, _) => check,
        }
    }
}

/// Reports that an exchange had no byte in either direction for [`ClientSettings::silence_after`].
#[derive(Debug, Clone)]
pub struct Silence {
    /// The target.
    pub addr: SocketAddr,
    /// The request in progress.
    pub request_id: String,
    /// Time since the last byte.
    pub gap: Duration,
    /// Whether the head of the answer has arrived. Before that, the target may still be working on the request.
    pub in_answer: bool,
    /// Handle that closes the connection.
    pub connection: ConnectionHandle,
}

/// Handle of one connection to a target.
#[derive(Debug, Clone)]
pub struct ConnectionHandle {
    id: u64,
    stream: TcpStream,
    closed_by_owner: Arc<AtomicBool>,
}

impl ConnectionHandle {
    /// Returns the number of the connection, unique within one client.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Resets the connection; the exchange in progress on it fails with [`Failure::ClosedByOwner`].
    pub fn close(&self) {
        self.closed_by_owner.store(true, Ordering::Release);
        // The kernel must not go on delivering what was sent. A failure leaves that behaviour.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        // The connection may already have ended.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Information that the client adds to an answer; read it with `res.ext().get::<AnswerInfo>()`.
#[derive(Debug, Clone)]
pub struct AnswerInfo {
    /// The connection that carries the answer.
    pub connection: ConnectionHandle,
    /// Whether the connection carried an earlier exchange.
    pub reused: bool,
    /// When the connection had been opened. The process that answers had started by then.
    pub opened_at: Instant,
    /// Time from the start of sending to the head of the answer.
    pub time_to_head: Duration,
    /// Whether the answer has no announced length and ends when the connection closes. A truncated answer then looks
    /// complete, unless it is a success without any byte of a body or the connection is reset.
    pub ends_with_connection: bool,
}

/// An open connection to a target that carries no exchange; dropping it closes it.
#[derive(Debug)]
pub struct OpenConnection {
    conn: Connection,
    reused: bool,
}

type OnSilence = dyn Fn(Silence) + Send + Sync;

struct Inner {
    settings: ClientSettings,
    pool: Mutex<Pool>,
    traffic: TrafficTable,
    next_id: AtomicU64,
    on_silence: Box<OnSilence>,
}

/// Sends requests to targets; clones share the connection pool.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

impl Client {
    /// Creates a client. `on_silence` is called from the task that waits for the answer and must not block.
    pub fn new(
        settings: ClientSettings,
        on_silence: impl Fn(Silence) + Send + Sync + 'static,
    ) -> Self {
        let inner = Inner {
            settings,
            pool: Mutex::new(Pool::default()),
            traffic: TrafficTable::new(),
            next_id: AtomicU64::new(0),
            on_silence: Box::new(on_silence),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Sends a request and returns the answer as soon as its head has arrived.
    ///
    /// The path and query of the URL are sent; the host is `addr`. The request body is streamed, and so is the body of
    /// the answer. Dropping the future or the answer before its end closes the connection. Nothing is sent twice. A connection that
    /// has carried a request with the same id is not used, since a late copy of its answer could not be told from this one.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer head arrives; [`SendError::progress`] tells whether a byte of the request may have been
    /// sent. Reading the body fails with an [`std::io::Error`], from which [`Failure::from_io`] extracts the reason.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request_id: &str,
        req: Request,
    ) -> Result<Response, SendError> {
        let conn = match self.take_idle(addr, request_id) {
            Some(conn) => conn,
            None => self.connect(addr).await?,
        };
        self.send_on(conn, request_id, req).await
    }

    /// Takes an idle connection to a target from the pool that may carry a request with this id.
    pub fn take_idle(&self, addr: SocketAddr, request_id: &str) -> Option<OpenConnection> {
        let conn = self.inner.pool().take(addr, request_id, self.inner.settings.idle_timeout)?;
        Some(OpenConnection { conn, reused: true })
    }

    /// Opens a connection to a target.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened in time; nothing has been sent then.
    pub async fn connect(&self, addr: SocketAddr) -> Result<OpenConnection, SendError> {
        Ok(OpenConnection { conn: self.inner.connect(addr).await?, reused: false })
    }

    /// Adds a connection that was not used to the pool.
    pub fn put_back(&self, open: OpenConnection) {
        self.inner.return_to_pool(open.conn);
    }

    /// Sends a request over an open connection, like [`Client::send`].
    ///
    /// # Errors
    ///
    /// Fails like [`Client::send`].
    pub async fn send_on(
        &self,
        open: OpenConnection,
        request_id: &str,
        req: Request,
    ) -> Result<Response, SendError> {
        exchange::run(&self.inner, open.conn, open.reused, request_id, req).await
    }

    /// Returns what has passed between the client and an address; `None` if there has been no connection to it lately.
    pub fn traffic(&self, addr: SocketAddr) -> Option<Traffic> {
        self.inner.traffic.get(addr)
    }

    /// Returns what has passed between the client and each address to which there has been a connection lately.
    pub fn all_traffic(&self) -> Vec<Traffic> {
        self.inner.traffic.all()
    }

    /// Sends a request over a new connection, for example to check whether a target with a silent connection still
    /// answers.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::send`].
    pub async fn send_over_new_connection(
        &self,
        addr: SocketAddr,
        request_id: &str,
        req: Request,
    ) -> Result<Response, SendError> {
        let conn = self.connect(addr).await?;
        self.send_on(conn, request_id, req).await
    }

    /// Opens a connection to a target and closes it.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened in time.
    pub async fn check_connection(&self, addr: SocketAddr) -> Result<(), Failure> {
        self.inner.connect(addr).await.map(drop).map_err(|it| it.failure)
    }

    /// Closes the idle connections to a target that were opened before `older_than` and returns their number.
    ///
    /// Without `older_than`, closes all idle connections. Connections that are in use and were opened before
    /// `older_than` are closed when their answer ends.
    pub fn close_idle(&self, addr: SocketAddr, older_than: Option<&ConnectionHandle>) -> usize {
        let limit = older_than.map_or(self.inner.next_id.load(Ordering::Relaxed), |conn| conn.id);
        self.inner.pool().close_older(addr, limit)
    }

    /// Closes the connections that were idle for longer than the idle timeout and returns their number.
    pub fn close_expired(&self) -> usize {
        self.inner.pool().close_expired(self.inner.settings.idle_timeout)
    }

    /// Returns the number of idle connections to a target.
    pub fn idle_count(&self, addr: SocketAddr) -> usize {
        self.inner.pool().idle_count(addr)
    }
}

impl Inner {
    fn pool(&self) -> std::sync::MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let stream = match timeout(self.settings.connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(SendError::not_sent(addr, Failure::Connect(e.kind()))),
            Err(_) => return Err(SendError::not_sent(addr, Failure::ConnectTimeout)),
        };
        // A request must not wait for the acknowledgement of its head.
        let _ = stream.set_nodelay(true);
        if let Err(e) = keepalive::enable(&stream, self.settings.unacknowledged_limit) {
            return Err(SendError::not_sent(addr, Failure::Connect(e.kind())));
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        Ok(Connection::new(id, addr, stream, self.traffic.on_connected(addr)))
    }

    fn return_to_pool(&self, conn: Connection) {
        self.pool().put(conn, Instant::now(), self.settings.max_idle_per_address);
    }
}
