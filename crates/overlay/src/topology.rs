//! The relays of each failure domain, and the links that an instance keeps.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use stdx::{Name, value_type};

/// The maximum number of instances that form a full mesh. A link costs both ends a few frames per second, and in a fleet of up
/// to this size the relays would have as many links as every instance has in the mesh.
pub const MAX_MESH_INSTANCES: usize = 16;

/// The number of relays in each failure domain; two, so that the loss of one leaves the other.
pub const RELAYS_PER_DOMAIN: usize = 2;

value_type! {
    /// A daemon as described in the list of registered daemons.
    pub struct Member {
        /// Its name.
        pub name: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// The processor share of its instance in thousandths of a core; 0 if unspecified.
        pub capacity: u32,
        /// Whether it runs batch items.
        pub runs_items: bool,
        /// Whether the daemon is currently registered; others were registered recently and may be running again before they
        /// can register.
        pub registered: bool,
    }
}

/// The end that opens a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialler {
    /// This instance.
    Own,
    /// The peer, which keeps the same link.
    Peer,
}

/// The fleet as an instance knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    own: Member,
    others: BTreeMap<Name, Member>,
    /// The instances of each failure domain by relay rank; the first ones are the relays.
    ranked: BTreeMap<Name, Vec<Name>>,
}

impl Topology {
    /// Ranks the instances of a fleet; `others` may contain `own`.
    pub fn new(own: Member, others: impl IntoIterator<Item = Member>) -> Self {
        let others: BTreeMap<Name, Member> = others
            .into_iter()
            .filter(|it| it.name != own.name)
            .map(|it| (it.name.clone(), it))
            .collect();
        let mut ranked: BTreeMap<Name, Vec<&Member>> = BTreeMap::new();
        for member in others.values().chain([&own]) {
            ranked.entry(member.failure_domain.clone()).or_default().push(member);
        }
        let ranked = ranked.into_iter().map(|(domain, mut members)| {
            members.sort_unstable_by_key(|it| rank(it));
            (domain, members.into_iter().map(|it| it.name.clone()).collect())
        });
        let ranked = ranked.collect();
        Self { own, others, ranked }
    }

    /// Returns this instance.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns whether the fleet is a full mesh.
    pub fn is_mesh(&self) -> bool {
        self.others.len() < MAX_MESH_INSTANCES
    }

    /// Returns the other instances of this instance's failure domain by relay rank.
    pub fn relay_candidates(&self) -> Vec<Name> {
        let ranked = self.ranked.get(&self.own.failure_domain).into_iter().flatten();
        ranked.filter(|it| **it != self.own.name).cloned().collect()
    }

    /// Returns the relays of all failure domains except this instance; empty in a mesh.
    pub fn relays(&self) -> BTreeSet<Name> {
        if self.is_mesh() {
            return BTreeSet::new();
        }
        let relays = self.ranked.values().flat_map(|it| it.iter().take(RELAYS_PER_DOMAIN));
        relays.filter(|it| **it != self.own.name).cloned().collect()
    }

    /// Returns the relays of the failure domain of an instance.
    pub fn relays_of(&self, instance: &str) -> &[Name] {
        let domain = self.others.get(instance).map(|it| &it.failure_domain);
        let ranked = domain.and_then(|it| self.ranked.get(it)).map_or(&[][..], Vec::as_slice);
        &ranked[..ranked.len().min(RELAYS_PER_DOMAIN)]
    }

    /// Returns whether this instance is a relay of its failure domain.
    pub fn is_relay(&self) -> bool {
        let ranked = self.ranked.get(&self.own.failure_domain);
        let mut first = ranked.into_iter().flatten().take(RELAYS_PER_DOMAIN);
        !self.is_mesh() && first.any(|it| *it == self.own.name)
    }

    /// Returns whether an instance runs batch items.
    pub fn runs_items(&self, instance: &str) -> bool {
        self.others.get(instance).is_some_and(|it| it.runs_items)
    }

    /// Returns the links that this instance keeps, and the end that opens each.
    ///
    /// `used` are the relays of its failure domain that it currently uses; `acts_as_relay` is set if it serves as a relay
    /// itself, either by rank or because other instances use it.
    pub fn links(&self, used: &[Name], acts_as_relay: bool) -> BTreeMap<Name, Dialler> {
        let relays = self.relays();
        let wants = |other: &Member| {
            self.is_mesh()
                || used.contains(&other.name)
                || (acts_as_relay && (relays.contains(&other.name) || other.runs_items))
                || (self.own.runs_items && (relays.contains(&other.name) || other.runs_items))
        };
        let wanted = self.others.values().filter(|it| wants(it));
        wanted.map(|it| (it.name.clone(), self.dialler(it, &relays))).collect()
    }

    /// Returns the end that opens a link: this instance, unless the peer keeps the link as well and has the lower name.
    fn dialler(&self, other: &Member, relays: &BTreeSet<Name>) -> Dialler {
        let own_is_relay = self.is_relay();
        let is_wanted_by_peer = self.is_mesh()
            || (relays.contains(&other.name) && (own_is_relay || self.own.runs_items))
            || (other.runs_items && (own_is_relay || self.own.runs_items));
        match is_wanted_by_peer && other.name < self.own.name {
            true => Dialler::Peer,
            false => Dialler::Own,
        }
    }
}

/// Returns the sort key for relay selection: registered instances first, then those that run no items, then those with a
/// larger processor share, then by name. Shorter names come first, so that numbers without leading zeros sort numerically.
fn rank(member: &Member) -> (bool, bool, Reverse<u32>, usize, &Name) {
    let Member { name, capacity, runs_items, registered, .. } = member;
    (!registered, *runs_items, Reverse(*capacity), name.len(), name)
}
