//! Suspicion and verdicts by fingerprint.
//!
//! A broken connection looks like the death of its target. Where targets register themselves, under a name for each run,
//! the list tells the two apart: the death of a listed target proves nothing until the list drops the target, and nothing at
//! all once the target answers again, which also lifts the verdicts that blame it.

use std::{collections::BTreeSet, time::Duration};

use fleet::QualifiedName;
use indexmap::IndexMap;
use stdx::{Name, Timestamp};

use super::{
    request::{Fingerprint, Suspicion},
    settings::Settings,
};

/// The most targets that a request may run on while it is unproven.
pub(super) const MAX_TARGETS: usize = 2;

/// What is known about requests by their fingerprint.
#[derive(Debug, Default)]
pub(super) struct PoisonTable {
    records: IndexMap<Fingerprint, Record>,
    verdicts: IndexMap<Fingerprint, Verdict>,
    /// The registered targets whose deaths count against a request, so that other answers cost no search.
    blamed: BTreeSet<Name>,
    /// The deaths of the last moments, which tell who else was on a target when it died.
    deaths: Vec<Death>,
}

#[derive(Debug)]
struct Verdict {
    expires: Timestamp,
    /// The registered targets that died, by one of whose answers the verdict is refuted.
    blamed: Vec<(Name, Timestamp)>,
    /// Whether this instance reached the verdict, and not a peer.
    is_own: bool,
}

/// A request that was in flight on a target that died.
#[derive(Debug)]
struct Death {
    fingerprint: Fingerprint,
    service: QualifiedName,
    target: Name,
    at: Timestamp,
}

/// A death that leads to a verdict, unless it turns out that another suspect was on the target.
#[derive(Debug)]
struct Pending {
    service: QualifiedName,
    target: Name,
    /// When the attempt started, if this instance made it and so decides on the verdict; earlier deaths on the target are of another crash.
    started: Option<Timestamp>,
    at: Timestamp,
    due: Timestamp,
    /// Whether another suspect is known to have been on the target.
    shared: bool,
}

/// Deaths on one target within this time are those of one crash. It is shorter than the first hold-down, so that
/// deaths of two lives are told apart.
const SAME_CRASH: Duration = Duration::from_millis(250);
/// How long the verdict of the instance that saw the second death is awaited. Without one the death proves nothing: the
/// instance found another suspect there, or it is lost, which can cost another target.
const VERDICT_PATIENCE: Duration = Duration::from_millis(500);
/// How long after the wait for peers a death must be confirmed by the list of targets. A target that is gone is dropped
/// from it after three heartbeats of 1.2 s; the rest is for the list to arrive.
const CONFIRMATION_PATIENCE: Duration = Duration::from_secs(5);

/// The attempts of requests with one fingerprint.
#[derive(Debug, Default)]
struct Record {
    runs: Vec<Run>,
    /// Whether a request with the fingerprint completed while the record existed and no target died since.
    proven: bool,
    expires: Timestamp,
    pending: Option<Pending>,
}

/// Attempts on one life of one target.
#[derive(Debug)]
struct Run {
    target: Name,
    in_flight: u32,
    died: bool,
    died_at: Timestamp,
    /// Whether the list of targets still names the target that died, so that it may live.
    may_live: bool,
    /// Whether the target was leaving when it died, so that its end may have been a shutdown that took too long.
    was_leaving: bool,
    /// Whether the target died under the attempts in flight of another suspect as well, so that their end proves nothing.
    excused: bool,
}

/// How an attempt ended, as far as suspicion goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunEnd {
    Completed,
    /// The attempt says nothing about the request.
    Neutral,
    TargetDied,
    /// The connection to a leaving target broke.
    LeavingTargetDied,
}

/// What is known about a death besides whose it is.
#[derive(Debug, Clone, Copy)]
pub(super) struct DeathNote {
    /// The time that peers need to report who else was on the target.
    pub wait: Duration,
    /// Whether another suspect is known to have been on the target.
    pub shared: bool,
    /// When the attempt started; `None` if a peer made it.
    pub started: Option<Timestamp>,
    /// Whether the target registers itself.
    pub is_registered: bool,
}

/// What the end of an attempt means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Conclusion {
    /// The request may run again.
    Open,
    /// The request may run on no other target, but is not proven to kill targets.
    Exhausted,
    /// The target died, which peers have not heard of.
    Died,
}

impl PoisonTable {
    /// Returns when the verdict on the fingerprint expires, if there is one.
    pub fn verdict(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<Timestamp> {
        self.verdicts.get(fingerprint).map(|it| it.expires).filter(|it| now < *it)
    }

    /// Returns whether a verdict is about to be decided.
    pub fn is_deciding(&self) -> bool {
        self.records.values().any(|it| it.pending.is_some())
    }

    /// Returns whether a target died while it ran a request with the fingerprint.
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.records.get(fingerprint).is_some_and(Record::is_suspect)
    }

    /// Returns whether requests with the fingerprint may not run on every target.
    pub fn is_restricted(&self, fingerprint: &Fingerprint) -> bool {
        self.records.get(fingerprint).is_some_and(Record::is_restricted)
    }

    /// Returns whether a request with the fingerprint may run on the target.
    pub fn may_run_on(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(record) = self.records.get(fingerprint) else { return true };
        if record.is_suspect() {
            return record.pending.is_none() && record.runs.len() < MAX_TARGETS;
        }
        !record.is_restricted() || record.runs.iter().any(|it| it.target == *target)
    }

    /// Returns whether a target died of the fingerprint while it ran on `target`.
    pub fn died_on(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(record) = self.records.get(fingerprint) else { return false };
        record.runs.iter().any(|it| it.died && it.target == *target)
    }

    /// Notes the start of an attempt.
    pub fn start(&mut self, fingerprint: &Fingerprint, target: &Name) {
        let record = self.records.entry(*fingerprint).or_default();
        match record.runs.iter_mut().find(|it| it.target == *target && !it.died) {
            Some(run) => run.in_flight += 1,
            None => {
                record.runs.push(Run::new(target.clone()));
                assert!(
                    record.proven || record.runs.len() <= MAX_TARGETS,
                    "an unproven request runs on at most {MAX_TARGETS} targets"
                );
            }
        }
    }

    /// Returns whether another target than this one died of the fingerprint. Otherwise it is a suspect only since the
    /// crash of this target, if at all, and explains that no better than every other request there.
    pub fn died_elsewhere(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(record) = self.records.get(fingerprint) else { return false };
        record.runs.iter().any(|it| it.died && it.target != *target)
    }

    /// Returns when it is decided at the latest whether the fingerprint is condemned, if that is open.
    pub fn decided_by(&self, fingerprint: &Fingerprint) -> Option<Timestamp> {
        let record = self.records.get(fingerprint)?;
        record.pending.as_ref().map(|it| record.decided_by(it))
    }

    /// Notes that a peer's attempt ended with the death of its target; returns whether that is news.
    pub fn import(&mut self, settings: &Settings, now: Timestamp, it: &Suspicion) -> bool {
        if self.verdict(&it.fingerprint, now).is_some() {
            return false;
        }
        if self.records.len() >= settings.max_verdicts
            && !self.records.contains_key(&it.fingerprint)
        {
            let idle = self.records.iter().position(|(_, it)| it.is_idle());
            let Some(idle) = idle else { return false };
            self.records.shift_remove_index(idle);
        }
        let record = self.records.entry(it.fingerprint).or_default();
        // A repeat may arrive when the death was found to prove nothing.
        let is_known = self.deaths.iter().any(|death| {
            death.fingerprint == it.fingerprint
                && death.target == it.target
                && now.since(death.at) < SAME_CRASH
        });
        if is_known || record.runs.iter().any(|run| run.died && run.target == it.target) {
            return false;
        }
        match record.runs.iter_mut().find(|run| run.target == it.target) {
            Some(run) => run.died = true,
            None => {
                let run = Run { in_flight: 0, died: true, ..Run::new(it.target.clone()) };
                record.runs.push(run);
            }
        }
        record.proven = false;
        record.expires = now + settings.verdict_expiry;
        true
    }

    /// Notes a death for the question who else was on the target, and starts the wait for a verdict after the second.
    pub fn note_death(&mut self, now: Timestamp, it: &Suspicion, note: DeathNote) {
        self.deaths.retain(|death| now.since(death.at) < SAME_CRASH * 2);
        self.deaths.push(Death {
            fingerprint: it.fingerprint,
            service: it.service.clone(),
            target: it.target.clone(),
            at: now,
        });
        let Some(record) = self.records.get_mut(&it.fingerprint) else { return };
        let died = record.runs.iter_mut().rfind(|run| run.died && run.target == it.target);
        if let (Some(run), true) = (died, note.is_registered) {
            (run.may_live, run.died_at) = (true, now);
            self.blamed.insert(it.target.clone());
        }
        if record.proofs() >= MAX_TARGETS && record.pending.is_none() {
            record.pending = Some(Pending {
                service: it.service.clone(),
                target: it.target.clone(),
                started: note.started,
                at: now,
                due: now + if note.started.is_some() { note.wait } else { VERDICT_PATIENCE },
                shared: note.shared,
            });
        }
    }

    /// Returns whether the death of the registered target counts against a request.
    pub fn is_blamed(&self, target: &Name) -> bool {
        self.blamed.contains(target)
    }

    /// Notes that the list of targets no longer names a target, which confirms its death.
    pub fn confirm_death(&mut self, now: Timestamp, target: &Name) {
        if !self.is_blamed(target) {
            return;
        }
        for record in self.records.values_mut() {
            record.confirm(now, target);
        }
    }

    /// Notes that a registered target lived at `alive_at`, so that no earlier death of it proves anything.
    ///
    /// Returns the fingerprints that this instance had condemned for such a death.
    pub fn refute_death(&mut self, target: &Name, alive_at: Timestamp) -> Vec<Fingerprint> {
        for record in self.records.values_mut() {
            record.acquit(|it| it.target == *target && it.died_at < alive_at);
        }
        self.records.retain(|_, it| !it.runs.is_empty() || it.pending.is_some());
        let is_refuted =
            |it: &Verdict| it.blamed.iter().any(|(name, at)| name == target && *at < alive_at);
        let refuted: Vec<_> = self.verdicts.extract_if(.., |_, it| is_refuted(it)).collect();
        self.forget_blame();
        refuted.into_iter().filter(|(_, it)| it.is_own).map(|(it, _)| it).collect()
    }

    /// Ends the waits for verdicts that are due; returns the condemned fingerprints.
    pub fn conclude(&mut self, settings: &Settings, now: Timestamp) -> Vec<Fingerprint> {
        let is_due = |it: &Record| it.pending.as_ref().is_some_and(|it| it.due <= now);
        let due = self.records.iter().filter(|(_, it)| is_due(it)).map(|(it, _)| *it);
        let (unproved, due): (Vec<_>, Vec<_>) = due.partition(|it| self.is_unproved(it));
        let (shared, condemned): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|it| self.is_shared(it));
        for fingerprint in unproved {
            let record = &mut self.records[&fingerprint];
            if record.pending.as_ref().is_some_and(|it| record.decided_by(it) <= now) {
                record.acquit(|it| it.may_live);
            }
        }
        for fingerprint in shared {
            let record = &mut self.records[&fingerprint];
            let Some(pending) = record.pending.take() else { continue };
            // The crash may be the other suspect's; another run alone brings the evidence.
            let last = record.runs.iter().rposition(|it| it.died && it.target == pending.target);
            let Some(last) = last else { continue };
            record.runs[last].died = false;
            record.runs[last].excused = true;
            record.runs.retain(|it| it.died || it.in_flight > 0);
        }
        for fingerprint in &condemned {
            let proofs = self.records.get(fingerprint).map_or(0, Record::proofs);
            assert!(proofs >= MAX_TARGETS, "a verdict needs {MAX_TARGETS} deaths");
            self.condemn(settings, now, *fingerprint);
            if let Some(verdict) = self.verdicts.get_mut(fingerprint) {
                verdict.is_own = true;
            }
            self.records.swap_remove(fingerprint);
        }
        condemned
    }

    /// Returns whether the verdict waits for the list of targets: this instance or a peer is to decide on it, and not all
    /// deaths are confirmed.
    fn is_unproved(&self, fingerprint: &Fingerprint) -> bool {
        let Some(record) = self.records.get(fingerprint) else { return false };
        let is_peers = record.pending.as_ref().is_some_and(|it| it.started.is_none());
        record.may_be_acquitted() && (is_peers || !self.is_shared(fingerprint))
    }

    /// Returns whether another suspect was on the target of the pending death.
    fn is_shared(&self, fingerprint: &Fingerprint) -> bool {
        let pending = self.records.get(fingerprint).and_then(|it| it.pending.as_ref());
        let Some(pending) = pending else { return false };
        let same_crash = |it: &&Death| {
            it.fingerprint != *fingerprint
                && it.service == pending.service
                && it.target == pending.target
                && pending.started.is_none_or(|started| it.at >= started)
                && it.at.since(pending.at).max(pending.at.since(it.at)) < SAME_CRASH
        };
        let mut same_crash = self.deaths.iter().filter(same_crash);
        pending.shared
            || pending.started.is_none()
            || same_crash.any(|it| self.died_elsewhere(&it.fingerprint, &pending.target))
    }

    /// Notes the end of an attempt.
    pub fn finish(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        fingerprint: &Fingerprint,
        target: &Name,
        end: RunEnd,
    ) -> Conclusion {
        let Some(record) = self.records.get_mut(fingerprint) else { return Conclusion::Open };
        let Some(run) = record.runs.iter_mut().find(|it| it.target == *target && it.in_flight > 0)
        else {
            return Conclusion::Open;
        };
        run.in_flight -= 1;
        // A peer may have reported the death first.
        let was_dead = run.died;
        let end = if run.excused { RunEnd::Neutral } else { end };
        match end {
            RunEnd::Completed if !run.died => {
                record.proven = true;
                record.runs.iter_mut().for_each(|it| it.died = false);
            }
            RunEnd::TargetDied | RunEnd::LeavingTargetDied => {
                run.died = true;
                run.was_leaving = end == RunEnd::LeavingTargetDied;
                record.proven = false;
                record.expires = now + settings.verdict_expiry;
            }
            RunEnd::Completed | RunEnd::Neutral => {}
        }
        record.runs.retain(|it| it.died || it.in_flight > 0);
        let deaths = record.runs.iter().filter(|it| it.died).count();
        let proofs = record.proofs();
        if deaths >= MAX_TARGETS && proofs < MAX_TARGETS {
            // A resend starts from the deaths that prove something.
            record.runs.retain(|it| !it.was_leaving);
        }
        if proofs < MAX_TARGETS {
            record.pending = None;
        }
        if record.runs.is_empty() {
            self.records.swap_remove(fingerprint);
        }
        if deaths >= MAX_TARGETS && proofs < MAX_TARGETS {
            Conclusion::Exhausted
        } else if end == RunEnd::TargetDied && !was_dead {
            Conclusion::Died
        } else {
            Conclusion::Open
        }
    }

    /// Adds a verdict; returns whether it is new.
    pub fn condemn(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        fingerprint: Fingerprint,
    ) -> bool {
        let is_new = self.verdict(&fingerprint, now).is_none();
        if self.verdicts.len() >= settings.max_verdicts && is_new {
            self.verdicts.shift_remove_index(0);
        }
        let died = self.records.get(&fingerprint).into_iter().flat_map(|it| &it.runs);
        let blamed = died.filter(|it| it.died && self.blamed.contains(&it.target));
        let verdict = Verdict {
            expires: now + settings.verdict_expiry,
            blamed: blamed.map(|it| (it.target.clone(), it.died_at)).collect(),
            is_own: false,
        };
        match self.verdicts.get_mut(&fingerprint) {
            // A repeat does not know more than the first message.
            Some(known) if !is_new => known.expires = verdict.expires,
            _ => {
                self.verdicts.insert(fingerprint, verdict);
            }
        }
        is_new
    }

    /// Forgets what has expired and, above the bound, the oldest suspicions without requests in flight.
    pub fn prune(&mut self, settings: &Settings, now: Timestamp) {
        self.verdicts.retain(|_, it| now < it.expires);
        self.records.retain(|_, it| !it.is_idle() || now < it.expires);
        let mut surplus = self.records.len().saturating_sub(settings.max_verdicts);
        self.records.retain(|_, it| {
            let drop = surplus > 0 && it.is_idle();
            surplus -= usize::from(drop);
            !drop
        });
        self.forget_blame();
    }

    /// Drops the targets whose deaths count no longer.
    fn forget_blame(&mut self) {
        let died = self.records.values().flat_map(|it| &it.runs).filter(|it| it.died);
        let died: BTreeSet<&Name> = died.map(|it| &it.target).collect();
        let verdicts = self.verdicts.values().flat_map(|it| &it.blamed);
        let blamed: BTreeSet<&Name> = verdicts.map(|it| &it.0).collect();
        self.blamed.retain(|it| died.contains(it) || blamed.contains(it));
    }
}

impl Run {
    fn new(target: Name) -> Self {
        Self {
            target,
            in_flight: 1,
            died: false,
            died_at: Timestamp::ZERO,
            may_live: false,
            was_leaving: false,
            excused: false,
        }
    }
}

impl Record {
    fn is_idle(&self) -> bool {
        self.pending.is_none() && self.runs.iter().all(|it| it.in_flight == 0)
    }

    /// Returns whether a target that died may live.
    fn may_be_acquitted(&self) -> bool {
        self.runs.iter().any(|it| it.died && it.may_live)
    }

    fn decided_by(&self, pending: &Pending) -> Timestamp {
        let patience = if self.may_be_acquitted() { CONFIRMATION_PATIENCE } else { Duration::ZERO };
        pending.due + patience
    }

    /// Notes that the target of a death is gone. The list may reach the instance that decides on the verdict later.
    fn confirm(&mut self, now: Timestamp, target: &Name) {
        let died = self.runs.iter_mut().filter(|it| it.died && it.target == *target);
        if died.map(|it| std::mem::take(&mut it.may_live)).fold(false, |any, it| any | it)
            && let Some(pending) = &mut self.pending
            && pending.started.is_none()
        {
            pending.due = pending.due.max(now + VERDICT_PATIENCE);
        }
    }

    /// Takes back the matching deaths.
    fn acquit(&mut self, matches: impl Fn(&Run) -> bool) {
        for run in self.runs.iter_mut().filter(|it| it.died && matches(it)) {
            (run.died, run.may_live) = (false, false);
        }
        self.runs.retain(|it| it.died || it.in_flight > 0);
        if self.proofs() < MAX_TARGETS {
            self.pending = None;
        }
    }

    /// Returns the deaths that no shutdown can explain.
    fn proofs(&self) -> usize {
        self.runs.iter().filter(|it| it.died && !it.was_leaving).count()
    }

    fn is_suspect(&self) -> bool {
        self.runs.iter().any(|it| it.died)
    }

    fn is_restricted(&self) -> bool {
        self.is_suspect() || (!self.proven && self.runs.len() >= MAX_TARGETS)
    }
}
