//! Messages between this instance and its peers about suspects: claims, deaths and verdicts.

use std::time::Duration;

use fleet::QualifiedName;
use stdx::{Name, Timestamp};

use super::{
    claims::{CLAIM_REPEAT, CLAIM_TIMEOUT, CLAIM_WAIT, RUN_REPEAT},
    dispatcher::Dispatcher,
    poison::DeathReport,
    request::{Action, Claim, ClaimState, Class, Fingerprint, Suspicion},
    service::{HeldRequest, Phase},
    settings::Settings,
    target::Target,
};

impl Dispatcher {
    /// Returns whether no other suspect is known to be on the target, and no other run of the fingerprint on any target.
    pub(super) fn is_clear_of_suspects(
        &self,
        now: Timestamp,
        held: &HeldRequest,
        target: &Target,
    ) -> bool {
        let fingerprint = &held.request.fingerprint;
        let service = &held.request.service;
        let own = self.claims.own_claim(fingerprint);
        let announced_by = own.map(|_| &self.settings.instance);
        let claimed = self.claims.own_claims().any(|(other, it)| {
            other != fingerprint && it.service == *service && it.target == target.info.name
        });
        target.own.suspects + target.peers.suspects == 0
            && !claimed
            && !self.claims.is_blocked_by_peer(
                now,
                fingerprint,
                service,
                &target.info.name,
                announced_by,
            )
            && !self.has_suspect_in_flight(held.service, &target.info.name, |_| true)
    }

    /// Claims the run of a suspect, and starts it at once if there are no peers.
    pub(super) fn claim_run(&mut self, now: Timestamp, id: u64, target: Name) {
        let request = &self.requests[&id].request;
        let destination = (request.service.clone(), target);
        let wait = self.claim_wait();
        let claim = self.claims.announce(now, request.fingerprint, destination, id, wait);
        self.actions.push(Action::ShareClaim { to: None, claim });
        self.place_claimed(now, id);
    }

    /// Starts the claimed run of a suspect if it is due, or withdraws the claim if the target cannot take it.
    pub(super) fn place_claimed(&mut self, now: Timestamp, id: u64) {
        let held = &self.requests[&id];
        let fingerprint = held.request.fingerprint;
        let Some(claim) = self.claims.own_claim(&fingerprint) else { return };
        let (target, due_at) = (claim.target.clone(), claim.due_at);
        let on = self.services[held.service].targets.get(&target);
        let on = on.filter(|it| it.takes_work() && self.may_run(now, held, it));
        match on {
            Some(_) if now < due_at => {}
            Some(on) if may_start(now, &self.settings, held, on) => self.dispatch(now, id, target),
            Some(on) if now < due_at + CLAIM_TIMEOUT => {
                if held.class() == Class::Online && on.stopping == 0 {
                    self.stop_newest_batch(held.service, &target);
                }
            }
            _ => self.withdraw_claim(now, &fingerprint, id),
        }
    }

    /// Handles a claim of a peer.
    pub(super) fn on_claim(&mut self, now: Timestamp, peer: Name, claim: &Claim) {
        self.claims.record_peer_claim(now, peer.clone(), claim, self.settings.max_verdicts);
        if claim.state != ClaimState::Ended
            && self.poison.verdict(&claim.fingerprint, now).is_some()
        {
            self.actions.push(Action::RepeatVerdict {
                to: Some(peer.clone()),
                fingerprint: claim.fingerprint,
            });
        }
        for (fingerprint, own) in self.claims.conflicts(claim) {
            let own_has_priority =
                own.state == ClaimState::Running || self.settings.instance < peer;
            match claim.state {
                ClaimState::Ended => {}
                ClaimState::Announced if own_has_priority => {
                    self.actions.push(Action::ShareClaim { to: Some(peer.clone()), claim: own });
                }
                // After a partition, two runs may be in flight at once; both continue.
                _ if own.state == ClaimState::Running => {}
                _ => {
                    let id = self.claims.own_claim(&fingerprint).expect("the claim exists").id;
                    self.withdraw_claim(now, &fingerprint, id);
                }
            }
        }
        if claim.state == ClaimState::Announced {
            self.announce_runs(Some(&peer), |it| {
                it.fingerprint == claim.fingerprint
                    || (it.service == claim.service && it.target == claim.target)
            });
        }
        self.schedule_claimed_service(now, claim);
    }

    /// Handles a death that a peer observed.
    pub(super) fn on_suspicion(&mut self, now: Timestamp, suspicion: &Suspicion) {
        let is_new = self.poison.import_suspicion(&self.settings, now, suspicion);
        if is_new {
            let had_other_suspect = self.has_other_suspect(now, suspicion);
            let is_registered = self.is_registered(&suspicion.service, &suspicion.target);
            let report = DeathReport {
                report_wait: self.claim_wait(),
                had_other_suspect,
                attempt_started: None,
                is_registered,
            };
            self.poison.record_death(now, suspicion, report);
            // Copies of the request in flight here started without a claim, because they were no suspects then.
            self.announce_runs(None, |it| it.fingerprint == suspicion.fingerprint);
        }
    }

    /// Records that a target died while it ran a request of this instance, and tells peers.
    pub(super) fn report_target_death(
        &mut self,
        now: Timestamp,
        service: usize,
        target: &Name,
        fingerprint: Fingerprint,
        attempt_started: Timestamp,
    ) {
        let service = self.services[service].name.clone();
        let suspicion = Suspicion { fingerprint, service, target: target.clone() };
        let had_other_suspect = self.has_other_suspect(now, &suspicion);
        let is_registered = self.is_registered(&suspicion.service, target);
        let report = DeathReport {
            report_wait: self.claim_wait(),
            had_other_suspect,
            attempt_started: Some(attempt_started),
            is_registered,
        };
        self.poison.record_death(now, &suspicion, report);
        let action = Action::ShareSuspicion(suspicion);
        self.pending_repeats.push((now + CLAIM_REPEAT, action.clone()));
        self.actions.push(action);
    }

    /// Decides the pending verdicts that are due, and refuses the requests found to be poison.
    pub(super) fn decide_verdicts(&mut self, now: Timestamp) -> Vec<Fingerprint> {
        let poison = self.poison.decide_verdicts(&self.settings, now);
        for fingerprint in poison.iter().copied() {
            self.actions.push(Action::ShareVerdict { fingerprint });
            let again = Action::RepeatVerdict { to: None, fingerprint };
            self.pending_repeats.push((now + CLAIM_REPEAT, again));
            self.refuse_fingerprint(now, &fingerprint);
        }
        poison
    }

    /// Handles evidence that a target was alive at `since` or later: an answer to an attempt that started then, or the
    /// target's return to the list.
    pub(super) fn on_target_alive(
        &mut self,
        now: Timestamp,
        service: usize,
        target: &Name,
        since: Timestamp,
    ) {
        if !self.poison.is_evidence_target(target) {
            return;
        }
        for fingerprint in self.poison.refute_death(target, since) {
            self.actions.push(Action::LiftVerdict { fingerprint });
        }
        self.schedule(now, service);
    }

    /// Ends the claim of a request, if it has one.
    pub(super) fn end_claim(&mut self, fingerprint: &Fingerprint, id: u64) {
        if let Some(claim) = self.claims.end(fingerprint, id) {
            self.actions.push(Action::ShareClaim { to: None, claim });
        }
    }

    /// Tells peers that a run which was announced without a claim has ended.
    pub(super) fn end_announced_run(
        &mut self,
        service: usize,
        target: &Name,
        fingerprint: Fingerprint,
    ) {
        let (service, target) = (self.services[service].name.clone(), target.clone());
        let claim = Claim { fingerprint, service, target, state: ClaimState::Ended };
        self.actions.push(Action::ShareClaim { to: None, claim });
    }

    /// Decides the verdicts that are due, and repeats messages that peers may have missed.
    pub(super) fn perform_due_suspect_work(&mut self, now: Timestamp) {
        self.decide_verdicts(now);
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_repeats).into_iter().partition(|(at, _)| *at <= now);
        self.pending_repeats = later;
        self.actions.extend(due.into_iter().map(|(_, action)| action));
        let claims = self.claims.take_repeats(now);
        let share = |claim| Action::ShareClaim { to: None, claim };
        self.actions.extend(claims.into_iter().map(share));
        if now.since(self.last_run_announcement) >= RUN_REPEAT {
            self.last_run_announcement = now;
            self.announce_runs(None, |_| true);
        }
    }

    /// Returns the time that peers need to receive a message and to answer it; zero without peers.
    fn claim_wait(&self) -> Duration {
        if self.peers.is_empty() && self.linked_peers.is_empty() {
            Duration::ZERO
        } else {
            CLAIM_WAIT
        }
    }

    /// Returns whether the target list names the target as registered.
    fn is_registered(&self, service: &QualifiedName, target: &Name) -> bool {
        let on = self.services.get(service).and_then(|it| it.targets.get(target));
        on.is_some_and(|it| it.listed && it.info.registered)
    }

    fn withdraw_claim(&mut self, now: Timestamp, fingerprint: &Fingerprint, id: u64) {
        self.end_claim(fingerprint, id);
        self.claims.back_off(now, &mut self.rng, *fingerprint);
    }

    /// Announces the matching runs of suspects that started without a claim, because the requests were no suspects then.
    fn announce_runs(&mut self, to: Option<&Name>, matches: impl Fn(&Claim) -> bool) {
        let runs = self.requests.values().filter_map(|held| {
            let Phase::InFlight { target, as_suspect: false, .. } = &held.phase else {
                return None;
            };
            let fingerprint = held.request.fingerprint;
            self.poison.has_death_elsewhere(&fingerprint, target).then(|| Claim {
                fingerprint,
                service: held.request.service.clone(),
                target: target.clone(),
                state: ClaimState::Running,
            })
        });
        let runs: Vec<_> = runs
            .filter(matches)
            .map(|claim| Action::ShareClaim { to: to.cloned(), claim })
            .collect();
        self.actions.extend(runs);
    }

    /// Returns whether a matching suspect of this instance is in flight on the target.
    fn has_suspect_in_flight(
        &self,
        service: usize,
        target: &Name,
        matches: impl Fn(&Fingerprint) -> bool,
    ) -> bool {
        self.requests.values().any(|it| {
            let Phase::InFlight { target: on, .. } = &it.phase else { return false };
            let fingerprint = &it.request.fingerprint;
            it.service == service
                && on == target
                && matches(fingerprint)
                && self.poison.is_suspect(fingerprint)
        })
    }

    /// Returns whether another suspect that may have caused the death is known to be on the target.
    fn has_other_suspect(&self, now: Timestamp, it: &Suspicion) -> bool {
        let service = self.services.get_index_of(&it.service);
        let may_have_caused_it = |other: &Fingerprint| {
            *other != it.fingerprint
                && (self.poison.has_death_elsewhere(other, &it.target)
                    || !self.poison.is_suspect(other))
        };
        // A peer announces only suspects with an earlier death. This instance may not know of that death, so a fingerprint
        // that is no suspect here counts as well.
        self.claims.peer_suspects_on(now, &it.service, &it.target).any(may_have_caused_it)
            || service.is_some_and(|service| {
                self.has_suspect_in_flight(service, &it.target, may_have_caused_it)
            })
    }

    fn schedule_claimed_service(&mut self, now: Timestamp, claim: &Claim) {
        if let Some(service) = self.services.get_index_of(&claim.service) {
            self.schedule(now, service);
        }
    }
}

/// Returns whether the claimed target can take the suspect now, without stopping batch requests first.
fn may_start(now: Timestamp, settings: &Settings, held: &HeldRequest, on: &Target) -> bool {
    let can_stop = on.stopping > 0 || !on.stoppable.is_empty();
    on.has_room(settings, held.need(settings, now)) && (on.has_free_slot(settings) || !can_stop)
}
