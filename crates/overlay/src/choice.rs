//! Selects the relays of its failure domain that an instance uses, including substitutes for unreachable ones.

use std::{collections::BTreeMap, time::Duration};

use stdx::{Name, Timestamp};
use twox_hash::XxHash64;

use crate::topology::RELAYS_PER_DOMAIN;

/// How long to wait for a relay without a link before the next candidate is used in addition; a link that was silent for a
/// moment, or a restarting daemon, is back sooner.
const RELAY_LINK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The maximum number of candidates in use at once; if more of them are unreachable, the failure domain itself is
/// partitioned.
const MAX_WANTED: usize = 6;

/// The relays that an instance uses.
#[derive(Debug, Default)]
pub struct RelayChoice {
    /// The wanted candidates without a link, with the time since when it is missing.
    missing_since: BTreeMap<Name, Timestamp>,
}

impl RelayChoice {
    /// Returns the candidates to link with, in their given order: as many as needed for two that are linked or still within
    /// `RELAY_LINK_TIMEOUT`.
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

/// Returns the relay through which an instance sends and receives broadcasts; the instances of a failure domain are spread
/// evenly over its relays.
pub fn primary(own: &Name, wanted: &[Name], is_linked: impl Fn(&Name) -> bool) -> Option<Name> {
    const SEED: u64 = 0;
    let first = wanted.len().min(RELAYS_PER_DOMAIN);
    let (preferred, substitutes) = wanted.split_at(first);
    let offset = XxHash64::oneshot(SEED, own.as_bytes()) as usize % first.max(1);
    let rotated = preferred[offset.min(first)..].iter().chain(&preferred[..offset.min(first)]);
    rotated.chain(substitutes).find(|it| is_linked(it)).cloned()
}
