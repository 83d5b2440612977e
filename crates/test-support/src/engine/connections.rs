//! Connection handling that the stand-ins share: request ids on answers, silent connections, and closing busy ones.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::future::{Either, select};
use http_edge::client::REQUEST_ID;
use http_edge::server::{Caller, ConnectionId};
use tide::{Middleware, Next, Request, Response};

#[derive(Default)]
struct State {
    /// Connections that carried a request; closed ones are removed at the next request.
    open: HashMap<ConnectionId, Caller>,
    silent: HashSet<ConnectionId>,
    /// Connections with a request in progress.
    busy: HashMap<ConnectionId, Caller>,
}

/// The connections of one stand-in.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    state: Arc<Mutex<State>>,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes all open connections permanently silent, except `command`, which carries the request to do so.
    pub(crate) fn silence_open(&self, command: Option<ConnectionId>) {
        let mut state = self.lock();
        let ids: Vec<_> = state.open.keys().copied().filter(|&id| Some(id) != command).collect();
        state.silent.extend(ids);
    }

    /// Closes the connections with a request in progress.
    pub(crate) fn close_busy(&self) {
        for (_, caller) in self.lock().busy.drain() {
            caller.close();
        }
    }

    pub(crate) fn is_silent(&self, id: ConnectionId) -> bool {
        self.lock().silent.contains(&id)
    }

    /// Never completes if the connection is silent; returns immediately otherwise.
    pub(crate) async fn block_if_silent(&self, id: ConnectionId) {
        if self.is_silent(id) {
            futures::future::pending::<()>().await;
        }
    }

    /// Marks a connection as busy until the guard is dropped.
    pub(crate) fn mark_busy(&self, caller: &Caller) -> BusyGuard {
        self.lock().busy.insert(caller.id(), caller.clone());
        BusyGuard { connections: self.clone(), id: caller.id() }
    }

    fn record_open(&self, caller: &Caller) {
        let mut state = self.lock();
        state.open.retain(|_, other| !other.is_closed());
        state.open.insert(caller.id(), caller.clone());
    }
}

/// Marks a connection as busy while a request is in progress.
pub(crate) struct BusyGuard {
    connections: Connections,
    id: ConnectionId,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.connections.lock().busy.remove(&self.id);
    }
}

/// Returns the connection of a request.
pub(crate) fn caller<S>(req: &Request<S>) -> Caller {
    req.ext::<Caller>().cloned().expect("the server attaches the caller to every request")
}

/// Returns the request id; empty if there is none.
pub(crate) fn request_id<S>(req: &Request<S>) -> String {
    req.header(REQUEST_ID).map(|values| values.as_str().to_owned()).unwrap_or_default()
}

/// Copies the request id to the answer and withholds answers on silent connections.
#[tide::utils::async_trait]
impl<S: Clone + Send + Sync + 'static> Middleware<S> for Connections {
    async fn handle(&self, req: Request<S>, next: Next<'_, S>) -> tide::Result {
        let caller = caller(&req);
        let id = request_id(&req);
        self.record_open(&caller);
        let answer = async {
            self.block_if_silent(caller.id()).await;
            let res = next.run(req).await;
            self.block_if_silent(caller.id()).await;
            res
        };
        let mut res = match select(Box::pin(answer), Box::pin(caller.closed())).await {
            Either::Left((res, _)) => res,
            // The connection is closed, so this answer is never sent.
            Either::Right(_) => return Ok(Response::new(503)),
        };
        if !id.is_empty() {
            res.insert_header(REQUEST_ID, id);
        }
        Ok(res)
    }
}
