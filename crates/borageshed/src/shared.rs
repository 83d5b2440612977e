//! The state that the tasks of a daemon share.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http_edge::{
    client::Client,
    memory::MemoryBudget,
    server::{Caller, ConnectionId, SharedLimits},
    signal::Signal,
};
use kv_store::Store;
use platform::PlatformStore;
use policy::auth::KeyHash;
use slog::Logger;
use stdx::{Name, Timestamp};

use crate::{
    batch_work, burn::BurnCounters, clients, clock::Clock, control::ControlHandle,
    directory::Directory, drain::DrainSchedule, evacuations::Evacuations, in_force,
    job_cache::JobCache, load_reports, logging::DroppedLines, metrics::Metrics, peers::Peers,
    settings::Settings, streams::Streams, target_paths::TargetPaths,
};

/// The context of every task of a daemon.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The incarnation of this process; it differs from that of every earlier process of the instance.
    pub incarnation: u64,
    /// The process clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The number of log lines that were dropped.
    pub dropped_lines: Arc<DroppedLines>,
    /// The metrics.
    pub metrics: Metrics,
    /// The numbers of good and bad requests by account and service.
    pub burn: BurnCounters,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// The same service as its concrete type, which counts calls and follows entries.
    platform_store: PlatformStore,
    /// The control thread.
    pub control: ControlHandle,
    /// The limits of connections from callers; the configuration can replace them.
    pub caller_limits: SharedLimits,
    /// The memory that callers can make the process hold.
    pub memory: MemoryBudget,
    /// The HTTP client for calls to targets.
    pub client: Client,
    /// The HTTP client that reads the load of targets.
    pub load_client: Client,
    /// The configuration in force.
    pub in_force: in_force::Cell,
    /// The records and items of recently requested jobs.
    pub job_cache: JobCache,
    /// The links to other daemons; set once the daemon listens for them.
    pub peers: OnceLock<Peers>,
    /// The addresses of the targets.
    pub directory: Directory,
    /// The evacuated failure domains.
    pub evacuations: Evacuations,
    /// The paths to the targets.
    pub target_paths: Arc<TargetPaths>,
    /// The versions of targets and the origins of streams.
    pub streams: Streams,
    /// The batch work.
    pub batch: batch_work::Handle,
    /// Set when the daemon has begun to drain.
    pub draining: Signal,
    /// The schedule of the drain.
    pub drain: DrainSchedule,
    /// Set when the instance is to be emptied.
    pub retiring: Signal,
    /// Set when the instance has released its claims on jobs and makes no new ones.
    pub claims_released: Signal,
    /// The daemons that run batch items.
    item_runners: Mutex<BTreeSet<Name>>,
    /// The connections of callers, with the key that each presented last.
    connection_keys: Mutex<HashMap<ConnectionId, (Caller, KeyHash)>>,
    /// When the key-value service answered last, in microseconds of the process clock.
    platform_answered_at: AtomicU64,
    next_request_number: AtomicU64,
}

/// The components that a daemon's context is created from.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// The incarnation of this process; it differs from that of every earlier process of the instance.
    pub incarnation: u64,
    /// The process clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The number of log lines that were dropped.
    pub dropped_lines: Arc<DroppedLines>,
    /// The key-value service.
    pub store: PlatformStore,
    /// The control thread.
    pub control: ControlHandle,
    /// The HTTP client for calls to targets.
    pub client: Client,
}

impl Shared {
    /// Creates the context of a daemon that has no configuration yet.
    pub fn new(parts: Parts) -> Self {
        let Parts { settings, incarnation, clock, log, dropped_lines, store, control, client } =
            parts;
        let memory = clients::memory_budget(&settings.limits);
        let caller_limits = clients::caller_limits(&settings.limits, &memory);
        Self {
            evacuations: Evacuations::new(clock, log.clone(), settings.evacuation),
            caller_limits: caller_limits.into(),
            target_paths: Arc::new(TargetPaths::new(
                settings.calls_through_peers,
                Duration::from_millis(settings.limits.connect_ms),
                incarnation,
            )),
            memory,
            settings,
            incarnation,
            clock,
            log,
            dropped_lines,
            metrics: Metrics::new(),
            burn: BurnCounters::default(),
            store: Arc::new(store.clone()),
            platform_store: store,
            control,
            client,
            load_client: load_reports::client(),
            in_force: in_force::Cell::default(),
            job_cache: JobCache::default(),
            peers: OnceLock::new(),
            directory: Directory::default(),
            streams: Streams::default(),
            batch: batch_work::Handle::default(),
            draining: Signal::new(),
            drain: DrainSchedule::default(),
            retiring: Signal::new(),
            claims_released: Signal::new(),
            item_runners: Mutex::default(),
            connection_keys: Mutex::default(),
            platform_answered_at: AtomicU64::new(0),
            next_request_number: AtomicU64::new(0),
        }
    }

    /// Returns the client of the key-value service as its concrete type, which can follow entries that others write.
    pub fn platform_store(&self) -> &PlatformStore {
        &self.platform_store
    }

    /// Returns the number of calls to the key-value service so far, by kind.
    pub fn platform_calls(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.platform_store.counts().into_iter().map(|(kind, count)| (kind.name(), count))
    }

    /// Returns the number of reads of the key-value service so far, by kind and by the first part of the keys.
    pub fn platform_reads(&self) -> impl Iterator<Item = (&'static str, Name, u64)> {
        let counts = self.platform_store.counts_by_area().into_iter();
        counts.map(|((kind, area), count)| (kind.name(), area, count))
    }

    /// Returns an id that no other request of the fleet has.
    pub fn request_id(&self) -> String {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.instance, self.incarnation)
    }

    /// Returns whether the daemon has a configuration, knows the evacuated failure domains and is not draining.
    pub fn is_configured_and_accepting(&self) -> bool {
        !self.draining.is_set() && self.in_force.number() > 0 && self.evacuations.is_known()
    }

    /// Records the key that a connection presents, so that the connection can be closed when the key is withdrawn.
    pub fn record_caller_key(&self, caller: &Caller, key: KeyHash) {
        let mut keys_by_connection = self.connection_keys();
        // Closed connections are removed only when the table holds twice the limit of connections, so the amortised
        // cost per connection is constant.
        if keys_by_connection.len() >= 2 * self.settings.limits.connections {
            keys_by_connection.retain(|_, (it, _)| !it.is_closed());
        }
        keys_by_connection.insert(caller.id(), (caller.clone(), key));
    }

    /// Closes every connection whose last presented key is one of `keys`, and returns their number.
    pub fn close_connections_of_keys(&self, keys: &[KeyHash]) -> usize {
        let mut keys_by_connection = self.connection_keys();
        let closed: Vec<ConnectionId> = keys_by_connection
            .iter()
            .filter(|(_, (_, key))| keys.contains(key))
            .map(|(id, _)| *id)
            .collect();
        for id in &closed {
            if let Some((caller, _)) = keys_by_connection.remove(id) {
                caller.close();
            }
        }
        closed.len()
    }

    /// Returns the daemons that run batch items.
    pub fn item_runners(&self) -> BTreeSet<Name> {
        self.item_runners.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the daemons that run batch items.
    pub fn set_item_runners(&self, runners: BTreeSet<Name>) {
        *self.item_runners.lock().unwrap_or_else(PoisonError::into_inner) = runners;
    }

    /// Records that the key-value service has answered just now.
    pub fn platform_answered(&self) {
        self.platform_answered_at.store(self.clock.now().as_micros(), Ordering::Relaxed);
    }

    /// Returns the seconds since the last answer of the key-value service.
    pub fn platform_silent_s(&self) -> u64 {
        let answered = Timestamp::from_micros(self.platform_answered_at.load(Ordering::Relaxed));
        self.clock.now().since(answered).as_secs()
    }

    fn connection_keys(&self) -> MutexGuard<'_, HashMap<ConnectionId, (Caller, KeyHash)>> {
        self.connection_keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
