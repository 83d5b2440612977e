//! Releases of software versions at the targets, and targets whose answers end early, beside all other faults.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng as _;
use stdx::{Rng, rng};
use test_support::target::Behaviour;

use super::fixture::{EVENTS, Fixture, HEALTHY_BEHAVIOUR};

/// The mean number of changes per second.
const CHANGES_PER_S: f64 = 1.5;
/// The range of the time between a target's end, or its announcement, and the start of its successor.
const GAP_MS: std::ops::Range<u64> = 50..3_000;
/// An answer that is cut after a random number of bytes is at least that long.
const ANSWER_BYTES: usize = 1_000;

/// The second half of a change.
#[derive(Debug, Clone, Copy)]
enum Completion {
    /// A target starts at the address, under its id or a new one.
    Start {
        target: usize,
        version: u64,
        keeps_id: bool,
    },
    ResetBehaviour(usize),
}

/// Changes the targets at random.
pub struct Releases {
    rng: Rng,
    newest: u64,
    /// By the time at which they are due.
    completions: BTreeMap<(Duration, usize), Completion>,
}

impl Releases {
    pub fn new(seed: u64) -> Self {
        const STREAM: u64 = 0x72e1_ea5e;
        Self { rng: rng::seeded(seed ^ STREAM), newest: 1, completions: BTreeMap::new() }
    }

    /// Ends what is due at `now`, and starts a change in some of the steps of this length while `is_active`.
    pub fn step(&mut self, fixture: &mut Fixture, now: Duration, step: Duration, is_active: bool) {
        while let Some(next) = self.completions.first_entry()
            && next.key().0 <= now
        {
            complete(fixture, next.remove());
        }
        if is_active && self.rng.random_bool(CHANGES_PER_S * step.as_secs_f64()) {
            let due = now + Duration::from_millis(self.rng.random_range(GAP_MS));
            let completion = self.start_change(fixture);
            self.completions.insert((due, self.completions.len()), completion);
        }
    }

    /// Completes all changes.
    pub fn end(&mut self, fixture: &mut Fixture) {
        for it in std::mem::take(&mut self.completions).into_values() {
            complete(fixture, it);
        }
    }

    /// Replaces all targets by targets of one version.
    pub fn unify(&mut self, fixture: &mut Fixture) {
        self.end(fixture);
        for target in 0..fixture.targets.len() {
            let is_newest = fixture.targets[target].version == version_name(self.newest);
            if !is_newest {
                fixture.start_target(target, version_name(self.newest), false);
            }
        }
    }

    fn start_change(&mut self, fixture: &mut Fixture) -> Completion {
        let target = self.rng.random_range(0..fixture.targets.len());
        let version = match self.rng.random_range(0..4) {
            0 | 1 => {
                self.newest += 1;
                self.newest
            }
            2 => self.newest,
            // A release is taken back.
            _ => self.newest.saturating_sub(1).max(1),
        };
        let kind = self.rng.random_range(0..6);
        let bytes = self.rng.random_range(1..ANSWER_BYTES);
        match kind {
            0 | 1 => {
                fixture.announce_leaving(target);
                Completion::Start { target, version, keeps_id: false }
            }
            2 => {
                // The entry of a target that crashed remains.
                fixture.targets[target].end_process();
                Completion::Start { target, version, keeps_id: self.rng.random_bool(0.5) }
            }
            3 => {
                fixture.targets[target].end_process();
                fixture.remove_entry(target);
                Completion::Start { target, version, keeps_id: self.rng.random_bool(0.5) }
            }
            4 => {
                let behaviour = Behaviour::EndAfterBytes { events: EVENTS, bytes };
                fixture.targets[target].server.set_behaviour(behaviour);
                Completion::ResetBehaviour(target)
            }
            _ => {
                let behaviour = Behaviour::BreakUnframedAfter(EVENTS / 2);
                fixture.targets[target].server.set_behaviour(behaviour);
                Completion::ResetBehaviour(target)
            }
        }
    }
}

/// Returns the name of a version by its number.
pub fn version_name(number: u64) -> String {
    format!("v{number}")
}

fn complete(fixture: &mut Fixture, completion: Completion) {
    match completion {
        Completion::Start { target, version, keeps_id } => {
            fixture.start_target(target, version_name(version), keeps_id)
        }
        Completion::ResetBehaviour(target) => {
            fixture.targets[target].server.set_behaviour(HEALTHY_BEHAVIOUR)
        }
    }
}
