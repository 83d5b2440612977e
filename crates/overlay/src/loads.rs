//! The sums of requests in flight that relays pass on.
//!
//! Each instance reports its requests to the relay that it uses. A relay adds up the reports of its users, tells the sum to
//! the other relays and to the instances that run batch items, and passes all sums on to its users, each without the user's
//! own part. What an instance hears grows with the targets and the failure domains, not with the fleet.

use std::collections::BTreeMap;

use stdx::{Name, value_type};

value_type! {
    /// Requests in flight on a target.
    #[derive(Copy, Default)]
    pub struct Counts {
        /// Online requests.
        pub online: u32,
        /// Batch requests.
        pub batch: u32,
        /// Requests, of either class, that run as suspects.
        pub suspects: u32,
        /// The online requests of instances at which others for the same service wait.
        pub contending: u32,
        /// The batch requests of instances at which others for the same service wait.
        pub batch_contending: u32,
        /// The least mean time between two events that anybody measured, in milliseconds; 0 if nobody did.
        pub event_gap_ms: u32,
    }
}

value_type! {
    /// The requests in flight of one instance, or the sum over several.
    #[derive(Default)]
    pub struct Report {
        /// The requests by the short identity of the target; targets without any are left out.
        pub targets: BTreeMap<u32, Counts>,
        /// The number of instances at which online requests wait, by the short identity of the service.
        pub waiting: BTreeMap<u64, u32>,
        /// The same for batch requests.
        pub batch_waiting: BTreeMap<u64, u32>,
    }
}

/// Where a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// An instance that uses this one as its relay.
    User,
    /// Another relay, which tells the sum over its users.
    Relay,
    /// An instance that runs batch items.
    Runner,
}

/// What one instance tells another about a part of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The name of the part, which is that of the instance or of the relay that added it up.
    pub origin: Name,
    /// The failure domain whose instances it covers; empty for instances of several.
    pub failure_domain: Name,
    /// The requests.
    pub report: Report,
}

/// The last reports that an instance has heard.
#[derive(Debug, Default)]
pub struct LoadReports {
    users: BTreeMap<Name, Report>,
    relays: BTreeMap<Name, Part>,
    runners: BTreeMap<Name, Report>,
}

/// The origin of the sum over all instances that run batch items.
const RUNNERS_ORIGIN: &str = "runners";

impl LoadReports {
    /// Takes over a report.
    pub fn record(&mut self, from: &Name, sender: Sender, part: Part) {
        match sender {
            Sender::User => drop(self.users.insert(from.clone(), part.report)),
            Sender::Relay => drop(self.relays.insert(from.clone(), part)),
            Sender::Runner => drop(self.runners.insert(from.clone(), part.report)),
        }
    }

    /// Forgets what an instance reported.
    pub fn forget(&mut self, from: &Name) {
        self.users.remove(from);
        self.relays.remove(from);
        self.runners.remove(from);
    }

    /// Forgets the reports of instances that are no users any more.
    pub fn retain_users(&mut self, is_user: impl Fn(&Name) -> bool) {
        self.users.retain(|it, _| is_user(it));
    }

    /// Returns the sum over the relay itself and its users, for other relays and for runners.
    pub fn sum(&self, own: &Report) -> Report {
        let mut sum = own.clone();
        self.users.values().for_each(|it| sum.add(it));
        sum
    }

    /// Returns what a user is told of the others near it: those that use the same relay, and the runners.
    pub fn local_parts(
        &self,
        user: &Name,
        sum: &Report,
        relay: &Name,
        failure_domain: &Name,
    ) -> Vec<Part> {
        let mut rest = sum.clone();
        if let Some(own) = self.users.get(user) {
            rest.subtract(own);
        }
        let mut runners = Report::default();
        self.runners.iter().filter(|(it, _)| *it != user).for_each(|(_, it)| runners.add(it));
        let rest =
            Part { origin: relay.clone(), failure_domain: failure_domain.clone(), report: rest };
        let runners = Part {
            origin: Name::from(RUNNERS_ORIGIN),
            failure_domain: Name::from(""),
            report: runners,
        };
        vec![rest, runners]
    }

    /// Returns what a user is told of the users of other relays.
    pub fn remote_parts(&self) -> impl Iterator<Item = &Part> {
        self.relays.values()
    }
}

impl Report {
    fn add(&mut self, other: &Self) {
        for (target, counts) in &other.targets {
            let sum = self.targets.entry(*target).or_default();
            *sum = sum.combine(*counts, u32::saturating_add);
        }
        add_all(&mut self.waiting, &other.waiting);
        add_all(&mut self.batch_waiting, &other.batch_waiting);
    }

    fn subtract(&mut self, other: &Self) {
        for (target, counts) in &other.targets {
            if let Some(sum) = self.targets.get_mut(target) {
                *sum = sum.combine(*counts, u32::saturating_sub);
            }
        }
        self.targets.retain(|_, it| *it != Counts::default());
        subtract_all(&mut self.waiting, &other.waiting);
        subtract_all(&mut self.batch_waiting, &other.batch_waiting);
    }
}

impl Counts {
    fn combine(self, other: Self, operation: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            online: operation(self.online, other.online),
            batch: operation(self.batch, other.batch),
            suspects: operation(self.suspects, other.suspects),
            contending: operation(self.contending, other.contending),
            batch_contending: operation(self.batch_contending, other.batch_contending),
            event_gap_ms: match (self.event_gap_ms, other.event_gap_ms) {
                (0, gap) | (gap, 0) => gap,
                (a, b) => a.min(b),
            },
        }
    }
}

fn add_all(sums: &mut BTreeMap<u64, u32>, other: &BTreeMap<u64, u32>) {
    for (service, count) in other {
        *sums.entry(*service).or_default() += count;
    }
}

fn subtract_all(sums: &mut BTreeMap<u64, u32>, other: &BTreeMap<u64, u32>) {
    for (service, count) in other {
        if let Some(sum) = sums.get_mut(service) {
            *sum = sum.saturating_sub(*count);
        }
    }
    sums.retain(|_, it| *it > 0);
}
