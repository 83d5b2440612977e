//! Which targets of its failure domain an instance sends online requests to first.
//!
//! Instances hear late of each other's requests. Where there are many of them, each has next to no requests of its own at
//! a target, so that a choice by late reports is as good as a random one: in a burst some targets have more requests than
//! slots while others have free ones. An instance that keeps to a few targets knows by itself how its requests are spread
//! over them, and together the instances cover all targets evenly.

use std::collections::BTreeSet;

use stdx::Name;

use super::{service::Service, target::Target};

/// With fewer instances in the failure domain, each knows enough of all targets by itself.
const MIN_INSTANCES: usize = 8;
/// The least number of targets to go to first, so that the loss of one leaves a choice.
const MIN_TARGETS: usize = 4;
/// How many instances share a target, at least.
const INSTANCES_PER_TARGET: usize = 2;

/// The place of an instance among those of its failure domain that admit callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TargetSubset {
    index: usize,
    instances: usize,
}

impl TargetSubset {
    /// Returns the place of `own`; `None` if it admits no callers, or if there are few instances.
    pub fn of(own: &Name, instances: &BTreeSet<Name>) -> Option<Self> {
        let index = instances.iter().position(|it| it == own)?;
        (instances.len() >= MIN_INSTANCES).then_some(Self { index, instances: instances.len() })
    }

    /// Returns the targets to go to first; empty if they are all the local ones.
    pub fn targets(self, service: &Service) -> Vec<&Target> {
        let serving = service.targets.values().filter(|it| it.local && it.takes_work());
        let mut targets: Vec<_> = serving.collect();
        let count =
            (INSTANCES_PER_TARGET * targets.len()).div_ceil(self.instances).max(MIN_TARGETS);
        if targets.len() <= count {
            return Vec::new();
        }
        // All instances see the same order, whatever the order in which they heard of the targets.
        targets.sort_unstable_by(|a, b| a.info.name.cmp(&b.info.name));
        let first = self.index * targets.len() / self.instances;
        targets.rotate_left(first);
        targets.truncate(count);
        targets
    }
}
