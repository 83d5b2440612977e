//! Follows the evacuated failure domains, and keeps requests from targets there that were placed before the daemon knew of it.
//!
//! The control thread places no request on a target of an evacuated domain. A request that it placed shortly before an order, or before
//! the process stopped running for a while, is checked again here right before it is sent; so is what is sent without being placed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use fleet::QualifiedName;
use platform::evacuation;
use policy::dispatch::{Access, ClockGap, Evacuation, Event};
use slog::{Logger, info, warn};
use stdx::{Name, Timestamp};

use crate::{
    clock::{self, Clock},
    control::ControlEvent,
    shared::Shared,
    status::EvacuationStatus,
};

/// How often it is checked that the process has not stopped running.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long failed reads are repeated; by then the last known domains are in force again.
const RETRY_LIMIT: Duration = Duration::from_secs(3);

/// The evacuated failure domains as the tasks that send requests see them.
#[derive(Debug)]
pub struct Evacuations {
    clock: Clock,
    log: Logger,
    state: Mutex<State>,
    /// Requests to read the domains again.
    reads: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

#[derive(Debug)]
struct State {
    evacuation: Evacuation,
    /// When this daemon learnt of each evacuation, in Unix milliseconds.
    since_ms: BTreeMap<Name, u64>,
}

impl Evacuations {
    /// Creates the state of a daemon that has just started.
    pub fn new(clock: Clock, log: Logger, is_enabled: bool) -> Self {
        let state = State { evacuation: Evacuation::new(is_enabled), since_ms: BTreeMap::new() };
        Self { clock, log, state: Mutex::new(state), reads: async_channel::bounded(1) }
    }

    /// Returns whether it is known which domains are evacuated, or none can be.
    pub fn is_known(&self) -> bool {
        self.lock().evacuation.is_known()
    }

    /// Returns whether a request may be sent to a target now.
    pub fn allows(&self, cx: &Shared, service: &QualifiedName, target: &Name) -> bool {
        if !cx.settings.evacuation {
            return true;
        }
        match cx.directory.entry(service, target) {
            Some(entry) => self.access(&entry.failure_domain) == Access::Open,
            // Without an entry there is no address either.
            None => true,
        }
    }

    /// Returns whether a request may be sent to all targets at an address now.
    pub fn allows_address(&self, cx: &Shared, address: SocketAddr) -> bool {
        if !cx.settings.evacuation {
            return true;
        }
        let table = cx.directory.snapshot();
        table.at_address(address).all(|it| self.access(&it.failure_domain) == Access::Open)
    }

    /// Returns the evacuated domains; `None` if none can be evacuated or it is not known yet which are.
    pub fn status_if_known(&self, cx: &Shared) -> Option<Vec<EvacuationStatus>> {
        (cx.settings.evacuation && self.is_known()).then(|| self.status())
    }

    /// Returns the evacuated domains with the time since which this daemon knows of each.
    pub fn status(&self) -> Vec<EvacuationStatus> {
        let state = self.lock();
        let status = |(domain, since_ms): (&Name, &u64)| EvacuationStatus {
            domain: domain.clone(),
            since_unix_ms: *since_ms,
        };
        state.since_ms.iter().map(status).collect()
    }

    /// Makes the daemon read the evacuated domains again.
    pub fn request_read(&self) {
        // If a read has been requested already, it begins later than now.
        let _ = self.reads.0.try_send(());
    }

    fn access(&self, failure_domain: &Name) -> Access {
        self.observe();
        self.lock().evacuation.access(failure_domain)
    }

    fn observe(&self) {
        let pulse = self.lock().evacuation.observe(self.clock.now());
        match pulse {
            ClockGap::None => {}
            ClockGap::Paused => self.request_read(),
            ClockGap::RereadTimedOut => {
                warn!(
                    self.log,
                    "evacuations not read in time after a pause of the process; the last known ones stay in force"
                );
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the evacuated domains until the daemon stops.
pub async fn follow(cx: Arc<Shared>) {
    let store = cx.platform_store().clone();
    evacuation::follow(store, cx.settings.source.evacuations_prefix(), |event| {
        match event {
            evacuation::Event::Domains { domains, confirmed_at } => {
                apply(&cx, domains, confirmed_at);
            }
            evacuation::Event::Unreadable(key) => {
                warn!(cx.log, "order to evacuate names no failure domain"; "key" => key);
            }
            evacuation::Event::StoreLost(e) => {
                warn!(cx.log, "key-value service lost"; "of" => "evacuations", "error" => %e);
            }
            evacuation::Event::StoreRegained => {
                info!(cx.log, "key-value service regained"; "of" => "evacuations");
            }
        }
        true
    })
    .await;
}

fn apply(cx: &Shared, domains: BTreeSet<Name>, confirmed_at: Option<Instant>) {
    let now = cx.clock.now();
    let confirmed_at = confirmed_at.map(|it| {
        let age = u64::try_from(it.elapsed().as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(now.as_micros().saturating_sub(age))
    });
    let mut state = cx.evacuations.lock();
    let was_known = state.evacuation.is_known();
    let change = state.evacuation.set(confirmed_at, domains.clone());
    state.since_ms.retain(|it, _| domains.contains(it));
    let now_ms = clock::unix_millis();
    state.since_ms.extend(change.began.into_iter().map(|it| (it, now_ms)));
    drop(state);
    if !was_known {
        info!(cx.log, "evacuations read for the first time"; "evacuated" => domains.len());
    }
    let event = Event::Evacuations { domains, confirmed_at };
    cx.control.send(ControlEvent::Dispatch(event));
}

/// Notices when the process has not run for a while, until the daemon stops.
pub async fn watch_pauses(cx: Arc<Shared>) {
    loop {
        task::sleep(PAUSE_CHECK_INTERVAL).await;
        cx.evacuations.observe();
    }
}

/// Reads the evacuated domains again after each pause of the process, until the daemon stops.
pub async fn read_after_pauses(cx: Arc<Shared>) {
    let requests = cx.evacuations.reads.1.clone();
    while requests.recv().await.is_ok() {
        let requested_at = cx.clock.now();
        while let Err(e) = read_again(&cx).await {
            info!(cx.log, "evacuations not read again after a pause of the process"; "error" => %e);
            if cx.clock.now().since(requested_at) >= RETRY_LIMIT {
                break;
            }
            task::sleep(RETRY_DELAY).await;
        }
    }
}

async fn read_again(cx: &Shared) -> kv_store::Result<()> {
    let prefix = cx.settings.source.evacuations_prefix();
    cx.platform_store().catch_up_with_evacuations(prefix).await?;
    info!(cx.log, "evacuations read again after a pause of the process");
    Ok(())
}
