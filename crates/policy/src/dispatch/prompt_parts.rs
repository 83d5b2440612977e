//! Detection of prompt parts that crash each target that begins to answer on them.
//!
//! Requests that share such a part differ in their fingerprints, so the evidence is gathered for each part. A part is a suspect
//! if a request with it was in flight without any output on a target that crashed. Any target that begins an answer on the part
//! later clears it. After several crashes without such an answer, a verdict refuses all requests with the part.
//!
//! A verdict may be wrong, and a part may stop being harmful. So a verdict expires, and then one request tries the part
//! again: output lifts the verdict, and a crash renews it for a longer time.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, value_type};

value_type! {
    /// A prompt part that several requests of a service may share, by the hash of its identity.
    #[derive(Copy)]
    pub struct PartId(pub u64);
}

/// The number of crashes that a verdict requires; two may happen by chance where many targets crash.
const REQUIRED_CRASHES: usize = 3;
/// Crashes of several targets within this time can have one cause, such as the failure of a rack, and count as one.
const CRASH_SEPARATION: Duration = Duration::from_millis(200);
/// How long a crash counts.
const CRASH_MEMORY: Duration = Duration::from_secs(60);
/// The shortest lifetime of a verdict; doubled each time that the part crashes a target after the verdict has expired. The part may be
/// innocent, and an item that nobody tries for 20 s counts as abandoned, so the first verdict ends before that on all instances.
const MIN_LIFETIME: Duration = Duration::from_secs(8);
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// The range of the random factor by which instances extend the lifetime. Of many instances, one thus tries the part first,
/// and the others learn of the result before their verdicts expire.
const LIFETIME_FACTOR: std::ops::Range<f64> = 1.0..MAX_LIFETIME_FACTOR;
/// The factor of the lifetime of a verdict after which every instance lets a request try the part again.
pub const MAX_LIFETIME_FACTOR: f64 = 2.0;
/// Crashes this soon after a verdict are those of requests that were in flight then, and do not renew it.
const IN_FLIGHT_TIME: Duration = Duration::from_secs(5);
/// How long a request may try a part before another one may, too; it may have to wait for a slot.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// When to retry a request with a part that another request is trying.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The crashes and verdicts of prompt parts.
#[derive(Debug, Default)]
pub(super) struct PartTable {
    suspects: IndexMap<PartId, Crashes>,
    verdicts: IndexMap<PartId, Verdict>,
}

/// The crashes of a part on which no target has begun an answer since the first of them.
#[derive(Debug)]
struct Crashes {
    since: Timestamp,
    last: Timestamp,
    /// The targets whose crashes count.
    targets: Vec<Name>,
}

#[derive(Debug)]
struct Verdict {
    /// Output of an attempt that started later lifts the verdict.
    since: Timestamp,
    renewed_at: Timestamp,
    lifetime: Duration,
    expires: Timestamp,
    /// The request that tries the part after the verdict has expired, and when it was admitted.
    trial: Option<(u64, Timestamp)>,
}

/// The parts that output has cleared.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Cleared {
    /// The parts that were suspects or condemned.
    pub parts: Vec<PartId>,
    /// Those of them that were condemned.
    pub lifted: Vec<PartId>,
}

impl PartTable {
    /// Returns when to retry if a request with the parts must not be sent, for the first time or again; otherwise, the request
    /// tries the parts whose verdicts have expired.
    pub fn admit(&mut self, now: Timestamp, id: u64, parts: &[PartId]) -> Option<Duration> {
        let verdicts = parts.iter().filter_map(|it| self.verdicts.get(it));
        let delays = verdicts.filter_map(|it| match it.trial {
            Some((by, at)) if by != id && now.since(at) < TRIAL_TIMEOUT => Some(TRIAL_RETRY_DELAY),
            _ => (now < it.expires).then(|| it.expires.since(now)),
        });
        if let Some(delay) = delays.max() {
            return Some(delay);
        }
        for part in parts {
            if let Some(verdict) = self.verdicts.get_mut(part) {
                verdict.trial = Some((id, now));
            }
        }
        None
    }

    /// Records that a request ended, so that another one may try its parts.
    pub fn end_trial(&mut self, id: u64) {
        for verdict in self.verdicts.values_mut() {
            verdict.trial = verdict.trial.filter(|(it, _)| *it != id);
        }
    }

    /// Records the crash of a target on which a request with these parts, in the order of the prompt, was in flight without any
    /// output. Returns the part that is condemned for it and the lifetime of the verdict.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        target: &Name,
        parts: &[PartId],
        max_entries: usize,
    ) -> Option<(PartId, Duration)> {
        if let Some(known) = parts.iter().find(|it| self.verdicts.contains_key(*it)) {
            // The part that is condemned already explains the crash.
            return self.renew(now, rng, *known).map(|it| (*known, it));
        }
        for part in parts {
            let crashes = self.suspects.entry(*part).or_insert_with(|| Crashes::new(now));
            crashes.record(now, target);
        }
        while self.suspects.len() > max_entries {
            self.suspects.shift_remove_index(0);
        }
        let is_ripe = |it: &&PartId| {
            self.suspects.get(*it).is_some_and(|it| it.targets.len() >= REQUIRED_CRASHES)
        };
        // If several parts always occur together, the later one is the more specific and harms fewer requests.
        let part = *parts.iter().rfind(is_ripe)?;
        let since = self.suspects.swap_remove(&part)?.since;
        self.insert(now, rng, part, since, MIN_LIFETIME, max_entries);
        Some((part, MIN_LIFETIME))
    }

    /// Adds a verdict of a peer or of the key-value service, or extends a known one; returns whether it is new.
    pub fn add_verdict(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        part: PartId,
        lifetime: Duration,
        max_entries: usize,
    ) -> bool {
        let lifetime = lifetime.clamp(MIN_LIFETIME, MAX_LIFETIME);
        if let Some(known) = self.verdicts.get_mut(&part) {
            if known.lifetime < lifetime {
                known.renew(now, rng, lifetime);
            }
            return false;
        }
        self.suspects.swap_remove(&part);
        self.insert(now, rng, part, now, lifetime, max_entries);
        true
    }

    /// Records output of an attempt that started at `started`; returns the parts that it clears.
    pub fn record_output(&mut self, started: Timestamp, parts: &[PartId]) -> Cleared {
        let mut cleared = Cleared::default();
        for part in parts {
            let suspect_since = self.suspects.get(part).map(|it| it.since);
            let condemned_since = self.verdicts.get(part).map(|it| it.since);
            if suspect_since.or(condemned_since).is_some_and(|it| it < started) {
                cleared.parts.push(*part);
                cleared.lifted.extend(condemned_since.map(|_| *part));
            }
        }
        self.clear(&cleared.parts);
        cleared
    }

    /// Removes the suspicions and verdicts on parts.
    pub fn clear(&mut self, parts: &[PartId]) {
        for part in parts {
            self.suspects.swap_remove(part);
            self.verdicts.swap_remove(part);
        }
    }

    /// Removes the crashes that no longer count, and the verdicts that expired long ago and that no request has tried.
    pub fn prune(&mut self, now: Timestamp) {
        self.suspects.retain(|_, it| now.since(it.last) < CRASH_MEMORY);
        self.verdicts.retain(|_, it| now < it.expires + MAX_LIFETIME);
    }

    fn insert(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        part: PartId,
        since: Timestamp,
        lifetime: Duration,
        max_entries: usize,
    ) {
        while self.verdicts.len() >= max_entries.max(1) {
            self.verdicts.shift_remove_index(0);
        }
        let mut verdict = Verdict { since, renewed_at: now, lifetime, expires: now, trial: None };
        verdict.renew(now, rng, lifetime);
        self.verdicts.insert(part, verdict);
    }

    /// Renews the verdict on a part that has crashed a target again; returns the new lifetime.
    fn renew(&mut self, now: Timestamp, rng: &mut Rng, part: PartId) -> Option<Duration> {
        let verdict = self.verdicts.get_mut(&part)?;
        if now.since(verdict.renewed_at) < IN_FLIGHT_TIME {
            return None;
        }
        let lifetime = (verdict.lifetime * 2).min(MAX_LIFETIME);
        verdict.renew(now, rng, lifetime);
        Some(lifetime)
    }
}

impl Crashes {
    fn new(now: Timestamp) -> Self {
        Self { since: now, last: now, targets: Vec::new() }
    }

    fn record(&mut self, now: Timestamp, target: &Name) {
        let is_separate = self.targets.is_empty() || now.since(self.last) >= CRASH_SEPARATION;
        if is_separate && !self.targets.contains(target) {
            self.targets.push(target.clone());
            self.last = now;
        }
    }
}

impl Verdict {
    fn renew(&mut self, now: Timestamp, rng: &mut Rng, lifetime: Duration) {
        (self.renewed_at, self.lifetime, self.trial) = (now, lifetime, None);
        self.expires = now + lifetime.mul_f64(rng.random_range(LIFETIME_FACTOR));
    }
}
