//! The handler's view of the caller's connection.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use crate::memory::MemoryBudget;
use crate::signal::Signal;

/// Number of a connection, unique within one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl ConnectionId {
    pub(crate) fn new(id: u64) -> Self {
        Self(id)
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Handle of a caller's connection; handlers get it with `req.ext::<Caller>()`.
#[derive(Debug, Clone)]
pub struct Caller {
    id: ConnectionId,
    peer: SocketAddr,
    memory: MemoryBudget,
    /// Since when the connection has waited for a request; `None` while it has one.
    waiting_since: Arc<Mutex<Option<Instant>>>,
    closed: Signal,
    close_requested: Signal,
}

impl Caller {
    pub(crate) fn new(id: ConnectionId, peer: SocketAddr, memory: MemoryBudget) -> Self {
        Self {
            id,
            peer,
            memory,
            waiting_since: Arc::new(Mutex::new(Some(Instant::now()))),
            closed: Signal::new(),
            close_requested: Signal::new(),
        }
    }

    /// Returns the number of the connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the address of the other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the budget from which memory for the caller is taken.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Returns whether the connection was closed, by the caller or by the server.
    pub fn is_closed(&self) -> bool {
        self.closed.is_set()
    }

    /// Completes once the connection is closed, by the caller or by the server.
    ///
    /// A caller that closes only its sending half counts as closed.
    pub async fn closed(&self) {
        self.closed.wait().await;
    }

    /// Closes the connection immediately, even while a request is in progress; the handler's future is dropped.
    pub fn close(&self) {
        self.close_requested.set();
    }

    pub(crate) fn set_waiting(&self, is_waiting: bool) {
        let since = is_waiting.then(Instant::now);
        *self.waiting_since.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }

    pub(crate) fn waiting_since(&self) -> Option<Instant> {
        *self.waiting_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn mark_closed(&self) {
        self.closed.set();
    }

    pub(crate) fn close_signal(&self) -> &Signal {
        &self.close_requested
    }
}
