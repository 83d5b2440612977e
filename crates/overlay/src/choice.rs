//! Which relays of its failure domain an instance uses while some of them cannot be reached.

use std::{collections::BTreeMap, time::Duration};

use stdx::{Name, Timestamp};
use twox_hash::XxHash64;

use crate::topology::RELAYS_PER_DOMAIN;

/// How long a relay that is not linked is waited for before the next in line is used as well: a link that went silent for a
/// moment, or a daemon that starts again, is back sooner.
const RELAY_LINK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most instances that are tried at once; with more of them out of reach, the failure domain itself is cut.
const MAX_WANTED: usize = 6;

/// The relays that an instance uses.
#[derive(Debug, Default)]
pub struct RelayChoice {
    /// Since when the instances that are wanted have not been linked.
    missing_since: BTreeMap<Name, Timestamp>,
}

impl RelayChoice {
    /// Returns which candidates to link with, in the order of the candidates: enough of them that two are linked or may yet
    /// be.
    pub fn wanted(
        &mut self,
        now: Timestamp,
        candidates: &[Name],
        is_linked: impl Fn(&Name) -> bool,
    ) -> Vec<Name> {
        let mut wanted = Vec::new();
        let mut missing = BTreeMap::new();
        let mut usable = 0;
        for candidate in candidates.iter().take(MAX_WANTED) {
            if usable >= RELAYS_PER_DOMAIN {
                break;
            }
            wanted.push(candidate.clone());
            if is_linked(candidate) {
                usable += 1;
                continue;
            }
            let since = self.missing_since.get(candidate).copied().unwrap_or(now);
            missing.insert(candidate.clone(), since);
            usable += usize::from(now.since(since) < RELAY_LINK_TIMEOUT);
        }
        self.missing_since = missing;
        wanted
    }
}

/// Returns the relay through which an instance sends and hears what concerns all: the instances of a failure domain divide
/// themselves evenly among its relays.
pub fn primary(own: &Name, wanted: &[Name], is_linked: impl Fn(&Name) -> bool) -> Option<Name> {
    const SEED: u64 = 0;
    let first = wanted.len().min(RELAYS_PER_DOMAIN);
    let (preferred, substitutes) = wanted.split_at(first);
    let offset = XxHash64::oneshot(SEED, own.as_bytes()) as usize % first.max(1);
    let rotated = preferred[offset.min(first)..].iter().chain(&preferred[..offset.min(first)]);
    rotated.chain(substitutes).find(|it| is_linked(it)).cloned()
}
