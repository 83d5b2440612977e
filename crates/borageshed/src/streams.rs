//! Which software version began a caller's stream, so that the stream goes on only at that version, whichever instance the caller
//! takes it up at.
//!
//! Each instance tells a daemon that runs items which version began a stream, and a second one while several versions serve; these
//! daemons usually survive the loss of all instances that admit callers. Which versions have served lately is also stored in the
//! key-value service: an instance that starts cannot see which version has just left.
//!
//! What is known of the targets may be old. It is read again when a decision needs it, and each current list is remembered for a while,
//! since the first one after a connection was opened tells the version of the process that answers on it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::{future, task};
use event_listener::Event;
use fleet::QualifiedName;
use futures::{StreamExt as _, stream::FuturesUnordered};
use kv_store::{Entry, Outcome, Revision};
use peer::StreamOrigin;
use policy::{
    confirmed_versions::ConfirmedVersions,
    versions::{
        MIXED_WINDOW, RecordedOrigin, StoredHistory, StreamId, StreamOrigins, VersionHistory,
        holders,
    },
};
use slog::{debug, info, warn};
use stdx::{Name, Timestamp};

use crate::{clock, directory::ServiceId, peers::OriginReply, shared::Shared};

/// The key of the stored history.
const HISTORY_KEY: &str = "versions";
/// The interval at which the history is compared with the stored one.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// How much longer than its timeout a caller's request may last, including earlier attempts.
const AGE_SLACK: Duration = Duration::from_secs(2);
/// How long the origin of a stream is searched while daemons that may know it do not answer. Links that were cut or stopped are usually
/// open again by then.
const MAX_SEARCH: Duration = Duration::from_millis(600);
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long an instance without a link to a daemon that may know a stream waits for one. After a stop of the process, links are dialled
/// again within this time; after that the instance is cut off, and the caller had better try another one.
const RECONNECT_TIME: Duration = Duration::from_millis(300);
/// Bounds the memory while the store does not answer.
const MAX_UNCERTAIN: usize = 4_096;
/// The shortest time between the beginnings of two reads of the targets, so that many take-ups do not use up the budget of calls.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// The longest delay after a read that failed; the first one is [`MIN_READ_INTERVAL`].
const MAX_READ_RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long one read of the targets may take, however late its caller comes.
const MIN_READ_TIME: Duration = Duration::from_millis(100);

/// What this instance knows about versions and streams.
#[derive(Debug)]
pub struct Streams {
    state: Mutex<State>,
    /// Notifies of a new `State::confirmed_at` or `State::failed_at`.
    read_ended: Event,
    /// Requests for a read of the targets; one that waits serves all.
    reads: (Sender<()>, Receiver<()>),
}

/// A stream that a caller takes up.
#[derive(Debug)]
pub struct TakenUpStream<'a> {
    /// The service that the stream comes from.
    pub service: &'a QualifiedName,
    /// The identity of the stream; `None` if the caller does not name it.
    pub stream: Option<StreamId>,
    /// The longest time that one attempt of the caller lasts.
    pub max_age: Duration,
    /// How long the answer may take.
    pub time_left: Duration,
}

/// The result of a search for the version that began a stream.
#[derive(Debug)]
pub struct VersionSearch {
    /// The version, if it was found.
    pub origin: Option<FoundOrigin>,
    /// How long the search took.
    pub waited: Duration,
}

/// A version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundOrigin {
    /// The version.
    pub version: Name,
    /// The target that began the stream, if it is recorded.
    pub target: Option<Name>,
    /// How it is known.
    pub source: OriginSource,
}

/// How the version that began a stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// This instance recorded it, or was told when it was recorded.
    Own,
    /// A daemon that keeps it for others answered.
    Holder,
    /// No other version has served lately.
    OnlyVersion,
}

/// What the daemons that keep the origin of a stream say together.
#[derive(Debug, Clone, PartialEq, Eq)]
enum HolderReplies {
    Known(RecordedOrigin),
    /// All have answered, and none knows the stream.
    Unknown,
    /// At least one did not answer.
    Incomplete,
    /// There is no path to at least one, and no other knows the stream.
    Unreachable,
}

#[derive(Debug, Default)]
struct State {
    history: VersionHistory,
    origins: StreamOrigins,
    confirmed: ConfirmedVersions,
    /// Streams whose origin becomes certain if the next list of targets names the same version.
    uncertain: Vec<UncertainOrigin>,
    /// The known targets include all that the store knew at this time.
    confirmed_at: Option<Instant>,
    /// When the last read of the targets that failed was begun.
    failed_at: Option<Instant>,
    /// Whether targets have been listed.
    has_targets: bool,
    /// Whether the stored history has been read, or is being read.
    is_loaded: bool,
}

/// A stream that began on a connection that is newer than the last list of targets.
#[derive(Debug)]
struct UncertainOrigin {
    stream: StreamId,
    service: QualifiedName,
    target: Name,
    version: Name,
    opened_at: Instant,
}

impl State {
    /// Makes the origins certain that the lists of targets confirm, and forgets those that are decided.
    fn confirm_origins(&mut self) {
        let Self { origins, confirmed, uncertain, confirmed_at, .. } = self;
        uncertain.retain(|it| {
            if confirmed.version_after(&it.service, &it.target, it.opened_at) == Some(&it.version) {
                origins.confirm(it.stream);
            }
            *confirmed_at < Some(it.opened_at)
        });
    }
}

impl FoundOrigin {
    fn recorded(origin: RecordedOrigin, source: OriginSource) -> Self {
        let RecordedOrigin { version, target } = origin;
        Self { version, target, source }
    }

    /// Returns whether the target that began the stream may have had another version.
    fn is_doubtful(&self, cx: &Shared, service: &QualifiedName) -> bool {
        let Some(target) = &self.target else { return false };
        let entry = cx.directory.entry(service, target);
        entry.is_some_and(|it| it.version != self.version)
            || cx.streams.lock().confirmed.has_had_other_version(service, target, &self.version)
    }
}

impl Default for Streams {
    fn default() -> Self {
        Self { state: Mutex::default(), read_ended: Event::new(), reads: async_channel::bounded(1) }
    }
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
        for (service, stream, origin) in shared {
            tell_holders(cx, &service, stream, &origin, usize::MAX);
        }
    }

    /// Records that a target of a version sent the first event of a stream, on a connection that was opened at `opened_at`.
    pub fn record(
        &self,
        cx: &Shared,
        service: &QualifiedName,
        stream: StreamId,
        origin: &RecordedOrigin,
        opened_at: Instant,
    ) {
        let now = cx.clock.now();
        let mut state = self.lock();
        if let Some(target) = origin.target.clone()
            && state.uncertain.len() < MAX_UNCERTAIN
        {
            let (service, version) = (service.clone(), origin.version.clone());
            state.uncertain.push(UncertainOrigin { stream, service, target, version, opened_at });
        }
        state.origins.record(now, stream, service.clone(), origin.clone());
        // Another instance may know of versions that this one has not heard of yet. While it seems that there is only one, a second
        // holder is not worth its messages: if the first one is lost, the list of targets tells the version.
        let copies = if state.history.is_mixed(service, now) { usize::MAX } else { 1 };
        drop(state);
        tell_holders(cx, service, stream, origin, copies);
    }

    /// Records the origin of a stream that a peer reports.
    pub fn on_origin(&self, cx: &Shared, origin: StreamOrigin) {
        let table = cx.directory.snapshot();
        let Some(service) = table.service(ServiceId(origin.service)) else {
            debug!(cx.log, "origin of a stream of an unknown service ignored"; "version" => origin.version);
            return;
        };
        let recorded = RecordedOrigin {
            version: Name::from(origin.version),
            target: origin.target.map(Name::from),
        };
        let stream = StreamId(origin.stream);
        self.lock().origins.record(cx.clock.now(), stream, service.clone(), recorded);
    }

    /// Returns which target began a stream, as far as this instance has seen or was told.
    pub fn known_origin(&self, stream: StreamId) -> Option<RecordedOrigin> {
        self.lock().origins.origin(stream).cloned()
    }

    /// Finds the version that began a stream which a caller takes up.
    ///
    /// What no instance has recorded is concluded only from a list of targets that was read after the caller came, and only if no other
    /// version can have served lately. What this instance heard earlier proves nothing: it may have been cut off or stopped since.
    pub async fn find_version(&self, cx: &Shared, taken_up: &TakenUpStream<'_>) -> VersionSearch {
        let arrived = Instant::now();
        let limit = MAX_SEARCH.min(taken_up.time_left / 2);
        let origin = self.find_origin(cx, taken_up, (arrived, limit)).await;
        let mut search = VersionSearch { origin, waited: Duration::ZERO };
        if search.origin.is_some() {
            // Targets may have started with the version, or again with another one, without this instance having heard of it.
            self.confirm_targets(cx, arrived, limit).await;
        }
        // The instance that placed the stream may not have heard of the other version, so either one may have begun it.
        search.origin = search.origin.filter(|it| {
            let is_doubtful = it.is_doubtful(cx, taken_up.service);
            if is_doubtful {
                info!(cx.log, "target of a stream has had another version"; "target" => ?it.target, "recorded" => %it.version);
            }
            !is_doubtful
        });
        search.waited = arrived.elapsed();
        search
    }

    async fn find_origin(
        &self,
        cx: &Shared,
        taken_up: &TakenUpStream<'_>,
        (arrived, limit): (Instant, Duration),
    ) -> Option<FoundOrigin> {
        let TakenUpStream { service, stream, .. } = *taken_up;
        let max_age = MIXED_WINDOW.max(taken_up.max_age + AGE_SLACK);
        loop {
            if let Some(origin) = stream.and_then(|it| self.known_origin(it)) {
                return Some(FoundOrigin::recorded(origin, OriginSource::Own));
            }
            // An instance that runs for longer has seen what has left.
            let is_new = cx.clock.now().since(Timestamp::ZERO) < MIXED_WINDOW;
            if is_new && self.begin_loading() {
                load(cx).await;
            }
            let replies = match stream {
                Some(stream) => ask_holders(cx, stream).await,
                None => HolderReplies::Unknown,
            };
            if let HolderReplies::Known(origin) = replies {
                return Some(FoundOrigin::recorded(origin, OriginSource::Holder));
            }
            let is_cut_off =
                replies == HolderReplies::Unreachable && !cx.platform_store().reaches_service();
            let is_confirmed = !is_cut_off && self.confirm_targets(cx, arrived, limit).await;
            if is_confirmed
                && let Some(version) = self.only_version(service, cx.clock.now(), max_age)
            {
                let source = OriginSource::OnlyVersion;
                return Some(FoundOrigin { version, target: None, source });
            }
            let max_wait = match replies {
                HolderReplies::Incomplete => limit,
                _ if is_new => limit,
                HolderReplies::Unreachable => limit.min(RECONNECT_TIME),
                // A read over a connection that was cut fails at once, and the next one may succeed.
                HolderReplies::Unknown if !is_confirmed => limit,
                HolderReplies::Known(_) | HolderReplies::Unknown => Duration::ZERO,
            };
            if arrived.elapsed() >= max_wait {
                return None;
            }
            task::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Records that the targets which this instance knows include all that the store knew at this time.
    pub fn confirm(&self, cx: &Shared, at: Instant) {
        let table = cx.directory.snapshot();
        let mut state = self.lock();
        let listed = table.listed().map(|(it, entry)| (&it.service, &it.target, &entry.version));
        state.confirmed.observe(at, listed);
        state.confirmed_at = state.confirmed_at.max(Some(at));
        state.confirm_origins();
        drop(state);
        self.read_ended.notify(usize::MAX);
    }

    fn record_failed_read(&self, began_at: Instant) {
        self.lock().failed_at = Some(began_at);
        self.read_ended.notify(usize::MAX);
    }

    /// Returns the version of a target in the first current list at `since` or later; `None` if there is none, or it does not name the
    /// target.
    pub(crate) fn confirmed_version(
        &self,
        service: &QualifiedName,
        target: &Name,
        since: Instant,
    ) -> Option<Name> {
        self.lock().confirmed.version_after(service, target, since).cloned()
    }

    /// Records that targets may have come and gone without this instance having heard of them.
    pub fn record_gap(&self, cx: &Shared) {
        self.lock().history.record_gap(cx.clock.now());
    }

    /// Makes the known targets include all that the store knew at `since`; returns `false` if a read fails or takes too long.
    ///
    /// `limit` counts from `since` on; a read that is needed may take [`MIN_READ_TIME`] in any case.
    pub(crate) async fn confirm_targets(
        &self,
        cx: &Shared,
        since: Instant,
        limit: Duration,
    ) -> bool {
        let requested_at = Instant::now();
        let confirmed = async {
            loop {
                let read_ended = self.read_ended.listen();
                let (confirmed_at, failed_at) = {
                    let state = self.lock();
                    (state.confirmed_at, state.failed_at)
                };
                if confirmed_at >= Some(since) {
                    return true;
                }
                if failed_at >= Some(requested_at) {
                    return false;
                }
                // If a read has been requested already, it begins later than now.
                let _ = self.reads.0.try_send(());
                read_ended.await;
            }
        };
        let left = limit.saturating_sub(since.elapsed()).max(MIN_READ_TIME);
        let is_confirmed = future::timeout(left, confirmed).await.unwrap_or(false);
        if !is_confirmed {
            debug!(cx.log, "targets not confirmed"; "waited_ms" => since.elapsed().as_millis() as u64);
        }
        is_confirmed
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

/// Tells the first `copies` of the daemons that keep the origin of a stream.
fn tell_holders(
    cx: &Shared,
    service: &QualifiedName,
    stream: StreamId,
    origin: &RecordedOrigin,
    copies: usize,
) {
    let Some(peers) = cx.peers.get() else { return };
    for holder in holders(&cx.item_runners(), stream).iter().take(copies) {
        peers.send_origin(holder, ServiceId::of(service), stream, origin);
    }
}

/// Asks the daemons that keep the origin of a stream.
async fn ask_holders(cx: &Shared, stream: StreamId) -> HolderReplies {
    let Some(peers) = cx.peers.get() else { return HolderReplies::Unreachable };
    let mut holders = holders(&cx.item_runners(), stream);
    if holders.is_empty() {
        return HolderReplies::Unreachable;
    }
    // The records of this instance have been searched.
    holders.retain(|it| *it != cx.settings.instance);
    let mut asked: FuturesUnordered<_> =
        holders.iter().map(|it| peers.ask_for_origin(it, stream)).collect();
    let (mut unanswered, mut unreachable) = (0, 0);
    while let Some(reply) = asked.next().await {
        match reply {
            OriginReply::Known(origin) => return HolderReplies::Known(origin),
            OriginReply::Unknown => {}
            OriginReply::NoAnswer => unanswered += 1,
            OriginReply::Unreachable => unreachable += 1,
        }
    }
    match (unanswered, unreachable) {
        (0, 0) => HolderReplies::Unknown,
        (0, _) => HolderReplies::Unreachable,
        (_, _) => HolderReplies::Incomplete,
    }
}

/// Reads the registered targets whenever a caller's stream needs it, one read at a time, until the daemon stops.
pub async fn read_targets(cx: Arc<Shared>) {
    let requests = cx.streams.reads.1.clone();
    let mut retry_delay = MIN_READ_INTERVAL;
    while requests.recv().await.is_ok() {
        let began_at = Instant::now();
        match cx.platform_store().catch_up_with_targets().await {
            Ok(()) => {
                retry_delay = MIN_READ_INTERVAL;
                task::sleep(MIN_READ_INTERVAL.saturating_sub(began_at.elapsed())).await;
            }
            Err(e) => {
                debug!(cx.log, "targets not read"; "error" => %e);
                cx.streams.record_failed_read(began_at);
                task::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_READ_RETRY_DELAY);
            }
        }
    }
}
