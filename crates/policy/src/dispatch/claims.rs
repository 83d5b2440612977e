//! Claims, which make the run of a suspect exclusive among instances, by target and by fingerprint.
//!
//! An instance announces a claim, waits [`CLAIM_WAIT`] and then runs the suspect. It does not run it if a peer runs a
//! suspect on that target or runs the same fingerprint, or if a peer with a lower name has claimed the same target or
//! fingerprint. No agreement of peers is required, so a partition or a lost message blocks no suspect. The cost is that
//! each side of a partition can run a suspect once.

use std::time::Duration;

use fleet::QualifiedName;
use indexmap::IndexMap;
use stdx::{Name, Timestamp};

use super::request::{Claim, ClaimState, Fingerprint};

/// The time between a claim and the run. It covers two message delays of 30 ms each. If a message is lost, it covers the
/// 30 ms until the repeat ([`CLAIM_REPEAT`] and a tick of 20 ms) and two message delays of 15 ms each.
pub(super) const CLAIM_WAIT: Duration = Duration::from_millis(60);
/// The interval at which a claim is repeated until the run, in case a message is lost.
pub(super) const CLAIM_REPEAT: Duration = Duration::from_millis(10);
/// The interval at which the announcement of a run is repeated.
pub(super) const RUN_REPEAT: Duration = Duration::from_millis(250);
/// How long a due claim may wait for a slot on its target before it is withdrawn and another target is tried.
pub(super) const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);
/// The range of the random delay before a fingerprint is claimed again after a withdrawn claim. It exceeds a message delay,
/// so that a withdrawal that arrives late cannot end the next claim.
const BACK_OFF_MS: std::ops::Range<u64> = 30..120;
/// The age at which a peer's claim that was not repeated is ignored.
const PEER_CLAIM_EXPIRY: Duration = Duration::from_secs(1);

/// The claims of this instance and its peers.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    own: IndexMap<Fingerprint, OwnClaim>,
    peers: IndexMap<PeerKey, PeerClaim>,
    back_off: IndexMap<Fingerprint, Timestamp>,
}

/// A claim of this instance.
#[derive(Debug)]
pub(super) struct OwnClaim {
    /// The request that the claim is for.
    pub id: u64,
    pub service: QualifiedName,
    pub target: Name,
    /// When the run may start.
    pub due_at: Timestamp,
    pub running: bool,
    announced: Timestamp,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PeerKey {
    peer: Name,
    fingerprint: Fingerprint,
    service: QualifiedName,
    target: Name,
}

#[derive(Debug)]
struct PeerClaim {
    running: bool,
    last_received: Timestamp,
}

impl OwnClaim {
    fn to_claim(&self, fingerprint: Fingerprint) -> Claim {
        Claim {
            fingerprint,
            service: self.service.clone(),
            target: self.target.clone(),
            state: if self.running { ClaimState::Running } else { ClaimState::Announced },
        }
    }
}

impl ClaimTable {
    pub fn own_claim(&self, fingerprint: &Fingerprint) -> Option<&OwnClaim> {
        self.own.get(fingerprint)
    }

    pub fn own_claims(&self) -> impl Iterator<Item = (&Fingerprint, &OwnClaim)> {
        self.own.iter()
    }

    /// Returns whether the fingerprint may not be claimed yet, because its last claim was withdrawn recently.
    pub fn is_backing_off(&self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.back_off.get(fingerprint).is_some_and(|until| now < *until)
    }

    /// Adds a claim of this instance and returns the message for peers.
    pub fn announce(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        (service, target): (QualifiedName, Name),
        id: u64,
        wait: Duration,
    ) -> Claim {
        let due_at = now + wait;
        let own = OwnClaim { id, service, target, due_at, running: false, announced: now };
        let claim = own.to_claim(fingerprint);
        let earlier = self.own.insert(fingerprint, own);
        assert!(earlier.is_none(), "an instance claims a fingerprint once at a time");
        claim
    }

    /// Marks the claimed run as started and returns the message for peers.
    pub fn start_run(&mut self, now: Timestamp, fingerprint: &Fingerprint) -> Claim {
        let own = self.own.get_mut(fingerprint).expect("a suspect runs on a claim");
        assert!(
            now >= own.due_at && !own.running,
            "a claimed run starts once, after the wait for peers"
        );
        own.running = true;
        own.announced = now;
        own.to_claim(*fingerprint)
    }

    /// Ends the claim of a request, if it has one, and returns the message for peers.
    pub fn end(&mut self, fingerprint: &Fingerprint, id: u64) -> Option<Claim> {
        self.own.get(fingerprint).filter(|it| it.id == id)?;
        let own = self.own.swap_remove(fingerprint)?;
        Some(Claim { state: ClaimState::Ended, ..own.to_claim(*fingerprint) })
    }

    /// Prevents another claim on the fingerprint for a random time.
    pub fn back_off(&mut self, now: Timestamp, rng: &mut stdx::Rng, fingerprint: Fingerprint) {
        let millis = rand::Rng::random_range(rng, BACK_OFF_MS);
        self.back_off.insert(fingerprint, now + Duration::from_millis(millis));
    }

    /// Records a claim of a peer. At most `max` claims are kept.
    pub fn record_peer_claim(&mut self, now: Timestamp, peer: Name, claim: &Claim, max: usize) {
        let key = PeerKey {
            peer,
            fingerprint: claim.fingerprint,
            service: claim.service.clone(),
            target: claim.target.clone(),
        };
        let running = claim.state == ClaimState::Running;
        if claim.state == ClaimState::Ended {
            self.peers.shift_remove(&key);
            return;
        }
        if self.peers.len() >= max && !self.peers.contains_key(&key) {
            self.peers.shift_remove_index(0);
        }
        // A repeated announcement that arrives late must not reset a claim whose run has started.
        let running = running || self.peers.get(&key).is_some_and(|it| it.running);
        self.peers.insert(key, PeerClaim { running, last_received: now });
    }

    /// Returns whether a peer's claim on the fingerprint or the target blocks a run of the fingerprint on the target.
    ///
    /// Before this instance has announced its own claim (`announced_by` is `None`), every such claim does; afterwards only
    /// a claim whose run has started, or one of a peer with a lower name.
    pub fn is_blocked_by_peer(
        &self,
        now: Timestamp,
        fingerprint: &Fingerprint,
        service: &QualifiedName,
        target: &Name,
        announced_by: Option<&Name>,
    ) -> bool {
        self.peers.iter().any(|(key, it)| {
            now.since(it.last_received) < PEER_CLAIM_EXPIRY
                && (key.fingerprint == *fingerprint
                    || (key.service == *service && key.target == *target))
                && announced_by.is_none_or(|own| it.running || key.peer < *own)
        })
    }

    /// Returns the suspects that peers are running on the target.
    pub fn peer_suspects_on<'a>(
        &'a self,
        now: Timestamp,
        service: &'a QualifiedName,
        target: &'a Name,
    ) -> impl Iterator<Item = &'a Fingerprint> {
        let is_on = move |(key, it): &(&PeerKey, &PeerClaim)| {
            it.running
                && now.since(it.last_received) < PEER_CLAIM_EXPIRY
                && key.service == *service
                && key.target == *target
        };
        self.peers.iter().filter(is_on).map(|(key, _)| &key.fingerprint)
    }

    /// Returns the claims of this instance on the same target or fingerprint as a peer's claim.
    pub fn conflicts(&self, claim: &Claim) -> Vec<(Fingerprint, Claim)> {
        let conflicts = |(fingerprint, own): &(&Fingerprint, &OwnClaim)| {
            **fingerprint == claim.fingerprint
                || (own.service == claim.service && own.target == claim.target)
        };
        let own = self.own.iter().filter(conflicts);
        own.map(|(fingerprint, own)| (*fingerprint, own.to_claim(*fingerprint))).collect()
    }

    /// Returns the claims of this instance that are due to be repeated to peers, and restarts their intervals.
    pub fn take_repeats(&mut self, now: Timestamp) -> Vec<Claim> {
        let due = |own: &OwnClaim| {
            now.since(own.announced) >= if own.running { RUN_REPEAT } else { CLAIM_REPEAT }
        };
        let due = self.own.iter_mut().filter(|(_, own)| due(own));
        let repeated = due.map(|(fingerprint, own)| {
            own.announced = now;
            own.to_claim(*fingerprint)
        });
        repeated.collect()
    }

    /// Removes expired claims and back-offs.
    pub fn prune(&mut self, now: Timestamp) {
        self.peers.retain(|_, it| now.since(it.last_received) < PEER_CLAIM_EXPIRY);
        self.back_off.retain(|_, until| now < *until);
    }
}
