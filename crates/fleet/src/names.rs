//! Qualified names and the resolution of unqualified ones.

use std::fmt;

use stdx::{Name, value_type};
use thiserror::Error;

/// The result of resolving a name.
pub type Result<T> = std::result::Result<T, ResolveError>;

value_type! {
    /// The kind of object that a name denotes; each kind has its own namespace.
    #[derive(Copy)]
    pub enum Kind {
        /// A client account.
        Account,
        /// A model that services offer.
        Model,
        /// A service, which has routes and targets.
        Service,
    }
}

value_type! {
    /// The unique name of an object in the merged fleet.
    pub struct QualifiedName {
        /// The fleet that the name comes from.
        pub origin: Name,
        /// The kind of the object.
        pub kind: Kind,
        /// The name within its origin and kind.
        pub name: Name,
    }
}

/// Why a name cannot be resolved.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResolveError {
    /// No object of the kind has the name.
    #[error("{kind} {text:?} does not exist")]
    Unknown {
        /// The kind that was looked up.
        kind: Kind,
        /// The text that was looked up.
        text: Name,
    },
    /// Objects of several fleets have the name, and none is in the caller's own fleet.
    #[error("{kind} {text:?} is ambiguous; use one of {}", join(.candidates))]
    Ambiguous {
        /// The kind that was looked up.
        kind: Kind,
        /// The text that was looked up.
        text: Name,
        /// The matching qualified names, in order.
        candidates: Vec<QualifiedName>,
    },
}

impl Kind {
    /// Returns the word used for the kind in messages and keys.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Account => "account",
            Self::Model => "model",
            Self::Service => "service",
        }
    }
}

impl QualifiedName {
    /// Creates the qualified name of an object.
    pub fn new(origin: impl AsRef<str>, kind: Kind, name: impl AsRef<str>) -> Self {
        Self { origin: Name::new(origin), kind, name: Name::new(name) }
    }
}

/// Resolves `text`, either `origin/name` or a bare name, for a caller of fleet `origin`.
///
/// A bare name denotes the object in the caller's own fleet if there is one, and otherwise the only object of that name.
/// `origin` is `None` for a caller without an account.
///
/// # Errors
///
/// Returns an error if no object matches, or if several match outside the caller's own fleet.
pub fn resolve<'a>(
    names: impl Iterator<Item = &'a QualifiedName>,
    origin: Option<&Name>,
    kind: Kind,
    text: &str,
) -> Result<&'a QualifiedName> {
    let (wanted_origin, wanted_name) = match text.split_once('/') {
        Some((origin, name)) => (Some(origin), name),
        None => (None, text),
    };
    let matches: Vec<_> = names
        .filter(|it| it.kind == kind && it.name.as_str() == wanted_name)
        .filter(|it| wanted_origin.is_none_or(|origin| it.origin.as_str() == origin))
        .collect();
    if let Some(own) = matches.iter().find(|it| Some(&it.origin) == origin) {
        return Ok(own);
    }
    match matches.as_slice() {
        [] => Err(ResolveError::Unknown { kind, text: Name::new(text) }),
        [only] => Ok(only),
        several => Err(ResolveError::Ambiguous {
            kind,
            text: Name::new(text),
            candidates: several.iter().map(|it| (*it).clone()).collect(),
        }),
    }
}

fn join(candidates: &[QualifiedName]) -> String {
    candidates.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for QualifiedName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.origin, self.name)
    }
}
