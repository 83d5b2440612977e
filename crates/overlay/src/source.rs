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
const UNUSABLE_RELAY_PAUSE: Duration = Duration::from_millis(3_000);
/// How long a relay is not asked that cannot reach the service.
const SERVICE_LOST_PAUSE: Duration = Duration::from_millis(1_000);
/// The shortest and the longest time without a usable relay before an instance asks the service itself.
const MIN_SERVICE_DELAY: Duration = Duration::from_millis(100);
const MAX_SERVICE_DELAY: Duration = Duration::from_millis(600);
/// How long an instance that has just started waits to learn whether there are relays.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);
/// How long a relay that failed to read the service reads from other relays before it tries again.
const SERVICE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// The shortest and the longest time between two calls of an instance while relays tell of an outage.
const MIN_OUTAGE_INTERVAL: Duration = Duration::from_millis(2_000);
const MAX_OUTAGE_INTERVAL: Duration = Duration::from_millis(5_000);

value_type! {
    /// What an instance knows of the relays.
    pub enum RelayView {
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
    lists_relays: bool,
    /// Until when a relay is not asked, and why.
    paused: BTreeMap<Name, (Timestamp, RelayFailure)>,
    /// When the service may be asked for want of a relay.
    service_allowed_at: Option<Timestamp>,
    /// Until when a relay reads from others, because the service did not answer.
    service_paused_until: Timestamp,
}

impl SourceChoice {
    /// Creates a choice; instances need different random numbers. `lists_relays` tells that what is read tells of the relays.
    pub fn new(now: Timestamp, lists_relays: bool, rng: Rng) -> Self {
        Self {
            rng,
            started: now,
            lists_relays,
            paused: BTreeMap::new(),
            service_allowed_at: None,
            service_paused_until: Timestamp::ZERO,
        }
    }

    /// Returns whom to ask.
    pub fn next(&mut self, now: Timestamp, view: &RelayView) -> Source {
        let until = self.started + STARTUP_WAIT;
        match view {
            RelayView::Starting if now < until && !self.lists_relays => Source::Nobody { until },
            RelayView::Starting | RelayView::NoRelays => Source::Service,
            RelayView::User { relays } => self.next_of_user(now, relays),
            RelayView::Relay { others } => self.next_of_relay(now, others),
        }
    }

    /// Returns whether every relay tells that it cannot reach the service.
    pub fn reports_outage(&self, relays: &[Name]) -> bool {
        let is_lost = |it: &Name| {
            self.paused.get(it).is_some_and(|(_, why)| *why == RelayFailure::ServiceLost)
        };
        !relays.is_empty() && relays.iter().all(is_lost)
    }

    fn next_of_relay(&mut self, now: Timestamp, others: &[Name]) -> Source {
        self.paused.retain(|_, (until, _)| now < *until);
        let other = others.iter().find(|it| !self.paused.contains_key(*it));
        match other {
            Some(other) if now < self.service_paused_until => Source::Relay(other.clone()),
            _ => Source::Service,
        }
    }

    fn next_of_user(&mut self, now: Timestamp, relays: &[Name]) -> Source {
        self.paused.retain(|it, (until, _)| relays.contains(it) && now < *until);
        if let Some(relay) = relays.iter().find(|it| !self.paused.contains_key(*it)) {
            return Source::Relay(relay.clone());
        }
        let any_reports_outage =
            self.paused.values().any(|(_, why)| *why == RelayFailure::ServiceLost);
        let pause = match any_reports_outage {
            true => MIN_OUTAGE_INTERVAL..MAX_OUTAGE_INTERVAL,
            false => MIN_SERVICE_DELAY..MAX_SERVICE_DELAY,
        };
        let after = match self.service_allowed_at {
            Some(after) => after,
            None => *self.service_allowed_at.insert(now + self.rng.random_range(pause)),
        };
        if now >= after {
            self.service_allowed_at = None;
            return Source::Service;
        }
        let first_resume = self.paused.values().map(|(until, _)| *until).min();
        Source::Nobody { until: first_resume.map_or(after, |it| it.min(after)) }
    }

    /// Notes that a relay answered.
    pub fn relay_answered(&mut self, relay: &Name) {
        self.paused.remove(relay);
        self.service_allowed_at = None;
    }

    /// Notes that the service failed to answer.
    pub fn service_failed(&mut self, now: Timestamp) {
        self.service_paused_until = now + SERVICE_RETRY_PAUSE;
    }

    /// Notes that a relay failed to answer.
    pub fn relay_failed(&mut self, now: Timestamp, relay: &Name, why: RelayFailure) {
        let pause = match why {
            RelayFailure::Unusable => UNUSABLE_RELAY_PAUSE,
            RelayFailure::ServiceLost => SERVICE_LOST_PAUSE,
        };
        self.paused.insert(relay.clone(), (now + pause, why));
    }
}
