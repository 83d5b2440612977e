//! Which software version began a caller's stream, so that the stream goes on only at that version, whichever instance the caller
//! takes it up at.
//!
//! While several versions serve, and shortly after, each instance tells two daemons that run items which version began a stream; these
//! daemons usually survive the loss of all instances that admit callers. Which versions have served lately is also stored in the
//! key-value service: an instance that starts cannot see which version has just left.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_std::task;
use fleet::QualifiedName;
use kv_store::{Entry, Outcome, Revision};
use peer::StreamOrigin;
use policy::versions::{
    MIXED_WINDOW, StoredHistory, StreamId, StreamOrigins, VersionHistory, holders,
};
use slog::{debug, info, warn};
use stdx::{Name, Timestamp};

use crate::{clock, directory::ServiceId, shared::Shared};

/// The key of the stored history.
const HISTORY_KEY: &str = "versions";
/// The interval at which the history is compared with the stored one.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// How much longer than its timeout a caller's request may last, including earlier attempts.
const AGE_SLACK: Duration = Duration::from_secs(2);
/// How long an instance that has just started, and may not have links yet, asks for the origin of a stream.
const MAX_SEARCH: Duration = Duration::from_millis(600);
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// What this instance knows about versions and streams.
#[derive(Debug, Default)]
pub struct Streams {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    history: VersionHistory,
    origins: StreamOrigins,
    /// Whether targets have been listed.
    has_targets: bool,
    /// Whether the stored history has been read, or is being read.
    is_loaded: bool,
}

impl Streams {
    /// Records the versions of the registered targets.
    pub fn observe(&self, cx: &Shared, serving: &BTreeMap<QualifiedName, BTreeSet<Name>>) {
        let now = cx.clock.now();
        let mut state = self.lock();
        let mixed = state.history.observe(now, serving);
        state.has_targets = true;
        let mut shared = Vec::new();
        for service in mixed {
            info!(cx.log, "several versions serve or have served lately"; "service" => %service);
            let recent = state.origins.recent(&service, now, MIXED_WINDOW);
            shared.extend(recent.map(|(stream, it)| (service.clone(), stream, it.clone())));
        }
        drop(state);
        for (service, stream, version) in shared {
            tell_holders(cx, &service, stream, &version);
        }
    }

    /// Records that a target of a version sent the first event of a stream.
    pub fn record(&self, cx: &Shared, service: &QualifiedName, stream: StreamId, version: &Name) {
        let now = cx.clock.now();
        let mut state = self.lock();
        state.origins.record(now, stream, service.clone(), version.clone());
        let is_mixed = state.history.is_mixed(service, now);
        drop(state);
        if is_mixed {
            tell_holders(cx, service, stream, version);
        }
    }

    /// Records the origin of a stream that a peer reports.
    pub fn on_origin(&self, cx: &Shared, origin: StreamOrigin) {
        let table = cx.directory.snapshot();
        let Some(service) = table.service(ServiceId(origin.service)) else { return };
        let (stream, version) = (StreamId(origin.stream), Name::from(origin.version));
        self.lock().origins.record(cx.clock.now(), stream, service.clone(), version);
    }

    /// Returns the version that began a stream, as far as this instance has seen or was told.
    pub fn known_version(&self, stream: StreamId) -> Option<Name> {
        self.lock().origins.version(stream).cloned()
    }

    /// Returns the version that began a stream which a caller takes up; `None` if it cannot be found out.
    pub async fn find_version(
        &self,
        cx: &Shared,
        service: &QualifiedName,
        stream: Option<StreamId>,
        timeout: Duration,
    ) -> Option<Name> {
        let started = cx.clock.now();
        loop {
            if let Some(version) = stream.and_then(|it| self.known_version(it)) {
                return Some(version);
            }
            // An instance that runs for longer has seen what has left, and has its links.
            let is_new = started.since(Timestamp::ZERO) < MIXED_WINDOW;
            if is_new && self.begin_loading() {
                load(cx).await;
            }
            // Others may know of a version that this instance has not heard of yet, so they are asked first.
            if let Some(stream) = stream
                && let Some(version) = ask_holders(cx, stream).await
            {
                return Some(version);
            }
            let now = cx.clock.now();
            if let Some(only) = self.only_version(service, now, timeout + AGE_SLACK) {
                return Some(only);
            }
            if !is_new || cx.clock.now().since(started) >= MAX_SEARCH {
                return None;
            }
            task::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Returns whether the caller is to read the stored history; nobody else does so at the same time.
    fn begin_loading(&self) -> bool {
        let mut state = self.lock();
        state.has_targets && !std::mem::replace(&mut state.is_loaded, true)
    }

    fn only_version(
        &self,
        service: &QualifiedName,
        now: Timestamp,
        max_age: Duration,
    ) -> Option<Name> {
        self.lock().history.only_version(service, now, max_age).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps the stored history up to date until the daemon stops, if this daemon is the one that stores it.
pub async fn run(cx: Arc<Shared>) {
    let mut stored = (Revision(0), StoredHistory::default());
    loop {
        task::sleep(STORE_INTERVAL).await;
        if is_writer(&cx) && cx.streams.lock().has_targets {
            store_changes(&cx, &mut stored).await;
        }
    }
}

/// Reads the stored history. Only an instance that is asked to take up a stream soon after its start needs it.
async fn load(cx: &Shared) {
    match cx.store.get(HISTORY_KEY).await {
        Ok(entry) => drop(entry.and_then(|it| merge(cx, &it))),
        Err(e) => {
            debug!(cx.log, "history of versions not read"; "error" => %e);
            cx.streams.lock().is_loaded = false;
        }
    }
}

/// Adds a stored history to what this instance has seen.
fn merge(cx: &Shared, entry: &Entry) -> Option<StoredHistory> {
    match serde_json::from_slice::<StoredHistory>(&entry.value) {
        Ok(stored) => {
            let now = cx.clock.now();
            cx.streams.lock().history.merge(now, clock::unix_millis(), &stored);
            Some(stored)
        }
        Err(e) => {
            warn!(cx.log, "stored history of versions cannot be decoded"; "error" => %e);
            None
        }
    }
}

/// Stores the history if the versions have changed. Times at which versions left are not compared, since they shift with the clocks.
async fn store_changes(cx: &Shared, (revision, stored): &mut (Revision, StoredHistory)) {
    let history = cx.streams.lock().history.to_stored(cx.clock.now(), clock::unix_millis());
    let current = |it: &StoredHistory| -> Vec<_> {
        it.services.iter().map(|(name, it)| (name.clone(), it.current.clone())).collect()
    };
    if current(&history) == current(stored) {
        return;
    }
    let value = match serde_json::to_vec(&history) {
        Ok(value) => value,
        Err(e) => {
            warn!(cx.log, "history of versions cannot be encoded"; "error" => %e);
            return;
        }
    };
    match cx.store.compare_and_swap(HISTORY_KEY, *revision, &value).await {
        Ok(Outcome::Won(written)) => {
            info!(cx.log, "history of versions stored"; "services" => history.services.len());
            (*revision, *stored) = (written, history);
        }
        // An earlier process or another daemon has stored a history; the next round compares with it.
        Ok(Outcome::Lost(entry)) => {
            *revision = entry.as_ref().map_or(Revision(0), |it| it.mod_revision);
            *stored = entry.and_then(|it| merge(cx, &it)).unwrap_or_default();
        }
        Ok(Outcome::Unknown) => warn!(cx.log, "unknown whether the history of versions was stored"),
        Err(e) => debug!(cx.log, "history of versions not stored"; "error" => %e),
    }
}

/// Returns whether this daemon stores the history for all.
fn is_writer(cx: &Shared) -> bool {
    cx.item_runners().first() == Some(&cx.settings.instance)
}

fn tell_holders(cx: &Shared, service: &QualifiedName, stream: StreamId, version: &Name) {
    let Some(peers) = cx.peers.get() else { return };
    for holder in holders(&cx.item_runners(), stream) {
        peers.send_origin(&holder, ServiceId::of(service), stream, version);
    }
}

/// Asks the daemons that keep the origin of a stream, the second one only if the first does not know it.
async fn ask_holders(cx: &Shared, stream: StreamId) -> Option<Name> {
    let peers = cx.peers.get()?;
    for holder in holders(&cx.item_runners(), stream) {
        if let Some(version) = peers.ask_for_origin(&holder, stream).await {
            return Some(version);
        }
    }
    None
}
