//! The subset of targets in its failure domain to which an instance sends online requests first.
//!
//! Instances learn of each other's requests with a delay. If there are many instances, each has almost no requests of its
//! own on any one target, and a choice by delayed reports is no better than a random one: in a burst some targets get more
//! requests than they have slots while others have free slots. An instance that prefers a few targets knows from its own
//! requests how they are spread over these, and the subsets of all instances together cover the targets evenly.

use std::collections::BTreeSet;

use stdx::Name;

use super::target::Target;

/// The least number of instances in the failure domain for subsets to be used. With fewer, each instance knows enough about
/// all targets from its own requests.
const MIN_INSTANCES: usize = 8;
/// The least number of targets in a subset, so that the loss of one leaves a choice.
const MIN_TARGETS: usize = 4;
/// The least number of instances that have a target in their subsets.
const INSTANCES_PER_TARGET: usize = 2;

/// The subset of targets that an instance prefers, given by its position among the instances of its failure domain that
/// admit callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TargetSubset {
    index: usize,
    instances: usize,
}

impl TargetSubset {
    /// Returns the subset of `own`; `None` if it admits no callers, or if there are fewer than [`MIN_INSTANCES`].
    pub fn of(own: &Name, instances: &BTreeSet<Name>) -> Option<Self> {
        let index = instances.iter().position(|it| it == own)?;
        (instances.len() >= MIN_INSTANCES).then_some(Self { index, instances: instances.len() })
    }

    /// Returns the positions of the preferred targets among the local targets that take work; empty if the subset would contain all of
    /// them.
    pub fn positions<'a>(self, serving: impl Iterator<Item = (usize, &'a Target)>) -> Vec<usize> {
        let mut targets: Vec<_> = serving.collect();
        let count =
            (INSTANCES_PER_TARGET * targets.len()).div_ceil(self.instances).max(MIN_TARGETS);
        if targets.len() <= count {
            return Vec::new();
        }
        // All instances must use the same order, whatever the order in which they learnt of the targets.
        targets.sort_unstable_by(|a, b| a.1.info.name.cmp(&b.1.info.name));
        let first = self.index * targets.len() / self.instances;
        targets.rotate_left(first);
        targets.truncate(count);
        targets.into_iter().map(|(at, _)| at).collect()
    }
}
