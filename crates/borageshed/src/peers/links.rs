//! Decides which daemons this one is linked with and through which relays its messages pass.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use event_listener::{Event, EventListener};
use overlay::{
    Dialler, Frame, Member, RelayChoice, RelayView, Role, Router, RoutingAction, Topology,
    choice::primary,
};
use peer::Peer;
use stdx::{Name, Timestamp, value_type};

use crate::status::{OverlayRole, OverlayStatus};

/// How long this daemon waits for a peer that should open a link before it opens the link itself. The peer's list of
/// daemons may lag behind.
const PEER_DIAL_TIMEOUT: Duration = Duration::from_secs(2);

value_type! {
    /// Another daemon.
    pub struct PeerInfo {
        /// The attributes that determine its place in the overlay.
        pub member: Member,
        /// The address at which it accepts links of other daemons.
        pub address: SocketAddr,
        /// Whether it admits requests of callers.
        pub admits_callers: bool,
        /// What this daemon has to know to send requests to targets through the other one; empty if it cannot.
        pub exchange_token: String,
    }
}

/// The wanted and the existing links.
#[derive(Debug)]
pub(super) struct Links {
    state: Mutex<State>,
    view_changed: Event,
}

#[derive(Debug)]
struct State {
    own: Member,
    router: Router,
    choice: RelayChoice,
    addresses: BTreeMap<Name, SocketAddr>,
    /// The relays that this daemon uses in its own failure domain, whether linked or not.
    chosen_relays: Vec<Name>,
    /// When each link that the peer should open was first found missing.
    missing_since: BTreeMap<Name, Timestamp>,
    /// The roles of this daemon that were sent to its linked peers.
    announced_roles: BTreeMap<Name, Role>,
    /// The daemons that can be reached directly or through a relay.
    reachable: BTreeSet<Name>,
    view: RelayView,
}

/// The changes that an update of the links calls for.
#[derive(Debug, Default)]
pub(super) struct LinkChanges {
    /// The peers to which this daemon opens links.
    pub(super) dialled: Vec<Peer>,
    /// The roles to send to linked peers.
    pub(super) roles: Vec<(Name, Role)>,
    /// The daemons that have become reachable (`true`) or unreachable (`false`).
    pub(super) reachability: Vec<(Name, bool)>,
}

/// Returns a processor share in thousandths of a core.
pub fn millicores(cpu_share: f64) -> u32 {
    (cpu_share * 1_000.0) as u32
}

impl Links {
    pub(super) fn new(own: Member) -> Self {
        let topology = Topology::new(own.clone(), []);
        let state = State {
            router: Router::new(own.name.clone(), topology),
            own,
            choice: RelayChoice::default(),
            addresses: BTreeMap::new(),
            chosen_relays: Vec::new(),
            missing_since: BTreeMap::new(),
            announced_roles: BTreeMap::new(),
            reachable: BTreeSet::new(),
            view: RelayView::Starting,
        };
        Self { state: Mutex::new(state), view_changed: Event::new() }
    }

    /// Replaces the set of known daemons.
    pub(super) fn set_peers(&self, peers: Vec<PeerInfo>) {
        let mut state = self.lock();
        state.addresses = peers.iter().map(|it| (it.member.name.clone(), it.address)).collect();
        let members = peers.into_iter().map(|it| it.member);
        let topology = Topology::new(state.own.clone(), members);
        state.router.set_topology(topology);
        if state.view == RelayView::Starting {
            state.view = RelayView::NoRelays;
        }
        drop(state);
        self.view_changed.notify(usize::MAX);
    }

    /// Records that a link opened or closed.
    pub(super) fn set_link(&self, peer: &Name, up: bool) {
        let mut state = self.lock();
        state.router.set_link(peer, up);
        state.announced_roles.remove(peer);
    }

    /// Records the role that the peer of a link announced.
    pub(super) fn set_role(&self, peer: &Name, role: Role) {
        self.lock().router.set_role(peer, role);
    }

    /// Chooses the relays and returns the resulting changes of the links.
    pub(super) fn update(&self, now: Timestamp) -> LinkChanges {
        let mut state = self.lock();
        state.choose_relays(now);
        let view = state.current_view();
        let is_changed = view != state.view;
        state.view = view;
        let changes = LinkChanges {
            dialled: state.peers_to_dial(now),
            roles: state.roles_to_announce(),
            reachability: state.reachability_changes(),
        };
        drop(state);
        if is_changed {
            self.view_changed.notify(usize::MAX);
        }
        changes
    }

    /// Returns the relays as this daemon sees them.
    pub(super) fn view(&self) -> RelayView {
        self.lock().view.clone()
    }

    pub(super) fn view_changed(&self) -> EventListener {
        self.view_changed.listen()
    }

    /// Returns the state of the overlay for the status page.
    pub(super) fn status(&self) -> OverlayStatus {
        let state = self.lock();
        let role = match state.view {
            RelayView::Starting => OverlayRole::Starting,
            RelayView::NoRelays => OverlayRole::Mesh,
            RelayView::User { .. } => OverlayRole::User,
            RelayView::Relay { .. } => OverlayRole::Relay,
        };
        let relays = match &state.view {
            RelayView::Starting | RelayView::NoRelays => Vec::new(),
            RelayView::User { relays } => relays.clone(),
            RelayView::Relay { others } => others.clone(),
        };
        OverlayStatus { role, relays, users: state.router.subscribers().cloned().collect() }
    }

    /// Returns the number of other known daemons.
    pub(super) fn known_count(&self) -> usize {
        self.lock().addresses.len()
    }

    pub(super) fn with_router<T>(&self, f: impl FnOnce(&Router) -> T) -> T {
        f(&self.lock().router)
    }

    pub(super) fn receive(&self, from: &Name, frame: Frame) -> Vec<RoutingAction> {
        self.lock().router.receive(from, frame)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn choose_relays(&mut self, now: Timestamp) {
        let router = &self.router;
        self.chosen_relays = match router.topology().is_mesh() || router.topology().is_relay() {
            true => Vec::new(),
            false => {
                let candidates = router.topology().relay_candidates();
                self.choice.wanted(now, &candidates, |it| router.is_linked(it))
            }
        };
        let first = primary(&self.own.name, &self.chosen_relays, |it| router.is_linked(it));
        self.router.set_primary(first);
    }

    fn current_view(&self) -> RelayView {
        let router = &self.router;
        match self.view {
            RelayView::Starting => RelayView::Starting,
            _ if router.topology().is_mesh() => RelayView::NoRelays,
            _ if router.acts_as_relay() => {
                RelayView::Relay { others: router.relays().cloned().collect() }
            }
            _ => {
                let mut relays: Vec<Name> = router.primary().cloned().into_iter().collect();
                let others = self.chosen_relays.iter().filter(|it| router.is_linked(it));
                let others = others.filter(|it| Some(*it) != router.primary());
                relays.extend(others.cloned());
                RelayView::User { relays }
            }
        }
    }

    fn peers_to_dial(&mut self, now: Timestamp) -> Vec<Peer> {
        let wanted = self.router.topology().links(&self.chosen_relays, self.router.acts_as_relay());
        let mut dialled = Vec::new();
        let mut missing_since = BTreeMap::new();
        for (id, dialler) in wanted {
            let Some(address) = self.addresses.get(&id).copied() else { continue };
            let is_due = match dialler {
                Dialler::Own => true,
                Dialler::Peer if self.router.is_linked(&id) => false,
                Dialler::Peer => {
                    let since = self.missing_since.get(&id).copied().unwrap_or(now);
                    missing_since.insert(id.clone(), since);
                    now.since(since) >= PEER_DIAL_TIMEOUT
                }
            };
            if is_due {
                dialled.push(Peer { id, address });
            }
        }
        self.missing_since = missing_since;
        dialled
    }

    /// Returns the roles that linked peers have not received yet. There are none in a mesh, which has no relays.
    fn roles_to_announce(&mut self) -> Vec<(Name, Role)> {
        let linked: Vec<Name> = self.router.linked().cloned().collect();
        let mut roles = Vec::new();
        for peer in linked {
            let role = self.router.role_towards(&peer);
            let announced = self.announced_roles.insert(peer.clone(), role).unwrap_or_default();
            if announced != role {
                roles.push((peer, role));
            }
        }
        roles
    }

    fn reachability_changes(&mut self) -> Vec<(Name, bool)> {
        let mut reachable: BTreeSet<Name> = self.router.linked().cloned().collect();
        // Whether a relay is linked with another one is not known here, so all relays count as reachable; one that does not
        // answer is skipped.
        if self.router.relays().next().is_some() {
            reachable.extend(self.router.topology().relays());
        }
        let former = std::mem::replace(&mut self.reachable, reachable);
        let up = self.reachable.difference(&former).map(|it| (it.clone(), true));
        let down = former.difference(&self.reachable).map(|it| (it.clone(), false));
        up.chain(down).collect()
    }
}
