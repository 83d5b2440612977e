//! The targets of a service, with an index that answers questions about all of them without looking at each.
//!
//! A fleet has thousands of targets, and most decisions need sums over all of them, or the few to which something applies. Whatever
//! changes a target goes through [`Targets`], which notes that the target has changed. Before the next question, the index takes the
//! facts of the changed targets only.

use std::{
    cell::{RefCell, RefMut},
    collections::HashMap,
    ops::{Deref, Index, IndexMut},
    time::Duration,
};

use indexmap::IndexMap;
use stdx::{Name, Timestamp};
use twox_hash::XxHash64;

use super::{
    index_set::IndexSet,
    settings::Settings,
    target::{Need, Target},
    target_subset::TargetSubset,
};

/// The targets of a service, in the order in which they were added.
#[derive(Debug)]
pub(super) struct Targets {
    map: IndexMap<Name, Target>,
    settings: Settings,
    index: RefCell<TargetIndex>,
}

/// What the dispatcher asks of all targets of a service at once.
#[derive(Debug, Default)]
pub(super) struct TargetIndex {
    facts: Vec<Facts>,
    /// The targets that have changed since their facts were taken.
    changed: IndexSet,
    /// Whether targets were added or removed, so that the positions of the others may have changed.
    is_outdated: bool,
    totals: Totals,
    /// The number of targets of each version that take work or may do so later.
    versions: HashMap<Name, usize>,
    /// The targets with room, by kind of request.
    room: [IndexSet; 3],
    /// The targets with a free slot within their limit.
    free_slot: IndexSet,
    /// The targets with batch requests of this instance that can be stopped for online requests.
    stoppable: IndexSet,
    /// The targets with batch requests of this instance that can be stopped or are stopping.
    own_batch: IndexSet,
    /// The targets in this instance's failure domain.
    local: IndexSet,
    /// The targets that limit the requests of all instances.
    limited: IndexSet,
    /// The targets with requests of this instance, and those that limit requests.
    in_use: IndexSet,
    /// The targets whose pace was measured recently.
    measured: IndexSet,
    /// The targets that have changed since they were last refreshed.
    touched: IndexSet,
    /// When each target that has not changed is to be refreshed.
    due: Vec<Timestamp>,
    /// The earliest of `due`, or an earlier time.
    next_due: Timestamp,
    /// Whether a pace has changed since the threshold for slow targets was last computed.
    is_pace_changed: bool,
    slow_threshold: Option<Duration>,
    /// The targets that this instance prefers, if they are known.
    subset: Option<(TargetSubset, Vec<usize>)>,
}

/// Sums over all targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Totals {
    /// Targets that take work.
    pub serving: usize,
    /// Local targets that take work.
    pub local_serving: usize,
    /// The estimated requests at these.
    pub local_load: u32,
    /// Local targets that take work or may do so later.
    pub local_staying: usize,
    /// Batch requests that are stopping on targets that take work.
    pub stopping: usize,
    /// Targets whose health changes with time.
    pub unsettled: usize,
    /// Listed targets without a limit that take online requests at once if they have room.
    pub ready: usize,
    /// The online slots of targets without a limit.
    pub slots: u64,
    /// The online slots of local targets without a limit.
    pub local_slots: u64,
}

/// What the index knows of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Facts {
    totals: Totals,
    /// The version, if the target takes work or may do so later.
    version: Option<Name>,
    room: [bool; 3],
    has_free_slot: bool,
    is_stoppable: bool,
    has_own_batch: bool,
    is_local: bool,
    is_limited: bool,
    is_in_use: bool,
    is_measured: bool,
    /// The time between events, if the target takes work.
    gap: Option<Duration>,
}

impl Targets {
    pub fn new(settings: Settings) -> Self {
        Self { map: IndexMap::new(), settings, index: RefCell::default() }
    }

    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Target> {
        let (at, _, target) = self.map.get_full_mut(name)?;
        self.index.get_mut().record_change(at);
        Some(target)
    }

    /// Returns all targets for changes that may concern each of them.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.index.get_mut().is_outdated = true;
        self.map.values_mut()
    }

    /// Returns the target of that name, after adding it if necessary.
    pub fn get_or_insert_with(
        &mut self,
        name: &Name,
        create: impl FnOnce() -> Target,
    ) -> &mut Target {
        let entry = self.map.entry(name.clone());
        let index = self.index.get_mut();
        match entry {
            indexmap::map::Entry::Occupied(it) => {
                index.record_change(it.index());
                it.into_mut()
            }
            indexmap::map::Entry::Vacant(it) => {
                index.is_outdated = true;
                it.insert(create())
            }
        }
    }

    /// Keeps only the targets that match.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&Target) -> bool) {
        let before = self.map.len();
        self.map.retain(|_, it| is_kept(it));
        self.index.get_mut().is_outdated |= self.map.len() != before;
    }

    pub fn remove(&mut self, name: &Name) {
        self.index.get_mut().is_outdated |= self.map.shift_remove(name).is_some();
    }

    /// Returns a target for [`Target::refresh`], after which [`Self::record_change`] must be called if the index is concerned.
    pub fn refreshed_mut(&mut self, at: usize) -> &mut Target {
        &mut self.map[at]
    }

    pub fn record_change(&mut self, at: usize) {
        self.index.get_mut().record_change(at);
    }

    /// Returns sums over all targets.
    pub fn totals(&self) -> Totals {
        self.index().totals
    }

    /// Returns whether a target of the version takes work or may do so later.
    pub fn has_version(&self, version: &Name) -> bool {
        self.index().versions.contains_key(version)
    }

    /// Returns the targets that have room for such a request.
    pub fn with_room(&self, need: Need) -> Vec<&Target> {
        self.at(&self.index().room[room_index(need)])
    }

    /// Returns the local targets that have room for such a request.
    pub fn with_local_room(&self, need: Need) -> Vec<&Target> {
        let index = self.index();
        let positions = index.room[room_index(need)].iter_common(&index.local);
        positions.map(|at| &self.map[at]).collect()
    }

    /// Returns the local targets that have room for such a request, one of any domain that has a free slot as well, and one that is
    /// not slow among those with a free slot and one among all, as far as there are such targets.
    pub fn with_local_room_and_examples(
        &self,
        need: Need,
        is_slow: impl Fn(&Target) -> bool,
    ) -> Vec<&Target> {
        let index = self.index();
        let room = &index.room[room_index(need)];
        let with_slot = || room.iter_common(&index.free_slot);
        let quick = |at: &usize| !is_slow(&self.map[*at]);
        let examples = [with_slot().next(), with_slot().find(quick), room.iter().find(quick)];
        let examples = examples.into_iter().flatten().filter(|at| !index.local.contains(*at));
        let positions = room.iter_common(&index.local).chain(examples);
        positions.map(|at| &self.map[at]).collect()
    }

    /// Returns the local targets that have room for such a request and a random sample of the others, of those with a free slot if there
    /// are any. If none of these has a free slot and is not slow, adds such a target and one that is not slow, as far as there are any.
    pub fn with_local_room_and_sample(
        &self,
        need: Need,
        is_slow: impl Fn(&Target) -> bool,
        salt: u64,
    ) -> Vec<&Target> {
        let index = self.index();
        let room = &index.room[room_index(need)];
        let with_slot = room.common(&index.free_slot, &index.local);
        let others = match with_slot.is_empty() {
            true => room.common(room, &index.local),
            false => with_slot,
        };
        let rank = |n: u64| XxHash64::oneshot(salt, &n.to_le_bytes()) % others.len().max(1) as u64;
        let mut sample: Vec<usize> =
            (0..SAMPLE).filter_map(|n| others.at_rank(rank(n) as usize)).collect();
        let quick = |at: &usize| !is_slow(&self.map[*at]);
        let is_best = |at: &usize| index.free_slot.contains(*at) && quick(at);
        let mut local = room.iter_common(&index.local);
        if !sample.iter().any(is_best) && !local.any(|it| is_best(&it)) {
            let examples = [room.iter().find(is_best), room.iter().find(quick)];
            sample.extend(examples.into_iter().flatten().filter(|it| !index.local.contains(*it)));
        }
        sample.sort_unstable();
        sample.dedup();
        let positions = room.iter_common(&index.local).chain(sample);
        positions.map(|at| &self.map[at]).collect()
    }

    /// Returns the number of targets that have room for such a request.
    pub fn room_count(&self, need: Need) -> usize {
        self.index().room[room_index(need)].len()
    }

    pub fn has_room(&self, need: Need) -> bool {
        !self.index().room[room_index(need)].is_empty()
    }

    /// Returns the targets with batch requests of this instance that can be stopped for online requests.
    pub fn stoppable(&self) -> Vec<&Target> {
        self.at(&self.index().stoppable)
    }

    /// Returns the targets with batch requests of this instance that can be stopped or are stopping.
    pub fn with_own_batch(&self) -> Vec<&Target> {
        self.at(&self.index().own_batch)
    }

    /// Returns the targets in this instance's failure domain.
    pub fn local(&self) -> Vec<&Target> {
        self.at(&self.index().local)
    }

    /// Returns the targets that limit the requests of all instances.
    pub fn limited(&self) -> Vec<&Target> {
        self.at(&self.index().limited)
    }

    /// Returns the positions of these.
    pub fn limited_positions(&self) -> Vec<usize> {
        self.index().limited.iter().collect()
    }

    /// Returns the targets with requests of this instance, and those that limit requests.
    pub fn in_use(&self) -> Vec<&Target> {
        self.at(&self.index().in_use)
    }

    /// Returns the targets that this instance prefers.
    pub fn subset(&self, subset: TargetSubset) -> Vec<&Target> {
        let mut index = self.index();
        if index.subset.as_ref().is_none_or(|(it, _)| *it != subset) {
            let local = index.local.iter().map(|at| (at, &self.map[at]));
            let positions = subset.positions(local.filter(|(_, it)| it.takes_work()));
            index.subset = Some((subset, positions));
        }
        let positions = index.subset.as_ref().map(|(_, it)| it.as_slice()).unwrap_or_default();
        positions.iter().map(|at| &self.map[*at]).collect()
    }

    /// Returns the time between events above which a target is slow, and whether it has changed since the last call.
    pub fn update_slow_threshold(
        &mut self,
        compute: impl FnOnce(Vec<Duration>) -> Option<Duration>,
    ) -> (Option<Duration>, bool) {
        let mut index = self.index();
        if !std::mem::take(&mut index.is_pace_changed) {
            return (index.slow_threshold, false);
        }
        let gaps = index.measured.iter().filter_map(|at| index.facts[at].gap).collect();
        let threshold = compute(gaps);
        let is_changed = std::mem::replace(&mut index.slow_threshold, threshold) != threshold;
        (threshold, is_changed)
    }

    /// Returns the positions of the targets for which [`Target::refresh`] may change something now, in ascending order. Each
    /// counts as refreshed.
    pub fn take_due(&mut self, now: Timestamp, with_measured: bool) -> Vec<usize> {
        drop(self.index());
        let index = self.index.get_mut();
        if now >= index.next_due {
            let due = index.due.iter().enumerate().filter(|(_, it)| **it <= now);
            due.for_each(|(at, _)| index.touched.insert(at));
            index.next_due = Timestamp::ZERO;
        }
        if with_measured {
            index.measured.iter().for_each(|at| index.touched.insert(at));
        }
        let due: Vec<usize> = index.touched.iter().collect();
        index.touched.clear();
        due
    }

    /// Records the targets that were refreshed, which [`Self::take_due`] returned.
    pub fn record_refreshed(&mut self, positions: &[usize]) {
        drop(self.index());
        let Self { map, settings, index } = self;
        let index = index.get_mut();
        if positions.is_empty() && index.next_due > Timestamp::ZERO {
            return;
        }
        for &at in positions {
            index.due[at] = map[at].refresh_due(settings);
            index.touched.remove(at);
        }
        index.next_due = index.due.iter().copied().min().unwrap_or(Timestamp::ZERO);
    }

    fn at(&self, positions: &IndexSet) -> Vec<&Target> {
        positions.iter().map(|at| &self.map[at]).collect()
    }

    fn index(&self) -> RefMut<'_, TargetIndex> {
        let mut index = self.index.borrow_mut();
        index.update(&self.map, &self.settings);
        index
    }

    /// Checks that the index equals one that is made from scratch.
    ///
    /// # Panics
    ///
    /// Panics if it does not.
    pub fn check_index(&self) {
        let mut fresh = TargetIndex { is_outdated: true, ..TargetIndex::default() };
        fresh.update(&self.map, &self.settings);
        let index = self.index();
        assert_eq!(index.facts, fresh.facts, "facts are taken of each changed target");
        assert_eq!(index.totals, fresh.totals, "sums follow the changes of targets");
        assert_eq!(index.versions, fresh.versions);
        assert_eq!(index.sets(), fresh.sets());
        if let Some((subset, positions)) = &index.subset {
            let serving = self.map.values().enumerate();
            let serving = serving.filter(|(_, it)| it.local && it.takes_work());
            assert_eq!(*positions, subset.positions(serving), "the subset follows its targets");
        }
        for (at, target) in self.map.values().enumerate() {
            let is_touched = index.touched.contains(at);
            assert!(
                is_touched || index.due[at] == target.refresh_due(&self.settings),
                "a target that has changed is refreshed"
            );
        }
    }
}

impl Deref for Targets {
    type Target = IndexMap<Name, Target>;

    fn deref(&self) -> &IndexMap<Name, Target> {
        &self.map
    }
}

impl Index<&Name> for Targets {
    type Output = Target;

    fn index(&self, name: &Name) -> &Target {
        &self.map[name]
    }
}

impl IndexMut<&Name> for Targets {
    fn index_mut(&mut self, name: &Name) -> &mut Target {
        self.get_mut(name).expect("the target is known")
    }
}

impl Index<usize> for Targets {
    type Output = Target;

    fn index(&self, at: usize) -> &Target {
        &self.map[at]
    }
}

impl IndexMut<usize> for Targets {
    fn index_mut(&mut self, at: usize) -> &mut Target {
        self.index.get_mut().record_change(at);
        &mut self.map[at]
    }
}

impl TargetIndex {
    fn record_change(&mut self, at: usize) {
        if !self.is_outdated {
            self.changed.insert(at);
            self.touched.insert(at);
        }
    }

    fn update(&mut self, map: &IndexMap<Name, Target>, settings: &Settings) {
        if self.is_outdated {
            *self = Self {
                due: vec![Timestamp::ZERO; map.len()],
                slow_threshold: self.slow_threshold,
                is_pace_changed: true,
                ..Self::default()
            };
            for (at, target) in map.values().enumerate() {
                self.touched.insert(at);
                let facts = Facts::of(target, settings);
                self.add(at, &facts);
                self.facts.push(facts);
            }
            return;
        }
        if self.changed.is_empty() {
            return;
        }
        for at in std::mem::take(&mut self.changed).iter() {
            let facts = Facts::of(&map[at], settings);
            if self.facts[at] != facts {
                let previous = std::mem::replace(&mut self.facts[at], facts.clone());
                self.remove(at, &previous);
                self.add(at, &facts);
                self.is_pace_changed |= previous.gap != facts.gap;
                let (was, is) = (previous.totals.local_serving, facts.totals.local_serving);
                if was != is {
                    self.subset = None;
                }
            }
        }
    }

    fn add(&mut self, at: usize, facts: &Facts) {
        self.totals.change(&facts.totals, |total, it| *total += it);
        if let Some(version) = &facts.version {
            *self.versions.entry(version.clone()).or_default() += 1;
        }
        for (set, _) in self.sets_mut(facts).into_iter().filter(|(_, is_member)| *is_member) {
            set.insert(at);
        }
    }

    fn remove(&mut self, at: usize, facts: &Facts) {
        self.totals.change(&facts.totals, |total, it| *total -= it);
        if let Some(version) = &facts.version
            && let Some(count) = self.versions.get_mut(version)
        {
            *count -= 1;
            if *count == 0 {
                self.versions.remove(version);
            }
        }
        for (set, _) in self.sets_mut(facts).into_iter().filter(|(_, is_member)| *is_member) {
            set.remove(at);
        }
    }

    fn sets_mut(&mut self, facts: &Facts) -> [(&mut IndexSet, bool); 10] {
        let [online, batch, large_batch] = &mut self.room;
        let [online_room, batch_room, large_batch_room] = facts.room;
        [
            (online, online_room),
            (batch, batch_room),
            (large_batch, large_batch_room),
            (&mut self.free_slot, facts.has_free_slot),
            (&mut self.stoppable, facts.is_stoppable),
            (&mut self.own_batch, facts.has_own_batch),
            (&mut self.local, facts.is_local),
            (&mut self.limited, facts.is_limited),
            (&mut self.in_use, facts.is_in_use),
            (&mut self.measured, facts.is_measured),
        ]
    }

    fn sets(&self) -> Vec<Vec<usize>> {
        let others = [
            &self.free_slot,
            &self.stoppable,
            &self.own_batch,
            &self.local,
            &self.limited,
            &self.in_use,
            &self.measured,
        ];
        self.room.iter().chain(others).map(|it| it.iter().collect()).collect()
    }
}

impl Totals {
    /// Changes each sum by that of `other`.
    fn change(&mut self, other: &Self, change: impl Fn(&mut u64, u64)) {
        let apply = |total: &mut usize, by: usize| {
            let mut sum = *total as u64;
            change(&mut sum, by as u64);
            *total = sum as usize;
        };
        apply(&mut self.serving, other.serving);
        apply(&mut self.local_serving, other.local_serving);
        apply(&mut self.local_staying, other.local_staying);
        apply(&mut self.stopping, other.stopping);
        apply(&mut self.unsettled, other.unsettled);
        apply(&mut self.ready, other.ready);
        let mut load = u64::from(self.local_load);
        change(&mut load, u64::from(other.local_load));
        self.local_load = load as u32;
        change(&mut self.slots, other.slots);
        change(&mut self.local_slots, other.local_slots);
    }
}

impl Facts {
    fn of(target: &Target, settings: &Settings) -> Self {
        let (takes_work, stays) = (target.takes_work(), target.will_take_work());
        let is_limited = target.allowance.is_limited();
        let slots = match takes_work && !is_limited {
            true => u64::from(target.online_slots(settings)),
            false => 0,
        };
        let count = usize::from;
        let is_local_serving = takes_work && target.local;
        Self {
            totals: Totals {
                serving: count(takes_work),
                local_serving: count(is_local_serving),
                local_load: if is_local_serving { target.load() } else { 0 },
                local_staying: count(stays && target.local),
                stopping: if takes_work { target.stopping as usize } else { 0 },
                unsettled: count(!target.health.is_quiescent()),
                ready: count(!is_limited && target.is_ready()),
                slots,
                local_slots: if target.local { slots } else { 0 },
            },
            version: stays.then(|| target.info.version.clone()),
            room: NEEDS.map(|it| target.has_room(settings, it)),
            has_free_slot: target.has_free_slot(settings),
            is_stoppable: target.can_stop_for_online(),
            has_own_batch: takes_work && (target.stopping > 0 || !target.stoppable.is_empty()),
            is_local: target.local,
            is_limited,
            is_in_use: is_limited || target.own.total() > 0,
            is_measured: target.pace.gap().is_some(),
            gap: target.pace.gap().filter(|_| takes_work),
        }
    }
}

/// How many targets of other domains are drawn at random, with repetition; the choice is among those drawn.
const SAMPLE: u64 = 32;

/// The kinds of requests in the order of [`TargetIndex::room`].
const NEEDS: [Need; 3] =
    [Need::Online, Need::Batch { large_reserve: false }, Need::Batch { large_reserve: true }];

fn room_index(need: Need) -> usize {
    match need {
        Need::Online => 0,
        Need::Batch { large_reserve: false } => 1,
        Need::Batch { large_reserve: true } => 2,
    }
}
