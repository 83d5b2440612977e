//! Text that can be the value of an HTTP header.

use std::fmt;

use thiserror::Error;

use crate::{Name, value_type};

/// The result of checking a text.
pub type Result<T> = std::result::Result<T, Error>;

value_type! {
    /// Text that an HTTP header carries unchanged: printable ASCII, without blanks at its ends.
    ///
    /// Names that other writers choose, such as the id of a target, are converted to this type where they are decoded, so that
    /// no request can be built with a name that its head cannot hold.
    pub struct HeaderText(Name);
}

/// The text cannot be the value of an HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} cannot be sent in a header: only printable ASCII without blanks at the ends can")]
pub struct Error(Name);

impl HeaderText {
    /// Returns the text as a name.
    pub fn name(&self) -> &Name {
        &self.0
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl TryFrom<Name> for HeaderText {
    type Error = Error;

    fn try_from(name: Name) -> Result<Self> {
        let is_printable = name.bytes().all(|it| it == b' ' || it.is_ascii_graphic());
        let has_ends = !name.is_empty() && name.trim() == name.as_str();
        match is_printable && has_ends {
            true => Ok(Self(name)),
            false => Err(Error(name)),
        }
    }
}

impl fmt::Display for HeaderText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
