//! Assigns waiting requests to targets and stops batch requests for online requests.

use std::collections::BinaryHeap;

use stdx::{Name, Timestamp};
use twox_hash::XxHash64;

use super::{
    dispatcher::{Dispatcher, clamp_retry_after},
    request::{Action, Class, Reason},
    service::{HeldRequest, Phase, Service},
    settings::{LearnedCapacity, Settings},
    target::{Need, Target},
};

impl Dispatcher {
    /// Dispatches the waiting requests that the service's targets have room for, online before batch, and stops batch
    /// requests that hold slots which online requests need.
    pub(super) fn schedule(&mut self, now: Timestamp, service: usize) {
        self.place_suspects(now, service, Class::Online);
        if self.place_queued(now, service, Class::Online) {
            self.stop_for_online(service);
        } else {
            self.place_suspects(now, service, Class::Batch);
            self.place_queued(now, service, Class::Batch);
        }
    }

    /// Stops this instance's part of the surplus batch requests on a target, after a peer reported its load.
    ///
    /// The surplus is taken one by one from the instance with the most batch requests there. All instances compute the
    /// same from the same reports, so that together they stop exactly the surplus.
    pub(super) fn stop_surplus(&mut self, service: usize, target: &Name) {
        let state = &self.services[service];
        let Some(target_state) = state.targets.get(target) else { return };
        let surplus = target_state.batch_surplus();
        if surplus == 0 || target_state.own.batch == 0 {
            return;
        }
        let peer_loads = self.peers.iter().flat_map(|(name, peer)| {
            let loads = peer.loads.iter();
            let on_target = loads.filter(|it| it.service == state.name && it.target == *target);
            on_target.map(move |it| (it.batch, name))
        });
        let own = (target_state.own.batch, &self.settings.instance);
        let mut loads: BinaryHeap<_> = peer_loads.chain([own]).collect();
        let mut own_part = 0;
        for _ in 0..surplus {
            let Some((batch, name)) = loads.pop() else { break };
            own_part += u32::from(*name == self.settings.instance);
            loads.push((batch.saturating_sub(1), name));
        }
        for _ in target_state.stopping..own_part {
            self.stop_newest_batch(service, target);
        }
    }

    /// Dispatches queued requests in fair order; returns whether one waits that any target with room could run.
    fn place_queued(&mut self, now: Timestamp, service: usize, class: Class) -> bool {
        let (mut skipped, mut reading) = (Vec::new(), 0);
        let is_blocked = loop {
            let queue = &self.services[service].class_state(class).queue;
            let Some((account, id)) = queue.first_requests().find(|(it, _)| !skipped.contains(*it))
            else {
                break false;
            };
            let account = account.clone();
            let held = &self.requests[&id];
            let fingerprint = held.request.fingerprint;
            if self.poison.is_suspect(&fingerprint) {
                self.services[service].class_state_mut(class).queue.remove(&account, id);
                self.services[service].suspects.push(id);
                self.requests[&id].phase = Phase::Suspect;
                self.place_suspect(now, id);
                continue;
            }
            let restricted =
                self.is_restricted(held) || (class == Class::Batch && !held.request.idempotent);
            if self.awaits_loads(now, id) {
                reading += 1;
                skipped.push(account);
                continue;
            }
            match self.choose_target(now, id) {
                Some(target) => self.dispatch(now, id, target),
                None if restricted => {
                    self.stop_for_restricted(now, id);
                    skipped.push(account);
                }
                None => break true,
            }
        };
        if class == Class::Online {
            self.services[service].reading = reading;
        }
        is_blocked
    }

    fn place_suspects(&mut self, now: Timestamp, service: usize, class: Class) {
        for id in self.services[service].suspects.clone() {
            if self.requests[&id].class() == class {
                self.place_suspect(now, id);
            }
        }
    }

    fn place_suspect(&mut self, now: Timestamp, id: u64) {
        let fingerprint = self.requests[&id].request.fingerprint;
        if let Some(claim) = self.claims.own_claim(&fingerprint) {
            if claim.id == id && !claim.running {
                self.place_claimed(now, id);
            }
            return;
        }
        if let Some(decided_at) = self.poison.verdict_deadline(&fingerprint) {
            if decided_at >= self.requests[&id].request.deadline {
                self.refuse_waiting(
                    id,
                    Reason::TargetFailed,
                    clamp_retry_after(Some(decided_at.since(now))),
                );
            }
            return;
        }
        if self.claims.is_backing_off(&fingerprint, now) {
            return;
        }
        match self.choose_target(now, id) {
            Some(target) if self.poison.is_suspect(&fingerprint) => self.claim_run(now, id, target),
            // A request with the same fingerprint completed, so this one is no longer a suspect.
            Some(target) => self.dispatch(now, id, target),
            None => self.stop_for_restricted(now, id),
        }
    }

    /// Chooses the target for a waiting request.
    fn choose_target(&mut self, now: Timestamp, id: u64) -> Option<Name> {
        let salt = rand::Rng::random(&mut self.rng);
        self.refresh_usual(now, self.requests[&id].service);
        let held = &self.requests[&id];
        let service = &self.services[held.service];
        let learns = self.learns(now, service);
        let best = if learns { Vec::new() } else { self.best_local(now, held) };
        let chosen = match best.is_empty() {
            true => self.choose_among_all(now, held, salt, learns),
            false => Some(pick_target(&self.settings, service, held, &best, salt)),
        };
        if self.settings.check_invariants {
            self.check_choice(now, held, salt, chosen.as_ref());
        }
        chosen
    }

    /// Returns the local targets to prefer if a local one leaves nothing to be desired: it has a free slot, is not slow and has not
    /// failed the request before. Then no other target needs to be looked at.
    fn best_local(&self, now: Timestamp, held: &HeldRequest) -> Vec<&Target> {
        let targets = &self.services[held.service].targets;
        let need = held.need(&self.settings, now);
        if !targets.has_room(need) {
            return Vec::new();
        }
        let runs_anywhere = self.runs_anywhere(held);
        let is_best = |it: &&Target| {
            it.has_room(&self.settings, need)
                && it.has_free_slot(&self.settings)
                && !it.pace.is_slow(now, it.own.total())
                && !self.is_avoided(held, it)
                && (runs_anywhere || self.may_run(now, held, it))
        };
        if held.class() == Class::Online
            && let Some(subset) = self.target_subset
        {
            let preferred: Vec<_> = targets.subset(subset).into_iter().filter(is_best).collect();
            if !preferred.is_empty() {
                return self.preferred(held, &preferred);
            }
        }
        let local: Vec<_> = targets.with_local_room(need).into_iter().filter(is_best).collect();
        self.preferred(held, &local)
    }

    /// Chooses among all targets with room.
    fn choose_among_all(
        &self,
        now: Timestamp,
        held: &HeldRequest,
        salt: u64,
        learns: bool,
    ) -> Option<Name> {
        let service = &self.services[held.service];
        let targets = &service.targets;
        let need = held.need(&self.settings, now);
        if !targets.has_room(need) {
            return None;
        }
        let stays = self.runs_anywhere(held)
            && targets.totals().local_staying > 0
            && !self.leaves_domain(now, held);
        let is_slow = |it: &Target| it.pace.is_slow(now, it.own.total());
        let free = match stays {
            // What was learned decides between the targets of all domains.
            _ if learns => targets.with_room(need),
            // The others count only in that there is one with a free slot, or one that is not slow.
            true => targets.with_local_room_and_examples(need, is_slow),
            false if self.may_sample(now, held) => {
                targets.with_local_room_and_sample(need, is_slow, salt)
            }
            false => targets.with_room(need),
        };
        self.choose_from(now, held, salt, free, &targets.with_own_batch(), &targets.local())
    }

    /// Returns whether a sample of the targets of other domains is as good as all of them: each serves the request equally well, and
    /// there are many.
    pub(super) fn may_sample(&self, now: Timestamp, held: &HeldRequest) -> bool {
        let targets = &self.services[held.service].targets;
        held.request.prefix.is_none()
            && self.runs_anywhere(held)
            && targets.room_count(held.need(&self.settings, now)) > MAX_UNSAMPLED
    }

    /// Returns whether a request that finds no local target goes to other failure domains although it could wait for a local one.
    fn leaves_domain(&self, now: Timestamp, held: &HeldRequest) -> bool {
        match held.class() {
            // Batch requests have no estimated wait, and are meant for slots that are idle elsewhere.
            Class::Batch => now >= self.settings.warm_up_until,
            Class::Online => {
                let wait = self.services[held.service].estimated_local_wait(&self.settings);
                wait > self.settings.spill_wait
            }
        }
    }

    /// Chooses among the free targets, given those with batch requests of this instance and the local ones.
    pub(super) fn choose_from(
        &self,
        now: Timestamp,
        held: &HeldRequest,
        salt: u64,
        mut free: Vec<&Target>,
        with_own_batch: &[&Target],
        local: &[&Target],
    ) -> Option<Name> {
        let service = &self.services[held.service];
        let settings = &self.settings;
        let runs_anywhere = self.runs_anywhere(held);
        let may_run = |it: &Target| runs_anywhere || self.may_run(now, held, it);
        free.retain(|it| may_run(it));
        let can_stop =
            with_own_batch.iter().any(|it| it.allowance.has_token(held.class()) && may_run(it));
        if can_stop || free.iter().any(|it| it.has_free_slot(settings)) {
            // Taking a slot that a peer's batch request holds exceeds the limit until the peer stops it, so it is the last
            // resort.
            free.retain(|it| it.has_free_slot(settings));
        }
        let learns = self.learns(now, service);
        let is_slow = |it: &&Target| it.pace.is_slow(now, it.own.total());
        if !learns && !free.iter().all(is_slow) {
            free.retain(|it| !is_slow(it));
        }
        if free.is_empty() {
            return None;
        }
        let avoided = |it: &Target| self.is_avoided(held, it);
        let free_local: Vec<_> =
            free.iter().copied().filter(|it| it.local && !avoided(it)).collect();
        if !free_local.is_empty() {
            if learns {
                let remote: Vec<_> =
                    free.iter().copied().filter(|it| !it.local && !avoided(it)).collect();
                return Some(self.pick_learned(now, held, &free_local, &remote, salt));
            }
            return Some(pick_target(
                settings,
                service,
                held,
                &self.preferred(held, &free_local),
                salt,
            ));
        }
        let can_stay = local.iter().any(|it| it.will_take_work() && may_run(it));
        let spills_at_once = learns && held.class() == Class::Online;
        if !can_stay || spills_at_once || self.leaves_domain(now, held) {
            let remote: Vec<_> = free.iter().copied().filter(|it| !avoided(it)).collect();
            if !remote.is_empty() {
                if learns {
                    return Some(self.pick_learned(now, held, &remote, &[], salt));
                }
                return Some(pick_target(
                    settings,
                    service,
                    held,
                    &self.preferred(held, &remote),
                    salt,
                ));
            }
        }
        free.iter().find(|it| it.local).map(|it| it.info.name.clone())
    }

    /// Returns whether the request failed on the target before.
    fn is_avoided(&self, held: &HeldRequest, target: &Target) -> bool {
        let name = &target.info.name;
        held.avoid.as_ref() == Some(name)
            || (held.attempt > 1 && self.poison.has_death_on(&held.request.fingerprint, name))
    }

    /// Returns the free targets to prefer.
    ///
    /// Online requests prefer the instance's subset and, within it, the targets with the fewest requests of this instance,
    /// a count that is always current. Batch requests prefer the targets with the fewest batch requests of all instances:
    /// they hold their slots for seconds, longer than the heartbeat interval, and targets full of them have no slot for the
    /// next burst of online requests.
    fn preferred<'a>(&self, held: &HeldRequest, free: &[&'a Target]) -> Vec<&'a Target> {
        if held.class() == Class::Batch {
            return with_lowest(free, |it| it.own.batch + it.peers.batch);
        }
        let Some(subset) = self.target_subset else { return free.to_vec() };
        let targets = self.services[held.service].targets.subset(subset);
        let is_preferred = |it: &&&Target| targets.iter().any(|other| std::ptr::eq(*other, **it));
        let preferred: Vec<_> = free.iter().filter(is_preferred).copied().collect();
        match preferred.is_empty() {
            true => free.to_vec(),
            false => with_lowest(&preferred, |it| it.own.total()),
        }
    }

    /// Returns whether only some of the targets may run the request, because of suspicion or the version that began its answer.
    pub(super) fn is_restricted(&self, held: &HeldRequest) -> bool {
        held.version.is_some() || self.poison.is_restricted(&held.request.fingerprint)
    }

    /// Returns whether [`Self::may_run`] holds for all targets.
    fn runs_anywhere(&self, held: &HeldRequest) -> bool {
        let is_non_idempotent_batch = held.class() == Class::Batch && !held.request.idempotent;
        !is_non_idempotent_batch && !self.is_restricted(held)
    }

    /// Returns whether version, suspicion and idempotency let the request run on the target.
    pub(super) fn may_run(&self, now: Timestamp, held: &HeldRequest, target: &Target) -> bool {
        if held.version.as_ref().is_some_and(|it| *it != target.info.version) {
            return false;
        }
        let fingerprint = &held.request.fingerprint;
        let is_non_idempotent_batch = held.class() == Class::Batch && !held.request.idempotent;
        if is_non_idempotent_batch && target.non_idempotent_batch > 0 {
            // Work that cannot be interrupted must leave the other slots to online requests.
            return false;
        }
        if self.poison.is_suspect(fingerprint) && !self.is_clear_of_suspects(now, held, target) {
            return false;
        }
        self.poison.may_run_on(fingerprint, &target.info.name)
    }

    pub(super) fn dispatch(&mut self, now: Timestamp, id: u64, target: Name) {
        let held = &mut self.requests[&id];
        let service = &mut self.services[held.service];
        let request = &held.request;
        let target_state = &mut service.targets[&target];
        assert!(
            target_state.takes_work(),
            "no request is dispatched to a target that is leaving or held down"
        );
        assert!(
            request.idempotent || !held.sent,
            "a non-idempotent request is not dispatched again after a byte may have left"
        );
        assert!(
            target_state.allowance.has_token(request.class),
            "no target gets more requests than its limit"
        );
        target_state.allowance.take(now, request.class);
        let version = target_state.info.version.clone();
        assert!(
            held.version.as_ref().is_none_or(|it| *it == version),
            "an answer goes on only at the version that began it"
        );
        let as_suspect = self.poison.is_suspect(&request.fingerprint);
        assert!(
            !as_suspect || target_state.own.suspects == 0,
            "at most one suspect runs on a target"
        );
        if as_suspect {
            let is_blocked = self.claims.is_blocked_by_peer(
                now,
                &request.fingerprint,
                &service.name,
                &target,
                Some(&self.settings.instance),
            );
            assert!(!is_blocked, "a suspect does not run while a claim of a peer takes precedence");
            let claim = self.claims.start_run(now, &request.fingerprint);
            assert!(claim.target == target, "a suspect runs on the target of its claim");
            self.actions.push(Action::ShareClaim { to: None, claim });
        } else if let Some(claim) = self.claims.end(&request.fingerprint, id) {
            // A request with the same fingerprint completed since the claim, so this one is no longer a suspect.
            self.actions.push(Action::ShareClaim { to: None, claim });
        }
        if !request.harmless {
            self.poison.start_attempt(&request.fingerprint, &target);
        }
        held.expected = match self.settings.learned_capacity {
            LearnedCapacity::Off => None,
            LearnedCapacity::Reported | LearnedCapacity::On => {
                target_state.learned.record_dispatch(now);
                let outlook = target_state.outlook(&self.settings, now, &service.usual);
                Some(outlook.expect(outlook.begun()))
            }
        };
        *target_state.own.class_mut(request.class) += 1;
        target_state.record_peak();
        target_state.own.suspects += u32::from(as_suspect);
        if held.is_stoppable() {
            target_state.stoppable.push(id);
        } else if request.class == Class::Batch {
            target_state.non_idempotent_batch += 1;
        }
        let class_state = service.class_state_mut(request.class);
        if !held.dispatched {
            class_state.budget.record_first(self.settings.retry_window, now);
        }
        match held.phase {
            Phase::Queued => {
                let entry = class_state.queue.pop(&request.account);
                assert!(
                    entry.is_some_and(|it| it.id == id),
                    "the first request of the account is dispatched"
                );
            }
            Phase::Suspect => {
                class_state.queue.charge(&request.account, request.cost.max(1) as i64);
                service.suspects.retain(|it| *it != id);
            }
            Phase::InFlight { .. } => unreachable!("a request in flight does not wait"),
        }
        held.charged = request.cost.max(1);
        held.dispatched = true;
        held.has_output = false;
        held.attempt_version = version.clone();
        held.phase =
            Phase::InFlight { target: target.clone(), since: now, stopping: false, as_suspect };
        let target_state = &service.targets[&target];
        let takes_reserve =
            target_state.load() + self.settings.batch_reserve > target_state.info.concurrency;
        // Without an early heartbeat, peers would fill the target with batch requests above its limit.
        self.heartbeat_wanted |=
            takes_reserve && held.class() == Class::Online && target_state.peers.batch > 0;
        self.actions.push(Action::Dispatch { id, target, version, attempt: held.attempt });
    }

    /// Stops batch requests until one is stopping for each waiting online request.
    fn stop_for_online(&mut self, service: usize) {
        let service_state = &self.services[service];
        let waiting = service_state.online.queue.len();
        for _ in service_state.stopping()..waiting {
            let stoppable = self.services[service].targets.stoppable();
            let busiest = stoppable.iter().max_by_key(|it| (it.local, it.stoppable.len()));
            let Some(target) = busiest.map(|it| it.info.name.clone()) else { return };
            self.stop_newest_batch(service, &target);
        }
    }

    /// Stops a batch request for an online request that only certain targets may run.
    pub(super) fn stop_for_restricted(&mut self, now: Timestamp, id: u64) {
        let held = &self.requests[&id];
        if held.class() == Class::Batch {
            return;
        }
        let service = held.service;
        let targets = self.services[service].targets.values();
        let usable: Vec<_> =
            targets.filter(|it| it.takes_work() && self.may_run(now, held, it)).collect();
        if usable.iter().any(|it| {
            it.stopping > 0
                || (it.has_room(&self.settings, Need::Online) && it.has_free_slot(&self.settings))
        }) {
            return;
        }
        let busiest = usable
            .into_iter()
            .filter(|it| it.can_stop_for_online())
            .max_by_key(|it| (it.local, it.stoppable.len()));
        if let Some(target) = busiest.map(|it| it.info.name.clone()) {
            self.stop_newest_batch(service, &target);
        }
    }

    /// Stops the newest batch request on a target, which loses the least work.
    pub(super) fn stop_newest_batch(&mut self, service: usize, target: &Name) {
        let target_state = &mut self.services[service].targets[target];
        let Some(id) = target_state.stoppable.pop() else { return };
        target_state.stopping += 1;
        if let Phase::InFlight { stopping, .. } = &mut self.requests[&id].phase {
            *stopping = true;
        }
        self.actions.push(Action::CancelBatch { id });
    }
}

/// The number of targets with room up to which each is looked at.
const MAX_UNSAMPLED: usize = 64;

/// Picks a target: the preferred target of the prefix if its load is below the affinity bound, otherwise the less loaded of
/// two random targets.
fn pick_target(
    settings: &Settings,
    service: &Service,
    held: &HeldRequest,
    free: &[&Target],
    salt: u64,
) -> Name {
    let preferred = held.request.prefix.and_then(|prefix| {
        let totals = service.targets.totals();
        let mean = f64::from(totals.local_load + 1) / totals.local_serving.max(1) as f64;
        let bound = (settings.affinity_bound * mean).ceil() as u32;
        free.iter().filter(|it| it.load() < bound).max_by_key(|it| rendezvous_score(prefix, it))
    });
    // The salt selects two targets, of which the less loaded is taken. If the least loaded of all were taken, instances
    // that share the same outdated reports would all choose the same target.
    let less_loaded = || {
        let mut drawn: Vec<_> = free.iter().map(|it| (rendezvous_score(salt, it), it)).collect();
        let drawn = match drawn.len() {
            0..=2 => &drawn[..],
            _ => {
                drawn.select_nth_unstable_by_key(1, |it| it.0);
                &drawn[..2]
            }
        };
        drawn.iter().min_by_key(|it| (it.1.load(), it.0)).map(|it| it.1)
    };
    preferred.or_else(less_loaded).expect("a target is free").info.name.clone()
}

pub(super) fn with_lowest<'a>(
    targets: &[&'a Target],
    count: impl Fn(&Target) -> u32,
) -> Vec<&'a Target> {
    let fewest = targets.iter().map(|it| count(it)).min();
    targets.iter().filter(|it| Some(count(it)) == fewest).copied().collect()
}

pub(super) fn rendezvous_score(seed: u64, target: &Target) -> u64 {
    XxHash64::oneshot(seed, target.info.name.as_bytes())
}
