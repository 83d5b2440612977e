//! The fleet document: what operators declare about accounts, models, services and batch limits.
//!
//! - [`host_route`]: routes by host and path prefix.
//! - [`member`]: the record by which daemons discover each other.
//! - [`model`]: the typed records of every section and of the assembled document.
//! - [`names`]: qualified names and the resolution of unqualified ones.
//! - [`section`]: section identifiers and parsing.
//! - [`validate`]: checks across sections.
//! - [`revision`]: revisions, content-addressed chunks and the head record.

pub mod host_route;
pub mod member;
pub mod model;
pub mod names;
pub mod revision;
pub mod section;
pub mod validate;

#[cfg(test)]
mod tests;

pub use host_route::{BatchTerms, CallKind, HostRoute, HostRoutes};
pub use member::{EVACUATIONS_PREFIX, MEMBERS_PREFIX, MemberRecord};
pub use model::{
    Account, BatchLimits, Document, FleetSection, Key, Model, Objective, Route, RouteMatch,
    Service, ServiceKind, Target,
};
pub use names::{Kind, QualifiedName};
pub use section::{Section, SectionId};
