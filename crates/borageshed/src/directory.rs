//! Where the targets listen.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use fleet::{Document, QualifiedName};
use stdx::{Name, value_type};
use twox_hash::XxHash64;

value_type! {
    /// The short identity of a service, by which daemons name it to each other.
    #[derive(Copy)]
    pub struct ServiceId(pub u64);
}

value_type! {
    /// The short identity of a target, by which daemons name it to each other.
    ///
    /// It is a 32-bit hash: of 910 targets, two collide with a probability of 1e-4, and would share their load.
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

/// The targets of one moment.
#[derive(Debug, Default)]
pub struct TargetTable {
    addresses: BTreeMap<TargetName, SocketAddr>,
    targets: HashMap<TargetId, TargetName>,
    services: HashMap<ServiceId, QualifiedName>,
}

/// Holds the targets; readers get a snapshot.
#[derive(Debug, Default)]
pub struct Directory {
    current: RwLock<Arc<TargetTable>>,
}

impl ServiceId {
    /// Returns the short identity of a service.
    pub fn of(service: &QualifiedName) -> Self {
        const SEED: u64 = 1;
        Self(XxHash64::oneshot(SEED, service.to_string().as_bytes()))
    }
}

impl TargetId {
    /// Returns the short identity of a target.
    pub fn of(service: &QualifiedName, target: &Name) -> Self {
        let ServiceId(seed) = ServiceId::of(service);
        let hash = XxHash64::oneshot(seed, target.as_bytes());
        // Any 32 bits of the hash are as good as others.
        Self((hash >> 32) as u32)
    }
}

impl TargetTable {
    /// Collects targets with their addresses.
    pub fn new(targets: impl IntoIterator<Item = (TargetName, SocketAddr)>) -> Self {
        let mut table = Self::default();
        for (name, address) in targets {
            let id = TargetId::of(&name.service, &name.target);
            table.services.insert(ServiceId::of(&name.service), name.service.clone());
            table.targets.insert(id, name.clone());
            table.addresses.insert(name, address);
        }
        table
    }

    /// Collects the targets that a document declares.
    pub fn from_document(document: &Document) -> Self {
        let targets = document.services.iter().flat_map(|(service, it)| {
            it.targets.iter().map(|(target, it)| {
                let name = TargetName { service: service.clone(), target: target.clone() };
                (name, it.address)
            })
        });
        Self::new(targets)
    }

    /// Returns the target with a short identity.
    pub fn target(&self, id: TargetId) -> Option<&TargetName> {
        self.targets.get(&id)
    }

    /// Returns the service with a short identity, if it has targets.
    pub fn service(&self, id: ServiceId) -> Option<&QualifiedName> {
        self.services.get(&id)
    }
}

impl Directory {
    /// Replaces all targets.
    pub fn set(&self, table: TargetTable) {
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(table);
    }

    /// Returns the targets of this moment.
    pub fn snapshot(&self) -> Arc<TargetTable> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns where a target listens.
    pub fn address(&self, service: &QualifiedName, target: &Name) -> Option<SocketAddr> {
        let name = TargetName { service: service.clone(), target: target.clone() };
        self.snapshot().addresses.get(&name).copied()
    }
}
