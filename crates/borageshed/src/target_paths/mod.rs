//! The paths of requests to targets: a direct connection, or an exchange that another daemon, the helper, carries out.
//!
//! Every request to a target goes through [`send`]. `docs/design.md` states the contract.
//!
//! - [`failure`]: why a request to a target failed, on either path.
//! - [`send`]: sends a request over the path that works.
//! - `opening`: finds a helper that has a connection to the target.
//! - `exchange`: the side of an exchange that has the request.
//! - `serving`: the side of an exchange that has the connection to the target.
//! - `monitor`: notices lost links without waiting for a request to fail, and links that work again.

pub mod failure;
pub mod send;

mod exchange;
mod monitor;
mod opening;
mod serving;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use event_listener::Event;
use fleet::QualifiedName;
use http_edge::client::Client;
use policy::paths::{Candidate, HelperTable, LinkFault, LinkTable, Path, links::RECENT_CONTACT};
use rand::Rng as _;
use slog::info;
use stdx::{Name, Rng, rng};

use crate::{peers::PeerInfo, shared::Shared};

pub use failure::{SendError, TargetFailure};
pub use monitor::run as monitor;
pub(crate) use send::is_link_lost;
pub use send::{AnsweredThroughPeer, OnLoss, Outgoing, send};
pub use serving::run as serve;

/// The most exchanges that this daemon carries out for others at a time.
const MAX_SERVED: usize = 512;
/// How long an address may be silent on open connections before requests that can be sent again leave it, if new connections are refused. They
/// leave a link on which new connections hang after [`RECENT_CONTACT`].
const MAX_SILENCE_IF_REFUSED: Duration = Duration::from_secs(1);
/// How often a lost link is looked at that is not silent yet.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A target as requests are sent to it.
#[derive(Debug, Clone, Copy)]
pub struct TargetRef<'a> {
    /// The service.
    pub service: &'a QualifiedName,
    /// The name of the target within the service.
    pub target: &'a Name,
    /// Its address.
    pub address: SocketAddr,
}

/// What this daemon knows of its links to targets and of the daemons that help it.
#[derive(Debug)]
pub struct TargetPaths {
    is_enabled: bool,
    /// How long a new connection to a target may take.
    connect_timeout: Duration,
    /// What another daemon has to know to be served. It changes with each start.
    token: String,
    state: Mutex<State>,
    link_lost: Event,
    /// The number of exchanges that this daemon carries out for others.
    served: AtomicUsize,
    served_ended: Event,
}

#[derive(Debug)]
struct State {
    links: LinkTable,
    helpers: HelperTable,
    rng: Rng,
    /// The daemons that can help, without those that shut down.
    candidates: Vec<Candidate>,
    peers: BTreeMap<Name, HelperAddress>,
}

/// Where a helper is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HelperAddress {
    address: SocketAddr,
    token: String,
}

/// An exchange that is carried out for another daemon; it ends when this is dropped.
#[derive(Debug)]
struct Serving<'a>(&'a TargetPaths);

impl TargetPaths {
    /// Creates the paths of a daemon that has lost no links.
    pub fn new(is_enabled: bool, connect_timeout: Duration, seed: u64) -> Self {
        let state = State {
            links: LinkTable::default(),
            helpers: HelperTable::default(),
            rng: rng::seeded(seed),
            candidates: Vec::new(),
            peers: BTreeMap::new(),
        };
        Self {
            is_enabled,
            connect_timeout,
            token: format!("{:032x}", rand::rng().random::<u128>()),
            state: Mutex::new(state),
            link_lost: Event::new(),
            served: AtomicUsize::new(0),
            served_ended: Event::new(),
        }
    }

    /// Returns whether this daemon uses helpers and is one.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns what another daemon has to know to be served; empty if this one serves none.
    pub fn token(&self) -> &str {
        if self.is_enabled { &self.token } else { "" }
    }

    /// Replaces the daemons that can help.
    pub fn set_peers(&self, own_domain: &Name, peers: &[PeerInfo]) {
        let mut state = self.lock();
        let helpers = || peers.iter().filter(|it| !it.exchange_token.is_empty());
        state.candidates = helpers()
            .map(|it| Candidate {
                name: it.member.name.clone(),
                is_local: it.member.failure_domain == *own_domain,
                capacity: it.member.capacity,
            })
            .collect();
        state.peers = helpers()
            .map(|it| {
                let (address, token) = (it.address, it.exchange_token.clone());
                (it.member.name.clone(), HelperAddress { address, token })
            })
            .collect();
        let State { helpers, peers, .. } = &mut *state;
        helpers.retain(|it| peers.contains_key(it));
    }

    /// Leaves out a daemon that shuts down, until it registers again.
    pub fn on_peer_leaving(&self, peer: &Name) {
        self.lock().candidates.retain(|it| it.name != *peer);
    }

    /// Returns the number of lost links.
    pub fn lost_count(&self) -> usize {
        self.lock().links.lost_count()
    }

    /// Returns the number of exchanges that this daemon carries out for others.
    pub fn served_count(&self) -> usize {
        self.served.load(Ordering::Acquire)
    }

    /// Waits until this daemon carries out no exchange for others.
    pub async fn until_idle(&self) {
        loop {
            let ended = self.served_ended.listen();
            if self.served_count() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Returns the path to an address.
    pub fn path(&self, cx: &Shared, address: SocketAddr) -> Path {
        if !self.is_enabled {
            return Path::Direct;
        }
        self.lock().links.path(cx.clock.now(), address, heard_ago(cx, address))
    }

    /// Returns whether a link is known to be lost.
    pub fn is_lost(&self, address: SocketAddr) -> bool {
        self.lock().links.fault(address).is_some()
    }

    /// Records that a connection to an address was opened.
    pub fn on_connected(&self, cx: &Shared, address: SocketAddr) {
        if !self.is_enabled {
            return;
        }
        let mut state = self.lock();
        let lost_for = state.links.on_connected(cx.clock.now(), address);
        let lost_count = state.links.lost_count();
        drop(state);
        if let Some(lost_for) = lost_for {
            info!(
                cx.log, "link to a target works again";
                "target" => %address, "lost_for_ms" => lost_for.as_millis() as u64, "lost_links" => lost_count
            );
        }
    }

    /// Records that no connection to an address can be opened that another daemon reaches.
    fn on_lost(&self, cx: &Shared, address: SocketAddr, loss: &LinkLoss<'_>) {
        let now = cx.clock.now();
        let mut state = self.lock();
        let State { links, rng, .. } = &mut *state;
        let is_new = links.on_lost(now, address, loss.fault, rng);
        let lost_count = links.lost_count();
        drop(state);
        if !is_new {
            return;
        }
        let mut closed = 0;
        if loss.fault == LinkFault::Hangs {
            // What the kernel still holds for the target must not arrive when the link works again.
            closed = cx.client.close_idle(address, None);
        }
        info!(
            cx.log, "link to a target lost, which another daemon reaches";
            "target" => %address, "fault" => ?loss.fault, "peer" => %loss.peer,
            "peer_heard_ms_ago" => loss.peer_contact_age.as_millis() as u64,
            "heard_ms_ago" => heard_ago(cx, address).map(|it| it.as_millis() as u64),
            "lost_links" => lost_count, "idle_closed" => closed
        );
        self.link_lost.notify(usize::MAX);
    }

    /// Waits until the link to an address is lost and nothing arrives over open connections either.
    pub async fn until_silent_loss(&self, client: &Client, address: SocketAddr) {
        loop {
            let changed = self.link_lost.listen();
            let fault = self.lock().links.fault(address);
            let limit = match fault {
                Some(LinkFault::Hangs) => RECENT_CONTACT,
                Some(LinkFault::Refused) => MAX_SILENCE_IF_REFUSED,
                None => {
                    changed.await;
                    continue;
                }
            };
            let traffic = client.traffic(address);
            let silence = traffic.and_then(|it| it.silent_for(Instant::now()));
            if silence.is_some_and(|it| it >= limit) {
                return;
            }
            task::sleep(SILENCE_POLL_INTERVAL).await;
        }
    }

    /// Begins an exchange for another daemon; `None` if there are as many as there may be.
    fn begin_serving(&self) -> Option<Serving<'_>> {
        if self.served.fetch_add(1, Ordering::AcqRel) >= MAX_SERVED {
            self.served.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        Some(Serving(self))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.served.fetch_sub(1, Ordering::AcqRel);
        self.0.served_ended.notify(usize::MAX);
    }
}

/// The evidence that a link is lost.
#[derive(Debug)]
struct LinkLoss<'a> {
    /// How new connections fail.
    fault: LinkFault,
    /// A daemon that reaches the target.
    peer: &'a Name,
    /// How long ago that daemon heard of the target.
    peer_contact_age: Duration,
}

/// Returns how long ago something arrived from an address over a direct connection; `None` for never.
fn heard_ago(cx: &Shared, address: SocketAddr) -> Option<Duration> {
    cx.client.traffic(address).map(|it| it.received_at.elapsed())
}
