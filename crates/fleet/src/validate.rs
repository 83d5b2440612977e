//! Checks across sections, and checks of a document against the one that it replaces.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use stdx::{
    Name,
    jsonc::{LocatedError, Step},
};
use thiserror::Error;

use crate::{
    host_route::HostRoutes,
    model::{Document, FleetSection, Service, ServiceKind},
    names::{Kind, QualifiedName},
    section::{Section, SectionBody, SectionId, path},
};

/// The result of assembling a document.
pub type Result<T> = std::result::Result<T, ValidateError>;

/// Why sections do not form a valid document.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ValidateError {
    /// There is no `fleet` section.
    #[error("the document has no section `fleet`")]
    NoFleetSection,
    /// A section occurs twice.
    #[error("section `{0}` is given twice")]
    DuplicateSection(SectionId),
    /// A value is invalid.
    #[error(transparent)]
    Located(#[from] LocatedError),
    /// The number of rate slots differs from the one in force.
    #[error(
        "rate_slots is {in_force} and cannot change to {new}; instances hold shares of the old number"
    )]
    RateSlotsChanged {
        /// The number in force.
        in_force: u32,
        /// The number in the new document.
        new: u32,
    },
}

impl Document {
    /// Validates sections against each other and assembles the document.
    ///
    /// # Errors
    ///
    /// Returns the first error, with its position if it has one.
    pub fn assemble(sections: &[Section]) -> Result<Self> {
        let fleet = fleet_section(sections)?.clone();
        let mut document = Self {
            fleet,
            accounts: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            batch: BTreeMap::new(),
            host_routes: HostRoutes::default(),
        };
        sections.iter().try_for_each(|it| document.add_section(it))?;
        sections.iter().try_for_each(|it| document.check_section(it))?;
        check_unique_keys(sections)?;
        check_unique_addresses(sections)?;
        Ok(document)
    }

    /// Checks that this document may replace `in_force`.
    ///
    /// # Errors
    ///
    /// Returns an error if a value differs that cannot change after the first revision.
    pub fn check_successor_of(&self, in_force: &Self) -> Result<()> {
        let (old, new) = (in_force.fleet.rate_slots, self.fleet.rate_slots);
        if old == new {
            Ok(())
        } else {
            Err(ValidateError::RateSlotsChanged { in_force: old, new })
        }
    }

    fn add_section(&mut self, section: &Section) -> Result<()> {
        let Some(origin) = section.id.origin() else { return Ok(()) };
        if !self.fleet.origins.contains(origin) {
            let message = format!(
                "section `{}` belongs to fleet {origin:?}, which `fleet` does not list under origins",
                section.id
            );
            return Err(section.source.error_at(&[], &message).into());
        }
        let qualify =
            |kind, name: &Name| QualifiedName { origin: origin.clone(), kind, name: name.clone() };
        match &section.body {
            SectionBody::Fleet(_) => {}
            SectionBody::Accounts(accounts) => {
                self.accounts.extend(
                    accounts.iter().map(|(name, it)| (qualify(Kind::Account, name), it.clone())),
                );
            }
            SectionBody::Models(models) => {
                self.models.extend(
                    models.iter().map(|(name, it)| (qualify(Kind::Model, name), it.clone())),
                );
            }
            SectionBody::Services(services) => {
                self.services.extend(
                    services.iter().map(|(name, it)| (qualify(Kind::Service, name), it.clone())),
                );
            }
            SectionBody::Batch(limits) => {
                self.batch.insert(origin.clone(), limits.clone());
            }
        }
        Ok(())
    }

    fn check_section(&self, section: &Section) -> Result<()> {
        let (SectionBody::Services(services), Some(origin)) = (&section.body, section.id.origin())
        else {
            return Ok(());
        };
        let mut offered = HashMap::new();
        for (name, service) in services {
            self.check_targets(section, name, service)?;
            let ServiceKind::Model(model) = &service.serves else { continue };
            let id =
                QualifiedName { origin: origin.clone(), kind: Kind::Model, name: model.clone() };
            let at = path([name, "serves", "model"]);
            if !self.models.contains_key(&id) {
                let message = format!("model {id} does not exist");
                return Err(section.source.error_at(&at, &message).into());
            }
            if let Some(other) = offered.insert(model, name) {
                let message = format!("model {id} is already offered by service {other:?}");
                return Err(section.source.error_at(&at, &message).into());
            }
        }
        Ok(())
    }

    fn check_targets(&self, section: &Section, name: &Name, service: &Service) -> Result<()> {
        for (target_name, target) in &service.targets {
            if !self.fleet.failure_domains.contains_key(&target.failure_domain) {
                let known: Vec<_> = self.fleet.failure_domains.keys().map(Name::as_str).collect();
                let message =
                    format!("failure domain does not exist; use one of {}", known.join(", "));
                let at = path([name, "targets", target_name, "failure_domain"]);
                return Err(section.source.error_at(&at, &message).into());
            }
        }
        Ok(())
    }
}

fn fleet_section(sections: &[Section]) -> Result<&FleetSection> {
    let mut seen = std::collections::BTreeSet::new();
    if let Some(section) = sections.iter().find(|it| !seen.insert(&it.id)) {
        return Err(ValidateError::DuplicateSection(section.id.clone()));
    }
    let fleet = sections.iter().find_map(|it| match &it.body {
        SectionBody::Fleet(fleet) => Some(fleet),
        _ => None,
    });
    fleet.ok_or(ValidateError::NoFleetSection)
}

/// Rejects a key that two accounts share, because a request must run for exactly one account.
fn check_unique_keys(sections: &[Section]) -> Result<()> {
    let mut owners = HashMap::new();
    for section in sections {
        let SectionBody::Accounts(accounts) = &section.body else { continue };
        for (name, account) in accounts {
            for (i, key) in account.keys.iter().enumerate() {
                let Some(other) = owners.insert(&key.sha256, (&section.id, name)) else { continue };
                let mut at = path([name, "keys"]);
                at.extend([Step::Index(i), Step::Key(Name::new("sha256"))]);
                let message = format!(
                    "key {:?} is already a key of account {:?} in `{}`",
                    key.id, other.1, other.0
                );
                return Err(section.source.error_at(&at, &message).into());
            }
        }
    }
    Ok(())
}

/// Rejects an address that two targets share, because each would count its concurrency limit separately.
fn check_unique_addresses(sections: &[Section]) -> Result<()> {
    let mut owners: HashMap<SocketAddr, (&SectionId, &Name, &Name)> = HashMap::new();
    for section in sections {
        let SectionBody::Services(services) = &section.body else { continue };
        for (service_name, service) in services {
            for (target_name, target) in &service.targets {
                let owner = (&section.id, service_name, target_name);
                let Some(other) = owners.insert(target.address, owner) else { continue };
                let at = path([service_name, "targets", target_name, "address"]);
                let message =
                    format!("address is already used by {}.{} in `{}`", other.1, other.2, other.0);
                return Err(section.source.error_at(&at, &message).into());
            }
        }
    }
    Ok(())
}
