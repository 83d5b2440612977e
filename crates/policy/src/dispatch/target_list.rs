//! Changes of the target list, and shutdowns that targets announce themselves.

use std::collections::HashSet;

use fleet::QualifiedName;
use stdx::{Name, Timestamp};

use super::{
    allowance::Allowance,
    capacity::Learned,
    dispatcher::Dispatcher,
    event::TargetInfo,
    health::{HealthEvent, HealthState},
    service::Service,
    target::Target,
};

impl Dispatcher {
    /// Replaces the targets of a service by those of the target list.
    pub(super) fn on_targets_changed(
        &mut self,
        now: Timestamp,
        name: QualifiedName,
        targets: Vec<TargetInfo>,
    ) {
        let entry = self.services.entry(name.clone());
        let index = entry.index();
        let service = entry.or_insert_with(|| Service::new(name, &self.settings));
        let is_listed = |it: &Name| service.targets.get(it).is_some_and(|it| it.listed);
        let returned: Vec<Name> = targets
            .iter()
            .filter(|it| self.poison.is_evidence_target(&it.name) && !is_listed(&it.name))
            .map(|it| it.name.clone())
            .collect();
        let listed: HashSet<&Name> = targets.iter().map(|it| &it.name).collect();
        for target in service.targets.values_mut() {
            target.listed = listed.contains(&target.info.name);
        }
        let gone = service.targets.values().filter(|it| !it.listed);
        gone.for_each(|it| self.poison.confirm_death(now, &it.info.name));
        let mut changed = Vec::new();
        for mut info in targets {
            info.leaving |= self.leaving_targets.contains(&service.name, &info);
            let local = info.failure_domain == self.settings.failure_domain;
            let (name, leaving) = (info.name.clone(), info.leaving);
            let target =
                service.targets.get_or_insert_with(&name, || Target::new(info.clone(), local));
            if target.info.incarnation != info.incarnation {
                target.allowance = Allowance::default();
                target.learned = Learned::default();
            }
            target.access = self.evacuation.access(&info.failure_domain);
            target.info = info;
            target.local = local;
            changed.push((name, leaving));
        }
        service.targets.retain(|it| it.listed || it.own.total() > 0);
        for (target, leaving) in changed {
            let was_leaving =
                self.services[index].targets[&target].health.state() == HealthState::Leaving;
            match (was_leaving, leaving) {
                (false, true) => self.apply_health_event(now, index, &target, HealthEvent::Leaving),
                (true, false) => {
                    self.apply_health_event(now, index, &target, HealthEvent::Returned)
                }
                // A new target's first probe goes out at once.
                (false, false) => self.send_wanted_probe(now, index, &target),
                (true, true) => {}
            }
        }
        for target in returned {
            self.on_target_alive(now, index, &target, now);
        }
        self.refresh_cold(now, index);
        self.share_limits(now, index);
        self.recount_peer_loads(index);
        self.refresh_targets(now, index);
        self.schedule(now, index);
    }

    /// Sends no new work to this incarnation of a target, even if the target list still offers it.
    pub(super) fn on_target_leaving(
        &mut self,
        now: Timestamp,
        service: &QualifiedName,
        name: &Name,
    ) {
        let Some((index, target)) = self.target_mut(service, name) else { return };
        target.info.leaving = true;
        let info = target.info.clone();
        self.leaving_targets.record(service, &info);
        if self.services[index].targets[name].health.state() != HealthState::Leaving {
            self.apply_health_event(now, index, name, HealthEvent::Leaving);
            self.refresh_targets(now, index);
            self.schedule(now, index);
        }
    }
}
