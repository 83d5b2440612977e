//! Section identifiers, parsing, and the checks that concern a single section.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use stdx::{
    Name,
    jsonc::{LocatedError, Result, Source, Step},
    value_type,
};
use thiserror::Error;

use crate::model::{Account, BatchLimits, FleetSection, Model, Route, Service, ServiceKind};

/// The maximum length of an object's name, in characters; names become parts of keys in the key-value service.
pub const MAX_NAME_CHARS: usize = 64;
/// The maximum time that a request may wait and run, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// The maximum weight of an account; a wider range would let one account starve the others for whole scheduling rounds.
pub const MAX_WEIGHT: u32 = 1_000;
/// The maximum number of shares of an account's rate; with more, each share of a small account would round to zero.
pub const MAX_RATE_SLOTS: u32 = 4_096;

value_type! {
    /// Identifies a section; each section has one owner.
    #[derive(Serialize, Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub enum SectionId {
        /// The fleet as a whole.
        Fleet,
        /// The client accounts of one fleet of origin.
        Accounts(Name),
        /// The models of one fleet of origin.
        Models(Name),
        /// The services of one fleet of origin.
        Services(Name),
        /// The batch limits of one fleet of origin.
        Batch(Name),
    }
}

/// The error for a text that is not a section identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{text:?} is no section; use `fleet` or `<origin>/accounts`, `/models`, `/services` or `/batch`"
)]
pub struct SectionIdError {
    /// The text.
    pub text: Name,
}

/// A section that passed the checks of [`Section::parse`].
#[derive(Debug, Clone)]
pub struct Section {
    /// Which section it is.
    pub id: SectionId,
    /// The text, kept so that later checks can report positions in it and operators get their comments back.
    pub source: Source,
    /// The parsed content.
    pub body: SectionBody,
}

/// The content of a section.
#[derive(Debug, Clone, PartialEq)]
pub enum SectionBody {
    /// The fleet as a whole.
    Fleet(FleetSection),
    /// Client accounts by name.
    Accounts(BTreeMap<Name, Account>),
    /// Models by name.
    Models(BTreeMap<Name, Model>),
    /// Services by name.
    Services(BTreeMap<Name, Service>),
    /// Batch limits.
    Batch(BatchLimits),
}

impl Section {
    /// Parses a section and runs the checks that need no other section.
    ///
    /// # Errors
    ///
    /// Returns the first error with its position in `file`.
    pub fn parse(id: SectionId, file: &str, text: &str) -> Result<Self> {
        let source = Source::new(file, text);
        let body = match &id {
            SectionId::Fleet => SectionBody::Fleet(source.read()?),
            SectionId::Accounts(_) => SectionBody::Accounts(source.read()?),
            SectionId::Models(_) => SectionBody::Models(source.read()?),
            SectionId::Services(_) => SectionBody::Services(source.read()?),
            SectionId::Batch(_) => SectionBody::Batch(source.read()?),
        };
        Checker { source: &source }.body(&body)?;
        Ok(Self { id, source, body })
    }
}

/// Builds a path into a section's text from keys.
pub(crate) fn path<const N: usize>(keys: [&str; N]) -> Vec<Step> {
    keys.into_iter().map(|it| Step::Key(Name::new(it))).collect()
}

struct Checker<'a> {
    source: &'a Source,
}

impl Checker<'_> {
    fn body(&self, body: &SectionBody) -> Result<()> {
        match body {
            SectionBody::Fleet(fleet) => self.fleet(fleet),
            SectionBody::Accounts(accounts) => {
                accounts.iter().try_for_each(|(name, it)| self.account(name, it))
            }
            SectionBody::Models(models) => {
                models.iter().try_for_each(|(name, it)| self.model(name, it))
            }
            SectionBody::Services(services) => {
                services.iter().try_for_each(|(name, it)| self.service(name, it))
            }
            SectionBody::Batch(limits) => self.batch(limits),
        }
    }

    fn fleet(&self, fleet: &FleetSection) -> Result<()> {
        for origin in &fleet.origins {
            self.name(origin, path(["origins"]))?;
        }
        for domain in fleet.failure_domains.keys() {
            self.name(domain, path(["failure_domains", domain]))?;
        }
        let good = fleet.objective.good_percent;
        self.check(
            good > 0.0 && good < 100.0,
            path(["objective", "good_percent"]),
            "good_percent must be greater than 0 and less than 100",
        )?;
        self.check(
            (1..=MAX_TIMEOUT_MS).contains(&fleet.objective.first_byte_ms),
            path(["objective", "first_byte_ms"]),
            &format!("first_byte_ms must be between 1 and {MAX_TIMEOUT_MS}"),
        )?;
        let slots = path(["rate_slots"]);
        let allowed = format!("rate_slots must be between 1 and {MAX_RATE_SLOTS}");
        self.check((1..=MAX_RATE_SLOTS).contains(&fleet.rate_slots), slots, &allowed)
    }

    fn account(&self, name: &Name, account: &Account) -> Result<()> {
        self.name(name, path([name]))?;
        let rate_valid = account.rate_per_s.is_finite() && account.rate_per_s > 0.0;
        self.check(rate_valid, path([name, "rate_per_s"]), "rate_per_s must be greater than 0")?;
        let burst_valid = account.burst.is_finite() && account.burst >= 1.0;
        self.check(
            burst_valid,
            path([name, "burst"]),
            "burst must be at least 1, or no request could ever run",
        )?;
        let weight_allowed = format!("weight must be between 1 and {MAX_WEIGHT}");
        self.check(
            (1..=MAX_WEIGHT).contains(&account.weight),
            path([name, "weight"]),
            &weight_allowed,
        )?;
        for (i, key) in account.keys.iter().enumerate() {
            let mut at = path([name, "keys"]);
            at.extend([Step::Index(i), Step::Key(Name::new("sha256"))]);
            self.check(
                is_sha256(&key.sha256),
                at,
                "sha256 must be 64 lower-case hexadecimal digits",
            )?;
        }
        Ok(())
    }

    fn model(&self, name: &Name, model: &Model) -> Result<()> {
        self.name(name, path([name]))?;
        self.check(
            !model.versions.is_empty(),
            path([name, "versions"]),
            "a model needs at least one version",
        )
    }

    fn service(&self, name: &Name, service: &Service) -> Result<()> {
        self.name(name, path([name]))?;
        let timeout_allowed = format!("timeout_ms must be between 1 and {MAX_TIMEOUT_MS}");
        let timeout_valid = (1..=MAX_TIMEOUT_MS).contains(&service.timeout_ms);
        self.check(timeout_valid, path([name, "timeout_ms"]), &timeout_allowed)?;
        for (target_name, target) in &service.targets {
            self.name(target_name, path([name, "targets", target_name]))?;
            let at = path([name, "targets", target_name, "concurrency"]);
            self.check(target.concurrency > 0, at, "concurrency must be at least 1")?;
        }
        match &service.serves {
            ServiceKind::Model(_) => Ok(()),
            ServiceKind::Routes(routes) => {
                (0..routes.len()).try_for_each(|i| self.route(name, &routes[i], &routes[..i]))
            }
        }
    }

    fn route(&self, service: &Name, route: &Route, earlier: &[Route]) -> Result<()> {
        let mut at = path([service, "serves", "routes"]);
        at.push(Step::Index(earlier.len()));
        self.check(route.path.starts_with('/'), at.clone(), "path must start with a slash")?;
        let methods_valid =
            !route.methods.is_empty() && route.methods.iter().all(|it| is_method(it));
        self.check(
            methods_valid,
            at.clone(),
            "methods must name at least one HTTP method in upper case",
        )?;
        let same_path = earlier.iter().filter(|it| it.path == route.path);
        let repeated = same_path.flat_map(|it| &it.methods).any(|it| route.methods.contains(it));
        self.check(!repeated, at, "an earlier route has the same path and method")
    }

    fn batch(&self, limits: &BatchLimits) -> Result<()> {
        self.check(
            limits.max_items_per_job > 0,
            path(["max_items_per_job"]),
            "must be at least 1",
        )?;
        self.check(
            limits.max_open_jobs_per_account > 0,
            path(["max_open_jobs_per_account"]),
            "must be at least 1",
        )?;
        self.check(limits.default_window_s > 0, path(["default_window_s"]), "must be at least 1")
    }

    fn name(&self, name: &str, at: Vec<Step>) -> Result<()> {
        let allowed = |it: char| {
            it.is_ascii_lowercase() || it.is_ascii_digit() || matches!(it, '-' | '_' | '.')
        };
        let valid = !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.chars().all(allowed);
        let message = format!(
            "name {name:?} must be 1 to {MAX_NAME_CHARS} characters of a-z, 0-9, `-`, `_` and `.`"
        );
        self.check(valid, at, &message)
    }

    fn check(&self, valid: bool, at: Vec<Step>, message: &str) -> Result<()> {
        if valid { Ok(()) } else { Err(self.error_at(&at, message)) }
    }

    fn error_at(&self, at: &[Step], message: &str) -> LocatedError {
        self.source.error_at(at, message)
    }
}

fn is_sha256(text: &str) -> bool {
    const SHA256_HEX_CHARS: usize = 64;
    text.len() == SHA256_HEX_CHARS && text.chars().all(|it| matches!(it, '0'..='9' | 'a'..='f'))
}

fn is_method(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|it| it.is_ascii_uppercase())
}

impl SectionId {
    /// Returns the fleet of origin that the section belongs to, or `None` for the fleet as a whole.
    pub fn origin(&self) -> Option<&Name> {
        match self {
            Self::Fleet => None,
            Self::Accounts(origin)
            | Self::Models(origin)
            | Self::Services(origin)
            | Self::Batch(origin) => Some(origin),
        }
    }
}

impl FromStr for SectionId {
    type Err = SectionIdError;

    fn from_str(text: &str) -> std::result::Result<Self, SectionIdError> {
        let error = || SectionIdError { text: Name::new(text) };
        if text == "fleet" {
            return Ok(Self::Fleet);
        }
        let (origin, kind) = text.split_once('/').ok_or_else(error)?;
        let origin = Name::new(origin);
        match kind {
            "accounts" => Ok(Self::Accounts(origin)),
            "models" => Ok(Self::Models(origin)),
            "services" => Ok(Self::Services(origin)),
            "batch" => Ok(Self::Batch(origin)),
            _ => Err(error()),
        }
    }
}

impl fmt::Display for SectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.write_str("fleet"),
            Self::Accounts(origin) => write!(f, "{origin}/accounts"),
            Self::Models(origin) => write!(f, "{origin}/models"),
            Self::Services(origin) => write!(f, "{origin}/services"),
            Self::Batch(origin) => write!(f, "{origin}/batch"),
        }
    }
}

impl TryFrom<String> for SectionId {
    type Error = SectionIdError;

    fn try_from(text: String) -> std::result::Result<Self, SectionIdError> {
        text.parse()
    }
}

impl From<SectionId> for String {
    fn from(id: SectionId) -> Self {
        id.to_string()
    }
}
