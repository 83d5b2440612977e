//! Aggregation of the requests in flight, which relays distribute.
//!
//! Each instance reports its requests to the relay that it uses. A relay sums the reports of its users, sends the sum to the
//! other relays and to the instances that run batch items, and sends all sums to its users, each without the user's own
//! share. The data that an instance receives thus grows with the number of targets and failure domains, not with the size of
//! the fleet.

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
        /// Requests of either class that run as suspects of crashing targets.
        pub suspects: u32,
        /// The online requests of those instances at which further requests for the same service wait.
        pub contending: u32,
        /// The batch requests of those instances at which further requests for the same service wait.
        pub batch_contending: u32,
        /// The lowest mean time between two events that any instance measured, in milliseconds; 0 if none did.
        pub event_gap_ms: u32,
        /// The requests sent in the last four seconds; 0 if the target names no limit.
        pub starts: u32,
        /// How long work takes on the machine of the target, in percent of the usual time, by the highest report of the last
        /// moment that any instance got; 0 if none did.
        pub slowdown: u32,
    }
}

value_type! {
    /// The requests in flight of one instance, or the sum over several.
    #[derive(Default)]
    pub struct Report {
        /// The requests by the short identity of the target; targets without requests are omitted.
        pub targets: BTreeMap<u32, Counts>,
        /// The number of instances at which online requests wait, by the short identity of the service.
        pub waiting: BTreeMap<u64, u32>,
        /// The same for batch requests.
        pub batch_waiting: BTreeMap<u64, u32>,
    }
}

/// The kind of instance that sent a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// An instance that uses this instance as its relay.
    User,
    /// Another relay, which reports the sum over its users.
    Relay,
    /// An instance that runs batch items.
    Runner,
}

/// A report that covers a part of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The name of the instance, or of the relay that computed the sum.
    pub origin: Name,
    /// The failure domain of the covered instances; empty if they belong to several.
    pub failure_domain: Name,
    /// The requests.
    pub report: Report,
}

/// The latest reports that an instance received.
#[derive(Debug, Default)]
pub struct LoadReports {
    users: BTreeMap<Name, Report>,
    relays: BTreeMap<Name, Part>,
    runners: BTreeMap<Name, Report>,
}

/// The origin of the sum over all instances that run batch items.
const RUNNERS_ORIGIN: &str = "runners";

impl LoadReports {
    /// Stores a report in place of the sender's previous one.
    pub fn record(&mut self, from: &Name, sender: Sender, part: Part) {
        match sender {
            Sender::User => drop(self.users.insert(from.clone(), part.report)),
            Sender::Relay => drop(self.relays.insert(from.clone(), part)),
            Sender::Runner => drop(self.runners.insert(from.clone(), part.report)),
        }
    }

    /// Removes the reports of an instance.
    pub fn forget(&mut self, from: &Name) {
        self.users.remove(from);
        self.relays.remove(from);
        self.runners.remove(from);
    }

    /// Removes the reports of instances that are no longer users.
    pub fn retain_users(&mut self, is_user: impl Fn(&Name) -> bool) {
        self.users.retain(|it, _| is_user(it));
    }

    /// Returns the sum over the relay itself and its users, which it sends to other relays and to runners.
    pub fn sum(&self, own: &Report) -> Report {
        let mut sum = own.clone();
        self.users.values().for_each(|it| sum.add(it));
        sum
    }

    /// Returns the reports for a user about the other users of the same relay and about the runners.
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

    /// Returns the reports for a user about the users of other relays.
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
            starts: operation(self.starts, other.starts),
            slowdown: self.slowdown.max(other.slowdown),
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
