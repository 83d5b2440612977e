//! Simulates a fleet of routers whose links follow from their topologies, with instances that can be lost or cut off.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use overlay::{Frame, Member, RelayChoice, Router, RoutingAction, Topology, choice::primary};
use stdx::{Name, Timestamp};

pub struct Instance {
    pub router: Router,
    choice: RelayChoice,
    wanted: BTreeSet<Name>,
}

pub struct Fleet {
    pub now: Timestamp,
    pub members: Vec<Member>,
    pub instances: BTreeMap<Name, Instance>,
    /// Instances that are lost or frozen.
    pub lost: BTreeSet<Name>,
    /// Failure domains that are partitioned from all others.
    pub cut: BTreeSet<Name>,
    links: BTreeSet<(Name, Name)>,
}

/// Returns the members of a fleet like the users' large one: the first three entry instances of each failure domain have a
/// larger processor share, and one instance runs items.
pub fn members(domains: usize, entries: usize) -> Vec<Member> {
    let domain = |d: usize| Name::new(format!("zone-{d}"));
    let member = |d: usize, kind: &str, n: usize, capacity: u32| Member {
        name: Name::new(format!("{kind}-{d}-{n}")),
        failure_domain: domain(d),
        capacity,
        runs_items: kind == "store",
        registered: true,
    };
    (0..domains)
        .flat_map(|d| {
            let entries =
                (1..=entries).map(move |n| member(d, "front", n, if n <= 3 { 500 } else { 120 }));
            entries.chain([member(d, "store", 1, 300)])
        })
        .collect()
}

impl Fleet {
    pub fn new(members: Vec<Member>) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1),
            members: Vec::new(),
            instances: BTreeMap::new(),
            lost: BTreeSet::new(),
            cut: BTreeSet::new(),
            links: BTreeSet::new(),
        };
        fleet.set_members(members);
        fleet
    }

    /// Sets the member list of all instances.
    pub fn set_members(&mut self, members: Vec<Member>) {
        for member in &members {
            let topology = Topology::new(member.clone(), members.iter().cloned());
            let instance = self.instances.entry(member.name.clone()).or_insert_with(|| Instance {
                router: Router::new(member.name.clone(), topology.clone()),
                choice: RelayChoice::default(),
                wanted: BTreeSet::new(),
            });
            instance.router.set_topology(topology);
        }
        self.members = members;
    }

    /// Advances the time in steps; in each, links open and close and instances announce their roles.
    pub fn advance(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.change_links();
            self.announce_roles();
        }
    }

    /// Broadcasts a message and returns how often each running instance other than the sender receives it.
    pub fn flood(&self, from: &str) -> BTreeMap<Name, usize> {
        let payload = Bytes::from_static(b"message");
        let origin = Name::new(from);
        let sent = self.instances[from].router.broadcast(&payload);
        let mut counts: BTreeMap<Name, usize> =
            self.running().filter(|it| **it != origin).map(|it| (it.clone(), 0)).collect();
        for receiver in self.run(&origin, sent) {
            *counts.entry(receiver).or_default() += 1;
        }
        counts
    }

    /// Sends a message to one instance and returns the instances that receive it.
    pub fn send(&self, from: &str, to: &str) -> Vec<Name> {
        let sent = self.instances[from].router.unicast(&to.into(), Bytes::from_static(b"message"));
        self.run(&from.into(), sent.into_iter().collect())
    }

    pub fn links_of(&self, name: &str) -> usize {
        self.links.iter().filter(|(a, b)| **a == *name || **b == *name).count()
    }

    pub fn running(&self) -> impl Iterator<Item = &Name> {
        self.instances.keys().filter(|it| !self.lost.contains(*it))
    }

    pub fn domain(&self, name: &str) -> Name {
        self.members.iter().find(|it| *it.name == *name).expect("a member").failure_domain.clone()
    }

    fn reach(&self, a: &Name, b: &Name) -> bool {
        let (da, db) = (self.domain(a), self.domain(b));
        let is_up = !self.lost.contains(a) && !self.lost.contains(b);
        is_up && (da == db || !(self.cut.contains(&da) || self.cut.contains(&db)))
    }

    fn change_links(&mut self) {
        let now = self.now;
        let mut wanted: BTreeSet<(Name, Name)> = BTreeSet::new();
        for (name, instance) in &mut self.instances {
            let router = &mut instance.router;
            let used = match router.topology().is_mesh() || router.topology().is_relay() {
                true => Vec::new(),
                false => {
                    let candidates = router.topology().relay_candidates();
                    instance.choice.wanted(now, &candidates, |it| router.is_linked(it))
                }
            };
            let first = primary(name, &used, |it| router.is_linked(it));
            router.set_primary(first);
            let links = router.topology().links(&used, router.acts_as_relay());
            instance.wanted = links.keys().cloned().collect();
            wanted.extend(links.into_keys().map(|peer| pair(name, &peer)));
        }
        let wanted: Vec<_> = wanted.into_iter().filter(|(a, b)| self.reach(a, b)).collect();
        let opened: Vec<_> =
            wanted.iter().filter(|it| !self.links.contains(*it)).cloned().collect();
        let closed: Vec<_> = self.links.iter().filter(|it| !wanted.contains(it)).cloned().collect();
        for (links, up) in [(opened, true), (closed, false)] {
            for (a, b) in links {
                self.instances.get_mut(&a).expect("known").router.set_link(&b, up);
                self.instances.get_mut(&b).expect("known").router.set_link(&a, up);
                match up {
                    true => self.links.insert((a, b)),
                    false => self.links.remove(&(a, b)),
                };
            }
        }
    }

    fn announce_roles(&mut self) {
        for (a, b) in self.links.clone() {
            for (from, to) in [(&a, &b), (&b, &a)] {
                let role = self.instances[from].router.role_towards(to);
                self.instances.get_mut(to).expect("known").router.set_role(from, role);
            }
        }
    }

    fn run(&self, from: &Name, sent: Vec<(Name, Frame)>) -> Vec<Name> {
        let mut delivered = Vec::new();
        let mut queue: VecDeque<(Name, Name, Frame)> =
            sent.into_iter().map(|(link, frame)| (from.clone(), link, frame)).collect();
        while let Some((from, to, frame)) = queue.pop_front() {
            assert!(queue.len() < 100_000, "a message loops");
            if !self.reach(&from, &to) {
                continue;
            }
            for action in self.instances[&to].router.receive(&from, frame) {
                match action {
                    RoutingAction::Deliver { .. } => delivered.push(to.clone()),
                    RoutingAction::Send { link, frame } => {
                        queue.push_back((to.clone(), link, frame))
                    }
                }
            }
        }
        delivered
    }
}

fn pair(a: &Name, b: &Name) -> (Name, Name) {
    if a < b { (a.clone(), b.clone()) } else { (b.clone(), a.clone()) }
}
