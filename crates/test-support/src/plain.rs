//! A stand-in for a plain HTTP service that counts executions.
//!
//! Every path except `/executions`, `/executions-by-key` and `/faults` counts as an execution and answers with JSON.
//! `GET /executions` returns the execution counts by `x-request-id`, `GET /executions-by-key` those by
//! `Idempotency-Key`, and `PUT /faults` changes the fault switches of [`PlainFaults`].

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_edge::server::{ConnectionId, DrainOutcome, Server, ServerLimits};
use serde_json::json;
use tide::{Body, Request, Response};

use crate::engine::connections::{Connections, caller, request_id};
use crate::engine::merge_members;

stdx::wire_type! {
    /// Fault switches of a plain service.
    #[derive(Default)]
    pub struct PlainFaults {
        /// Delay before the request is run, in milliseconds.
        pub start_delay_ms: u64,
        /// Delay between the run and the answer, in milliseconds.
        pub answer_delay_ms: u64,
        /// Answers with 503 without running the request.
        pub refuse: bool,
        /// Closes the connection after the run and before the answer.
        pub close_after_run: bool,
        /// Turning it on makes all open connections permanently silent; connections opened later work.
        pub silent: bool,
    }
}

#[derive(Default)]
struct State {
    faults: PlainFaults,
    executions: BTreeMap<String, u64>,
    by_key: BTreeMap<String, u64>,
}

#[derive(Default)]
struct Core {
    state: Mutex<State>,
    connections: Connections,
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: PlainFaults, command: Option<ConnectionId>) {
        let mut state = self.lock();
        if faults.silent && !state.faults.silent {
            self.connections.silence_open(command);
        }
        state.faults = faults;
    }
}

/// A running plain service.
pub struct PlainService {
    core: Arc<Core>,
    server: Server<Arc<Core>>,
    addr: SocketAddr,
}

impl PlainService {
    /// Binds `addr` and starts serving.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(addr: SocketAddr, faults: PlainFaults) -> io::Result<Self> {
        let core = Arc::new(Core::default());
        core.lock().faults = faults;
        let server = Server::bind(addr, ServerLimits::default(), app(Arc::clone(&core))).await?;
        let addr = server.local_addr().unwrap_or(addr);
        Ok(Self { core, server, addr })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of executions of each request id.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.core.lock().executions.clone()
    }

    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.core.set_faults(faults, None);
    }

    /// Stops accepting connections and closes those that are still open after `deadline`.
    pub async fn stop(&self, deadline: Duration) -> DrainOutcome {
        self.server.drain(deadline).await
    }
}

fn app(core: Arc<Core>) -> tide::Server<Arc<Core>> {
    let connections = core.connections.clone();
    let mut app = tide::with_state(core);
    app.with(connections);
    app.at("/executions").get(|req: Request<Arc<Core>>| async move {
        let executions = req.state().lock().executions.clone();
        Body::from_json(&executions)
    });
    app.at("/executions-by-key").get(|req: Request<Arc<Core>>| async move {
        let executions = req.state().lock().by_key.clone();
        Body::from_json(&executions)
    });
    app.at("/faults").put(|mut req: Request<Arc<Core>>| async move {
        let patch = req.body_json().await?;
        let current = req.state().lock().faults.clone();
        let faults: PlainFaults = merge_members(&current, patch)?;
        req.state().set_faults(faults.clone(), Some(caller(&req).id()));
        Body::from_json(&faults)
    });
    app.at("/").all(run);
    app.at("/*").all(run);
    app
}

async fn run(mut req: Request<Arc<Core>>) -> tide::Result {
    let core = Arc::clone(req.state());
    let caller = caller(&req);
    let id = request_id(&req);
    let key = req.header("idempotency-key").map(|it| it.last().as_str().to_owned());
    let body = req.body_bytes().await?;
    let faults = core.lock().faults.clone();
    if faults.refuse {
        let problem =
            Problem::new(ProblemKind::Overloaded, Execution::NotRun, "the service refuses");
        return Ok(problem.into_response().into());
    }
    task::sleep(Duration::from_millis(faults.start_delay_ms)).await;
    let execution = {
        let mut state = core.lock();
        if let Some(key) = key {
            *state.by_key.entry(key).or_default() += 1;
        }
        let count = state.executions.entry(id).or_default();
        *count += 1;
        *count
    };
    if faults.close_after_run {
        caller.close();
    }
    task::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
    let answer = json!({
        "method": req.method().as_ref(),
        "path": req.url().path(),
        "body_bytes": body.len(),
        "execution": execution,
    });
    Ok(Response::builder(200).body(answer).build())
}
