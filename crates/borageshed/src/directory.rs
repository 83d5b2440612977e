//! The addresses of the targets, and short ids for services and targets.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Instant,
};

use fleet::{Document, QualifiedName};
use stdx::{Name, value_type};
use twox_hash::XxHash64;

value_type! {
    /// The short id of a service in messages between daemons.
    #[derive(Copy)]
    pub struct ServiceId(pub u64);
}

value_type! {
    /// The short id of a target in messages between daemons.
    ///
    /// It is a 32-bit hash: among 910 targets, the probability that two collide is 1e-4. Colliding targets
    /// would share their reported load.
    #[derive(Copy)]
    pub struct TargetId(pub u32);
}

value_type! {
    /// A target with its service.
    pub struct TargetName {
        /// The service.
        pub service: QualifiedName,
        /// The name of the target within the service.
        pub target: Name,
    }
}

value_type! {
    /// What is known of a target.
    pub struct TargetEntry {
        /// The address on which the target listens.
        pub address: SocketAddr,
        /// The version of the target's software; empty if unknown.
        pub version: Name,
        /// Whether the last list names the target.
        pub listed: bool,
        /// The failure domain of the target.
        pub failure_domain: Name,
        /// Until when the target is cold; `None` if it is not or if cold targets are treated as others.
        pub cold_until: Option<Instant>,
    }
}

/// A snapshot of the targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    entries: BTreeMap<TargetName, TargetEntry>,
    targets: HashMap<TargetId, (TargetName, ServiceId)>,
    /// One target for each address: a listed one if there is any.
    by_address: HashMap<SocketAddr, TargetName>,
    services: HashMap<ServiceId, QualifiedName>,
}

/// Holds the current targets; readers get a snapshot.
#[derive(Debug, Default)]
pub struct Directory {
    current: RwLock<Arc<TargetTable>>,
}

impl ServiceId {
    /// Returns the short id of a service.
    pub fn of(service: &QualifiedName) -> Self {
        const SEED: u64 = 1;
        Self(XxHash64::oneshot(SEED, service.to_string().as_bytes()))
    }
}

impl TargetId {
    /// Returns the short id of a target.
    pub fn of(service: &QualifiedName, target: &Name) -> Self {
        Self::in_service(ServiceId::of(service), target)
    }

    /// Returns the short id of a target of a service, given that of the service.
    pub fn in_service(service: ServiceId, target: &Name) -> Self {
        let ServiceId(seed) = service;
        let hash = XxHash64::oneshot(seed, target.as_bytes());
        // The bits of the hash are equally well distributed, so any 32 of them will do.
        Self((hash >> 32) as u32)
    }
}

impl TargetTable {
    /// Creates a table of targets.
    pub fn new(targets: impl IntoIterator<Item = (TargetName, TargetEntry)>) -> Self {
        let mut table = Self::default();
        let mut last: Option<(QualifiedName, ServiceId)> = None;
        for (name, entry) in targets {
            // Most targets belong to the same service as the one before.
            let service = match last.take().filter(|(it, _)| *it == name.service) {
                Some(it) => it,
                None => {
                    let id = ServiceId::of(&name.service);
                    table.services.insert(id, name.service.clone());
                    (name.service.clone(), id)
                }
            };
            let id = TargetId::in_service(service.1, &name.target);
            table.targets.insert(id, (name.clone(), service.1));
            last = Some(service);
            if entry.listed || !table.by_address.contains_key(&entry.address) {
                table.by_address.insert(entry.address, name.clone());
            }
            table.entries.insert(name, entry);
        }
        table
    }

    /// Creates a table of the targets that a document declares.
    pub fn from_document(document: &Document) -> Self {
        let targets = document.services.iter().flat_map(|(service, it)| {
            it.targets.iter().map(|(target, it)| {
                let name = TargetName { service: service.clone(), target: target.clone() };
                let entry = TargetEntry {
                    address: it.address,
                    version: Name::from(""),
                    listed: true,
                    failure_domain: it.failure_domain.clone(),
                    cold_until: None,
                };
                (name, entry)
            })
        });
        Self::new(targets)
    }

    /// Returns the target with the given short id.
    pub fn target(&self, id: TargetId) -> Option<&TargetName> {
        self.targets.get(&id).map(|(name, _)| name)
    }

    /// Returns the short id of the service of the target with the given short id.
    pub fn service_of(&self, id: TargetId) -> Option<ServiceId> {
        self.targets.get(&id).map(|(_, service)| *service)
    }

    /// Returns the service with the given short id, if it has targets.
    pub fn service(&self, id: ServiceId) -> Option<&QualifiedName> {
        self.services.get(&id)
    }
}

impl TargetTable {
    /// Returns the targets that the last list names.
    pub fn listed(&self) -> impl Iterator<Item = (&TargetName, &TargetEntry)> {
        self.entries.iter().filter(|(_, it)| it.listed)
    }

    /// Returns whether a target at an address is cold.
    pub fn is_cold(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        self.at_address(address).any(|it| it.cold_until.is_some_and(|until| now < until))
    }

    /// Returns a target that listens on an address, with its name; a listed one if there is any.
    pub fn named_at(&self, address: SocketAddr) -> Option<(&TargetName, &TargetEntry)> {
        self.entries.get_key_value(self.by_address.get(&address)?)
    }

    /// Returns the targets that listen on an address.
    pub fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values().filter(move |it| it.address == address)
    }
}

impl Directory {
    /// Replaces all targets.
    pub fn set(&self, table: TargetTable) {
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(table);
    }

    /// Returns a snapshot of the current targets.
    pub fn snapshot(&self) -> Arc<TargetTable> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the address of a target.
    pub fn address(&self, service: &QualifiedName, target: &Name) -> Option<SocketAddr> {
        Some(self.entry(service, target)?.address)
    }

    /// Returns what is known of a target.
    pub fn entry(&self, service: &QualifiedName, target: &Name) -> Option<TargetEntry> {
        let name = TargetName { service: service.clone(), target: target.clone() };
        self.snapshot().entries.get(&name).cloned()
    }
}
