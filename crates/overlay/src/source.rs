//! Where an instance reads what all of them follow in the key-value service.
//!
//! Relays read the service and answer the others, so that the calls on it grow with the failure domains. An instance that
//! no relay answers reads the service itself, after a pause that differs between instances. While relays answer that they
//! cannot reach the service, the others try it rarely: an outage mostly concerns all of them, and each call costs the same
//! whether it is answered or not.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, value_type};

/// How long a relay is not asked that failed to answer. Each failure may take a second, so that two relays that fail in turn
/// must not keep an instance from the service.
const UNUSABLE_REST: Duration = Duration::from_millis(3_000);
/// How long a relay is not asked that cannot reach the service.
const LOST_REST: Duration = Duration::from_millis(1_000);
/// The shortest and the longest time without a usable relay before an instance asks the service itself.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
const MAX_PATIENCE: Duration = Duration::from_millis(600);
/// How long an instance that has just started waits to learn whether there are relays.
const START_PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a relay that failed to read the service reads from other relays before it tries again.
const SERVICE_REST: Duration = Duration::from_millis(1_000);
/// The shortest and the longest time between two calls of an instance while relays tell of an outage.
const MIN_OUTAGE_PAUSE: Duration = Duration::from_millis(2_000);
const MAX_OUTAGE_PAUSE: Duration = Duration::from_millis(5_000);

value_type! {
    /// What an instance knows of the relays.
    pub enum View {
        /// Nothing yet.
        Starting,
        /// The fleet has none, or this instance does not take part in it.
        NoRelays,
        /// The instance uses relays.
        User {
            /// Those that are linked, the one in use first.
            relays: Vec<Name>,
        },
        /// The instance is a relay.
        Relay {
            /// The other relays that are linked.
            others: Vec<Name>,
        },
    }
}

value_type! {
    /// Whom to ask next.
    pub enum Source {
        /// A relay.
        Relay(Name),
        /// The service.
        Service,
        /// Nobody before this time.
        Nobody {
            /// When to choose again.
            until: Timestamp,
        },
    }
}

/// How a question to a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// It did not answer, is behind, or does not follow the prefix.
    Unusable,
    /// It cannot reach the service itself.
    ServiceLost,
}

/// Chooses whom to ask, for one prefix.
#[derive(Debug)]
pub struct SourceChoice {
    rng: Rng,
    started: Timestamp,
    /// Whether the answer tells of the relays, so that it cannot wait for them.
    leads: bool,
    /// Until when a relay is not asked, and why.
    resting: BTreeMap<Name, (Timestamp, RelayFailure)>,
    /// When the service may be asked for want of a relay.
    service_after: Option<Timestamp>,
    /// Until when a relay reads from others, because the service did not answer.
    service_rests: Timestamp,
}

impl SourceChoice {
    /// Creates a choice; instances need different random numbers. `leads` tells that what is read tells of the relays.
    pub fn new(now: Timestamp, leads: bool, rng: Rng) -> Self {
        Self {
            rng,
            started: now,
            leads,
            resting: BTreeMap::new(),
            service_after: None,
            service_rests: Timestamp::ZERO,
        }
    }

    /// Returns whom to ask.
    pub fn next(&mut self, now: Timestamp, view: &View) -> Source {
        let until = self.started + START_PATIENCE;
        match view {
            View::Starting if now < until && !self.leads => Source::Nobody { until },
            View::Starting | View::NoRelays => Source::Service,
            View::User { relays } => self.next_of_user(now, relays),
            View::Relay { others } => self.next_of_relay(now, others),
        }
    }

    /// Returns whether every relay tells that it cannot reach the service.
    pub fn tells_of_outage(&self, relays: &[Name]) -> bool {
        let is_lost = |it: &Name| {
            self.resting.get(it).is_some_and(|(_, why)| *why == RelayFailure::ServiceLost)
        };
        !relays.is_empty() && relays.iter().all(is_lost)
    }

    fn next_of_relay(&mut self, now: Timestamp, others: &[Name]) -> Source {
        self.resting.retain(|_, (until, _)| now < *until);
        let other = others.iter().find(|it| !self.resting.contains_key(*it));
        match other {
            Some(other) if now < self.service_rests => Source::Relay(other.clone()),
            _ => Source::Service,
        }
    }

    fn next_of_user(&mut self, now: Timestamp, relays: &[Name]) -> Source {
        self.resting.retain(|it, (until, _)| relays.contains(it) && now < *until);
        if let Some(relay) = relays.iter().find(|it| !self.resting.contains_key(*it)) {
            return Source::Relay(relay.clone());
        }
        let tells_of_outage =
            self.resting.values().any(|(_, why)| *why == RelayFailure::ServiceLost);
        let pause = match tells_of_outage {
            true => MIN_OUTAGE_PAUSE..MAX_OUTAGE_PAUSE,
            false => MIN_PATIENCE..MAX_PATIENCE,
        };
        let after = match self.service_after {
            Some(after) => after,
            None => *self.service_after.insert(now + self.rng.random_range(pause)),
        };
        if now >= after {
            self.service_after = None;
            return Source::Service;
        }
        let rested = self.resting.values().map(|(until, _)| *until).min();
        Source::Nobody { until: rested.map_or(after, |it| it.min(after)) }
    }

    /// Notes that a relay answered.
    pub fn relay_answered(&mut self, relay: &Name) {
        self.resting.remove(relay);
        self.service_after = None;
    }

    /// Notes that the service failed to answer.
    pub fn service_failed(&mut self, now: Timestamp) {
        self.service_rests = now + SERVICE_REST;
    }

    /// Notes that a relay failed to answer.
    pub fn relay_failed(&mut self, now: Timestamp, relay: &Name, why: RelayFailure) {
        let rest = match why {
            RelayFailure::Unusable => UNUSABLE_REST,
            RelayFailure::ServiceLost => LOST_REST,
        };
        self.resting.insert(relay.clone(), (now + rest, why));
    }
}
