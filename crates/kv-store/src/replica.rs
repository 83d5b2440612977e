//! A copy of the keys under a prefix, merged from listings and changes of several sources.
//!
//! Each key keeps the version with the highest revision regardless of the order of arrival, so copies that received the same
//! changes are equal. Followers of a copy resume from its own change counter and not from a revision of the service: a change
//! that a watch dropped shows up late, in a listing, under an old revision.

use std::collections::{BTreeMap, BTreeSet};

use stdx::{Name, record_type};

use crate::store::Revision;

/// The maximum number of removed keys that are kept; followers that are further behind read everything again.
const MAX_REMOVED: usize = 4_096;

record_type! {
    /// The state of a key at a revision, or its removal.
    pub struct Version<T> {
        /// The key.
        pub key: Name,
        /// The revision of the change.
        pub revision: Revision,
        /// The value; `None` if the key was removed.
        pub value: Option<T>,
    }
}

/// A copy of the keys under a prefix.
#[derive(Debug)]
pub struct Replica<T> {
    versions: BTreeMap<Name, NumberedVersion<T>>,
    /// The number of changes so far.
    changes: u64,
    /// The number of the last change that was dropped; followers that have seen fewer changes must read everything.
    compacted_through: u64,
    /// The highest revision of the service that was reported with a listing or changes.
    revision: Revision,
    removed: usize,
    /// Whether a new value alters nothing that followers use.
    is_unaltered: fn(&T, &T) -> bool,
}

#[derive(Debug)]
struct NumberedVersion<T> {
    version: Version<T>,
    /// The number of the change that applied this version.
    change: u64,
}

impl<T> Default for Replica<T> {
    fn default() -> Self {
        Self {
            versions: BTreeMap::new(),
            changes: 0,
            compacted_through: 0,
            revision: Revision(0),
            removed: 0,
            is_unaltered: |_, _| false,
        }
    }
}

impl<T: Clone> Replica<T> {
    /// Creates a copy whose followers do not see a write of a value to which `is_unaltered` applies, given the previous one.
    pub fn with_unaltered(is_unaltered: fn(&T, &T) -> bool) -> Self {
        Self { is_unaltered, ..Self::default() }
    }

    /// Applies a listing whose entries are at least as new as `revision`: known keys that it does not contain are removed unless
    /// they are newer. Returns whether anything changed.
    pub fn apply_listing(&mut self, revision: Revision, listed: Vec<Version<T>>) -> bool {
        let is_listed: BTreeSet<&Name> = listed.iter().map(|it| &it.key).collect();
        let is_missing = |it: &&Version<T>| {
            it.value.is_some() && it.revision <= revision && !is_listed.contains(&it.key)
        };
        let versions = self.versions.values().map(|it| &it.version);
        let missing: Vec<Name> = versions.filter(is_missing).map(|it| it.key.clone()).collect();
        let any_missing = !missing.is_empty();
        // The revision of the removal is unknown, but it is not after that of the listing.
        missing.into_iter().for_each(|key| self.put(Version { key, revision, value: None }));
        self.apply_changes(revision, listed) || any_missing
    }

    /// Applies changes; returns whether any of them was new.
    pub fn apply_changes(&mut self, revision: Revision, changes: Vec<Version<T>>) -> bool {
        self.revision = self.revision.max(revision);
        let mut changed = false;
        for version in changes {
            let known = self.versions.get(&version.key).map(|it| it.version.revision);
            if known.is_none_or(|it| it < version.revision) {
                self.put(version);
                changed = true;
            }
        }
        changed
    }

    /// Returns the keys that exist.
    pub fn existing(&self) -> Vec<Version<T>> {
        let versions = self.versions.values().map(|it| &it.version);
        versions.filter(|it| it.value.is_some()).cloned().collect()
    }

    /// Returns the keys that changed after the first `changes` changes; `None` if they are no longer known.
    pub fn changes_since(&self, changes: u64) -> Option<Vec<Version<T>>> {
        if changes < self.compacted_through || changes > self.changes {
            return None;
        }
        if changes == self.changes {
            return Some(Vec::new());
        }
        let mut later: Vec<&NumberedVersion<T>> =
            self.versions.values().filter(|it| it.change > changes).collect();
        later.sort_unstable_by_key(|it| it.change);
        Some(later.into_iter().map(|it| it.version.clone()).collect())
    }

    /// Returns the number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the revision of the service that this copy reflects, provided that no change was dropped on the way.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    fn put(&mut self, version: Version<T>) {
        if let Some(known) = self.versions.get_mut(&version.key)
            && let (Some(old), Some(new)) = (&known.version.value, &version.value)
            && (self.is_unaltered)(old, new)
        {
            known.version = version;
            return;
        }
        self.changes += 1;
        let is_removal = version.value.is_none();
        let numbered = NumberedVersion { version, change: self.changes };
        let key = numbered.version.key.clone();
        let previous = self.versions.insert(key, numbered);
        let was_removal = previous.is_some_and(|it| it.version.value.is_none());
        self.removed += usize::from(is_removal);
        self.removed -= usize::from(was_removal);
        if self.removed > MAX_REMOVED {
            self.compact_removals();
        }
    }

    /// Drops the older half of the removals.
    fn compact_removals(&mut self) {
        let removals = self.versions.values().filter(|it| it.version.value.is_none());
        let mut change_numbers: Vec<u64> = removals.map(|it| it.change).collect();
        change_numbers.sort_unstable();
        let Some(last) = change_numbers.get(change_numbers.len() / 2).copied() else { return };
        self.versions.retain(|_, it| it.version.value.is_some() || it.change > last);
        self.compacted_through = self.compacted_through.max(last);
        self.removed = change_numbers.iter().filter(|it| **it > last).count();
    }
}
