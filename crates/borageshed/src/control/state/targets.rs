//! Applies documents and lists of targets.

use std::{collections::BTreeMap, sync::Arc};

use fleet::{Document, QualifiedName};
use policy::dispatch::{self, target_infos};
use stdx::{Name, Timestamp};

use super::State;

impl State {
    pub(super) fn set_document(
        &mut self,
        now: Timestamp,
        document: Arc<Document>,
        withdrawn: Vec<(QualifiedName, Name)>,
    ) {
        let previous = self.document.replace(Arc::clone(&document));
        match &mut self.rate {
            Some(rate) => {
                let actions = rate.limiter.set_document(now, &document);
                self.perform_rate_actions(now, actions);
            }
            None => self.rate = Some(self.new_rate_state(now, &document)),
        }
        self.set_all_targets(now);
        let removed = previous.iter().flat_map(|it| it.services.keys());
        for name in removed.filter(|it| !document.services.contains_key(*it)) {
            self.set_targets(now, name, Vec::new());
        }
        for (account, key) in withdrawn {
            self.withdraw_key(now, account, key);
        }
    }

    /// Replaces the lists of registered targets.
    pub(super) fn set_registry(
        &mut self,
        now: Timestamp,
        services: BTreeMap<QualifiedName, Vec<dispatch::TargetInfo>>,
    ) {
        let previous = self.registry.replace(services);
        let names = previous.iter().flat_map(BTreeMap::keys);
        let removed = names.filter(|it| self.registered(it).is_none());
        for service in removed.cloned().collect::<Vec<_>>() {
            self.set_targets(now, &service, Vec::new());
        }
        let Some(document) = self.document.clone() else { return };
        for name in document.services.keys() {
            let is_known =
                previous.as_ref().is_some_and(|it| it.get(name) == self.registered(name));
            if !is_known {
                let targets = self.registered(name).cloned().unwrap_or_default();
                self.set_targets(now, name, targets);
            }
        }
    }

    /// Returns the registered targets of a service.
    fn registered(&self, service: &QualifiedName) -> Option<&Vec<dispatch::TargetInfo>> {
        self.registry.as_ref()?.get(service)
    }

    fn set_all_targets(&mut self, now: Timestamp) {
        let Some(document) = self.document.clone() else { return };
        for (name, service) in &document.services {
            let targets = match &self.registry {
                Some(registry) => registry.get(name).cloned().unwrap_or_default(),
                None => target_infos(service),
            };
            self.set_targets(now, name, targets);
        }
    }

    fn set_targets(
        &mut self,
        now: Timestamp,
        service: &QualifiedName,
        mut targets: Vec<dispatch::TargetInfo>,
    ) {
        let services = self.document.as_ref().map(|it| &it.services);
        let rate = services.and_then(|it| it.get(service)).map_or(0, |it| it.cold_rate_millis);
        for target in &mut targets {
            target.cold_rate_millis = rate;
        }
        let event = dispatch::Event::TargetsChanged { service: service.clone(), targets };
        let actions = self.dispatcher.on_event(now, event);
        self.perform_actions(actions);
    }
}
