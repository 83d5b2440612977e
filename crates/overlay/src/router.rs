//! Routing of unicast and broadcast messages over the links.
//!
//! A broadcast goes from its sender to one relay, from there to all relays, and from each relay to the instances that use it.
//! A unicast message takes the direct link if there is one, and otherwise goes through a relay, which is linked with the
//! relays of all failure domains. Lost messages are not retransmitted, just as on a link that breaks.

use std::collections::BTreeMap;

use bytes::Bytes;
use stdx::Name;

use crate::topology::Topology;

/// The maximum number of links on a route: to a relay, to a relay in the failure domain of the receiver, and to the receiver.
const MAX_HOPS: u32 = 3;

/// The role of one end of a link, as announced to the other end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Role {
    /// Whether this end forwards messages.
    pub relays: bool,
    /// Whether this end wants the other end to forward messages to it.
    pub subscribes: bool,
}

/// A message as transmitted over a link.
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
        /// The receiver.
        to: Name,
        /// The sender.
        origin: Name,
        /// The message.
        payload: Bytes,
        /// The number of links passed so far.
        hops: u32,
    },
}

/// What to do for a received message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingAction {
    /// Deliver the message to this instance.
    Deliver {
        /// The sender.
        origin: Name,
        /// The message.
        payload: Bytes,
    },
    /// Send a frame over a link.
    Send {
        /// The other end of the link.
        link: Name,
        /// The frame.
        frame: Frame,
    },
}

/// The links of an instance with the roles of their other ends.
#[derive(Debug)]
pub struct Router {
    own: Name,
    topology: Topology,
    /// The open links with the role of the other end.
    links: BTreeMap<Name, Role>,
    /// The relay that this instance uses.
    primary: Option<Name>,
}

impl Router {
    /// Creates the router of an instance without links.
    pub fn new(own: Name, topology: Topology) -> Self {
        Self { own, topology, links: BTreeMap::new(), primary: None }
    }

    /// Replaces the topology of the fleet.
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// Returns the topology of the fleet.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Sets the relay to use.
    pub fn set_primary(&mut self, primary: Option<Name>) {
        self.primary = primary;
    }

    /// Returns the relay in use.
    pub fn primary(&self) -> Option<&Name> {
        self.primary.as_ref()
    }

    /// Records that a link opened or closed.
    pub fn set_link(&mut self, peer: &Name, up: bool) {
        match up {
            true => drop(self.links.insert(peer.clone(), Role::default())),
            false => drop(self.links.remove(peer)),
        }
    }

    /// Records the role that the other end of a link announced.
    pub fn set_role(&mut self, peer: &Name, role: Role) {
        if let Some(known) = self.links.get_mut(peer) {
            *known = role;
        }
    }

    /// Returns the open links.
    pub fn linked(&self) -> impl Iterator<Item = &Name> {
        self.links.keys()
    }

    /// Returns whether the other end of a link forwards messages.
    pub fn is_relay(&self, peer: &str) -> bool {
        self.links.get(peer).is_some_and(|it| it.relays)
    }

    /// Returns whether the other end of a link uses this instance as its relay.
    pub fn is_subscriber(&self, peer: &str) -> bool {
        self.links.get(peer).is_some_and(|it| it.subscribes)
    }

    /// Returns whether a link is open.
    pub fn is_linked(&self, peer: &str) -> bool {
        self.links.contains_key(peer)
    }

    /// Returns whether this instance forwards messages, either by its rank or because other instances use it.
    pub fn acts_as_relay(&self) -> bool {
        self.topology.is_relay() || self.links.values().any(|it| it.subscribes)
    }

    /// Returns the role to announce to the other end of a link.
    pub fn role_towards(&self, peer: &Name) -> Role {
        Role { relays: self.acts_as_relay(), subscribes: self.primary.as_ref() == Some(peer) }
    }

    /// Returns the other ends of links that forward messages.
    pub fn relays(&self) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(|(_, role)| role.relays).map(|(peer, _)| peer)
    }

    /// Returns the links whose other ends use this instance.
    pub fn subscribers(&self) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(|(_, role)| role.subscribes).map(|(peer, _)| peer)
    }

    /// Returns the frames that send a message of this instance to all other instances.
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

    /// Returns the frame that sends a message to an instance, or `None` if there is no route.
    pub fn unicast(&self, to: &Name, payload: Bytes) -> Option<(Name, Frame)> {
        if self.is_linked(to) {
            return Some((to.clone(), Frame::Direct(payload)));
        }
        let frame = Frame::Forward { to: to.clone(), origin: self.own.clone(), payload, hops: 1 };
        Some((self.next_hop(to, None)?, frame))
    }

    /// Processes a frame received over a link.
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
        // An instance that others use counts as a relay as well, so a broadcast from a relay has already been sent to all
        // relays and goes only to subscribers from here.
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

    /// Returns the subscribers that are not relays; subscribers that are relays receive broadcasts as such.
    fn subscribers_not_relaying(&self) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(|(_, it)| it.subscribes && !it.relays).map(|(peer, _)| peer)
    }

    fn next_hop(&self, to: &Name, from: Option<&Name>) -> Option<Name> {
        let usable = |it: &&Name| self.is_linked(it) && from != Some(*it);
        let domain_relay = self.topology.relays_of(to).iter().find(usable);
        let primary = self.primary.as_ref().filter(usable);
        let is_first = from.is_none();
        // A message that was already forwarded goes only to a relay of the receiver's failure domain, so that it cannot loop.
        domain_relay
            .or(primary.filter(|_| is_first))
            .or_else(|| self.relays().find(usable).filter(|_| is_first))
            .cloned()
    }
}
