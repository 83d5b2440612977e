//! Faults from outside the daemons, which overlap and follow each other at random.

use std::{
    collections::BTreeMap,
    io,
    time::{Duration, Instant},
};

use async_std::task;
use rand::Rng as _;
use stdx::{Rng, rng};
use test_support::{link::Relay, operator, platform, target::Behaviour};

use super::site::{KEY, SOUND, Site};

const STEP: Duration = Duration::from_millis(50);
/// The mean number of faults that begin per second.
const FAULTS_PER_S: f64 = 2.5;
/// Shorter than a peer link takes to close, to longer than a lease.
const LONGEST_MS: u64 = 3_000;
/// The time in which a daemon that was asked to stop must have ended.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
enum End {
    StoreBack(usize),
    TargetBack(usize),
    TargetSound(usize),
    Resume(usize),
    /// Of the process with this id; a later one of the daemon was not asked to stop.
    Restart(usize, u32),
}

pub struct Faults {
    rng: Rng,
    version: u64,
}

impl Faults {
    pub fn new(seed: u64) -> Self {
        Self { rng: rng::seeded(seed), version: 2 }
    }

    /// Injects faults for a time and ends all of them; returns the daemons that ended by themselves.
    pub async fn inject(mut self, site: &mut Site, time: Duration) -> io::Result<Vec<String>> {
        let mut ends: BTreeMap<(u128, usize), End> = BTreeMap::new();
        let mut exits = Vec::new();
        let steps = (time.as_millis() / STEP.as_millis()) as usize;
        for step in 0..steps {
            let now = step as u128 * STEP.as_millis();
            while let Some((&at, _)) = ends.first_key_value().filter(|((due, _), _)| *due <= now) {
                if let Some(end) = ends.remove(&at)
                    && !self.end(site, end)?
                {
                    ends.insert((now + STEP.as_millis(), at.1), end);
                }
            }
            for (index, daemon) in site.daemons.iter_mut().enumerate() {
                if let Some(status) = daemon.process.wait(Duration::from_millis(1)) {
                    let is_awaited =
                        ends.values().any(|it| matches!(it, End::Restart(it, _) if *it == index));
                    if !is_awaited {
                        exits.push(format!("{} ended: {status}", daemon.process.name()));
                        daemon.restart()?;
                    }
                }
            }
            if self.rng.random_bool(FAULTS_PER_S * STEP.as_secs_f64()) {
                let lasts = u128::from(self.rng.random_range(50..LONGEST_MS));
                if let Some(end) = self.begin(site) {
                    ends.insert((now + lasts, step), end);
                }
            }
            task::sleep(STEP).await;
        }
        let start = Instant::now();
        for end in ends.into_values() {
            while !self.end(site, end)? {
                if start.elapsed() > STOP_LIMIT {
                    return Err(io::Error::other(format!("a daemon did not stop: {end:?}")));
                }
                task::sleep(STEP).await;
            }
        }
        Ok(exits)
    }

    /// Begins a fault; returns what ends it, if it lasts.
    fn begin(&mut self, site: &mut Site) -> Option<End> {
        let daemon = self.rng.random_range(0..site.daemons.len());
        let target = self.rng.random_range(0..site.targets.len());
        match self.rng.random_range(0..11) {
            0 | 1 => {
                self.disturb(&site.daemons[daemon].store);
                Some(End::StoreBack(daemon))
            }
            2 | 3 => {
                self.disturb(&site.targets[target].1);
                Some(End::TargetBack(target))
            }
            4 | 5 => {
                let behaviours = [
                    Behaviour::Full,
                    Behaviour::Close,
                    Behaviour::Status(500),
                    Behaviour::BreakAfter(3),
                    Behaviour::Stream { events: 6, pause: Duration::from_millis(400) },
                ];
                site.targets[target]
                    .0
                    .set_behaviour(behaviours[self.rng.random_range(0..behaviours.len())]);
                Some(End::TargetSound(target))
            }
            6 => {
                site.daemons[daemon].process.pause();
                Some(End::Resume(daemon))
            }
            7 => {
                site.daemons[daemon].process.crash();
                Some(End::Restart(daemon, site.daemons[daemon].process.id()))
            }
            8 => {
                site.daemons[daemon].process.terminate();
                Some(End::Restart(daemon, site.daemons[daemon].process.id()))
            }
            9 => {
                self.version += 1;
                operator::configure(&site.platform, self.version, &[KEY]);
                None
            }
            _ => {
                let fault = match self.rng.random_bool(0.5) {
                    true => platform::Faults { lapse_all_leases: Some(true), ..Default::default() },
                    false => platform::Faults { lose_answers: Some(3), ..Default::default() },
                };
                site.platform.set_faults(&fault).expect("a switch that needs no lease");
                None
            }
        }
    }

    fn disturb(&mut self, relay: &Relay) {
        match self.rng.random_range(0..5) {
            0 => relay.cut(),
            1 => {
                relay.refuse(true);
                relay.cut();
            }
            2 => relay.silence(),
            3 => {
                relay.silence();
                relay.silence_new(true);
            }
            _ => relay.delay(Duration::from_millis(self.rng.random_range(5..150))),
        }
    }

    /// Ends a fault; `false` if that must be tried again later.
    fn end(&self, site: &mut Site, end: End) -> io::Result<bool> {
        match end {
            End::StoreBack(daemon) => restore(&site.daemons[daemon].store),
            End::TargetBack(target) => restore(&site.targets[target].1),
            End::TargetSound(target) => site.targets[target].0.set_behaviour(SOUND),
            End::Resume(daemon) => site.daemons[daemon].process.resume(),
            End::Restart(daemon, id) => {
                let daemon = &mut site.daemons[daemon];
                if daemon.process.id() != id {
                    return Ok(true);
                }
                if daemon.process.wait(Duration::from_millis(1)).is_none() {
                    return Ok(false);
                }
                daemon.restart()?;
            }
        }
        Ok(true)
    }
}

fn restore(relay: &Relay) {
    relay.refuse(false);
    relay.silence_new(false);
    relay.delay(Duration::ZERO);
    // What was silenced stays so; its ends have to notice that themselves.
}
