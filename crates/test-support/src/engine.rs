//! A stand-in for a model engine with continuous batching.
//!
//! - `scheduler`: slots, queue and sequences, without I/O.
//! - `cache`: the prefix cache.
//! - `load`: the load report, which lags behind the actual load.
//! - `routes`: the HTTP routes.
//! - `connections`: the handling of connections that the stand-ins share: request ids, silent and busy connections.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/completions`, `/v1/chat/completions` | one JSON document, or SSE with `"stream": true` |
//! | the same with `engine_request_id` and `resume_from` | SSE, starting at that token |
//! | `GET /v1/models` | the models |
//! | `GET /load` | running and waiting requests, as they were `load_lag_ms` ago |
//! | `GET /executions` | executions by `x-request-id` |
//! | `GET /faults`, `PUT /faults` | the fault switches of [`Faults`]; missing members stay unchanged |

mod cache;
pub(crate) mod connections;
mod load;
mod routes;
mod scheduler;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::task;
use http_edge::server::{ConnectionId, DrainOutcome, Server, ServerLimits};
use serde::{Deserialize, Serialize};

use self::connections::Connections;
use self::load::{Load, LoadHistory};
use self::scheduler::{Scheduler, StepOutcome};

pub(crate) use self::routes::merge_members;

/// Settings of an engine that stay the same while it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Names of the models that the engine serves.
    pub models: Vec<String>,
    /// Maximum number of sequences that run at the same time.
    pub slots: usize,
    /// Time that each running sequence adds to a step.
    pub step_per_sequence: Duration,
    /// Time to process one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Time to process one prompt token that is cached.
    pub cached_per_token: Duration,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: usize,
    /// Number of tokens in the answer to a request without `max_tokens`.
    pub default_max_tokens: usize,
    /// Time for which a stream without a reader can be resumed.
    pub resume_window: Duration,
    /// The fault switches at the start.
    pub faults: Faults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            models: vec!["small".to_owned()],
            slots: 8,
            step_per_sequence: Duration::ZERO,
            prefill_per_token: Duration::from_micros(100),
            cached_per_token: Duration::from_micros(5),
            cache_tokens: 64 * 1024,
            default_max_tokens: 16,
            resume_window: Duration::from_secs(10),
            faults: Faults::default(),
        }
    }
}

/// How an engine crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Crash {
    /// The process ends with status 101.
    Exit,
    /// All connections with a request in progress are closed and all state is lost.
    Reset,
}

stdx::wire_type! {
    /// Fault switches of an engine.
    pub struct Faults {
        /// Time of one step in microseconds.
        pub step_us: u64,
        /// Delay of every inference request in milliseconds.
        pub delay_ms: u64,
        /// Lag of the load report in milliseconds.
        pub load_lag_ms: u64,
        /// A request whose body contains this text crashes the engine when it gets a slot.
        pub crash_marker: Option<String>,
        /// How the engine crashes.
        pub crash: Crash,
        /// Answers inference requests with 503.
        pub refuse: bool,
        /// Turning it on makes all open connections permanently silent; connections opened later work.
        pub silent: bool,
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            step_us: 5_000,
            delay_ms: 0,
            load_lag_ms: 200,
            crash_marker: Some("CRASH-THE-ENGINE".to_owned()),
            crash: Crash::Reset,
            refuse: false,
            silent: false,
        }
    }
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    Token(String),
    End,
}

struct State {
    scheduler: Scheduler,
    history: LoadHistory,
    faults: Faults,
}

pub(crate) struct Core {
    settings: EngineSettings,
    state: Mutex<State>,
    connections: Connections,
    wake: Sender<()>,
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    fn record_load(state: &mut State) {
        let load = state.scheduler.load();
        state.history.record(Instant::now(), load);
    }

    /// Puts a request into the queue and wakes the step loop.
    fn submit(
        &self,
        request_id: &str,
        body: &str,
        prompt: &str,
        max_tokens: usize,
    ) -> AttachedStream {
        let mut state = self.lock();
        let marker = state.faults.crash_marker.clone();
        let crashes = marker.is_some_and(|marker| !marker.is_empty() && body.contains(&marker));
        let (tx, rx) = async_channel::unbounded();
        let id = state.scheduler.submit(request_id, prompt, max_tokens, crashes, tx);
        Self::record_load(&mut state);
        // A full channel means that a wake-up of the step loop is pending already.
        let _ = self.wake.try_send(());
        AttachedStream { id, rx }
    }

    /// Resumes a stream at token `from` with a new reader; `None` if the scheduler cannot resume it there.
    fn resume(&self, id: &str, from: usize) -> Option<AttachedStream> {
        let (tx, rx) = async_channel::unbounded();
        let mut state = self.lock();
        state.scheduler.resume(id, from, tx)?;
        Self::record_load(&mut state);
        let _ = self.wake.try_send(());
        Some(AttachedStream { id: id.to_owned(), rx })
    }

    fn detach(&self, id: &str, rx: &Receiver<Event>) {
        let mut state = self.lock();
        state.scheduler.detach(id, rx, Instant::now());
        Self::record_load(&mut state);
    }

    fn load(&self) -> Load {
        let mut state = self.lock();
        let lag = Duration::from_millis(state.faults.load_lag_ms);
        state.history.report(Instant::now(), lag)
    }

    fn set_faults(&self, faults: Faults, command: Option<ConnectionId>) {
        let mut state = self.lock();
        if faults.silent && !state.faults.silent {
            self.connections.silence_open(command);
        }
        state.faults = faults;
    }

    /// Runs one step and returns the time until the next one; `None` if there is no work left.
    fn step(&self) -> Option<Duration> {
        let mut state = self.lock();
        let step = Duration::from_micros(state.faults.step_us.max(1));
        let outcome = state.scheduler.step(Instant::now(), step);
        Self::record_load(&mut state);
        match outcome {
            StepOutcome::Idle => None,
            StepOutcome::Busy { running } => {
                Some(step + self.settings.step_per_sequence * u32::try_from(running).unwrap_or(0))
            }
            StepOutcome::Crashed => {
                if state.faults.crash == Crash::Exit {
                    std::process::exit(101);
                }
                state.scheduler.clear();
                Self::record_load(&mut state);
                drop(state);
                self.connections.close_busy();
                None
            }
        }
    }
}

/// A sequence and the receiver through which a request handler reads its events.
pub(crate) struct AttachedStream {
    id: String,
    rx: Receiver<Event>,
}

async fn step_loop(core: Weak<Core>, wake: Receiver<()>) {
    while wake.recv().await.is_ok() {
        loop {
            let Some(core) = core.upgrade() else { return };
            let delay = core.step();
            drop(core);
            match delay {
                Some(delay) => task::sleep(delay).await,
                None => break,
            }
        }
    }
}

/// A running engine.
pub struct Engine {
    core: Arc<Core>,
    server: Server<Arc<Core>>,
    addr: SocketAddr,
}

impl Engine {
    /// Binds `addr` and starts serving.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(addr: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let (wake, wake_rx) = async_channel::bounded(1);
        let state = State {
            scheduler: Scheduler::new(&settings),
            history: LoadHistory::default(),
            faults: settings.faults.clone(),
        };
        let connections = Connections::default();
        let core = Arc::new(Core { settings, state: Mutex::new(state), connections, wake });
        task::spawn(step_loop(Arc::downgrade(&core), wake_rx));
        let app = routes::app(Arc::clone(&core));
        let server = Server::bind(addr, ServerLimits::default(), app).await?;
        let addr = server.local_addr().unwrap_or(addr);
        Ok(Self { core, server, addr })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of executions of each request id.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.core.lock().scheduler.executions()
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> Faults {
        self.core.faults()
    }

    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: Faults) {
        self.core.set_faults(faults, None);
    }

    /// Returns the current numbers of running and waiting requests, without the lag of the load report.
    pub fn occupancy(&self) -> (usize, usize) {
        let load = self.core.lock().scheduler.load();
        (load.running, load.waiting)
    }

    /// Stops accepting connections and closes those that are still open after `deadline`.
    pub async fn stop(&self, deadline: Duration) -> DrainOutcome {
        self.server.drain(deadline).await
    }
}
