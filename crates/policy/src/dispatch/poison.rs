//! Detection of poison requests, which crash the targets that run them. Requests are recognised by fingerprint.
//!
//! A request that was in flight on a target when it died is a suspect. After two such deaths a verdict refuses every
//! request with the fingerprint.
//!
//! A broken connection cannot be told from the death of the target. Targets that register themselves do so under a
//! separate name for each incarnation, so for them the target list decides: the death of a listed target is no evidence
//! until the list drops the target. Once the target answers an attempt that started after the death, or returns to the
//! list, the death is discarded and the verdicts that rest on it are lifted.
//!
//! - `history`: the attempts of requests with one fingerprint.
//! - `verdicts`: the verdicts on fingerprints.

mod history;
mod verdicts;

use std::{collections::BTreeSet, time::Duration};

use fleet::QualifiedName;
use indexmap::IndexMap;
use stdx::{Name, Timestamp};

use super::{
    request::{Fingerprint, Suspicion},
    settings::Settings,
};
use history::{History, Incarnation, PendingVerdict, VERDICT_TIMEOUT};

/// The most targets that a request may run on until a request with its fingerprint completes; also the number of deaths
/// that a verdict requires.
pub(super) const MAX_TARGETS: usize = 2;

/// The attempts, target deaths and verdicts of requests, by fingerprint.
#[derive(Debug, Default)]
pub(super) struct PoisonTable {
    histories: IndexMap<Fingerprint, History>,
    verdicts: IndexMap<Fingerprint, Verdict>,
    /// The registered targets whose deaths count against a request. An answer of any other target needs no search of
    /// `histories` and `verdicts`.
    evidence_targets: BTreeSet<Name>,
    /// The deaths of the last `2 * SAME_CRASH_WINDOW`, which show which other requests were on a target when it died.
    deaths: Vec<Death>,
}

#[derive(Debug)]
struct Verdict {
    expires: Timestamp,
    /// The registered targets that died, with the times; an answer of any of them refutes the verdict.
    evidence: Vec<(Name, Timestamp)>,
    /// Whether this instance reached the verdict; otherwise a peer did.
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

/// Deaths reported on one target within this time belong to one crash. It is shorter than the first hold-down, so that
/// crashes of two successive incarnations of the target are told apart.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(250);
/// How an attempt ended, as evidence for or against its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    Completed,
    /// The end of the attempt is no evidence.
    Neutral,
    TargetDied,
    /// The connection to a leaving target broke.
    LeavingTargetDied,
}

/// The circumstances of a death, in addition to the [`Suspicion`].
#[derive(Debug, Clone, Copy)]
pub(super) struct DeathReport {
    /// The time that peers need to report other suspects on the target.
    pub report_wait: Duration,
    /// Whether another suspect is known to have been on the target.
    pub had_other_suspect: bool,
    /// When the attempt started; `None` if a peer made it.
    pub attempt_started: Option<Timestamp>,
    /// Whether the target registers itself.
    pub is_registered: bool,
}

/// What the end of an attempt means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptResult {
    /// The request may run again.
    Retryable,
    /// The request may not run on another target, but there are not enough deaths for a verdict.
    Exhausted,
    /// The target died, and no peer has reported it.
    NewDeath,
}

impl PoisonTable {
    /// Returns when the verdict on the fingerprint expires, if there is one.
    pub fn verdict(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<Timestamp> {
        self.verdicts.get(fingerprint).map(|it| it.expires).filter(|it| now < *it)
    }

    /// Returns whether a verdict on any fingerprint is pending.
    pub fn has_pending_verdict(&self) -> bool {
        self.histories.values().any(|it| it.pending.is_some())
    }

    /// Returns whether a target died while it ran a request with the fingerprint.
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.histories.get(fingerprint).is_some_and(History::is_suspect)
    }

    /// Returns whether requests with the fingerprint are excluded from some targets.
    pub fn is_restricted(&self, fingerprint: &Fingerprint) -> bool {
        self.histories.get(fingerprint).is_some_and(History::is_restricted)
    }

    /// Returns whether a request with the fingerprint may run on the target.
    pub fn may_run_on(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return true };
        if history.is_suspect() {
            return history.pending.is_none() && history.incarnations.len() < MAX_TARGETS;
        }
        !history.is_restricted() || history.incarnations.iter().any(|it| it.target == *target)
    }

    /// Returns whether `target` died while it ran a request with the fingerprint.
    pub fn has_death_on(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return false };
        history.incarnations.iter().any(|it| it.died && it.target == *target)
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&mut self, fingerprint: &Fingerprint, target: &Name) {
        let history = self.histories.entry(*fingerprint).or_default();
        match history.incarnations.iter_mut().find(|it| it.target == *target && !it.died) {
            Some(incarnation) => incarnation.in_flight += 1,
            None => {
                history.incarnations.push(Incarnation::new(target.clone()));
                assert!(
                    history.proven_safe || history.incarnations.len() <= MAX_TARGETS,
                    "a request runs on at most {MAX_TARGETS} targets before one with its fingerprint completes"
                );
            }
        }
    }

    /// Returns whether a target other than this one died while it ran a request with the fingerprint. If not, the request
    /// is at most a suspect because of this target's crash, which any other request on the target explains as well.
    pub fn has_death_elsewhere(&self, fingerprint: &Fingerprint, target: &Name) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return false };
        history.incarnations.iter().any(|it| it.died && it.target != *target)
    }

    /// Returns the latest time at which the pending verdict on the fingerprint is decided; `None` if none is pending.
    pub fn verdict_deadline(&self, fingerprint: &Fingerprint) -> Option<Timestamp> {
        let history = self.histories.get(fingerprint)?;
        history.pending.as_ref().map(|it| history.verdict_deadline(it))
    }

    /// Records that the target of a peer's attempt died; returns whether this was not known before.
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
        // A repeated report may arrive after the death was discarded as inconclusive.
        let is_known = self.deaths.iter().any(|death| {
            death.fingerprint == it.fingerprint
                && death.target == it.target
                && now.since(death.died_at) < SAME_CRASH_WINDOW
        });
        if is_known
            || history
                .incarnations
                .iter()
                .any(|incarnation| incarnation.died && incarnation.target == it.target)
        {
            return false;
        }
        match history.incarnations.iter_mut().find(|incarnation| incarnation.target == it.target) {
            Some(incarnation) => incarnation.died = true,
            None => {
                let incarnation =
                    Incarnation { in_flight: 0, died: true, ..Incarnation::new(it.target.clone()) };
                history.incarnations.push(incarnation);
            }
        }
        history.proven_safe = false;
        history.expires = now + settings.verdict_expiry;
        true
    }

    /// Records a death for later checks for other suspects on the target. After the second death of a fingerprint, starts
    /// the wait for the verdict.
    pub fn record_death(&mut self, now: Timestamp, it: &Suspicion, report: DeathReport) {
        self.deaths.retain(|death| now.since(death.died_at) < SAME_CRASH_WINDOW * 2);
        self.deaths.push(Death {
            fingerprint: it.fingerprint,
            service: it.service.clone(),
            target: it.target.clone(),
            died_at: now,
        });
        let Some(history) = self.histories.get_mut(&it.fingerprint) else { return };
        let died = history
            .incarnations
            .iter_mut()
            .rfind(|incarnation| incarnation.died && incarnation.target == it.target);
        if let (Some(incarnation), true) = (died, report.is_registered) {
            (incarnation.unconfirmed, incarnation.died_at) = (true, now);
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
                due_at: now + wait,
                had_other_suspect: report.had_other_suspect,
            });
        }
    }

    /// Returns whether the death of the registered target counts against a request.
    pub fn is_evidence_target(&self, target: &Name) -> bool {
        self.evidence_targets.contains(target)
    }

    /// Records that the target list no longer names a target, which confirms its death.
    pub fn confirm_death(&mut self, now: Timestamp, target: &Name) {
        if !self.is_evidence_target(target) {
            return;
        }
        for history in self.histories.values_mut() {
            history.confirm_death(now, target);
        }
    }

    /// Records the end of an attempt.
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
        let Some(incarnation) =
            history.incarnations.iter_mut().find(|it| it.target == *target && it.in_flight > 0)
        else {
            return AttemptResult::Retryable;
        };
        incarnation.in_flight -= 1;
        // A peer may have reported the death first.
        let was_dead = incarnation.died;
        let end = if incarnation.inconclusive { AttemptEnd::Neutral } else { end };
        match end {
            AttemptEnd::Completed if !incarnation.died => {
                history.proven_safe = true;
                history.incarnations.iter_mut().for_each(|it| it.died = false);
            }
            AttemptEnd::TargetDied | AttemptEnd::LeavingTargetDied => {
                incarnation.died = true;
                incarnation.was_leaving = end == AttemptEnd::LeavingTargetDied;
                history.proven_safe = false;
                history.expires = now + settings.verdict_expiry;
            }
            AttemptEnd::Completed | AttemptEnd::Neutral => {}
        }
        history.incarnations.retain(|it| it.died || it.in_flight > 0);
        let deaths = history.incarnations.iter().filter(|it| it.died).count();
        let conclusive = history.conclusive_deaths();
        if deaths >= MAX_TARGETS && conclusive < MAX_TARGETS {
            // Only the conclusive deaths are kept, so that they alone count when the caller sends the request again.
            history.incarnations.retain(|it| !it.was_leaving);
        }
        if conclusive < MAX_TARGETS {
            history.pending = None;
        }
        if history.incarnations.is_empty() {
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

    /// Removes expired entries and, above `max_verdicts`, the oldest histories without requests in flight.
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

    /// Drops the targets whose deaths are no longer evidence in any history or verdict.
    fn prune_evidence_targets(&mut self) {
        let died = self.histories.values().flat_map(|it| &it.incarnations).filter(|it| it.died);
        let died: BTreeSet<&Name> = died.map(|it| &it.target).collect();
        let verdicts = self.verdicts.values().flat_map(|it| &it.evidence);
        let evidence: BTreeSet<&Name> = verdicts.map(|it| &it.0).collect();
        self.evidence_targets.retain(|it| died.contains(it) || evidence.contains(it));
    }
}
