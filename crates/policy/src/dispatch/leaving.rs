//! The targets that announced in an answer that they shut down.
//!
//! The target list shows this later or, for some targets, only by dropping them. An announcement holds for one
//! incarnation of a target: a target that restarts under the same name takes work again.

use std::collections::{BTreeMap, VecDeque};

use fleet::QualifiedName;
use stdx::Name;

use super::event::TargetInfo;

/// Bounds the memory. The oldest entries, which are dropped first, belong to targets that have been gone for long.
const MAX_ENTRIES: usize = 4_096;

/// The incarnations of targets that announced their shutdown, as far as this instance has received the answers.
#[derive(Debug, Default)]
pub(super) struct LeavingTargets {
    /// The incarnation of each target that made the announcement.
    incarnations: BTreeMap<(QualifiedName, Name), u64>,
    /// The keys of `runs`, oldest first.
    order: VecDeque<(QualifiedName, Name)>,
}

impl LeavingTargets {
    /// Records that this incarnation of a target shuts down.
    pub fn record(&mut self, service: &QualifiedName, info: &TargetInfo) {
        let key = (service.clone(), info.name.clone());
        if self.incarnations.insert(key.clone(), info.incarnation).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > MAX_ENTRIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.incarnations.remove(&oldest);
        }
    }

    /// Returns whether this incarnation of a target announced that it shuts down.
    pub fn contains(&self, service: &QualifiedName, info: &TargetInfo) -> bool {
        let key = (service.clone(), info.name.clone());
        self.incarnations.get(&key).is_some_and(|it| *it == info.incarnation)
    }
}
