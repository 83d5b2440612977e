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
    histories: IndexMap<Fingerprint, History>,
    verdicts: IndexMap<Fingerprint, Verdict>,
    /// The registered targets whose deaths count against a request, so that other answers cost no search.
    evidence_targets: BTreeSet<Name>,
    /// The deaths of the last moments, which tell who else was on a target when it died.
    deaths: Vec<Death>,
}

#[derive(Debug)]
struct Verdict {
    expires: Timestamp,
    /// The registered targets that died, by one of whose answers the verdict is refuted.
    evidence: Vec<(Name, Timestamp)>,
    /// Whether this instance reached the verdict, and not a peer.
    is_own: bool,
}

/// A request that was in flight on a target that died.
#[derive(Debug)]
struct Death {
    fingerprint: Fingerprint,
    service: QualifiedName,
    target: Name,
    died_at: Timestamp,
}

/// A death that leads to a verdict, unless it turns out that another suspect was on the target.
#[derive(Debug)]
struct PendingVerdict {
    service: QualifiedName,
    target: Name,
    /// When the attempt started, if this instance made it and so decides on the verdict; earlier deaths on the target are of another crash.
    attempt_started: Option<Timestamp>,
    died_at: Timestamp,
    due: Timestamp,
    /// Whether another suspect is known to have been on the target.
    had_other_suspect: bool,
}

/// Deaths on one target within this time are those of one crash. It is shorter than the first hold-down, so that
/// deaths of two lives are told apart.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(250);
/// How long the verdict of the instance that saw the second death is awaited. Without one the death proves nothing: the
/// instance found another suspect there, or it is lost, which can cost another target.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after the wait for peers a death must be confirmed by the list of targets. A target that is gone is dropped
/// from it after three heartbeats of 1.2 s; the rest is for the list to arrive.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The attempts of requests with one fingerprint.
#[derive(Debug, Default)]
struct History {
    runs: Vec<Run>,
    /// Whether a request with the fingerprint completed while the record existed and no target died since.
    proven_safe: bool,
    expires: Timestamp,
    pending: Option<PendingVerdict>,
}

/// Attempts on one life of one target.
#[derive(Debug)]
struct Run {
    target: Name,
    in_flight: u32,
    died: bool,
    died_at: Timestamp,
    /// Whether the list of targets still names the target that died, so that it may live.
    unconfirmed: bool,
    /// Whether the target was leaving when it died, so that its end may have been a shutdown that took too long.
    was_leaving: bool,
    /// Whether the target died under the attempts in flight of another suspect as well, so that their end proves nothing.
    inconclusive: bool,
}

/// How an attempt ended, as far as suspicion goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    Completed,
    /// The attempt says nothing about the request.
    Neutral,
    TargetDied,
    /// The connection to a leaving target broke.
    LeavingTargetDied,
}

/// What is known about a death besides whose it is.
#[derive(Debug, Clone, Copy)]
pub(super) struct DeathReport {
    /// The time that peers need to report who else was on the target.
    pub report_wait: Duration,
    /// Whether another suspect is known to have been on the target.
    pub had_other_suspect: bool,
    /// When the attempt started; `None` if a peer made it.
    pub attempt_started: Option<Timestamp>,
    /// Whether the target registers itself.
    pub is_registered: bool,
}

/// What the end of an attempt means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptResult {
    /// The request may run again.
    Retryable,
    /// The request may run on no other target, but is not proven to kill targets.
    Exhausted,
    /// The target died, which peers have not heard of.
    NewDeath,
}

impl PoisonTable {
    /// Returns when the verdict on the fingerprint expires, if there is one.
    pub fn verdict(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<Timestamp> {
        self.verdicts.get(fingerprint).map(|it| it.expires).filter(|it| now < *it)
    }

    /// Returns whether a verdict is about to be decided.
    pub fn has_pending_verdict(&self) -> bool {
        self.histories.values().any(|it| it.pending.is_some())
    }

    /// Returns whether a target died while it ran a request with the fingerprint.
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.histories.get(fingerprint).is_some_and(History::is_suspect)
    }

    /// Returns whether requests with the fingerprint may not run on every target.
    pub fn is_restricted(&self, fingerprint: &Fingerprint) -> bool {
        self.histories.get(fingerprint).is_some_and(History::is_restricted)
    }

    /// Returns whether a request with the fingerprint may run on the target.
    pub fn may_run_on(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return true };
        if history.is_suspect() {
            return history.pending.is_none() && history.runs.len() < MAX_TARGETS;
        }
        !history.is_restricted() || history.runs.iter().any(|it| it.target == *target)
    }

    /// Returns whether a target died of the fingerprint while it ran on `target`.
    pub fn has_death_on(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return false };
        history.runs.iter().any(|it| it.died && it.target == *target)
    }

    /// Notes the start of an attempt.
    pub fn start_attempt(&mut self, fingerprint: &Fingerprint, target: &Name) {
        let history = self.histories.entry(*fingerprint).or_default();
        match history.runs.iter_mut().find(|it| it.target == *target && !it.died) {
            Some(run) => run.in_flight += 1,
            None => {
                history.runs.push(Run::new(target.clone()));
                assert!(
                    history.proven_safe || history.runs.len() <= MAX_TARGETS,
                    "an unproven request runs on at most {MAX_TARGETS} targets"
                );
            }
        }
    }

    /// Returns whether another target than this one died of the fingerprint. Otherwise it is a suspect only since the
    /// crash of this target, if at all, and explains that no better than every other request there.
    pub fn has_death_elsewhere(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return false };
        history.runs.iter().any(|it| it.died && it.target != *target)
    }

    /// Returns when it is decided at the latest whether the fingerprint is condemned, if that is open.
    pub fn verdict_deadline(&self, fingerprint: &Fingerprint) -> Option<Timestamp> {
        let history = self.histories.get(fingerprint)?;
        history.pending.as_ref().map(|it| history.verdict_deadline(it))
    }

    /// Notes that a peer's attempt ended with the death of its target; returns whether that is news.
    pub fn import_suspicion(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        it: &Suspicion,
    ) -> bool {
        if self.verdict(&it.fingerprint, now).is_some() {
            return false;
        }
        if self.histories.len() >= settings.max_verdicts
            && !self.histories.contains_key(&it.fingerprint)
        {
            let idle = self.histories.iter().position(|(_, it)| it.is_idle());
            let Some(idle) = idle else { return false };
            self.histories.shift_remove_index(idle);
        }
        let history = self.histories.entry(it.fingerprint).or_default();
        // A repeat may arrive when the death was found to prove nothing.
        let is_known = self.deaths.iter().any(|death| {
            death.fingerprint == it.fingerprint
                && death.target == it.target
                && now.since(death.died_at) < SAME_CRASH_WINDOW
        });
        if is_known || history.runs.iter().any(|run| run.died && run.target == it.target) {
            return false;
        }
        match history.runs.iter_mut().find(|run| run.target == it.target) {
            Some(run) => run.died = true,
            None => {
                let run = Run { in_flight: 0, died: true, ..Run::new(it.target.clone()) };
                history.runs.push(run);
            }
        }
        history.proven_safe = false;
        history.expires = now + settings.verdict_expiry;
        true
    }

    /// Notes a death for the question who else was on the target, and starts the wait for a verdict after the second.
    pub fn record_death(&mut self, now: Timestamp, it: &Suspicion, report: DeathReport) {
        self.deaths.retain(|death| now.since(death.died_at) < SAME_CRASH_WINDOW * 2);
        self.deaths.push(Death {
            fingerprint: it.fingerprint,
            service: it.service.clone(),
            target: it.target.clone(),
            died_at: now,
        });
        let Some(history) = self.histories.get_mut(&it.fingerprint) else { return };
        let died = history.runs.iter_mut().rfind(|run| run.died && run.target == it.target);
        if let (Some(run), true) = (died, report.is_registered) {
            (run.unconfirmed, run.died_at) = (true, now);
            self.evidence_targets.insert(it.target.clone());
        }
        if history.conclusive_deaths() >= MAX_TARGETS && history.pending.is_none() {
            let is_own = report.attempt_started.is_some();
            let wait = if is_own { report.report_wait } else { VERDICT_TIMEOUT };
            history.pending = Some(PendingVerdict {
                service: it.service.clone(),
                target: it.target.clone(),
                attempt_started: report.attempt_started,
                died_at: now,
                due: now + wait,
                had_other_suspect: report.had_other_suspect,
            });
        }
    }

    /// Returns whether the death of the registered target counts against a request.
    pub fn is_evidence_target(&self, target: &Name) -> bool {
        self.evidence_targets.contains(target)
    }

    /// Notes that the list of targets no longer names a target, which confirms its death.
    pub fn confirm_death(&mut self, now: Timestamp, target: &Name) {
        if !self.is_evidence_target(target) {
            return;
        }
        for history in self.histories.values_mut() {
            history.confirm_death(now, target);
        }
    }

    /// Notes that a registered target lived at `alive_at`, so that no earlier death of it proves anything.
    ///
    /// Returns the fingerprints that this instance had condemned for such a death.
    pub fn refute_death(&mut self, target: &Name, alive_at: Timestamp) -> Vec<Fingerprint> {
        for history in self.histories.values_mut() {
            history.discard_deaths(|it| it.target == *target && it.died_at < alive_at);
        }
        self.histories.retain(|_, it| !it.runs.is_empty() || it.pending.is_some());
        let is_refuted =
            |it: &Verdict| it.evidence.iter().any(|(name, at)| name == target && *at < alive_at);
        let refuted: Vec<_> = self.verdicts.extract_if(.., |_, it| is_refuted(it)).collect();
        self.prune_evidence_targets();
        refuted.into_iter().filter(|(_, it)| it.is_own).map(|(it, _)| it).collect()
    }

    /// Ends the waits for verdicts that are due; returns the condemned fingerprints.
    pub fn decide_verdicts(&mut self, settings: &Settings, now: Timestamp) -> Vec<Fingerprint> {
        let is_due = |it: &History| it.pending.as_ref().is_some_and(|it| it.due <= now);
        let due = self.histories.iter().filter(|(_, it)| is_due(it)).map(|(it, _)| *it);
        let (unconfirmed, due): (Vec<_>, Vec<_>) = due.partition(|it| self.awaits_confirmation(it));
        let (inconclusive, poison): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|it| self.had_other_suspect(it));
        for fingerprint in unconfirmed {
            let history = &mut self.histories[&fingerprint];
            if history.pending.as_ref().is_some_and(|it| history.verdict_deadline(it) <= now) {
                history.discard_deaths(|it| it.unconfirmed);
            }
        }
        for fingerprint in inconclusive {
            let history = &mut self.histories[&fingerprint];
            let Some(pending) = history.pending.take() else { continue };
            // The crash may be the other suspect's; another run alone brings the evidence.
            let last = history.runs.iter().rposition(|it| it.died && it.target == pending.target);
            let Some(last) = last else { continue };
            history.runs[last].died = false;
            history.runs[last].inconclusive = true;
            history.runs.retain(|it| it.died || it.in_flight > 0);
        }
        for fingerprint in &poison {
            let conclusive = self.histories.get(fingerprint).map_or(0, History::conclusive_deaths);
            assert!(conclusive >= MAX_TARGETS, "a verdict needs {MAX_TARGETS} deaths");
            self.add_verdict(settings, now, *fingerprint);
            if let Some(verdict) = self.verdicts.get_mut(fingerprint) {
                verdict.is_own = true;
            }
            self.histories.swap_remove(fingerprint);
        }
        poison
    }

    /// Returns whether the verdict waits for the list of targets: this instance or a peer is to decide on it, and not all
    /// deaths are confirmed.
    fn awaits_confirmation(&self, fingerprint: &Fingerprint) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return false };
        let is_decided_by_peer =
            history.pending.as_ref().is_some_and(|it| it.attempt_started.is_none());
        history.has_unconfirmed_death()
            && (is_decided_by_peer || !self.had_other_suspect(fingerprint))
    }

    /// Returns whether another suspect was on the target of the pending death.
    fn had_other_suspect(&self, fingerprint: &Fingerprint) -> bool {
        let pending = self.histories.get(fingerprint).and_then(|it| it.pending.as_ref());
        let Some(pending) = pending else { return false };
        let same_crash = |it: &&Death| {
            it.fingerprint != *fingerprint
                && it.service == pending.service
                && it.target == pending.target
                && pending.attempt_started.is_none_or(|started| it.died_at >= started)
                && it.died_at.since(pending.died_at).max(pending.died_at.since(it.died_at))
                    < SAME_CRASH_WINDOW
        };
        let mut same_crash = self.deaths.iter().filter(same_crash);
        pending.had_other_suspect
            || pending.attempt_started.is_none()
            || same_crash.any(|it| self.has_death_elsewhere(&it.fingerprint, &pending.target))
    }

    /// Notes the end of an attempt.
    pub fn end_attempt(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        fingerprint: &Fingerprint,
        target: &Name,
        end: AttemptEnd,
    ) -> AttemptResult {
        let Some(history) = self.histories.get_mut(fingerprint) else {
            return AttemptResult::Retryable;
        };
        let Some(run) = history.runs.iter_mut().find(|it| it.target == *target && it.in_flight > 0)
        else {
            return AttemptResult::Retryable;
        };
        run.in_flight -= 1;
        // A peer may have reported the death first.
        let was_dead = run.died;
        let end = if run.inconclusive { AttemptEnd::Neutral } else { end };
        match end {
            AttemptEnd::Completed if !run.died => {
                history.proven_safe = true;
                history.runs.iter_mut().for_each(|it| it.died = false);
            }
            AttemptEnd::TargetDied | AttemptEnd::LeavingTargetDied => {
                run.died = true;
                run.was_leaving = end == AttemptEnd::LeavingTargetDied;
                history.proven_safe = false;
                history.expires = now + settings.verdict_expiry;
            }
            AttemptEnd::Completed | AttemptEnd::Neutral => {}
        }
        history.runs.retain(|it| it.died || it.in_flight > 0);
        let deaths = history.runs.iter().filter(|it| it.died).count();
        let conclusive = history.conclusive_deaths();
        if deaths >= MAX_TARGETS && conclusive < MAX_TARGETS {
            // A resend starts from the deaths that prove something.
            history.runs.retain(|it| !it.was_leaving);
        }
        if conclusive < MAX_TARGETS {
            history.pending = None;
        }
        if history.runs.is_empty() {
            self.histories.swap_remove(fingerprint);
        }
        if deaths >= MAX_TARGETS && conclusive < MAX_TARGETS {
            AttemptResult::Exhausted
        } else if end == AttemptEnd::TargetDied && !was_dead {
            AttemptResult::NewDeath
        } else {
            AttemptResult::Retryable
        }
    }

    /// Adds a verdict; returns whether it is new.
    pub fn add_verdict(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        fingerprint: Fingerprint,
    ) -> bool {
        let is_new = self.verdict(&fingerprint, now).is_none();
        if self.verdicts.len() >= settings.max_verdicts && is_new {
            self.verdicts.shift_remove_index(0);
        }
        let died = self.histories.get(&fingerprint).into_iter().flat_map(|it| &it.runs);
        let evidence = died.filter(|it| it.died && self.evidence_targets.contains(&it.target));
        let verdict = Verdict {
            expires: now + settings.verdict_expiry,
            evidence: evidence.map(|it| (it.target.clone(), it.died_at)).collect(),
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
        self.histories.retain(|_, it| !it.is_idle() || now < it.expires);
        let mut surplus = self.histories.len().saturating_sub(settings.max_verdicts);
        self.histories.retain(|_, it| {
            let drop = surplus > 0 && it.is_idle();
            surplus -= usize::from(drop);
            !drop
        });
        self.prune_evidence_targets();
    }

    /// Drops the targets whose deaths count no longer.
    fn prune_evidence_targets(&mut self) {
        let died = self.histories.values().flat_map(|it| &it.runs).filter(|it| it.died);
        let died: BTreeSet<&Name> = died.map(|it| &it.target).collect();
        let verdicts = self.verdicts.values().flat_map(|it| &it.evidence);
        let evidence: BTreeSet<&Name> = verdicts.map(|it| &it.0).collect();
        self.evidence_targets.retain(|it| died.contains(it) || evidence.contains(it));
    }
}

impl Run {
    fn new(target: Name) -> Self {
        Self {
            target,
            in_flight: 1,
            died: false,
            died_at: Timestamp::ZERO,
            unconfirmed: false,
            was_leaving: false,
            inconclusive: false,
        }
    }
}

impl History {
    fn is_idle(&self) -> bool {
        self.pending.is_none() && self.runs.iter().all(|it| it.in_flight == 0)
    }

    /// Returns whether a target that died may live.
    fn has_unconfirmed_death(&self) -> bool {
        self.runs.iter().any(|it| it.died && it.unconfirmed)
    }

    fn verdict_deadline(&self, pending: &PendingVerdict) -> Timestamp {
        let timeout =
            if self.has_unconfirmed_death() { CONFIRMATION_TIMEOUT } else { Duration::ZERO };
        pending.due + timeout
    }

    /// Notes that the target of a death is gone. The list may reach the instance that decides on the verdict later.
    fn confirm_death(&mut self, now: Timestamp, target: &Name) {
        let died = self.runs.iter_mut().filter(|it| it.died && it.target == *target);
        if died.map(|it| std::mem::take(&mut it.unconfirmed)).fold(false, |any, it| any | it)
            && let Some(pending) = &mut self.pending
            && pending.attempt_started.is_none()
        {
            pending.due = pending.due.max(now + VERDICT_TIMEOUT);
        }
    }

    /// Takes back the matching deaths.
    fn discard_deaths(&mut self, matches: impl Fn(&Run) -> bool) {
        for run in self.runs.iter_mut().filter(|it| it.died && matches(it)) {
            (run.died, run.unconfirmed) = (false, false);
        }
        self.runs.retain(|it| it.died || it.in_flight > 0);
        if self.conclusive_deaths() < MAX_TARGETS {
            self.pending = None;
        }
    }

    /// Returns the deaths that no shutdown can explain.
    fn conclusive_deaths(&self) -> usize {
        self.runs.iter().filter(|it| it.died && !it.was_leaving).count()
    }

    fn is_suspect(&self) -> bool {
        self.runs.iter().any(|it| it.died)
    }

    fn is_restricted(&self) -> bool {
        self.is_suspect() || (!self.proven_safe && self.runs.len() >= MAX_TARGETS)
    }
}
