//! Random faults, injected from outside the daemons, which may overlap.

use std::{
    collections::BTreeMap,
    io,
    time::{Duration, Instant},
};

use async_std::task;
use rand::Rng as _;
use stdx::{Rng, rng};
use test_support::{link::Relay, operator, platform, target::Behaviour};

use super::{
    fixture::{EVENTS, Fixture, HEALTHY_BEHAVIOUR, KEY},
    releases::Releases,
};

const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// The mean number of faults that are started per second.
const FAULTS_PER_S: f64 = 2.5;
/// The mean number of cuts of all links of a daemon to the targets per second.
const LINK_CUTS_PER_S: f64 = 0.5;
/// Faults last from less time than a peer link takes to close to longer than a lease.
const MAX_FAULT_MS: u64 = 3_000;
/// Runs longer than this alternate between calm, in which daemons grow old enough to trust what they have seen of versions, and
/// faults.
const MAX_UNINTERRUPTED: Duration = Duration::from_secs(60);
const CALM: Duration = Duration::from_secs(38);
const FAULTY: Duration = Duration::from_secs(8);
/// A daemon must exit within this time after it was told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The action that ends a fault.
#[derive(Debug, Clone, Copy)]
enum Recovery {
    RestoreStore(usize),
    RestoreLinks(usize),
    RestoreTarget(usize),
    ResetBehaviour(usize),
    Resume(usize),
    /// Restarts a daemon after the process with this id has exited. If the daemon has a later process, that one was not told
    /// to stop.
    Restart(usize, u32),
}

pub struct FaultInjector {
    rng: Rng,
    /// Separate, so that the other faults of a seed stay the same.
    link_rng: Rng,
    version: u64,
    releases: Releases,
    /// Whether daemons are stopped and crashed; in the other phases they are only paused and cut off.
    ends_daemons: bool,
}

impl FaultInjector {
    pub fn new(seed: u64) -> Self {
        let releases = Releases::new(seed);
        Self {
            rng: rng::seeded(seed),
            link_rng: rng::seeded(!seed),
            version: 2,
            releases,
            ends_daemons: true,
        }
    }

    /// Injects faults for the given time and then ends all of them; returns the unexpected exits of daemons.
    pub async fn inject(
        mut self,
        fixture: &mut Fixture,
        time: Duration,
    ) -> io::Result<Vec<String>> {
        let mut recoveries: BTreeMap<(u128, usize), Recovery> = BTreeMap::new();
        let mut unexpected_exits = Vec::new();
        let steps = (time.as_millis() / STEP_INTERVAL.as_millis()) as usize;
        for step in 0..steps {
            let now = step as u128 * STEP_INTERVAL.as_millis();
            let elapsed = STEP_INTERVAL * step as u32;
            let phase = Phase::at(elapsed, time);
            if phase.begins_calm {
                self.releases.unify(fixture);
            }
            self.ends_daemons = phase.ends_daemons;
            self.releases.step(fixture, elapsed, STEP_INTERVAL, phase.is_faulty);
            while let Some((&at, _)) =
                recoveries.first_key_value().filter(|((due, _), _)| *due <= now)
            {
                if let Some(recovery) = recoveries.remove(&at)
                    && !self.end_fault(fixture, recovery).await?
                {
                    recoveries.insert((now + STEP_INTERVAL.as_millis(), at.1), recovery);
                }
            }
            for (index, daemon) in fixture.daemons.iter_mut().enumerate() {
                if let Some(status) = daemon.process.wait(Duration::from_millis(1)) {
                    let is_stop_requested = recoveries
                        .values()
                        .any(|it| matches!(it, Recovery::Restart(it, _) if *it == index));
                    if !is_stop_requested {
                        unexpected_exits
                            .push(format!("{} exited: {status}", daemon.process.name()));
                        daemon.restart()?;
                    }
                }
            }
            if phase.is_faulty && self.rng.random_bool(FAULTS_PER_S * STEP_INTERVAL.as_secs_f64()) {
                let duration = u128::from(self.rng.random_range(50..MAX_FAULT_MS));
                if let Some(recovery) = self.start_fault(fixture) {
                    recoveries.insert((now + duration, step), recovery);
                }
            }
            let cuts_in_step = LINK_CUTS_PER_S * STEP_INTERVAL.as_secs_f64();
            if phase.is_faulty && self.link_rng.random_bool(cuts_in_step) {
                let duration = u128::from(self.link_rng.random_range(50..MAX_FAULT_MS));
                let recovery = self.cut_links(fixture).await?;
                recoveries.insert((now + duration, steps + step), recovery);
            }
            task::sleep(STEP_INTERVAL).await;
        }
        self.releases.end(fixture);
        self.end_all(fixture, recoveries.into_values().collect()).await?;
        Ok(unexpected_exits)
    }

    /// Ends the faults in turns, because a daemon that was told to stop and then paused exits only after it is resumed.
    async fn end_all(
        &self,
        fixture: &mut Fixture,
        mut recoveries: Vec<Recovery>,
    ) -> io::Result<()> {
        let start = Instant::now();
        while !recoveries.is_empty() {
            let mut unended = Vec::new();
            for recovery in recoveries {
                if !self.end_fault(fixture, recovery).await? {
                    unended.push(recovery);
                }
            }
            if !unended.is_empty() && start.elapsed() > STOP_TIMEOUT {
                return Err(io::Error::other(format!("a daemon did not stop: {unended:?}")));
            }
            recoveries = unended;
            task::sleep(STEP_INTERVAL).await;
        }
        Ok(())
    }

    /// Starts a fault; returns the action that ends it, or `None` if nothing has to be undone.
    fn start_fault(&mut self, fixture: &mut Fixture) -> Option<Recovery> {
        let daemon = self.rng.random_range(0..fixture.daemons.len());
        let target = self.rng.random_range(0..fixture.targets.len());
        match self.rng.random_range(0..11) {
            0 | 1 => {
                self.disturb_link(&fixture.daemons[daemon].store_relay);
                Some(Recovery::RestoreStore(daemon))
            }
            2 | 3 => {
                self.disturb_link(&fixture.targets[target].relay);
                Some(Recovery::RestoreTarget(target))
            }
            4 | 5 => {
                let behaviours = [
                    Behaviour::Full,
                    Behaviour::Close,
                    Behaviour::Status(500),
                    Behaviour::BreakAfter(EVENTS / 2),
                    Behaviour::Stream { events: EVENTS, pause: Duration::from_millis(200) },
                ];
                fixture.targets[target]
                    .server
                    .set_behaviour(behaviours[self.rng.random_range(0..behaviours.len())]);
                Some(Recovery::ResetBehaviour(target))
            }
            6 => {
                fixture.daemons[daemon].process.pause();
                Some(Recovery::Resume(daemon))
            }
            7 | 8 if !self.ends_daemons => {
                fixture.daemons[daemon].process.pause();
                Some(Recovery::Resume(daemon))
            }
            7 => {
                fixture.daemons[daemon].process.crash();
                Some(Recovery::Restart(daemon, fixture.daemons[daemon].process.id()))
            }
            8 => {
                fixture.daemons[daemon].process.terminate();
                Some(Recovery::Restart(daemon, fixture.daemons[daemon].process.id()))
            }
            9 => {
                self.version += 1;
                operator::configure(&fixture.platform, self.version, &[KEY]);
                None
            }
            _ => {
                let fault = match self.rng.random_bool(0.5) {
                    true => platform::Faults { lapse_all_leases: Some(true), ..Default::default() },
                    false => platform::Faults { lose_answers: Some(3), ..Default::default() },
                };
                fixture.platform.set_faults(&fault).expect("these faults name no lease");
                None
            }
        }
    }

    /// Cuts the links of a daemon to all targets, or to some of them.
    async fn cut_links(&mut self, fixture: &Fixture) -> io::Result<Recovery> {
        let rng = &mut self.link_rng;
        let daemon = rng.random_range(0..fixture.daemons.len());
        let (kind, is_partial) = (rng.random_range(0..3), rng.random_bool(0.3));
        for relay in &fixture.daemons[daemon].target_relays {
            if is_partial && rng.random_bool(0.5) {
                continue;
            }
            match kind {
                0 => {
                    relay.hang_new().await?;
                    relay.silence();
                }
                1 => {
                    relay.stop_listening();
                    relay.cut();
                }
                _ => relay.stop_listening(),
            }
        }
        Ok(Recovery::RestoreLinks(daemon))
    }

    fn disturb_link(&mut self, relay: &Relay) {
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

    /// Ends a fault; returns `false` if this must be retried later.
    async fn end_fault(&self, fixture: &mut Fixture, recovery: Recovery) -> io::Result<bool> {
        match recovery {
            Recovery::RestoreLinks(daemon) => {
                for relay in &fixture.daemons[daemon].target_relays {
                    relay.listen().await?;
                }
            }
            Recovery::RestoreStore(daemon) => restore(&fixture.daemons[daemon].store_relay),
            Recovery::RestoreTarget(target) => restore(&fixture.targets[target].relay),
            Recovery::ResetBehaviour(target) => {
                fixture.targets[target].server.set_behaviour(HEALTHY_BEHAVIOUR)
            }
            Recovery::Resume(daemon) => fixture.daemons[daemon].process.resume(),
            Recovery::Restart(daemon, id) => {
                let daemon = &mut fixture.daemons[daemon];
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

/// What happens at a time of a run.
struct Phase {
    is_faulty: bool,
    begins_calm: bool,
    ends_daemons: bool,
}

impl Phase {
    fn at(elapsed: Duration, time: Duration) -> Self {
        if time <= MAX_UNINTERRUPTED {
            return Self { is_faulty: true, begins_calm: false, ends_daemons: true };
        }
        let period = (CALM + FAULTY).as_millis();
        let (number, at) = (elapsed.as_millis() / period, elapsed.as_millis() % period);
        Self {
            is_faulty: at >= CALM.as_millis(),
            begins_calm: at < STEP_INTERVAL.as_millis(),
            ends_daemons: number % 2 == 1,
        }
    }
}

fn restore(relay: &Relay) {
    relay.refuse(false);
    relay.silence_new(false);
    relay.delay(Duration::ZERO);
    // Connections that were silenced stay silent; both ends have to detect that themselves.
}
