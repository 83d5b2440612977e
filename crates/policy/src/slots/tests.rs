use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, rng::seeded};

use super::{SlotAction, SlotManager, SlotOutcome, SlotRecord, StoreRevision, StoredSlot};
use crate::rate::LENDER_HOLD;

const SLOTS: u32 = 60;
const VALIDITY: Duration = Duration::from_secs(60);

/// Guards against two instances that use one slot at the same time, with any loss of store calls and answers and with
/// pauses of instances of any length.
#[test]
fn no_slot_is_used_twice() {
    bolero::check!().with_type::<u64>().with_iterations(10).cloned().for_each(|seed| {
        let mut sim = Simulation::new(seed, 5, 0.1);
        for _ in 0..3_000 {
            sim.step(true);
        }
    });
}

/// Guards against slots that stay unused or unevenly split after faults have ended.
#[test]
fn live_instances_split_the_slots_evenly() {
    bolero::check!().with_type::<u64>().with_iterations(5).cloned().for_each(|seed| {
        let mut sim = Simulation::new(seed, 7, 0.05);
        sim.run(1_000, true);
        sim.is_cut_off.fill(false);
        sim.is_up.fill(true);
        sim.run(2_000, false);
        assert_eq!(sim.held_slots(), [9, 9, 9, 9, 8, 8, 8]);
        sim.is_up[0] = false;
        sim.managers[0].drain();
        sim.run(100, false);
        assert!(sim.managers[0].is_drained());
        assert_eq!(sim.held_slots(), [0, 10, 10, 10, 10, 10, 10]);
    });
}

/// Guards against a restart that waits for its own claims to lapse.
#[test]
fn a_restarted_instance_takes_its_slots_back_at_once() {
    let mut sim = Simulation::new(1, 3, 0.0);
    sim.run(100, false);
    sim.restart(1);
    assert_eq!(sim.held_slots(), [20, 0, 20]);
    sim.run(4, false);
    assert_eq!(sim.held_slots(), [20, 20, 20]);
}

/// Guards against the takeover of slots while the claim of an unreachable holder is valid, and against their use by that
/// holder afterwards.
#[test]
fn a_cut_off_instance_keeps_its_slots_for_the_validity() {
    let mut sim = Simulation::new(1, 3, 0.0);
    sim.run(100, false);
    sim.is_cut_off[2] = true;
    sim.is_up[2] = false;
    sim.run(80, false);
    assert_eq!(sim.held_slots(), [20, 20, 20]);
    sim.run(400, false);
    assert_eq!(sim.held_slots(), [30, 30, 0]);
}

/// Guards against daemons that start together, each claim all slots and release most of them again.
#[test]
fn instances_that_start_together_claim_each_slot_once() {
    let mut sim = Simulation::new(1, 4, 0.0);
    sim.is_up.fill(false);
    sim.run(2, false);
    sim.is_up.fill(true);
    sim.run(40, false);
    assert_eq!(sim.held_slots(), [15, 15, 15, 15]);
    let writes = sim.revision + sim.conflicts;
    assert_eq!(writes, u64::from(SLOTS), "each slot is written once");
}

/// Guards against reads of all claims every two seconds while neither slots nor holders change.
#[test]
fn stable_instances_read_the_claims_rarely_and_soon_again_after_a_change() {
    let mut sim = Simulation::new(1, 3, 0.0);
    sim.run(100, false);
    sim.reads = 0;
    sim.run(240, false);
    assert!(sim.reads <= 3 * 7, "{} reads in 60 s", sim.reads);
    sim.is_up[2] = false;
    sim.managers[2].drain();
    sim.run(16, false);
    assert_eq!(
        sim.held_slots(),
        [30, 30, 0],
        "the slots of a drained instance are taken within 4 s"
    );
}

/// Simulates instances with drifting clocks and a store that loses answers and applies some writes late.
struct Simulation {
    now_ms: u64,
    rng: Rng,
    fault_rate: f64,
    clock_speed: Vec<f64>,
    managers: Vec<SlotManager>,
    is_up: Vec<bool>,
    is_cut_off: Vec<bool>,
    paused_until: Vec<u64>,
    incarnation: u64,
    store: BTreeMap<u32, StoredSlot>,
    revision: u64,
    delayed_writes: Vec<(u64, usize, u32, Option<StoreRevision>, SlotRecord)>,
    reads: usize,
    conflicts: u64,
}

impl Simulation {
    fn new(seed: u64, instances: usize, fault_rate: f64) -> Self {
        let mut rng = seeded(seed);
        Self {
            now_ms: 0,
            clock_speed: (0..instances).map(|_| rng.random_range(0.99..=1.01)).collect(),
            managers: (0..instances).map(|it| manager(it, it as u64)).collect(),
            is_up: vec![true; instances],
            is_cut_off: vec![false; instances],
            paused_until: vec![0; instances],
            incarnation: instances as u64,
            store: BTreeMap::new(),
            revision: 0,
            delayed_writes: Vec::new(),
            reads: 0,
            conflicts: 0,
            rng,
            fault_rate,
        }
    }

    fn run(&mut self, steps: usize, with_faults: bool) {
        for _ in 0..steps {
            self.step(with_faults);
        }
    }

    fn step(&mut self, with_faults: bool) {
        const STEP_MS: u64 = 250;
        self.now_ms += STEP_MS;
        let faults = if with_faults { self.fault_rate } else { 0.0 };
        let index = self.rng.random_range(0..self.managers.len());
        if self.rng.random_bool(faults / 10.0) {
            self.paused_until[index] = self.now_ms + self.rng.random_range(0..100_000);
        }
        if self.rng.random_bool(faults / 10.0) {
            self.restart(index);
        }
        if self.rng.random_bool(faults / 10.0) {
            self.is_up[index] = !self.is_up[index];
        }
        if self.rng.random_bool(faults / 10.0) {
            self.is_cut_off[index] = !self.is_cut_off[index];
        }
        for (at, _, slot, expected, record) in std::mem::take(&mut self.delayed_writes) {
            if at <= self.now_ms {
                self.compare_and_swap(slot, expected, record);
            } else {
                self.delayed_writes.push((at, 0, slot, expected, record));
            }
        }
        for index in 0..self.managers.len() {
            if self.paused_until[index] <= self.now_ms {
                self.step_instance(index, faults);
            }
        }
        self.check_exclusive_use();
    }

    fn step_instance(&mut self, index: usize, faults: f64) {
        let now = self.local_time(index);
        let mut live: BTreeSet<Name> =
            (0..self.managers.len()).filter(|it| self.is_up[*it]).map(name).collect();
        // An instance that is cut off still counts itself as live.
        live.insert(name(index));
        for action in self.managers[index].tick(now, &live) {
            let is_lost = self.is_cut_off[index] || self.rng.random_bool(faults);
            match action {
                SlotAction::ReadAll { read, .. } if !is_lost => {
                    self.reads += 1;
                    self.managers[index].on_read(now, read, &self.store);
                }
                SlotAction::ReadAll { .. } => {}
                SlotAction::CompareAndSwap { slot, expected, record } if !is_lost => {
                    let outcome = self.compare_and_swap(slot, expected, record.clone());
                    self.managers[index].on_outcome(now, slot, &record, outcome);
                }
                SlotAction::CompareAndSwap { slot, expected, record } => {
                    if !self.is_cut_off[index] && self.rng.random_bool(0.5) {
                        let at = self.now_ms + self.rng.random_range(0..20_000);
                        self.delayed_writes.push((at, index, slot, expected, record.clone()));
                    }
                    self.managers[index].on_outcome(now, slot, &record, SlotOutcome::Unknown);
                }
            }
        }
    }

    fn compare_and_swap(
        &mut self,
        slot: u32,
        expected: Option<StoreRevision>,
        record: SlotRecord,
    ) -> SlotOutcome {
        let current = self.store.get(&slot).cloned();
        if current.as_ref().map(|it| it.revision) != expected {
            self.conflicts += 1;
            return SlotOutcome::Lost(current);
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        self.store.insert(slot, StoredSlot { revision, record });
        SlotOutcome::Won(revision)
    }

    fn restart(&mut self, index: usize) {
        self.incarnation += 1;
        self.managers[index] = manager(index, self.incarnation);
    }

    fn check_exclusive_use(&self) {
        for number in 0..SLOTS as usize {
            let users: Vec<_> = (0..self.managers.len())
                .filter(|it| self.managers[*it].slots[number].is_usable(self.local_time(*it)))
                .collect();
            assert!(users.len() <= 1, "slot {number} is used by {users:?}");
        }
    }

    fn held_slots(&self) -> Vec<usize> {
        let reachable = BTreeSet::new();
        (0..self.managers.len())
            .map(|it| self.managers[it].holdings(self.local_time(it), &reachable).own.len())
            .collect()
    }

    fn local_time(&self, index: usize) -> Timestamp {
        Timestamp::from_micros((self.now_ms as f64 * 1e3 * self.clock_speed[index]) as u64)
    }
}

fn manager(index: usize, incarnation: u64) -> SlotManager {
    assert!(LENDER_HOLD < VALIDITY);
    SlotManager::new(name(index), incarnation, SLOTS, VALIDITY, seeded(incarnation))
}

fn name(index: usize) -> Name {
    Name::new(format!("i{index}"))
}
