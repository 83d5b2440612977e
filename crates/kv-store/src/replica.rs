//! A copy of the keys under a prefix, which grows together from listings and changes of several sources.
//!
//! Each key keeps the version with the highest revision, whatever the order in which versions arrive, so that copies which
//! have heard of the same changes are the same. Those who follow a copy continue by its own count of changes and not by the
//! revisions of the service: a change that a watch has dropped shows up late, in a listing, under an old revision.

use std::collections::{BTreeMap, BTreeSet};

use stdx::{Name, record_type};

use crate::store::Revision;

/// Removed keys that are remembered; followers that are further behind read everything again.
const MAX_REMOVED: usize = 4_096;

record_type! {
    /// A key as it stands, or its removal.
    pub struct Version<T> {
        /// The key.
        pub key: Name,
        /// The revision of the change.
        pub revision: Revision,
        /// What stands there; `None` if the key was removed.
        pub value: Option<T>,
    }
}

/// The copy.
#[derive(Debug)]
pub struct Replica<T> {
    versions: BTreeMap<Name, Counted<T>>,
    /// The number of changes so far.
    changes: u64,
    /// Followers that have seen fewer changes must read everything.
    forgotten: u64,
    /// What has been heard of the service, at least.
    revision: Revision,
    removed: usize,
}

#[derive(Debug)]
struct Counted<T> {
    version: Version<T>,
    /// The number of the change that brought it.
    change: u64,
}

impl<T> Default for Replica<T> {
    fn default() -> Self {
        Self {
            versions: BTreeMap::new(),
            changes: 0,
            forgotten: 0,
            revision: Revision(0),
            removed: 0,
        }
    }
}

impl<T: Clone> Replica<T> {
    /// Takes over a listing, of which each key is at least as new as `revision`: known keys that it lacks are gone, unless
    /// they are newer. Returns whether anything changed.
    pub fn list(&mut self, revision: Revision, listed: Vec<Version<T>>) -> bool {
        let is_listed: BTreeSet<&Name> = listed.iter().map(|it| &it.key).collect();
        let is_gone = |it: &&Version<T>| {
            it.value.is_some() && it.revision <= revision && !is_listed.contains(&it.key)
        };
        let versions = self.versions.values().map(|it| &it.version);
        let gone: Vec<Name> = versions.filter(is_gone).map(|it| it.key.clone()).collect();
        let is_any_gone = !gone.is_empty();
        // When a key was removed is not known; it was by the time of the listing.
        gone.into_iter().for_each(|key| self.put(Version { key, revision, value: None }));
        self.apply(revision, listed) || is_any_gone
    }

    /// Takes over changes; returns whether any of them is news.
    pub fn apply(&mut self, revision: Revision, changes: Vec<Version<T>>) -> bool {
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
    pub fn all(&self) -> Vec<Version<T>> {
        let versions = self.versions.values().map(|it| &it.version);
        versions.filter(|it| it.value.is_some()).cloned().collect()
    }

    /// Returns what has changed since so many changes; `None` if that is not known any more.
    pub fn since(&self, changes: u64) -> Option<Vec<Version<T>>> {
        if changes < self.forgotten || changes > self.changes {
            return None;
        }
        let mut later: Vec<&Counted<T>> =
            self.versions.values().filter(|it| it.change > changes).collect();
        later.sort_unstable_by_key(|it| it.change);
        Some(later.into_iter().map(|it| it.version.clone()).collect())
    }

    /// Returns the number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the revision of the service that this copy is as new as, if nothing was dropped on the way.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    fn put(&mut self, version: Version<T>) {
        self.changes += 1;
        let is_removal = version.value.is_none();
        let counted = Counted { version, change: self.changes };
        let key = counted.version.key.clone();
        let former = self.versions.insert(key, counted);
        let was_removal = former.is_some_and(|it| it.version.value.is_none());
        self.removed += usize::from(is_removal);
        self.removed -= usize::from(was_removal);
        if self.removed > MAX_REMOVED {
            self.forget_removals();
        }
    }

    /// Forgets the older half of the removals.
    fn forget_removals(&mut self) {
        let removals = self.versions.values().filter(|it| it.version.value.is_none());
        let mut numbers: Vec<u64> = removals.map(|it| it.change).collect();
        numbers.sort_unstable();
        let Some(last) = numbers.get(numbers.len() / 2).copied() else { return };
        self.versions.retain(|_, it| it.version.value.is_some() || it.change > last);
        self.forgotten = self.forgotten.max(last);
        self.removed = numbers.iter().filter(|it| **it > last).count();
    }
}
