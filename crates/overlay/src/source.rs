//! Selects the source from which an instance reads the prefixes of the key-value service that all instances follow.
//!
//! Relays read the service and answer the other instances, so that the number of calls to the service grows with the number
//! of failure domains. An instance without an answering relay reads the service itself after a random delay. While relays
//! report that they cannot reach the service, the other instances call it rarely: an outage usually affects all of them, and
//! a call costs the same whether it is answered or not.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng as _;
use stdx::{Name, Rng, Timestamp, value_type};

/// How long a relay that failed to answer is not asked. A failed call may take a second, so with a shorter pause two relays
/// that fail alternately would keep an instance from the service.
const UNUSABLE_RELAY_PAUSE: Duration = Duration::from_millis(3_000);
/// How long a relay that cannot reach the service is not asked.
const SERVICE_LOST_PAUSE: Duration = Duration::from_millis(1_000);
/// The range of the random delay before an instance without a usable relay asks the service itself.
const MIN_SERVICE_DELAY: Duration = Duration::from_millis(100);
const MAX_SERVICE_DELAY: Duration = Duration::from_millis(600);
/// How long a starting instance waits to learn whether the fleet has relays.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);
/// How long a relay reads from other relays after a failed call to the service.
const SERVICE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// The range of the random interval between two calls of an instance while relays report an outage.
const MIN_OUTAGE_INTERVAL: Duration = Duration::from_millis(2_000);
const MAX_OUTAGE_INTERVAL: Duration = Duration::from_millis(5_000);
/// How much longer this interval is for the prefixes that do not list the relays. As soon as a call for that one is answered, the
/// others are read as well.
const FOLLOWING_INTERVAL_FACTOR: u32 = 6;

value_type! {
    /// What an instance knows about the relays.
    pub enum RelayView {
        /// Nothing yet.
        Starting,
        /// The fleet has no relays, or this instance does not take part in it.
        NoRelays,
        /// The instance uses relays.
        User {
            /// The linked relays, with the one in use first.
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
    /// The source to ask next.
    pub enum Source {
        /// The relay of this name.
        Relay(Name),
        /// The key-value service.
        Service,
        /// No source before the given time.
        Nobody {
            /// When to choose again.
            until: Timestamp,
        },
    }
}

/// Why a relay gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// The relay did not answer, lags behind, or does not follow the prefix.
    Unusable,
    /// The relay cannot reach the key-value service.
    ServiceLost,
}

/// Selects the source to ask for one prefix.
#[derive(Debug)]
pub struct SourceChoice {
    rng: Rng,
    started: Timestamp,
    /// Whether the prefix itself lists the relays, so that reading it cannot wait for them.
    lists_relays: bool,
    /// The relays that are not asked, with the end of the pause and the reason.
    paused: BTreeMap<Name, (Timestamp, RelayFailure)>,
    /// When the key-value service may be asked because no relay is usable.
    service_allowed_at: Option<Timestamp>,
    /// Until when this instance, as a relay, reads from other relays because the service did not answer.
    service_paused_until: Timestamp,
}

impl SourceChoice {
    /// Creates a choice; `lists_relays` is set for the prefix that lists the relays. Instances need differently seeded
    /// generators.
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

    /// Returns the source to ask next.
    pub fn next(&mut self, now: Timestamp, view: &RelayView) -> Source {
        let until = self.started + STARTUP_WAIT;
        match view {
            RelayView::Starting if now < until && !self.lists_relays => Source::Nobody { until },
            RelayView::Starting | RelayView::NoRelays => Source::Service,
            RelayView::User { relays } => self.next_of_user(now, relays),
            RelayView::Relay { others } => self.next_of_relay(now, others),
        }
    }

    /// Returns whether every relay reported that it cannot reach the service.
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
        let factor = if self.lists_relays { 1 } else { FOLLOWING_INTERVAL_FACTOR };
        let pause = match any_reports_outage {
            true => MIN_OUTAGE_INTERVAL * factor..MAX_OUTAGE_INTERVAL * factor,
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

    /// Records that a relay answered.
    pub fn relay_answered(&mut self, relay: &Name) {
        self.paused.remove(relay);
        self.service_allowed_at = None;
    }

    /// Records that the service has answered a call of this instance for another prefix.
    pub fn service_answered(&mut self, now: Timestamp) {
        self.service_allowed_at = self.service_allowed_at.map(|it| it.min(now));
    }

    /// Records that the service failed to answer.
    pub fn service_failed(&mut self, now: Timestamp) {
        self.service_paused_until = now + SERVICE_RETRY_PAUSE;
    }

    /// Records that a relay gave no usable answer.
    pub fn relay_failed(&mut self, now: Timestamp, relay: &Name, why: RelayFailure) {
        let pause = match why {
            RelayFailure::Unusable => UNUSABLE_RELAY_PAUSE,
            RelayFailure::ServiceLost => SERVICE_LOST_PAUSE,
        };
        self.paused.insert(relay.clone(), (now + pause, why));
    }
}
