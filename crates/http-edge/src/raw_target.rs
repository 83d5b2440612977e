//! The request target as the caller sent it.

use std::sync::Arc;

/// Path and query, byte for byte; handlers get it with `req.ext().get::<RawTarget>()`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawTarget(Arc<str>);

impl RawTarget {
    /// Stores a request target.
    pub fn new(target: &str) -> Self {
        Self(Arc::from(target))
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
