//! The failure domains whose targets get no new work, because the operator has evacuated them.
//!
//! What is known of them counts as old after the process did not run for a while: an order may have been given meanwhile. Then
//! nothing is sent until the domains have been read again, or until that has taken so long that the last known ones stay in force.

use std::{collections::BTreeSet, time::Duration};

use stdx::{Name, Timestamp, record_type, value_type};

use super::{
    dispatcher::Dispatcher,
    request::{Action, Reason},
    service::Service,
};

/// A longer time between two calls means that the process did not run. Ticks come at least every 200 ms; together with a read, a longer pause could exceed
/// the time after which an order must be in force.
pub(super) const MAX_PAUSE: Duration = Duration::from_secs(1);
/// How long nothing is sent while the domains cannot be read again after a pause.
const MAX_HOLD: Duration = Duration::from_secs(3);
/// The time that reading the domains again usually takes.
pub(super) const READ_TIME: Duration = Duration::from_millis(50);

/// What this instance knows of the evacuated failure domains.
#[derive(Debug)]
pub struct Evacuation {
    is_enabled: bool,
    /// The evacuated domains; `None` before the first read.
    known: Option<BTreeSet<Name>>,
    last_call: Option<Timestamp>,
    /// The end of the last pause, until the domains have been read again.
    held_since: Option<Timestamp>,
}

value_type! {
    /// Whether requests may be sent to the targets of a failure domain.
    #[derive(Copy)]
    pub enum Access {
        /// They may be sent.
        Open,
        /// None may be sent before the evacuated domains have been read again.
        Held,
        /// The domain is evacuated, or the evacuated domains are not known yet.
        Closed,
    }
}

value_type! {
    /// What the time of a call shows.
    #[derive(Copy)]
    pub enum ClockGap {
        /// Nothing.
        None,
        /// The process has not run for a while, so that the domains must be read again.
        Paused,
        /// Reading the domains again has taken too long; the last known ones stay in force.
        RereadTimedOut,
    }
}

record_type! {
    /// How the evacuated domains have changed.
    #[derive(Default)]
    pub struct EvacuationChange {
        /// The domains whose evacuation has begun.
        pub began: Vec<Name>,
        /// The domains whose evacuation has ended.
        pub ended: Vec<Name>,
        /// Whether the access to other domains may have changed as well.
        pub opened: bool,
    }
}

impl Evacuation {
    /// Creates the knowledge of a process that has just started. Without evacuations, all domains are open.
    pub fn new(is_enabled: bool) -> Self {
        Self { is_enabled, known: None, last_call: None, held_since: None }
    }

    /// Takes the time of a call. Must be called at least every [`MAX_PAUSE`], and before [`Self::access`].
    pub fn observe(&mut self, now: Timestamp) -> ClockGap {
        if !self.is_enabled {
            return ClockGap::None;
        }
        let last_call = self.last_call.replace(now);
        if last_call.is_some_and(|it| now.since(it) > MAX_PAUSE) && self.known.is_some() {
            self.held_since = Some(now);
            return ClockGap::Paused;
        }
        if self.held_since.is_some_and(|it| now.since(it) >= MAX_HOLD) {
            self.held_since = None;
            return ClockGap::RereadTimedOut;
        }
        ClockGap::None
    }

    /// Takes the complete set of evacuated domains, and the time at which the store had no others, if that is certain.
    pub fn set(
        &mut self,
        confirmed_at: Option<Timestamp>,
        domains: BTreeSet<Name>,
    ) -> EvacuationChange {
        if !self.is_enabled {
            return EvacuationChange::default();
        }
        let is_reread = self.held_since.is_some_and(|it| confirmed_at >= Some(it));
        if is_reread {
            self.held_since = None;
        }
        let opened = is_reread || self.known.is_none();
        let after = domains.clone();
        let before = self.known.replace(domains).unwrap_or_default();
        EvacuationChange {
            began: after.difference(&before).cloned().collect(),
            ended: before.difference(&after).cloned().collect(),
            opened,
        }
    }

    /// Returns whether requests may be sent to the targets of a failure domain.
    pub fn access(&self, failure_domain: &Name) -> Access {
        match &self.known {
            _ if !self.is_enabled => Access::Open,
            None => Access::Closed,
            Some(known) if known.contains(failure_domain) => Access::Closed,
            Some(_) if self.held_since.is_some() => Access::Held,
            Some(_) => Access::Open,
        }
    }

    /// Returns whether it is known which domains are evacuated, or none can be.
    pub fn is_known(&self) -> bool {
        !self.is_enabled || self.known.is_some()
    }

    /// Returns whether the access to any domain may be other than [`Access::Open`].
    fn is_active(&self) -> bool {
        self.is_enabled
            && (self.held_since.is_some() || self.known.as_ref().is_none_or(|it| !it.is_empty()))
    }
}

impl EvacuationChange {
    /// Returns whether the access to any domain may have changed.
    pub fn is_any(&self) -> bool {
        self.opened || !self.began.is_empty() || !self.ended.is_empty()
    }
}

impl Dispatcher {
    /// Takes the time of a call before anything is decided in it.
    pub(super) fn observe_time(&mut self, now: Timestamp) {
        self.observe_cold(now);
        match self.evacuation.observe(now) {
            ClockGap::None => {}
            ClockGap::Paused => {
                self.actions.push(Action::ReadEvacuations);
                self.update_access(now);
            }
            ClockGap::RereadTimedOut => {
                self.update_access(now);
                (0..self.services.len()).for_each(|it| self.schedule(now, it));
            }
        }
    }

    pub(super) fn on_evacuations(
        &mut self,
        now: Timestamp,
        domains: BTreeSet<Name>,
        confirmed_at: Option<Timestamp>,
    ) {
        let change = self.evacuation.set(confirmed_at, domains);
        if !change.is_any() {
            return;
        }
        for domain in &change.ended {
            self.cold_start.record_return(now, domain.clone());
        }
        self.update_access(now);
        (0..self.services.len()).for_each(|it| self.refresh_cold(now, it));
        let domains = change.began.into_iter().map(|it| (it, true));
        for (domain, evacuated) in domains.chain(change.ended.into_iter().map(|it| (it, false))) {
            self.report_evacuation(domain, evacuated);
        }
        for service in 0..self.services.len() {
            self.schedule(now, service);
            self.refuse_evacuated(service);
        }
    }

    /// Refuses the waiting requests of services of which no target will take work because of evacuations.
    pub(super) fn refuse_all_evacuated(&mut self) {
        if !self.evacuation.is_active() {
            return;
        }
        for service in 0..self.services.len() {
            if !self.services[service].targets.values().any(|it| it.will_take_work()) {
                self.refuse_evacuated(service);
            }
        }
    }

    /// Returns why no target of a service will take work.
    pub(super) fn no_target_reason(&self, service: usize) -> Reason {
        match self.services[service].has_closed_targets() {
            true => Reason::Evacuated,
            false => Reason::NoTarget,
        }
    }

    fn update_access(&mut self, now: Timestamp) {
        for service in 0..self.services.len() {
            for target in self.services[service].targets.values_mut() {
                target.access = self.evacuation.access(&target.info.failure_domain);
            }
            self.share_limits(now, service);
        }
    }

    /// Refuses the waiting requests that no target will take because of evacuations.
    fn refuse_evacuated(&mut self, service: usize) {
        let state = &self.services[service];
        if !state.has_closed_targets() {
            return;
        }
        let queued = [&state.online, &state.batch].into_iter().flat_map(|it| it.queue.waiting());
        let waiting = queued.map(|(it, _)| it.id).chain(state.suspects.iter().copied());
        let refused = waiting.filter_map(|id| {
            let held = &self.requests[&id];
            if state.lacks_version(held) {
                return Some((id, Reason::NoTargetOfVersion));
            }
            let fingerprint = &held.request.fingerprint;
            let mut usable = state.targets.values().filter(|it| it.will_take_work());
            let has_target = usable.any(|it| self.poison.may_run_on(fingerprint, &it.info.name));
            (!has_target).then_some((id, Reason::Evacuated))
        });
        for (id, reason) in refused.collect::<Vec<_>>() {
            let retry_after = match reason {
                Reason::NoTargetOfVersion => Duration::ZERO,
                _ => super::dispatcher::clamp_retry_after(None),
            };
            self.refuse_waiting(id, reason, retry_after);
        }
    }

    fn report_evacuation(&mut self, domain: Name, evacuated: bool) {
        let (mut targets, mut in_flight, mut waiting) = (0, 0, 0);
        for service in self.services.values() {
            let here = service.targets.values().filter(|it| it.info.failure_domain == domain);
            let before = targets;
            for target in here {
                targets += 1;
                in_flight += target.own.total() as usize;
            }
            if targets > before {
                waiting +=
                    service.online.queue.len() + service.batch.queue.len() + service.suspects.len();
            }
        }
        let change = Action::EvacuationChanged { domain, evacuated, targets, in_flight, waiting };
        self.actions.push(change);
    }
}

impl Service {
    /// Returns whether requests may not be sent to some targets, because of an evacuation or because the orders are not known yet.
    fn has_closed_targets(&self) -> bool {
        self.targets.values().any(|it| it.listed && it.access == Access::Closed)
    }
}
