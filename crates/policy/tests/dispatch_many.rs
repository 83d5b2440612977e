//! Many instances that share targets and hear of each other by heartbeats, in simulated time.

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use policy::dispatch::{Action, Dispatcher, Event, Settings, TargetInfo};
use rand::Rng as _;
use stdx::{Name, Timestamp, rng};

mod dispatch_support;
use dispatch_support::{dispatches, online, service};

const INSTANCES: usize = 23;
const TARGETS: usize = 15;
const SLOTS: usize = 8;
/// As in a burst on the grown menu assistant: 5.5 of 8 slots are taken on the mean.
const REQUESTS_PER_S: f64 = 183.0;
const HELD: Duration = Duration::from_millis(450);
const HEARTBEAT: Duration = Duration::from_millis(250);
/// A third of the 300 ms to the first token that the users name for the menu assistant, for 95 in 100.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
const TIME: Duration = Duration::from_secs(60);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Complete { instance: usize, id: u64 },
    Heartbeat { instance: usize },
    Arrive,
}

struct Fleet {
    rng: stdx::Rng,
    now: Timestamp,
    steps: BinaryHeap<std::cmp::Reverse<(Timestamp, u64, Step)>>,
    sequence: u64,
    dispatchers: Vec<Dispatcher>,
    /// When the slots of each target are free again.
    slots: BTreeMap<Name, [Timestamp; SLOTS]>,
    /// How long each request waited at its target for a slot.
    waits: Vec<Duration>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            rng: rng::seeded(7),
            now: Timestamp::from_millis(1),
            steps: BinaryHeap::new(),
            sequence: 0,
            dispatchers: (0..INSTANCES).map(dispatcher).collect(),
            slots: BTreeMap::new(),
            waits: Vec::new(),
        };
        for instance in 0..INSTANCES {
            let offset = HEARTBEAT.mul_f64(instance as f64 / INSTANCES as f64);
            fleet.schedule(offset, Step::Heartbeat { instance });
        }
        fleet.schedule(Duration::ZERO, Step::Arrive);
        fleet
    }

    fn run(mut self) -> Self {
        let end = self.now + TIME;
        while let Some(std::cmp::Reverse((at, _, step))) = self.steps.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.perform(step);
        }
        self
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Arrive => {
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / REQUESTS_PER_S;
                self.schedule(Duration::from_secs_f64(gap), Step::Arrive);
                let instance = self.rng.random_range(0..INSTANCES);
                self.sequence += 1;
                let actions = self.dispatchers[instance].submit(self.now, online(self.sequence));
                self.follow(instance, actions);
            }
            Step::Complete { instance, id } => {
                let event = Event::Completed { id, tokens: None };
                let actions = self.dispatchers[instance].on_event(self.now, event);
                self.follow(instance, actions);
            }
            Step::Heartbeat { instance } => {
                self.schedule(HEARTBEAT, Step::Heartbeat { instance });
                self.share(instance);
            }
        }
    }

    fn share(&mut self, instance: usize) {
        let loads = self.dispatchers[instance].in_flight_loads(self.now);
        for peer in (0..INSTANCES).filter(|it| *it != instance) {
            let event = Event::PeerHeartbeat {
                peer: name(instance),
                failure_domain: "z1".into(),
                loads: loads.clone(),
                waiting: Vec::new(),
                batch_waiting: Vec::new(),
            };
            let mut actions = self.dispatchers[peer].on_event(self.now, event);
            actions.extend(self.dispatchers[peer].tick(self.now));
            self.follow(peer, actions);
        }
    }

    fn follow(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { id, target, .. } => {
                    let wait = self.take_slot(target);
                    self.waits.push(wait);
                    self.schedule(wait + HELD, Step::Complete { instance, id });
                }
                Action::Refuse { id, refusal } => panic!("{id} was refused: {refusal:?}"),
                _ => {}
            }
        }
    }

    /// Takes the slot that is free first, as targets run requests in order of arrival; returns the wait for it.
    fn take_slot(&mut self, target: Name) -> Duration {
        let slots = self.slots.entry(target).or_insert([Timestamp::ZERO; SLOTS]);
        let slot = slots.iter_mut().min().expect("a target has slots");
        let start = self.now.max(*slot);
        *slot = start + HELD;
        start.since(self.now)
    }

    fn schedule(&mut self, delay: Duration, step: Step) {
        self.sequence += 1;
        self.steps.push(std::cmp::Reverse((self.now + delay, self.sequence, step)));
    }
}

/// Guards against targets with more requests than slots beside idle ones, because many instances choose by late reports.
#[test]
fn many_instances_spread_a_burst_over_targets_with_room() {
    let mut waits = Fleet::new().run().waits;
    assert!(waits.len() > 10_000, "{}", waits.len());
    waits.sort_unstable();
    let p95 = waits[waits.len() * 95 / 100];
    assert!(p95 <= LONGEST_WAIT, "{p95:?}");
}

/// Guards against requests that wait for the targets of their instance's part while others have room.
#[test]
fn an_instance_goes_beyond_its_part_when_that_is_full() {
    let mut dispatcher = dispatcher(0);
    let now = Timestamp::from_millis(2);
    let sent = (0..(TARGETS * SLOTS) as u64).flat_map(|id| {
        let actions = dispatcher.submit(now, online(id));
        dispatches(&actions)
    });
    let mut by_target: BTreeMap<Name, usize> = BTreeMap::new();
    for (_, target) in sent {
        *by_target.entry(target).or_default() += 1;
    }
    assert_eq!(by_target.len(), TARGETS);
    assert!(by_target.values().all(|it| *it == SLOTS), "{by_target:?}");
}

fn dispatcher(instance: usize) -> Dispatcher {
    let settings = Settings::new(name(instance), "z1".into());
    let mut dispatcher = Dispatcher::new(settings, rng::seeded(instance as u64));
    let now = Timestamp::from_millis(1);
    let targets = (0..TARGETS).map(|it| target_info(&format!("t{it:02}"))).collect();
    dispatcher.on_event(now, Event::TargetsChanged { service: service(), targets });
    let names: BTreeSet<Name> = (0..INSTANCES).map(name).collect();
    dispatcher.on_event(now, Event::AdmittingInstances(names));
    dispatcher
}

fn target_info(name: &str) -> TargetInfo {
    TargetInfo { registered: true, ..dispatch_support::target(name, "z1", SLOTS as u32) }
}

fn name(instance: usize) -> Name {
    Name::new(format!("d{instance:02}"))
}
