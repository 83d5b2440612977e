//! What the parts of a daemon share.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use http_edge::{
    client::Client,
    server::{Caller, ConnectionId, SharedLimits},
    signal::Signal,
};
use kv_store::Store;
use platform::PlatformStore;
use policy::auth::KeyHash;
use slog::Logger;
use stdx::{Name, Timestamp};

use crate::{
    batch_work, burn::BurnCounters, clock::Clock, control::ControlHandle, directory::Directory,
    in_force, job_cache::JobCache, logging::DroppedLines, metrics::Metrics, peers::Peers,
    settings::Settings,
};

/// The context that every task of a daemon gets.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// Differs from that of every earlier run of the instance.
    pub incarnation: u64,
    /// The process clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The lines of the log that were dropped.
    pub dropped_lines: Arc<DroppedLines>,
    /// The metrics.
    pub metrics: Metrics,
    /// Good and bad requests by account and service.
    pub burn: BurnCounters,
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// The same service, for its counts of calls.
    platform_store: PlatformStore,
    /// The control thread.
    pub control: ControlHandle,
    /// The limits of callers' connections, which the configuration may replace.
    pub caller_limits: SharedLimits,
    /// The client towards targets.
    pub client: Client,
    /// The configuration in force.
    pub in_force: in_force::Cell,
    /// The records of jobs that callers asked for lately.
    pub job_cache: JobCache,
    /// The links to other daemons, once they are listened for.
    pub peers: OnceLock<Peers>,
    /// Where the targets listen.
    pub directory: Directory,
    /// The batch work.
    pub batch: batch_work::Handle,
    /// Set when the daemon has begun to drain.
    pub draining: Signal,
    /// Set when the instance is to be emptied.
    pub retiring: Signal,
    /// Set when the instance has given up its claims on jobs and makes no others.
    pub claims_released: Signal,
    /// The daemons that run batch items.
    item_runners: Mutex<BTreeSet<Name>>,
    /// The callers' connections by the key that they presented last.
    connection_keys: Mutex<HashMap<ConnectionId, (Caller, KeyHash)>>,
    /// When the platform's service answered last, in microseconds of the process clock.
    platform_answered_at: AtomicU64,
    next_request_number: AtomicU64,
}

/// What a daemon is built from.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// Differs from that of every earlier run of the instance.
    pub incarnation: u64,
    /// The process clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The lines of the log that were dropped.
    pub dropped_lines: Arc<DroppedLines>,
    /// The platform's key-value service.
    pub store: PlatformStore,
    /// The control thread.
    pub control: ControlHandle,
    /// The client towards targets.
    pub client: Client,
}

impl Shared {
    /// Creates the context of a daemon that has no configuration yet.
    pub fn new(parts: Parts) -> Self {
        let Parts { settings, incarnation, clock, log, dropped_lines, store, control, client } =
            parts;
        Self {
            caller_limits: settings.limits.server_limits().into(),
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
            in_force: in_force::Cell::default(),
            job_cache: JobCache::default(),
            peers: OnceLock::new(),
            directory: Directory::default(),
            batch: batch_work::Handle::default(),
            draining: Signal::new(),
            retiring: Signal::new(),
            claims_released: Signal::new(),
            item_runners: Mutex::default(),
            connection_keys: Mutex::default(),
            platform_answered_at: AtomicU64::new(0),
            next_request_number: AtomicU64::new(0),
        }
    }

    /// Returns the client of the platform's service, for what others write there.
    pub fn platform_store(&self) -> &PlatformStore {
        &self.platform_store
    }

    /// Returns the calls on the platform's service so far, by kind.
    pub fn platform_calls(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.platform_store.counts().into_iter().map(|(kind, count)| (kind.name(), count))
    }

    /// Returns the reads of the platform's service so far, by kind and by the first part of the keys.
    pub fn platform_reads(&self) -> impl Iterator<Item = (&'static str, Name, u64)> {
        let counts = self.platform_store.counts_by_area().into_iter();
        counts.map(|((kind, area), count)| (kind.name(), area, count))
    }

    /// Returns an id that no other request of the fleet has.
    pub fn request_id(&self) -> String {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.instance, self.incarnation)
    }

    /// Returns whether the daemon has a configuration and does not drain.
    pub fn is_configured_and_accepting(&self) -> bool {
        !self.draining.is_set() && self.in_force.number() > 0
    }

    /// Notes the key that a connection presents, so that the connection can be closed when the key is withdrawn.
    pub fn record_caller_key(&self, caller: &Caller, key: KeyHash) {
        let mut keys_by_connection = self.connection_keys();
        // Connections that are gone are dropped when the table has doubled, which costs constant time per connection.
        if keys_by_connection.len() >= 2 * self.settings.limits.connections {
            keys_by_connection.retain(|_, (it, _)| !it.is_gone());
        }
        keys_by_connection.insert(caller.id(), (caller.clone(), key));
    }

    /// Closes every connection that presented one of the keys last.
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

    /// Notes which daemons run batch items.
    pub fn set_item_runners(&self, runners: BTreeSet<Name>) {
        *self.item_runners.lock().unwrap_or_else(PoisonError::into_inner) = runners;
    }

    /// Notes that the platform's service answered.
    pub fn platform_answered(&self) {
        self.platform_answered_at.store(self.clock.now().as_micros(), Ordering::Relaxed);
    }

    /// Returns the seconds since the platform's service answered last.
    pub fn platform_silent_s(&self) -> u64 {
        let answered = Timestamp::from_micros(self.platform_answered_at.load(Ordering::Relaxed));
        self.clock.now().since(answered).as_secs()
    }

    fn connection_keys(&self) -> MutexGuard<'_, HashMap<ConnectionId, (Caller, KeyHash)>> {
        self.connection_keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
