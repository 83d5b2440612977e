//! The state of one service.

use std::time::Duration;

use fleet::QualifiedName;
use stdx::{Name, Timestamp};

use super::{
    budget::RetryBudget,
    capacity::{Expected, Usual},
    fair::FairQueue,
    request::{Class, Request},
    settings::Settings,
    target::Need,
    targets::Targets,
};

/// One service with its targets and waiting requests.
#[derive(Debug)]
pub(super) struct Service {
    pub name: QualifiedName,
    pub targets: Targets,
    pub online: ClassState,
    pub batch: ClassState,
    /// Waiting requests that were in flight on a target when it died. They wait outside the queues because each needs a
    /// target without another suspect.
    pub suspects: Vec<u64>,
    /// What is usual for its targets.
    pub usual: Usual,
    /// The online requests that wait only for the load of targets that is being read.
    pub reading: usize,
    /// How long a request holds its slot per token of its cost, as a moving average.
    slot_seconds_per_token: Option<f64>,
    /// How long a request holds its slot, as a moving average.
    slot_seconds_per_request: Option<f64>,
}

/// The queue and the retry budget of one class of a service.
#[derive(Debug, Default)]
pub(super) struct ClassState {
    pub queue: FairQueue,
    pub budget: RetryBudget,
}

/// A request that the dispatcher holds.
#[derive(Debug)]
pub(super) struct HeldRequest {
    pub request: Request,
    pub service: usize,
    pub phase: Phase,
    /// The number of the current or next attempt, from one.
    pub attempt: u32,
    /// Whether a byte of the request may have left in any attempt.
    pub sent: bool,
    /// Whether a byte of the answer arrived in any attempt.
    pub answered: bool,
    /// The version that began the answer; `None` before the first output.
    pub version: Option<Name>,
    /// The version of the target of the current attempt.
    pub attempt_version: Name,
    /// The targets whose load is being read or was read for the request.
    pub reading: Option<Reading>,
    /// What was expected of the target of the current attempt, if that is learned.
    pub expected: Option<Expected>,
    /// Whether output of the current attempt arrived.
    pub has_output: bool,
    /// Whether the request was dispatched at all.
    pub dispatched: bool,
    /// How often a target refused the request.
    pub refusals: u32,
    /// The target of the last failed attempt.
    pub avoid: Option<Name>,
    /// The tokens that the account was charged for the current attempt.
    pub charged: u64,
}

/// Reads of the load of targets, for one request.
#[derive(Debug)]
pub(super) struct Reading {
    pub begun_at: Timestamp,
    pub targets: Vec<Name>,
    /// Whether the request still waits for an answer.
    pub is_pending: bool,
}

/// The state of a held request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Phase {
    Queued,
    /// Waiting in [`Service::suspects`].
    Suspect,
    InFlight {
        target: Name,
        since: Timestamp,
        stopping: bool,
        as_suspect: bool,
    },
}

/// Estimates how long requests wait behind others.
#[derive(Debug)]
pub(super) struct WaitModel {
    /// The time until any target takes work; `None` if none will.
    until_any: Option<Duration>,
    slot_seconds_per_token: f64,
}

impl WaitModel {
    /// Estimates how long a request waits behind `cost` tokens; `None` if no target will take work.
    pub fn behind(&self, cost: u64) -> Option<Duration> {
        Some(self.until_any? + Duration::from_secs_f64(self.slot_seconds_per_token * cost as f64))
    }
}

impl HeldRequest {
    pub fn new(request: Request, service: usize) -> Self {
        Self {
            version: request.version.clone(),
            attempt_version: Name::from(""),
            request,
            service,
            phase: Phase::Queued,
            attempt: 1,
            sent: false,
            answered: false,
            reading: None,
            expected: None,
            has_output: false,
            dispatched: false,
            refusals: 0,
            avoid: None,
            charged: 0,
        }
    }

    pub fn class(&self) -> Class {
        self.request.class
    }

    pub fn need(&self, settings: &Settings, now: Timestamp) -> Need {
        let large_reserve_until = self.request.large_reserve_until.max(settings.warm_up_until);
        match self.class() {
            Class::Online => Need::Online,
            Class::Batch => Need::Batch { large_reserve: now < large_reserve_until },
        }
    }

    /// Returns whether the request waits for the load of targets that is being read for it.
    pub fn is_reading(&self) -> bool {
        self.reading.as_ref().is_some_and(|it| it.is_pending)
    }

    /// Returns whether the request may be interrupted and run again.
    pub fn is_stoppable(&self) -> bool {
        self.class() == Class::Batch && self.request.idempotent
    }
}

impl Service {
    pub fn new(name: QualifiedName, settings: &Settings) -> Self {
        Self {
            name,
            targets: Targets::new(settings.clone()),
            online: ClassState::default(),
            batch: ClassState::default(),
            suspects: Vec::new(),
            usual: Usual::default(),
            reading: 0,
            slot_seconds_per_token: None,
            slot_seconds_per_request: None,
        }
    }

    pub fn class_state_mut(&mut self, class: Class) -> &mut ClassState {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }

    pub fn class_state(&self, class: Class) -> &ClassState {
        match class {
            Class::Online => &self.online,
            Class::Batch => &self.batch,
        }
    }

    /// Returns whether a request waits for targets of a version of which none will take work any more.
    pub fn lacks_version(&self, held: &HeldRequest) -> bool {
        held.version.as_ref().is_some_and(|it| !self.targets.has_version(it))
    }

    /// Returns the number of batch requests that were told to stop on targets that take work.
    pub fn stopping(&self) -> usize {
        self.targets.totals().stopping
    }

    /// Returns whether requests wait for which no slot is about to become free.
    pub fn has_waiting(&self, class: Class) -> bool {
        match class {
            // A request for which a batch request is stopping is placed within milliseconds.
            Class::Online => self.online.queue.len() > self.stopping() + self.reading,
            Class::Batch => self.batch.queue.len() > 0,
        }
    }

    /// Records how long a completed request held its slot.
    pub fn record_slot_time(&mut self, held_for: Duration, cost: u64) {
        const WEIGHT_OF_NEWEST: f64 = 0.05;
        let mix = |old: Option<f64>, new: f64| {
            Some(old.map_or(new, |old| old + WEIGHT_OF_NEWEST * (new - old)))
        };
        let seconds = held_for.as_secs_f64();
        self.slot_seconds_per_token =
            mix(self.slot_seconds_per_token, seconds / cost.max(1) as f64);
        self.slot_seconds_per_request = mix(self.slot_seconds_per_request, seconds);
    }

    /// Estimates how long requests wait behind others.
    pub fn wait_model(&self, settings: &Settings, now: Timestamp) -> WaitModel {
        let listed = self.targets.values().filter(|it| it.listed);
        let until_any = match self.targets.totals().ready {
            0 => listed.filter_map(|it| it.wait(settings, now)).min(),
            _ => Some(Duration::ZERO),
        };
        WaitModel {
            until_any,
            slot_seconds_per_token: self.slot_seconds_per_token.unwrap_or(0.0)
                / self.capacity(settings, false).unwrap_or(1.0),
        }
    }

    /// Returns how long a request holds its slot, as a moving average.
    pub fn mean_slot_time(&self) -> Duration {
        Duration::from_secs_f64(self.slot_seconds_per_request.unwrap_or(0.0))
    }

    /// Estimates how long it takes until a slot in this failure domain becomes free.
    pub fn estimated_local_wait(&self, settings: &Settings) -> Duration {
        let Some(capacity) = self.capacity(settings, true) else { return Duration::MAX };
        let seconds = self.slot_seconds_per_request.unwrap_or(0.0) / capacity;
        Duration::from_secs_f64(seconds * (self.online.queue.len() + 1) as f64)
    }

    /// Returns how many online requests of this instance the targets, or only the local ones, run at a time; `None` if they run none.
    fn capacity(&self, settings: &Settings, only_local: bool) -> Option<f64> {
        let slot_seconds = self.slot_seconds_per_request.unwrap_or(0.0);
        let totals = self.targets.totals();
        let slots = if only_local { totals.local_slots } else { totals.slots };
        let limited = self.targets.limited().into_iter().filter(|it| it.local || !only_local);
        let of_limited: f64 = limited.map(|it| it.capacity(settings, slot_seconds)).sum();
        let capacity = slots as f64 + of_limited;
        (capacity > 0.0).then_some(capacity)
    }
}
