//! Invariant checks over the whole state.
//!
//! Single dispatches are checked in `placement`, and the number of targets per fingerprint in `poison`.

use std::collections::{HashMap, HashSet};

use stdx::{Name, Timestamp};

use super::{
    dispatcher::Dispatcher,
    request::Class,
    service::{HeldRequest, Phase, Service},
    target::{Counts, Need, Target},
};

#[derive(Debug, Default, PartialEq)]
struct Tally {
    own: Counts,
    stoppable: u32,
    stopping: u32,
    non_idempotent_batch: u32,
}

impl Dispatcher {
    /// Checks what must hold between calls.
    ///
    /// # Panics
    ///
    /// Panics on a violation.
    pub(super) fn check_invariants(&self, _now: Timestamp) {
        for (index, service) in self.services.values().enumerate() {
            let held: Vec<_> = self.requests.values().filter(|it| it.service == index).collect();
            check_counts(service, &held);
            check_waiting(service, &held);
            service.targets.check_index();
            self.check_online_first(service);
        }
        self.check_claims();
    }

    /// Checks that a choice equals the one that looks at each target. Of targets in other domains, it may be any if they are sampled.
    pub(super) fn check_choice(
        &self,
        now: Timestamp,
        held: &HeldRequest,
        salt: u64,
        chosen: Option<&Name>,
    ) {
        let targets = || self.services[held.service].targets.values();
        let need = held.need(&self.settings, now);
        let free = targets().filter(|it| it.has_room(&self.settings, need)).collect();
        let has_own_batch =
            |it: &&Target| it.takes_work() && (it.stopping > 0 || !it.stoppable.is_empty());
        let own_batch: Vec<_> = targets().filter(has_own_batch).collect();
        let local: Vec<_> = targets().filter(|it| it.local).collect();
        let plain = self.choose_from(now, held, salt, free, &own_batch, &local);
        let is_remote = |it: Option<&Name>| {
            it.and_then(|it| self.services[held.service].targets.get(it))
                .is_some_and(|it| !it.local)
        };
        if self.may_sample(now, held) && is_remote(plain.as_ref()) {
            assert!(is_remote(chosen), "a sampled choice leaves the domain if the plain one does");
        } else {
            assert_eq!(chosen, plain.as_ref(), "an indexed choice equals the plain one");
        }
    }

    /// Checks that each running suspect has a claim, and that no two claims are for the same target.
    fn check_claims(&self) {
        let mut claimed = HashSet::new();
        for (fingerprint, claim) in self.claims.own_claims() {
            let held = self.requests.get(&claim.id).expect("a claim ends with its request");
            assert!(
                held.request.fingerprint == *fingerprint,
                "a claim has the fingerprint of its request"
            );
            let runs = matches!(&held.phase, Phase::InFlight { target, as_suspect: true, .. } if *target == claim.target);
            assert!(runs == claim.running, "a claim is running if and only if its request runs");
            let waits = held.phase == Phase::Suspect;
            assert!(runs || waits, "the request of a claim is a waiting or running suspect");
            assert!(
                claimed.insert((&claim.service, &claim.target)),
                "a target has at most one claim"
            );
        }
        let suspects = self
            .requests
            .values()
            .filter(|it| matches!(it.phase, Phase::InFlight { as_suspect: true, .. }));
        let running = self.claims.own_claims().filter(|(_, it)| it.running);
        assert_eq!(suspects.count(), running.count(), "each running suspect has a claim");
    }

    /// Checks that no online request waits, except for the load of targets, while a local target has room, or while batch requests could be stopped for it
    /// and were not.
    fn check_online_first(&self, service: &Service) {
        let unrestricted = service
            .online
            .queue
            .first_requests()
            .map(|(_, id)| &self.requests[&id])
            .any(|it| !self.is_restricted(it) && !it.is_reading());
        if !unrestricted {
            return;
        }
        let settings = &self.settings;
        let room = service.targets.values().any(|it| {
            it.local && it.has_room(settings, Need::Online) && it.has_free_slot(settings)
        });
        assert!(!room, "no online request waits while a local target has room");
        let has_stoppable = service.targets.values().any(Target::can_stop_for_online);
        assert!(
            !has_stoppable || service.stopping() >= service.online.queue.len(),
            "as many batch requests are stopping as online requests wait, or all of them"
        );
    }
}

fn check_counts(service: &Service, held: &[&HeldRequest]) {
    let mut tallies: HashMap<&Name, Tally> = HashMap::new();
    for it in held {
        let Phase::InFlight { target, stopping, as_suspect, .. } = &it.phase else { continue };
        let tally = tallies.entry(target).or_default();
        *tally.own.class_mut(it.class()) += 1;
        tally.own.suspects += u32::from(*as_suspect);
        match (it.is_stoppable(), *stopping) {
            (true, true) => tally.stopping += 1,
            (true, false) => tally.stoppable += 1,
            (false, _) => tally.non_idempotent_batch += u32::from(it.class() == Class::Batch),
        }
    }
    for (name, target) in service.targets.iter() {
        let tally = tallies.remove(name).unwrap_or_default();
        let counted = Tally {
            own: target.own,
            stoppable: target.stoppable.len() as u32,
            stopping: target.stopping,
            non_idempotent_batch: target.non_idempotent_batch,
        };
        assert_eq!(counted, tally, "the counts of target {name} equal the requests held");
        assert!(target.own.suspects <= 1, "at most one suspect runs on a target");
    }
    assert!(tallies.is_empty(), "every request in flight is on a known target");
}

fn check_waiting(service: &Service, held: &[&HeldRequest]) {
    let count = |class: Class, phase: &Phase| {
        held.iter().filter(|it| it.class() == class && it.phase == *phase).count()
    };
    assert_eq!(service.online.queue.len(), count(Class::Online, &Phase::Queued));
    assert_eq!(service.batch.queue.len(), count(Class::Batch, &Phase::Queued));
    let suspects = count(Class::Online, &Phase::Suspect) + count(Class::Batch, &Phase::Suspect);
    assert_eq!(service.suspects.len(), suspects);
}
