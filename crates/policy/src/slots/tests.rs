use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, rng::seeded};

use super::{SlotAction, SlotManager, SlotOutcome, SlotRecord, StoreRevision, StoredSlot};
use crate::rate::DONOR_HOLD;

const SLOTS: u32 = 60;
const VALIDITY: Duration = Duration::from_secs(60);

/// Guards against two instances that use one slot, whatever the store loses and however long instances stop.
#[test]
fn no_slot_is_used_twice() {
    bolero::check!().with_type::<u64>().with_iterations(10).cloned().for_each(|seed| {
        let mut world = World::new(seed, 5, 0.1);
        for _ in 0..3_000 {
            world.step(true);
        }
    });
}

/// Guards against slots that stay unused or unevenly split once faults have ended.
#[test]
fn live_instances_split_the_slots_evenly() {
    bolero::check!().with_type::<u64>().with_iterations(5).cloned().for_each(|seed| {
        let mut world = World::new(seed, 7, 0.05);
        world.run(1_000, true);
        world.is_cut.fill(false);
        world.is_up.fill(true);
        world.run(2_000, false);
        assert_eq!(world.held(), [9, 9, 9, 9, 8, 8, 8]);
        world.is_up[0] = false;
        world.keepers[0].drain();
        world.run(100, false);
        assert!(world.keepers[0].is_drained());
        assert_eq!(world.held(), [0, 10, 10, 10, 10, 10, 10]);
    });
}

/// Guards against a restart that waits for its own claims to lapse.
#[test]
fn a_restarted_instance_takes_its_slots_back_at_once() {
    let mut world = World::new(1, 3, 0.0);
    world.run(100, false);
    world.restart(1);
    assert_eq!(world.held(), [20, 0, 20]);
    world.run(4, false);
    assert_eq!(world.held(), [20, 20, 20]);
}

/// Guards against the takeover of slots whose holder is only cut off from the store, and against their use after it.
#[test]
fn a_cut_off_instance_keeps_its_slots_for_the_validity() {
    let mut world = World::new(1, 3, 0.0);
    world.run(100, false);
    world.is_cut[2] = true;
    world.is_up[2] = false;
    world.run(80, false);
    assert_eq!(world.held(), [20, 20, 20]);
    world.run(400, false);
    assert_eq!(world.held(), [30, 30, 0]);
}

/// Guards against daemons that start together, each claim all slots and give most of them up again.
#[test]
fn instances_that_start_together_claim_each_slot_once() {
    let mut world = World::new(1, 4, 0.0);
    world.is_up.fill(false);
    world.run(2, false);
    world.is_up.fill(true);
    world.run(40, false);
    assert_eq!(world.held(), [15, 15, 15, 15]);
    let writes = world.revision + world.lost;
    assert_eq!(writes, u64::from(SLOTS), "each slot is written once");
}

/// Guards against reads of all claims every two seconds by a fleet where nothing changes.
#[test]
fn instances_at_rest_read_the_claims_rarely_and_soon_again_after_a_change() {
    let mut world = World::new(1, 3, 0.0);
    world.run(100, false);
    world.reads = 0;
    world.run(240, false);
    assert!(world.reads <= 3 * 7, "{} reads in 60 s", world.reads);
    world.is_up[2] = false;
    world.keepers[2].drain();
    world.run(16, false);
    assert_eq!(world.held(), [30, 30, 0], "the slots of a drained instance are taken within 4 s");
}

/// Instances with clocks of their own over a store that loses answers and applies writes late.
struct World {
    now_ms: u64,
    rng: Rng,
    faults: f64,
    speed: Vec<f64>,
    keepers: Vec<SlotManager>,
    is_up: Vec<bool>,
    is_cut: Vec<bool>,
    asleep_until: Vec<u64>,
    incarnation: u64,
    store: BTreeMap<u32, StoredSlot>,
    revision: u64,
    late: Vec<(u64, usize, u32, Option<StoreRevision>, SlotRecord)>,
    reads: usize,
    lost: u64,
}

impl World {
    fn new(seed: u64, instances: usize, faults: f64) -> Self {
        let mut rng = seeded(seed);
        Self {
            now_ms: 0,
            speed: (0..instances).map(|_| rng.random_range(0.99..=1.01)).collect(),
            keepers: (0..instances).map(|it| keeper(it, it as u64)).collect(),
            is_up: vec![true; instances],
            is_cut: vec![false; instances],
            asleep_until: vec![0; instances],
            incarnation: instances as u64,
            store: BTreeMap::new(),
            revision: 0,
            late: Vec::new(),
            reads: 0,
            lost: 0,
            rng,
            faults,
        }
    }

    fn run(&mut self, steps: usize, has_faults: bool) {
        for _ in 0..steps {
            self.step(has_faults);
        }
    }

    fn step(&mut self, has_faults: bool) {
        const STEP_MS: u64 = 250;
        self.now_ms += STEP_MS;
        let faults = if has_faults { self.faults } else { 0.0 };
        let index = self.rng.random_range(0..self.keepers.len());
        if self.rng.random_bool(faults / 10.0) {
            self.asleep_until[index] = self.now_ms + self.rng.random_range(0..100_000);
        }
        if self.rng.random_bool(faults / 10.0) {
            self.restart(index);
        }
        if self.rng.random_bool(faults / 10.0) {
            self.is_up[index] = !self.is_up[index];
        }
        if self.rng.random_bool(faults / 10.0) {
            self.is_cut[index] = !self.is_cut[index];
        }
        for (at, _, slot, expected, record) in std::mem::take(&mut self.late) {
            if at <= self.now_ms {
                self.swap(slot, expected, record);
            } else {
                self.late.push((at, 0, slot, expected, record));
            }
        }
        for index in 0..self.keepers.len() {
            if self.asleep_until[index] <= self.now_ms {
                self.turn(index, faults);
            }
        }
        self.check();
    }

    fn turn(&mut self, index: usize, faults: f64) {
        let now = self.local(index);
        let mut live: BTreeSet<Name> =
            (0..self.keepers.len()).filter(|it| self.is_up[*it]).map(name).collect();
        // An instance that is cut off still counts itself.
        live.insert(name(index));
        for action in self.keepers[index].tick(now, &live) {
            let is_lost = self.is_cut[index] || self.rng.random_bool(faults);
            match action {
                SlotAction::ReadAll { read, .. } if !is_lost => {
                    self.reads += 1;
                    self.keepers[index].on_read(now, read, &self.store);
                }
                SlotAction::ReadAll { .. } => {}
                SlotAction::CompareAndSwap { slot, expected, record } if !is_lost => {
                    let outcome = self.swap(slot, expected, record.clone());
                    self.keepers[index].on_outcome(now, slot, &record, outcome);
                }
                SlotAction::CompareAndSwap { slot, expected, record } => {
                    if !self.is_cut[index] && self.rng.random_bool(0.5) {
                        let at = self.now_ms + self.rng.random_range(0..20_000);
                        self.late.push((at, index, slot, expected, record.clone()));
                    }
                    self.keepers[index].on_outcome(now, slot, &record, SlotOutcome::Unknown);
                }
            }
        }
    }

    fn swap(
        &mut self,
        slot: u32,
        expected: Option<StoreRevision>,
        record: SlotRecord,
    ) -> SlotOutcome {
        let current = self.store.get(&slot).cloned();
        if current.as_ref().map(|it| it.revision) != expected {
            self.lost += 1;
            return SlotOutcome::Lost(current);
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        self.store.insert(slot, StoredSlot { revision, record });
        SlotOutcome::Won(revision)
    }

    fn restart(&mut self, index: usize) {
        self.incarnation += 1;
        self.keepers[index] = keeper(index, self.incarnation);
    }

    fn check(&self) {
        for number in 0..SLOTS as usize {
            let users: Vec<_> = (0..self.keepers.len())
                .filter(|it| self.keepers[*it].slots[number].is_usable(self.local(*it)))
                .collect();
            assert!(users.len() <= 1, "slot {number} is used by {users:?}");
        }
    }

    fn held(&self) -> Vec<usize> {
        let reachable = BTreeSet::new();
        (0..self.keepers.len())
            .map(|it| self.keepers[it].holdings(self.local(it), &reachable).own.len())
            .collect()
    }

    fn local(&self, index: usize) -> Timestamp {
        Timestamp::from_micros((self.now_ms as f64 * 1e3 * self.speed[index]) as u64)
    }
}

fn keeper(index: usize, incarnation: u64) -> SlotManager {
    assert!(DONOR_HOLD < VALIDITY);
    SlotManager::new(name(index), incarnation, SLOTS, VALIDITY, seeded(incarnation))
}

fn name(index: usize) -> Name {
    Name::new(format!("i{index}"))
}
