//! The request target as the caller sent it.

use std::sync::Arc;

use http_types::Url;
use thiserror::Error;

/// The result of checking a request target.
pub type Result<T> = std::result::Result<T, InvalidTarget>;

/// Path and query, byte for byte, without blanks and control characters, so that it cannot end the request line; handlers get it with
/// `req.ext().get::<RawTarget>()`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawTarget(Arc<str>);

/// The text cannot be a request target.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a request target is not empty and has no blanks or control characters")]
pub struct InvalidTarget;

impl RawTarget {
    /// Checks and stores a request target.
    ///
    /// # Errors
    ///
    /// Fails if the text is empty or has blanks or control characters.
    pub fn parse(target: &str) -> Result<Self> {
        let is_valid = !target.is_empty() && !target.bytes().any(|it| it <= b' ' || it == 0x7f);
        if is_valid { Ok(Self(Arc::from(target))) } else { Err(InvalidTarget) }
    }

    /// Returns the path of a URL, which is percent-encoded.
    pub fn path_of(url: &Url) -> Self {
        Self(Arc::from(url.path()))
    }

    /// Returns the path and query of a URL, which are percent-encoded.
    pub fn of_url(url: &Url) -> Self {
        match url.query() {
            Some(query) => Self(Arc::from(format!("{}?{query}", url.path()))),
            None => Self::path_of(url),
        }
    }

    /// Returns path and query.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.0.split_once('?').map_or(&*self.0, |(path, _)| path)
    }

    /// Returns whether the path has `.` or `..` segments, plain or percent-encoded, which a target may resolve to
    /// another path.
    pub fn is_ambiguous(&self) -> bool {
        self.path().split('/').any(|it| {
            let plain = it.to_ascii_lowercase().replace("%2e", ".");
            plain == "." || plain == ".."
        })
    }
}
