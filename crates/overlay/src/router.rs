//! How messages to one instance, or to all, pass over the links.
//!
//! A message to all goes from its sender to one relay, from there to all relays, and from each of them to the instances that
//! use it. A message to one instance takes the link to it, if there is one, and otherwise goes through a relay, which is
//! linked with the relays of all failure domains. Whatever is lost on the way is lost, as over a link that breaks.

use std::collections::BTreeMap;

use bytes::Bytes;
use stdx::Name;

use crate::topology::Topology;

/// The longest way of a message: to a relay, to one of the addressee's failure domain, and to the addressee.
const MAX_HOPS: u32 = 3;

/// What an instance tells the other end of a link about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Role {
    /// Whether it passes messages on.
    pub relays: bool,
    /// Whether it wants the other end to pass messages on to it.
    pub subscribes: bool,
}

/// A message as it stands on a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// For the other end of the link.
    Direct(Bytes),
    /// For all instances.
    Flood {
        /// The sender.
        origin: Name,
        /// The message.
        payload: Bytes,
    },
    /// For one instance.
    Forward {
        /// The addressee.
        to: Name,
        /// The sender.
        origin: Name,
        /// The message.
        payload: Bytes,
        /// The links that it has passed.
        hops: u32,
    },
}

/// What a message leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingAction {
    /// The message is for this instance.
    Deliver {
        /// The sender.
        origin: Name,
        /// The message.
        payload: Bytes,
    },
    /// A frame is to be sent over a link.
    Send {
        /// The other end of the link.
        link: Name,
        /// The frame.
        frame: Frame,
    },
}

/// The links of an instance, with what it knows of their other ends.
#[derive(Debug)]
pub struct Router {
    own: Name,
    topology: Topology,
    /// The links that are open, with the role of the other end.
    links: BTreeMap<Name, Role>,
    /// The relay that this instance uses.
    primary: Option<Name>,
}

impl Router {
    /// Creates the router of an instance without links.
    pub fn new(own: Name, topology: Topology) -> Self {
        Self { own, topology, links: BTreeMap::new(), primary: None }
    }

    /// Replaces what is known of the fleet.
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// Returns what is known of the fleet.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Chooses the relay to use.
    pub fn set_primary(&mut self, primary: Option<Name>) {
        self.primary = primary;
    }

    /// Returns the relay in use.
    pub fn primary(&self) -> Option<&Name> {
        self.primary.as_ref()
    }

    /// Notes that a link opened or closed.
    pub fn set_link(&mut self, peer: &Name, up: bool) {
        match up {
            true => drop(self.links.insert(peer.clone(), Role::default())),
            false => drop(self.links.remove(peer)),
        }
    }

    /// Notes what the other end of a link says about itself.
    pub fn set_role(&mut self, peer: &Name, role: Role) {
        if let Some(known) = self.links.get_mut(peer) {
            *known = role;
        }
    }

    /// Returns the open links.
    pub fn linked(&self) -> impl Iterator<Item = &Name> {
        self.links.keys()
    }

    /// Returns whether the other end of a link passes messages on.
    pub fn is_relay(&self, peer: &str) -> bool {
        self.links.get(peer).is_some_and(|it| it.relays)
    }

    /// Returns whether the other end of a link uses this instance.
    pub fn is_subscriber(&self, peer: &str) -> bool {
        self.links.get(peer).is_some_and(|it| it.subscribes)
    }

    /// Returns whether a link is open.
    pub fn is_linked(&self, peer: &str) -> bool {
        self.links.contains_key(peer)
    }

    /// Returns whether this instance passes messages on: by its rank, or because others use it.
    pub fn acts_as_relay(&self) -> bool {
        self.topology.is_relay() || self.links.values().any(|it| it.subscribes)
    }

    /// Returns what to tell the other end of a link.
    pub fn role_towards(&self, peer: &Name) -> Role {
        Role { relays: self.acts_as_relay(), subscribes: self.primary.as_ref() == Some(peer) }
    }

    /// Returns the links whose other ends pass messages on.
    pub fn relays(&self) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(|(_, role)| role.relays).map(|(peer, _)| peer)
    }

    /// Returns the links whose other ends use this instance.
    pub fn subscribers(&self) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(|(_, role)| role.subscribes).map(|(peer, _)| peer)
    }

    /// Returns the frames that take a message of this instance to all others.
    pub fn broadcast(&self, payload: &Bytes) -> Vec<(Name, Frame)> {
        if self.topology.is_mesh() {
            let direct = |peer: &Name| (peer.clone(), Frame::Direct(payload.clone()));
            return self.links.keys().map(direct).collect();
        }
        let flood = || Frame::Flood { origin: self.own.clone(), payload: payload.clone() };
        if self.acts_as_relay() {
            let next = self.relays().chain(self.subscribers_not_relaying());
            return next.map(|peer| (peer.clone(), flood())).collect();
        }
        let relay = self.primary.as_ref().or_else(|| self.relays().next());
        relay.map(|peer| (peer.clone(), flood())).into_iter().collect()
    }

    /// Returns the frame that takes a message to an instance; `None` if there is no way.
    pub fn unicast(&self, to: &Name, payload: Bytes) -> Option<(Name, Frame)> {
        if self.is_linked(to) {
            return Some((to.clone(), Frame::Direct(payload)));
        }
        let frame = Frame::Forward { to: to.clone(), origin: self.own.clone(), payload, hops: 1 };
        Some((self.next_hop(to, None)?, frame))
    }

    /// Takes a frame that came over a link.
    pub fn receive(&self, from: &Name, frame: Frame) -> Vec<RoutingAction> {
        match frame {
            Frame::Direct(payload) => {
                vec![RoutingAction::Deliver { origin: from.clone(), payload }]
            }
            Frame::Flood { origin, payload } => self.forward_flood(from, origin, payload),
            Frame::Forward { to, origin, payload, hops } => {
                if to == self.own {
                    return vec![RoutingAction::Deliver { origin, payload }];
                }
                let next = match self.is_linked(&to) {
                    true => Some(to.clone()),
                    false if hops < MAX_HOPS => self.next_hop(&to, Some(from)),
                    false => None,
                };
                let frame = Frame::Forward { to, origin, payload, hops: hops + 1 };
                next.map(|link| RoutingAction::Send { link, frame }).into_iter().collect()
            }
        }
    }

    fn forward_flood(&self, from: &Name, origin: Name, payload: Bytes) -> Vec<RoutingAction> {
        if origin == self.own {
            return Vec::new();
        }
        let came_from_relay = self.links.get(from).is_some_and(|it| it.relays);
        let frame = Frame::Flood { origin: origin.clone(), payload: payload.clone() };
        let mut actions = vec![RoutingAction::Deliver { origin: origin.clone(), payload }];
        if !self.acts_as_relay() {
            return actions;
        }
        // One that is used by somebody is a relay itself, and passes on what comes from a relay.
        let relays: Vec<&Name> = match came_from_relay {
            true => Vec::new(),
            false => self.relays().collect(),
        };
        let next = relays.into_iter().chain(self.subscribers_not_relaying());
        let next = next.filter(|it| *it != from && **it != origin);
        actions
            .extend(next.map(|it| RoutingAction::Send { link: it.clone(), frame: frame.clone() }));
        actions
    }

    /// Returns the subscribers that are no relays themselves; those get each message as relays do.
    fn subscribers_not_relaying(&self) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(|(_, it)| it.subscribes && !it.relays).map(|(peer, _)| peer)
    }

    fn next_hop(&self, to: &Name, from: Option<&Name>) -> Option<Name> {
        let usable = |it: &&Name| self.is_linked(it) && from != Some(*it);
        let domain_relay = self.topology.relays_of(to).iter().find(usable);
        let primary = self.primary.as_ref().filter(usable);
        let is_first = from.is_none();
        // A message that was passed on once goes to a relay of the addressee, and not around.
        domain_relay
            .or(primary.filter(|_| is_first))
            .or_else(|| self.relays().find(usable).filter(|_| is_first))
            .cloned()
    }
}
