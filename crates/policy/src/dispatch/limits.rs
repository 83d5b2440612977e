//! The limits that targets name: what is known of them, and which instances share them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fleet::QualifiedName;
use stdx::{Name, Timestamp, record_type, value_type};

use super::{
    allowance::{Sharing, TargetLimit},
    dispatcher::Dispatcher,
    evacuation::Access,
    request::Action,
};

/// How often peers are told of a limit while answers name it, for those that have missed it.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

record_type! {
    /// The registered instances, as far as they send requests to targets.
    #[derive(Default)]
    pub struct Instances {
        /// The failure domain of each instance that admits callers, including this one if it does.
        pub admitting: BTreeMap<Name, Name>,
        /// The instances that have announced their shutdown and complete the requests that they hold.
        pub leaving: BTreeSet<Name>,
        /// The instances that run batch items, in all failure domains, including this one if it does.
        pub runners: BTreeSet<Name>,
        /// Whether the list is current and contains this instance; instances that know nothing of each other must not each assume that
        /// they are alone.
        pub is_current: bool,
    }
}

value_type! {
    /// What an instance knows about the limit of a target.
    pub struct LimitNews {
        /// The service of the target.
        pub service: QualifiedName,
        /// The name of the target.
        pub target: Name,
        /// The incarnation of the target, in the sense of [`TargetInfo::incarnation`](super::TargetInfo::incarnation).
        pub incarnation: u64,
        /// The limit; `None` if the target names none any more.
        pub limit: Option<TargetLimit>,
        /// How long ago this was true.
        pub age: Duration,
    }
}

impl Dispatcher {
    /// Takes what an answer says about the limit of its target. The request was sent at `sent_at`.
    ///
    /// Answers on different connections overtake each other, so only an answer to a request that was sent after the target last
    /// named a limit shows that the limit has ended.
    pub(super) fn on_answer_limit(
        &mut self,
        now: Timestamp,
        (service, target): (QualifiedName, Name),
        limit: Option<TargetLimit>,
        sent_at: Timestamp,
    ) {
        let Some((index, state)) = self.target_mut(&service, &target) else { return };
        let allowance = &mut state.allowance;
        let changed = match limit {
            Some(limit) => allowance.set(now, now, limit),
            None => allowance.clear(sent_at),
        };
        let is_due = limit.is_some() && now.since(allowance.announced_at) >= ANNOUNCEMENT_INTERVAL;
        if changed {
            self.on_limit_changed(now, index, &target);
        }
        if changed || is_due {
            self.announce_limit(now, index, &target, None);
        }
    }

    /// Takes what a peer knows about the limit of a target.
    pub(super) fn on_limit_news(&mut self, now: Timestamp, news: &LimitNews) {
        let Some((index, state)) = self.target_mut(&news.service, &news.target) else { return };
        if state.info.incarnation != news.incarnation {
            return;
        }
        let as_of = Timestamp::from_micros(
            now.as_micros().saturating_sub(news.age.as_micros().try_into().unwrap_or(u64::MAX)),
        );
        let allowance = &mut state.allowance;
        allowance.announced_at = now;
        let changed = match news.limit {
            Some(limit) => allowance.set(now, as_of, limit),
            None => allowance.clear(as_of),
        };
        if changed {
            self.on_limit_changed(now, index, &news.target);
        }
    }

    /// Tells a peer that has become reachable of all limits, since it may just have started.
    pub(super) fn announce_limits_to(&mut self, now: Timestamp, peer: &Name) {
        for service in 0..self.services.len() {
            let targets = self.services[service].targets.values();
            let limited = targets.filter(|it| it.allowance.limit().is_some());
            for target in limited.map(|it| it.info.name.clone()).collect::<Vec<_>>() {
                self.announce_limit(now, service, &target, Some(peer));
            }
        }
    }

    pub(super) fn set_instances(&mut self, now: Timestamp, instances: Instances) {
        self.cold_start.set_current(now, instances.is_current);
        self.observe_cold(now);
        if self.instances == instances {
            return;
        }
        self.instances = instances;
        for service in 0..self.services.len() {
            self.share_limits(now, service);
        }
    }

    /// Computes this instance's parts of the limits of a service's targets.
    pub(super) fn share_limits(&mut self, now: Timestamp, service: usize) {
        let targets = &mut self.services[service].targets;
        let limited = targets.limited();
        let is_home_limited = limited.iter().any(|it| it.local)
            || targets.local().iter().any(|it| it.access == Access::Closed);
        let named = limited.iter().filter(|it| it.allowance.limit().is_some());
        let named: Vec<Name> = named.map(|it| it.info.name.clone()).collect();
        for at in 0..targets.len() {
            let replaces_limited = is_home_limited && !targets[at].local;
            if targets[at].replaces_limited != replaces_limited {
                targets[at].replaces_limited = replaces_limited;
            }
        }
        for target in named {
            let sharing = self.sharing(service, &target);
            self.services[service].targets[&target].allowance.set_sharing(now, sharing);
        }
        self.share_cold_limits(now, service);
    }

    /// Returns whether all instances that send online requests to a target can be reached, so that their load reports show how
    /// far its limit is used.
    pub(super) fn reaches_online_users(&self, failure_domain: &Name) -> bool {
        self.online_users(failure_domain)
            .iter()
            .all(|it| *it == &self.settings.instance || self.linked_peers.contains(*it))
    }

    fn on_limit_changed(&mut self, now: Timestamp, service: usize, target: &Name) {
        self.share_limits(now, service);
        let state = &self.services[service];
        let limit = state.targets[target].allowance.limit();
        let (service_name, target) = (state.name.clone(), target.clone());
        self.actions.push(Action::LimitChanged { service: service_name, target, limit });
        self.schedule(now, service);
    }

    fn announce_limit(&mut self, now: Timestamp, service: usize, target: &Name, to: Option<&Name>) {
        let service = &mut self.services[service];
        let target = &mut service.targets[target];
        target.allowance.announced_at = now;
        let news = LimitNews {
            service: service.name.clone(),
            target: target.info.name.clone(),
            incarnation: target.info.incarnation,
            limit: target.allowance.limit(),
            age: now.since(target.allowance.news_at()),
        };
        self.actions.push(Action::ShareLimit { to: to.cloned(), news });
    }

    fn sharing(&self, service: usize, target: &Name) -> Sharing {
        let targets = &self.services[service].targets;
        let state = &targets[target];
        let Some(limit) = state.allowance.limit() else { return Sharing::default() };
        let domain = &state.info.failure_domain;
        let in_domain = |it: &&super::target::Target| it.info.failure_domain == *domain;
        let names = targets.values().filter(in_domain).map(|it| &it.info.name);
        let names: BTreeSet<&Name> = names.collect();
        let position = (names.iter().position(|it| *it == target).unwrap_or(0), names.len());
        let mut serving = targets.values().filter(|it| it.takes_work());
        let all_limited = serving.all(|it| it.allowance.limit().is_some());
        let online = self.online_users(domain);
        let runners: Vec<&Name> = self.instances.runners.iter().collect();
        let own = &self.settings.instance;
        Sharing {
            online_users: online.len().min(limit.max_online_users()),
            is_online_user: is_in_window(&online, own, position, limit.max_online_users()),
            batch_users: runners.len().min(limit.max_batch_users()),
            is_batch_user: is_in_window(&runners, own, position, limit.max_batch_users()),
            all_limited,
        }
    }

    /// Returns the instances that send online requests to the limited targets of a failure domain: those that admit callers
    /// there, or all if there are none.
    pub(super) fn online_users(&self, failure_domain: &Name) -> Vec<&Name> {
        let admitting = &self.instances.admitting;
        let local = admitting.iter().filter(|(_, it)| *it == failure_domain);
        let local: Vec<&Name> = local.map(|(name, _)| name).collect();
        match local.is_empty() {
            true => admitting.keys().collect(),
            false => local,
        }
    }
}

/// Returns whether `own` is among the instances that use the target at a position in the list of targets. The windows of all
/// targets cover the instances evenly.
fn is_in_window(
    instances: &[&Name],
    own: &Name,
    (target, targets): (usize, usize),
    size: usize,
) -> bool {
    let Some(index) = instances.iter().position(|it| *it == own) else { return false };
    let first = target * instances.len() / targets.max(1);
    (index + instances.len() - first) % instances.len() < size
}
