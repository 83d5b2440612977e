//! The event loop of the control thread.

use std::{
    io,
    sync::mpsc::{Receiver, RecvTimeoutError, channel},
    thread::{self, JoinHandle},
    time::Duration,
};

use policy::dispatch::{ColdBound, LearnedCapacity};
use slog::Logger;
use stdx::{Name, panics};

use super::{ControlEvent, ControlHandle, Effect, state::State};
use crate::clock::Clock;

/// The maximum number of queued events that are handled before the next check for a due tick, so that a flood of events
/// cannot hold up ticks.
const MAX_EVENTS_PER_TICK: usize = 256;

/// The configuration of the control thread.
#[derive(Debug)]
pub struct ControlConfig {
    /// The name of this instance.
    pub instance: Name,
    /// Differs from that of every earlier process of the instance.
    pub incarnation: u64,
    /// The failure domain of this instance.
    pub failure_domain: Name,
    /// The processor share of this instance in thousandths of a core.
    pub capacity: u32,
    /// Whether this instance takes a share of every account's rate, because it admits requests of callers.
    pub admits_callers: bool,
    /// The maximum rate of loan messages between instances, in bytes per second.
    pub loan_bytes_per_s: f64,
    /// The time whose refill may be spent right after the start.
    pub head_start: Duration,
    /// The maximum number of requests that are open at once.
    pub max_requests: usize,
    /// Whether the operator can evacuate failure domains.
    pub evacuation: bool,
    /// The bound on the requests that cold targets get; `None` for no limit.
    pub cold_start: Option<ColdBound>,
    /// For which services the choice of a target follows what was learned of each.
    pub learned_capacity: LearnedCapacity,
    /// The seed of random decisions.
    pub seed: u64,
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the operating system refuses another thread.
pub fn start(
    cfg: ControlConfig,
    clock: Clock,
    log: Logger,
    effects: async_channel::Sender<Effect>,
) -> io::Result<(ControlHandle, JoinHandle<()>)> {
    let (tx, rx) = channel();
    let handle = ControlHandle::new(tx, cfg.max_requests);
    let state = State::new(cfg, log, effects);
    let run = move || panics::essential_thread("control", || run(state, clock, &rx));
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok((handle, thread))
}

fn run(mut state: State, clock: Clock, rx: &Receiver<ControlEvent>) {
    loop {
        let now = clock.now();
        let timeout = state.next_tick().since(now);
        match rx.recv_timeout(timeout) {
            Ok(ControlEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => state.handle(clock.now(), event),
            Err(RecvTimeoutError::Timeout) => {}
        }
        for event in rx.try_iter().take(MAX_EVENTS_PER_TICK) {
            if matches!(event, ControlEvent::Stop) {
                return;
            }
            state.handle(clock.now(), event);
        }
        state.tick_if_due(clock.now());
    }
}
