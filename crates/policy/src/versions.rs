//! The software versions of targets, and which of them began a caller's stream.
//!
//! What two versions write does not fit together, so a stream that broke may go on only at the version that began it. A caller may
//! take it up at any instance, which then has to know that version.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque, hash_map::Entry},
    time::Duration,
};

use fleet::QualifiedName;
use stdx::{Name, Timestamp, value_type, wire_type};
use twox_hash::XxHash64;

/// How long a version that has left makes it necessary to remember which version began a stream.
pub const MIXED_WINDOW: Duration = Duration::from_secs(30);
/// How long a version that has left is remembered; longer than any stream lasts.
const LEFT_RETENTION: Duration = Duration::from_secs(600);
/// How long it is remembered which version began a stream.
const ORIGIN_RETENTION: Duration = Duration::from_secs(120);
/// Bounds the memory; the oldest streams are forgotten first.
const MAX_ORIGINS: usize = 65_536;

value_type! {
    /// Identifies a stream by its service and the id of the attempt that brought its first event.
    #[derive(Copy)]
    pub struct StreamId(pub u64);
}

impl StreamId {
    /// Returns the identity of the stream that an attempt began.
    pub fn of(service: &QualifiedName, first_attempt: &str) -> Self {
        const SEED: u64 = 2;
        let seed = XxHash64::oneshot(SEED, service.to_string().as_bytes());
        Self(XxHash64::oneshot(seed, first_attempt.as_bytes()))
    }
}

value_type! {
    /// Which version began a stream, as far as the instance that placed it knew.
    pub struct RecordedOrigin {
        /// The version.
        pub version: Name,
        /// The target, if it is not certain that it had this version: it may have started again without the instance having heard of it.
        pub target: Option<Name>,
    }
}

/// The versions that serve each service, or did until recently.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<QualifiedName, ServiceVersions>,
    /// Whether versions may have come and gone since the first observation without having been observed.
    has_gap: bool,
}

#[derive(Debug)]
struct ServiceVersions {
    current: BTreeSet<Name>,
    left: BTreeMap<Name, Departure>,
    /// The time from which no version is missing in `left`; `None` for always.
    complete_from: Option<Timestamp>,
}

/// When a version left a service.
#[derive(Debug, Clone, Copy)]
struct Departure {
    at: Timestamp,
    /// How long before `at` the version left, if that was before this process started.
    earlier: Duration,
}

wire_type! {
    /// The stored form of a history, for instances that start later. Services are written as `origin/name`.
    #[derive(Default)]
    pub struct StoredHistory {
        /// The versions by service.
        pub services: BTreeMap<String, StoredVersions>,
    }
}

wire_type! {
    /// The stored versions of a service.
    #[derive(Default)]
    pub struct StoredVersions {
        /// The versions that serve.
        pub current: BTreeSet<Name>,
        /// The versions that have left, with the Unix time in milliseconds.
        pub left: BTreeMap<Name, u64>,
    }
}

impl VersionHistory {
    /// Records the versions that serve each service; returns the services of which it has become necessary to remember which version
    /// began a stream.
    pub fn observe(
        &mut self,
        now: Timestamp,
        serving: &BTreeMap<QualifiedName, BTreeSet<Name>>,
    ) -> Vec<QualifiedName> {
        let were_mixed: BTreeSet<QualifiedName> =
            serving.keys().filter(|it| self.is_mixed(it, now)).cloned().collect();
        for (service, versions) in serving {
            let known = self.services.entry(service.clone());
            known.or_insert_with(|| ServiceVersions::new(now)).observe(now, versions);
        }
        let none = BTreeSet::new();
        for (service, known) in &mut self.services {
            if !serving.contains_key(service) {
                known.observe(now, &none);
            }
        }
        let mixed = serving.keys().filter(|it| self.is_mixed(it, now));
        mixed.filter(|it| !were_mixed.contains(*it)).cloned().collect()
    }

    /// Adds what an earlier process has stored, as of `now`, which is `unix_ms` in Unix time.
    pub fn merge(&mut self, now: Timestamp, unix_ms: u64, stored: &StoredHistory) {
        for (service, known) in &mut self.services {
            let Some(stored) = stored.services.get(&service.to_string()) else { continue };
            for (version, left_ms) in &stored.left {
                let earlier = Duration::from_millis(unix_ms.saturating_sub(*left_ms));
                if !known.current.contains(version) {
                    known.left.insert(version.clone(), Departure { at: now, earlier });
                }
            }
            // What is no longer there has left since; it is not known when.
            for version in stored.current.difference(&known.current).cloned().collect::<Vec<_>>() {
                known.left.insert(version, Departure::at(now));
            }
            // A stored history fills the time before this process started, but it may lack what this process has missed.
            if !self.has_gap {
                known.complete_from = None;
            }
        }
    }

    /// Records that versions may have come and gone before `now` without having been observed.
    pub fn record_gap(&mut self, now: Timestamp) {
        self.has_gap = true;
        for known in self.services.values_mut() {
            known.complete_from = Some(now);
        }
    }

    /// Returns the history in its stored form, as of `now`, which is `unix_ms` in Unix time.
    pub fn to_stored(&self, now: Timestamp, unix_ms: u64) -> StoredHistory {
        let services = self.services.iter().map(|(service, known)| {
            let left = known.left.iter().map(|(version, at)| {
                (version.clone(), unix_ms.saturating_sub(at.age(now).as_millis() as u64))
            });
            let stored = StoredVersions { current: known.current.clone(), left: left.collect() };
            (service.to_string(), stored)
        });
        StoredHistory { services: services.collect() }
    }

    /// Returns the version of every stream of the service that began within `max_age`; `None` if there may be several.
    pub fn only_version(
        &self,
        service: &QualifiedName,
        now: Timestamp,
        max_age: Duration,
    ) -> Option<&Name> {
        let known = self.services.get(service)?;
        let mut versions = known.versions_within(now, max_age);
        let only = versions.next()?;
        (known.is_complete(now, max_age) && versions.next().is_none()).then_some(only)
    }

    /// Returns whether streams of the service may have been begun by several versions lately.
    pub fn is_mixed(&self, service: &QualifiedName, now: Timestamp) -> bool {
        self.only_version(service, now, MIXED_WINDOW).is_none()
    }
}

impl Departure {
    fn at(now: Timestamp) -> Self {
        Self { at: now, earlier: Duration::ZERO }
    }

    fn age(self, now: Timestamp) -> Duration {
        now.since(self.at) + self.earlier
    }
}

impl ServiceVersions {
    fn new(now: Timestamp) -> Self {
        Self { current: BTreeSet::new(), left: BTreeMap::new(), complete_from: Some(now) }
    }

    fn observe(&mut self, now: Timestamp, versions: &BTreeSet<Name>) {
        for version in self.current.difference(versions) {
            self.left.insert(version.clone(), Departure::at(now));
        }
        self.left.retain(|it, at| !versions.contains(it) && at.age(now) < LEFT_RETENTION);
        self.current.clone_from(versions);
    }

    fn is_complete(&self, now: Timestamp, max_age: Duration) -> bool {
        self.complete_from.is_none_or(|it| now.since(it) >= max_age)
    }

    fn versions_within(&self, now: Timestamp, max_age: Duration) -> impl Iterator<Item = &Name> {
        let left = self.left.iter().filter(move |(_, at)| at.age(now) < max_age);
        self.current.iter().chain(left.map(|(version, _)| version))
    }
}

/// The versions that began streams, as far as this instance has seen or was told.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamId, Origin>,
    /// The keys of `origins`, oldest first.
    order: VecDeque<StreamId>,
}

#[derive(Debug)]
struct Origin {
    service: QualifiedName,
    recorded: RecordedOrigin,
    recorded_at: Timestamp,
}

impl StreamOrigins {
    /// Remembers which target began a stream. The first record counts.
    pub fn record(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        service: QualifiedName,
        recorded: RecordedOrigin,
    ) {
        self.forget_outdated(now);
        if let Entry::Vacant(entry) = self.origins.entry(stream) {
            entry.insert(Origin { service, recorded, recorded_at: now });
            self.order.push_back(stream);
        }
    }

    /// Records that the version that began a stream has become certain.
    pub fn confirm(&mut self, stream: StreamId) {
        if let Some(origin) = self.origins.get_mut(&stream) {
            origin.recorded.target = None;
        }
    }

    /// Returns which target began a stream, if it is known.
    pub fn origin(&self, stream: StreamId) -> Option<&RecordedOrigin> {
        self.origins.get(&stream).map(|it| &it.recorded)
    }

    /// Returns the streams of a service that began within `max_age`.
    pub fn recent(
        &self,
        service: &QualifiedName,
        now: Timestamp,
        max_age: Duration,
    ) -> impl Iterator<Item = (StreamId, &RecordedOrigin)> {
        let recent = self
            .origins
            .iter()
            .filter(move |(_, it)| it.service == *service && now.since(it.recorded_at) < max_age);
        recent.map(|(stream, it)| (*stream, &it.recorded))
    }

    /// Forgets the streams that began too long ago, and the oldest one if there are too many.
    fn forget_outdated(&mut self, now: Timestamp) {
        while let Some(oldest) = self.order.front() {
            let age = now.since(self.origins[oldest].recorded_at);
            if age < ORIGIN_RETENTION && self.order.len() < MAX_ORIGINS {
                break;
            }
            self.origins.remove(oldest);
            self.order.pop_front();
        }
    }
}

/// Returns the daemons that keep the origin of a stream for the instances that do not know it. All instances choose the same ones.
pub fn holders(daemons: &BTreeSet<Name>, stream: StreamId) -> Vec<Name> {
    /// Two, so that the loss of one daemon loses nothing.
    const COUNT: usize = 2;
    let score = |it: &Name| XxHash64::oneshot(stream.0, it.as_bytes());
    let mut by_score: Vec<&Name> = daemons.iter().collect();
    by_score.sort_by_key(|it| std::cmp::Reverse(score(it)));
    by_score.into_iter().take(COUNT).cloned().collect()
}
