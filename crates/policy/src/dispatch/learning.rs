//! Passes on what answers show of targets to [`capacity`](super::capacity), and chooses targets by it.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use stdx::{Name, Timestamp, rng};

use super::{
    capacity::{Candidate, Wish, pick},
    dispatcher::Dispatcher,
    event::TargetLoad,
    health::HealthState,
    placement::{rendezvous_score, with_lowest},
    request::{Action, Class},
    service::{HeldRequest, Phase, Reading, Service},
    settings::LearnedCapacity,
    target::Target,
};

/// How long a service counts as one whose targets report how slow their machines are after the last such report.
const REPORTED_PERIOD: Duration = Duration::from_secs(60);
/// The targets whose load is read for a request.
const LOADS_TO_READ: usize = 4;
/// Those of them that are in other failure domains.
const REMOTE_LOADS_TO_READ: usize = 2;
/// How long a request waits for the loads.
const READ_TIMEOUT: Duration = Duration::from_millis(10);
/// How long a load that was read is used without regard to the subset.
const FRESH_PERIOD: Duration = Duration::from_millis(20);
/// The expected wait from which it is worth it to read loads.
const READ_WORTH_SECONDS: f64 = 0.01;
/// The candidates of other failure domains when none at home is in time.
const REMOTE_CANDIDATES: usize = 3;
/// The seconds that a request to another failure domain takes longer.
const REMOTE_SECONDS: f64 = 0.005;
/// The expected wait, in seconds, from which targets that are not preferred are considered.
const MAX_WAIT: f64 = 0.15;

impl Dispatcher {
    /// Returns whether the choice among the targets of a service follows what was learned of them.
    pub(super) fn learns(&self, now: Timestamp, service: &Service) -> bool {
        match self.settings.learned_capacity {
            LearnedCapacity::Off => false,
            LearnedCapacity::Reported => service.usual.reports_slowdown(now, REPORTED_PERIOD),
            LearnedCapacity::On => true,
        }
    }

    /// Computes what is usual in a service if it is time, and reports what is believed of its targets if that has changed.
    pub(super) fn refresh_usual(&mut self, now: Timestamp, index: usize) {
        if self.settings.learned_capacity != LearnedCapacity::Off {
            let service = &mut self.services[index];
            let slot = service.mean_slot_time();
            let targets = service.targets.values().filter(|it| it.takes_work());
            if service.usual.refresh(now, slot, targets) {
                self.report_beliefs(now, index);
            }
        }
    }

    fn report_beliefs(&mut self, now: Timestamp, service: usize) {
        if !self.learns(now, &self.services[service]) {
            return;
        }
        let service = &mut self.services[service];
        let belief = |it: &Target| it.learned.belief(now, &service.usual, it.info.concurrency);
        let beliefs = service.targets.values().enumerate().map(|(at, it)| (at, belief(it)));
        let changed: Vec<_> = beliefs
            .filter(|(at, belief)| service.targets[*at].reported_belief.is_outdated(now, belief))
            .collect();
        for (at, belief) in changed {
            let target = &mut service.targets[at];
            target.reported_belief.record(now, belief.clone());
            let (service, target) = (service.name.clone(), target.info.name.clone());
            self.actions.push(Action::BeliefChanged { service, target, belief });
        }
    }

    pub(super) fn learn_report(
        &mut self,
        now: Timestamp,
        service: usize,
        target: &Name,
        load: TargetLoad,
        sent_at: Option<Timestamp>,
    ) {
        if self.settings.learned_capacity == LearnedCapacity::Off {
            return;
        }
        let service = &mut self.services[service];
        if load.slowdown.is_some() {
            service.usual.record_slowdown(now);
        }
        let learns = self.settings.learned_capacity == LearnedCapacity::On
            || service.usual.reports_slowdown(now, REPORTED_PERIOD);
        let target = &mut service.targets[target];
        target.learned.record_report(
            now,
            sent_at,
            &load,
            (target.info.concurrency, target.own.total()),
        );
        if learns
            && target.learned.is_trusted(now)
            && sent_at.is_none_or(|it| now.since(it) < FRESH_PERIOD)
        {
            target.current_others = Some(load.in_flight().saturating_sub(target.own.total()));
        }
    }

    /// Records the time to the first event of an online request in flight; returns whether a report that it shows to be false was
    /// dropped, so that there may be room.
    pub(super) fn learn_first_event(&mut self, now: Timestamp, id: u64) -> bool {
        let held = &self.requests[&id];
        let Phase::InFlight { target, since, .. } = &held.phase else { return false };
        let Some(expected) = held.expected.filter(|_| held.class() == Class::Online) else {
            return false;
        };
        let target = &mut self.services[held.service].targets[target];
        target.learned.record_first(now, now.since(*since), expected);
        target.drop_false_report(now)
    }

    /// Records the time to a whole answer. In a service that streams, whole answers are short refusals and the like, which say
    /// nothing about the target.
    pub(super) fn learn_whole_answer(&mut self, now: Timestamp, id: u64) {
        let Some(held) = self.requests.get(&id) else { return };
        if !held.answered && self.services[held.service].usual.gap == 0.0 {
            self.learn_first_event(now, id);
        }
    }

    /// Returns whether a waiting online request waits for the load of targets that is being read for it, for
    /// [`READ_TIMEOUT`] at most.
    ///
    /// With many instances, most requests on a target are of others, whose reports come too late to tell which targets have
    /// room. If a request would probably not find a free slot by what is known, the load of some targets is read before it is
    /// sent.
    pub(super) fn awaits_loads(&mut self, now: Timestamp, id: u64) -> bool {
        self.refresh_usual(now, self.requests[&id].service);
        let held = &self.requests[&id];
        let service = &self.services[held.service];
        if held.class() != Class::Online || !self.learns(now, service) {
            return false;
        }
        if let Some(reading) = &held.reading {
            let is_answered = |it: &&Name| {
                let target = service.targets.get(*it);
                target.is_none_or(|it| it.learned.reported_at() >= Some(reading.begun_at))
            };
            let answered = reading.targets.iter().filter(is_answered).count();
            // The last answer would mostly be that of a target that is slow.
            let is_pending =
                now.since(reading.begun_at) < READ_TIMEOUT && answered + 1 < reading.targets.len();
            let silent: Vec<Name> = match now.since(reading.begun_at) < READ_TIMEOUT {
                true => Vec::new(),
                false => reading.targets.iter().filter(|it| !is_answered(it)).cloned().collect(),
            };
            let index = held.service;
            let reading = self.requests[&id].reading.as_mut().expect("loads are read");
            let was_pending = std::mem::replace(&mut reading.is_pending, is_pending);
            for target in silent.into_iter().filter(|_| was_pending) {
                if let Some(target) = self.services[index].targets.get_mut(&target) {
                    target.learned.record_silence(now);
                }
            }
            return is_pending;
        }
        let is_readable = |it: &&Target| {
            it.takes_work()
                && it.health.state() == HealthState::Up
                && it.learned.is_readable(now)
                && !it.allowance.is_limited()
                && self.may_run(now, held, it)
        };
        let readable: Vec<_> = service.targets.values().filter(is_readable).collect();
        let (readable, far): (Vec<_>, Vec<_>) = readable.into_iter().partition(|it| it.local);
        let is_fresh =
            |it: &&&Target| it.learned.reported_at().is_some_and(|it| now.since(it) < FRESH_PERIOD);
        if readable.len() < 2 || readable.iter().filter(is_fresh).count() >= LOADS_TO_READ {
            return false;
        }
        let (preferred, others) = self.split_by_subset(service, &readable);
        let waits = preferred.iter().map(|it| {
            let outlook = it.outlook(&self.settings, now, &service.usual);
            outlook.expect(outlook.begun()).wait
        });
        if waits.fold(f64::INFINITY, f64::min) < READ_WORTH_SECONDS {
            return false;
        }
        let mut rng = rng::seeded(rand::Rng::random(&mut self.rng));
        let mut targets: Vec<Name> = Vec::new();
        for (group, count) in [
            (&preferred, LOADS_TO_READ / 2),
            (&far, REMOTE_LOADS_TO_READ),
            (&others, LOADS_TO_READ),
        ] {
            let left = LOADS_TO_READ - targets.len();
            let sample = group.choose_multiple(&mut rng, count.min(left));
            targets.extend(sample.map(|it| it.info.name.clone()));
        }
        // Without a subset, all local targets are preferred.
        let mut preferred = preferred;
        preferred.retain(|it| !targets.contains(&it.info.name));
        let left = LOADS_TO_READ - targets.len();
        targets.extend(preferred.choose_multiple(&mut rng, left).map(|it| it.info.name.clone()));
        let name = service.name.clone();
        self.actions.extend(
            targets
                .iter()
                .map(|target| Action::ReadLoad { service: name.clone(), target: target.clone() }),
        );
        self.requests[&id].reading = Some(Reading { begun_at: now, targets, is_pending: true });
        true
    }

    /// Picks a target by the expected cost of one more request there. Targets in `far` are considered only if their load was
    /// just read, or if a request to one in `near` would probably wait.
    pub(super) fn pick_learned(
        &self,
        now: Timestamp,
        held: &HeldRequest,
        near: &[&Target],
        far: &[&Target],
        salt: u64,
    ) -> Name {
        let mut rng = rng::seeded(salt);
        let service = &self.services[held.service];
        let candidate = |it| self.candidate(now, service, it);
        if held.class() == Class::Batch {
            // Each instance looks at half of the targets, so that they do not all choose the same one.
            let sample = near.choose_multiple(&mut rng, near.len().div_ceil(2).max(2));
            let sample: Vec<_> = sample.copied().map(candidate).collect();
            return chosen(pick(&sample, Wish::Batch, |it| rendezvous_score(salt, it.target)));
        }
        let trial = near.iter().find(|it| {
            it.learned.is_trial_due(now, it.info.concurrency, it.own.total() + it.peers.total())
        });
        if let Some(target) = trial {
            return target.info.name.clone();
        }
        let (mut candidates, others) = self.split_by_subset(service, near);
        let is_fresh =
            |it: &Target| it.learned.reported_at().is_some_and(|it| now.since(it) < FRESH_PERIOD);
        let were_read = others.iter().chain(far).any(|it| is_fresh(it));
        let has_room =
            |it: &Candidate<&Target>| it.outlook.expect(it.outlook.begun()).wait <= MAX_WAIT;
        if were_read {
            // The load of these was just read, so that it says more than what is known of the others.
            candidates = near.iter().chain(far).copied().filter(|it| is_fresh(it)).collect();
        } else {
            // Without new figures, the own requests are the only ones that are certain. The lowest cost of all would be the same for
            // all instances.
            let lowest = with_lowest(&candidates, |it| it.own.total());
            candidates = lowest.choose_multiple(&mut rng, 2).copied().collect();
        }
        let mut candidates: Vec<_> = candidates.iter().copied().map(candidate).collect();
        if candidates.is_empty() || (were_read && !candidates.iter().any(has_room)) {
            // Half of the others, so that instances without room in their subsets do not all choose the same target.
            let sample = others.choose_multiple(&mut rng, others.len().div_ceil(2));
            candidates.extend(sample.copied().map(candidate));
        }
        if !candidates.iter().any(has_room) {
            let sample = far.choose_multiple(&mut rng, REMOTE_CANDIDATES).copied().map(candidate);
            candidates.extend(sample);
        }
        // A prefix decides only between candidates that are otherwise equal: what it saves is little beside a wait, and all
        // instances would send the requests with a popular prefix to the same target.
        let seed = held.request.prefix.unwrap_or(salt);
        chosen(pick(&candidates, Wish::Online, |it| rendezvous_score(seed, it.target)))
    }

    fn candidate<'a>(
        &self,
        now: Timestamp,
        service: &Service,
        target: &'a Target,
    ) -> Candidate<&'a Target> {
        Candidate {
            target,
            outlook: target.outlook(&self.settings, now, &service.usual),
            distance: if target.local { 0.0 } else { REMOTE_SECONDS },
        }
    }

    /// Splits targets into those of the instance's subset and the others; without a subset, all count as in it.
    fn split_by_subset<'a>(
        &self,
        service: &Service,
        targets: &[&'a Target],
    ) -> (Vec<&'a Target>, Vec<&'a Target>) {
        let subset = self.target_subset.map(|it| service.targets.subset(it)).unwrap_or_default();
        if subset.is_empty() {
            return (targets.to_vec(), Vec::new());
        }
        let is_in_subset =
            |it: &&Target| subset.iter().any(|in_it| in_it.info.name == it.info.name);
        targets.iter().copied().partition(is_in_subset)
    }
}

fn chosen(candidate: Option<Candidate<&Target>>) -> Name {
    candidate.expect("a target is free").target.info.name.clone()
}
