//! Verdicts on fingerprints: when one is reached, which deaths it rests on, and what refutes it.

use stdx::{Name, Timestamp};

use super::{Death, MAX_TARGETS, PoisonTable, SAME_CRASH_WINDOW, Verdict, history::History};
use crate::dispatch::{request::Fingerprint, settings::Settings};

impl PoisonTable {
    /// Discards the deaths of a registered target before `alive_at`, a time at which it was alive, and removes the verdicts
    /// that rest on them.
    ///
    /// Returns the fingerprints of the removed verdicts that this instance had reached.
    pub fn refute_death(&mut self, target: &Name, alive_at: Timestamp) -> Vec<Fingerprint> {
        for history in self.histories.values_mut() {
            history.discard_deaths(|it| it.target == *target && it.died_at < alive_at);
        }
        self.histories.retain(|_, it| !it.incarnations.is_empty() || it.pending.is_some());
        let is_refuted =
            |it: &Verdict| it.evidence.iter().any(|(name, at)| name == target && *at < alive_at);
        let refuted: Vec<_> = self.verdicts.extract_if(.., |_, it| is_refuted(it)).collect();
        self.prune_evidence_targets();
        refuted.into_iter().filter(|(_, it)| it.is_own).map(|(it, _)| it).collect()
    }

    /// Decides the pending verdicts that are due; returns the fingerprints found to be poison.
    pub fn decide_verdicts(&mut self, settings: &Settings, now: Timestamp) -> Vec<Fingerprint> {
        let is_due = |it: &History| it.pending.as_ref().is_some_and(|it| it.due_at <= now);
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
            self.histories[&fingerprint].set_inconclusive();
        }
        for fingerprint in &poison {
            let conclusive = self.histories.get(fingerprint).map_or(0, History::conclusive_deaths);
            assert!(
                conclusive >= MAX_TARGETS,
                "a verdict requires {MAX_TARGETS} conclusive deaths"
            );
            self.add_verdict(settings, now, *fingerprint);
            if let Some(verdict) = self.verdicts.get_mut(fingerprint) {
                verdict.is_own = true;
            }
            self.histories.swap_remove(fingerprint);
        }
        poison
    }

    /// Returns whether the pending verdict waits for the target list: a death is not confirmed yet, and either a peer
    /// decides or this instance knows of no other suspect on the target.
    fn awaits_confirmation(&self, fingerprint: &Fingerprint) -> bool {
        let Some(history) = self.histories.get(fingerprint) else { return false };
        let is_decided_by_peer =
            history.pending.as_ref().is_some_and(|it| it.attempt_started.is_none());
        history.has_unconfirmed_death()
            && (is_decided_by_peer || !self.had_other_suspect(fingerprint))
    }

    /// Returns whether another suspect was on the target of the pending verdict. This is assumed if a peer decides on the
    /// verdict, because the peer sends none in that case.
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
        let died = self.histories.get(&fingerprint).into_iter().flat_map(|it| &it.incarnations);
        let evidence = died.filter(|it| it.died && self.evidence_targets.contains(&it.target));
        let verdict = Verdict {
            expires: now + settings.verdict_expiry,
            evidence: evidence.map(|it| (it.target.clone(), it.died_at)).collect(),
            is_own: false,
        };
        match self.verdicts.get_mut(&fingerprint) {
            // A repeated message carries no new evidence.
            Some(known) if !is_new => known.expires = verdict.expires,
            _ => {
                self.verdicts.insert(fingerprint, verdict);
            }
        }
        is_new
    }
}
