//! The periodic work of [`Dispatcher::tick`]: expiry of deadlines, peers, reports and hold-downs.

use std::time::Duration;

use fleet::QualifiedName;
use stdx::{Name, Timestamp};

use super::{
    dispatcher::{Dispatcher, Peer, clamp_retry_after},
    evacuation::Access,
    pace,
    request::{Action, Class, Reason},
    service::Service,
    target::{Counts, Target},
};

/// The interval at which idle accounts, verdicts and suspicions are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

impl Dispatcher {
    pub(super) fn perform_due_work(&mut self, now: Timestamp) {
        let expiry = self.settings.peer_expiry;
        let silent = self.peers.iter().filter(|(_, it)| now.since(it.last_heartbeat) >= expiry);
        for peer in silent.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.remove_peer(&peer);
        }
        self.perform_due_suspect_work(now);
        for service in 0..self.services.len() {
            self.refresh_targets(now, service);
            self.services[service].online.queue.demote_overdue(now);
            self.refuse_late(now, service);
            self.schedule(now, service);
        }
        self.refuse_all_evacuated();
        if now.since(self.last_prune) >= PRUNE_INTERVAL {
            self.last_prune = now;
            self.poison.prune(&self.settings, now);
            self.parts.prune(now);
            self.claims.prune(now);
            for service in self.services.values_mut() {
                service.online.queue.prune();
                service.batch.queue.prune();
            }
        }
    }

    pub(super) fn refresh_targets(&mut self, now: Timestamp, service: usize) {
        let own_domain = &self.settings.failure_domain;
        let peers = self.peers.values().filter(|it| it.failure_domain == *own_domain).count();
        self.refresh_cold(now, service);
        let targets = &mut self.services[service].targets;
        let (slow_threshold, is_changed) = targets.update_slow_threshold(pace::slow_threshold);
        self.refill_allowances(now, service);
        // A fleet has thousands of targets, and this runs many times a second.
        let due = self.services[service].targets.take_due(now, is_changed);
        for &i in &due {
            let targets = &mut self.services[service].targets;
            let target = targets.refreshed_mut(i);
            let before = target.timed_state();
            target.pace.update_slow(now, slow_threshold);
            target.refresh(&self.settings, now, peers as u32 + 1);
            target.health.tick(&self.settings, now, &mut self.rng);
            let health = target.health.state();
            if std::mem::replace(&mut target.reported_health, health) != health {
                let (in_flight, target) = (target.own.total(), target.info.name.clone());
                let service = self.services[service].name.clone();
                self.actions.push(Action::HealthChanged { service, target, health, in_flight });
            }
            self.probe_if_wanted(now, service, i);
            let targets = &mut self.services[service].targets;
            if targets[i].timed_state() != before {
                targets.record_change(i);
            }
        }
        self.services[service].targets.record_refreshed(&due);
    }

    /// Adds the tokens of limited targets that have accrued, and decides whether batch requests use what online requests leave.
    fn refill_allowances(&mut self, now: Timestamp, service: usize) {
        let has_waiting = self.services[service].has_waiting(Class::Online);
        for i in self.services[service].targets.limited_positions() {
            let target = &mut self.services[service].targets[i];
            target.allowance.refill(now);
            if has_waiting || target.contenders > 0 {
                target.allowance.stop_filling(now);
            } else if target.allowance.is_fill_check_due(now) {
                let (domain, starts) = (target.info.failure_domain.clone(), target.peer_starts);
                let of_others = self.reaches_online_users(&domain).then_some(starts);
                self.services[service].targets[i].allowance.check_fill(now, of_others);
            }
        }
    }

    pub(super) fn on_peer_heartbeat(&mut self, now: Timestamp, name: Name, peer: Peer) {
        for service in self.services.values_mut() {
            apply_peer_load(service, &peer, Sign::Add);
            record_event_gaps(now, service, &peer);
        }
        self.peers.insert(name.clone(), peer);
        for i in 0..self.peers[&name].loads.len() {
            let load = &self.peers[&name].loads[i];
            if let Some(index) = self.services.get_index_of(&load.service) {
                let target = load.target.clone();
                self.stop_surplus(index, &target);
            }
        }
        for service in 0..self.services.len() {
            self.schedule(now, service);
        }
    }

    pub(super) fn remove_peer(&mut self, name: &Name) {
        let Some(peer) = self.peers.swap_remove(name) else { return };
        for service in self.services.values_mut() {
            apply_peer_load(service, &peer, Sign::Subtract);
        }
    }

    /// Recomputes the counts of the peers' requests, because targets may have been added or removed since the peers
    /// reported them.
    pub(super) fn recount_peer_loads(&mut self, service: usize) {
        let service = &mut self.services[service];
        for target in service.targets.values_mut() {
            target.peers = Counts::default();
            target.contending = 0;
            target.contenders = 0;
            target.batch_contending = 0;
            target.batch_contenders = 0;
            target.peer_starts = 0;
        }
        for peer in self.peers.values() {
            apply_peer_load(service, peer, Sign::Add);
        }
    }

    /// Refuses waiting requests that cannot start before their deadline.
    fn refuse_late(&mut self, now: Timestamp, service: usize) {
        let late =
            self.late_queued(now, service).into_iter().chain(self.late_suspects(now, service));
        for (id, reason, retry_after) in late.collect::<Vec<_>>() {
            self.refuse_waiting(id, reason, retry_after);
        }
    }

    /// Returns the queued requests that cannot start before their deadline. For batch, the wait counts as zero.
    fn late_queued(&self, now: Timestamp, service: usize) -> Vec<(u64, Reason, Duration)> {
        let state = &self.services[service];
        let mut late = Vec::new();
        if state.online.queue.len() + state.batch.queue.len() == 0 {
            return late;
        }
        let waits = state.wait_model(&self.settings, now);
        for class in [Class::Online, Class::Batch] {
            for (entry, ahead) in state.class_state(class).queue.waiting() {
                if state.lacks_version(&self.requests[&entry.id]) {
                    late.push((entry.id, Reason::NoTargetOfVersion, Duration::ZERO));
                    continue;
                }
                let wait = match class {
                    Class::Online => waits.behind(ahead),
                    Class::Batch => Some(Duration::ZERO),
                };
                match wait {
                    None => {
                        let reason = self.no_target_reason(service);
                        late.push((entry.id, reason, clamp_retry_after(None)));
                    }
                    Some(wait) if now + wait >= self.requests[&entry.id].request.deadline => {
                        late.push((entry.id, Reason::WaitTooLong, clamp_retry_after(Some(wait))));
                    }
                    Some(_) => {}
                }
            }
        }
        late
    }

    /// Returns the waiting suspects that cannot start before their deadline. Each usable target runs one suspect at a time,
    /// so the wait of a suspect is estimated from the number of suspects ahead of it per usable target.
    fn late_suspects(&self, now: Timestamp, service: usize) -> Vec<(u64, Reason, Duration)> {
        let state = &self.services[service];
        if state.suspects.is_empty() {
            return Vec::new();
        }
        let usable = state.targets.totals().serving.max(1);
        let until_any = state.wait_model(&self.settings, now).behind(0);
        let mut late = Vec::new();
        let mut ahead = 0;
        for &id in &state.suspects {
            let request = &self.requests[&id].request;
            let rounds = ahead / usable;
            match until_any.map(|it| it + state.mean_slot_time() * rounds as u32) {
                None if request.class == Class::Online => {
                    late.push((id, self.no_target_reason(service), clamp_retry_after(None)));
                }
                Some(wait) if now + wait >= request.deadline => {
                    late.push((id, Reason::WaitTooLong, clamp_retry_after(Some(wait))));
                }
                _ => ahead += 1,
            }
        }
        late
    }

    pub(super) fn send_wanted_probe(&mut self, now: Timestamp, service: usize, target: &Name) {
        if let Some(target) = self.services[service].targets.get_index_of(target) {
            self.probe_if_wanted(now, service, target);
        }
    }

    fn probe_if_wanted(&mut self, now: Timestamp, service: usize, target: usize) {
        let service = &mut self.services[service];
        let may_send =
            |it: &Target| it.listed && it.access == Access::Open && it.health.wants_probe();
        if !may_send(&service.targets[target]) {
            return;
        }
        let target = &mut service.targets[target];
        if target.allowance.take_any(now) && target.health.take_probe(now) {
            let (service, target) = (service.name.clone(), target.info.name.clone());
            self.actions.push(Action::Probe { service, target });
        }
    }
}

#[derive(Clone, Copy)]
enum Sign {
    Add,
    Subtract,
}

/// Records the times between events of targets that a peer measured.
fn record_event_gaps(now: Timestamp, service: &mut Service, peer: &Peer) {
    for load in peer.loads.iter().filter(|it| it.service == service.name) {
        if let Some(target) = service.targets.get_mut(&load.target) {
            target.learned.record_slowdown_of_peer(now, load.slowdown);
            if load.event_gap_ms == 0 {
                continue;
            }
            let gap = Duration::from_millis(u64::from(load.event_gap_ms));
            target.pace.record(now, gap);
            target.learned.record_gap(now, gap);
        }
    }
}

/// Adds a peer's requests to the counts of a service's targets, or subtracts them.
fn apply_peer_load(service: &mut Service, peer: &Peer, sign: Sign) {
    let change = |count: &mut u32, by: u32| match sign {
        Sign::Add => *count += by,
        Sign::Subtract => *count -= by,
    };
    let instances =
        |waiting: &[QualifiedName]| waiting.iter().filter(|it| **it == service.name).count() as u32;
    let (contenders, batch_contenders) = (instances(&peer.waiting), instances(&peer.batch_waiting));
    for at in 0..service.targets.len() {
        if contenders + batch_contenders == 0 {
            break;
        }
        if service.targets[at].info.failure_domain == peer.failure_domain {
            let target = &mut service.targets[at];
            change(&mut target.contenders, contenders);
            change(&mut target.batch_contenders, batch_contenders);
        }
    }
    for load in peer.loads.iter().filter(|it| it.service == service.name) {
        let Some(target) = service.targets.get_mut(&load.target) else { continue };
        change(&mut target.peers.online, load.online);
        change(&mut target.peers.batch, load.batch);
        change(&mut target.peers.suspects, load.suspects);
        change(&mut target.peer_starts, load.starts);
        if target.info.failure_domain == peer.failure_domain {
            change(&mut target.contending, load.contending);
            change(&mut target.batch_contending, load.batch_contending);
        }
        target.record_peak();
    }
}
