//! The targets that said in an answer that they shut down.
//!
//! The list of targets tells of that later or, for some targets, only by dropping them. What a target said holds for its run:
//! a target that starts again under the same name takes work again.

use std::collections::{BTreeMap, VecDeque};

use fleet::QualifiedName;
use stdx::Name;

use super::event::TargetInfo;

/// Bounds the memory; the oldest departures are those of targets that have been gone for long.
const MAX_KEPT: usize = 4_096;

/// The departures that this instance has heard of.
#[derive(Debug, Default)]
pub(super) struct Departures {
    runs: BTreeMap<(QualifiedName, Name), u64>,
    order: VecDeque<(QualifiedName, Name)>,
}

impl Departures {
    /// Notes that this run of a target shuts down.
    pub fn note(&mut self, service: &QualifiedName, info: &TargetInfo) {
        let key = (service.clone(), info.name.clone());
        if self.runs.insert(key.clone(), info.incarnation).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > MAX_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    /// Returns whether this run of a target has said that it shuts down.
    pub fn contains(&self, service: &QualifiedName, info: &TargetInfo) -> bool {
        let key = (service.clone(), info.name.clone());
        self.runs.get(&key).is_some_and(|it| *it == info.incarnation)
    }
}
