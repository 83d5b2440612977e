//! What the dispatchers of the daemons tell each other about requests that crash targets and about targets that limit requests.

use std::time::Duration;

use peer::{ClearedParts, Message, PartCrash, PartVerdict, PoisonVerdict};
use policy::dispatch::{Claim, Event, Fingerprint, LimitNews, PartId, Suspicion};
use stdx::Name;

use super::Peers;
use crate::{suspects, target_limits};

impl Peers {
    /// Tells a peer, or every peer, that requests with a fingerprint crash targets.
    pub fn send_verdict(&self, to: Option<&Name>, fingerprint: &Fingerprint) {
        let verdict = PoisonVerdict { fingerprint: fingerprint.to_vec().into() };
        self.send(to, &Message::PoisonVerdict(verdict));
    }

    /// Tells every peer that a target crashed while it ran a request.
    pub fn broadcast_suspicion(&self, suspicion: &Suspicion) {
        self.send(None, &suspects::suspicion_to_wire(suspicion));
    }

    /// Tells every peer that a target crashed on which a request with these prompt parts was in flight without any output.
    pub fn broadcast_part_crash(&self, target: &Name, parts: &[PartId]) {
        let parts = parts.iter().map(|it| it.0).collect();
        self.send(None, &Message::PartCrash(PartCrash { target: target.to_string(), parts }));
    }

    /// Tells every peer that requests with a prompt part must not run.
    pub fn broadcast_part_verdict(&self, part: PartId, lifetime: Duration) {
        let lifetime_ms = u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX);
        self.send(None, &Message::PartVerdict(PartVerdict { part: part.0, lifetime_ms }));
    }

    /// Tells every peer that targets answer on prompt parts that were suspects or condemned.
    pub fn broadcast_cleared_parts(&self, parts: &[PartId]) {
        let parts = parts.iter().map(|it| it.0).collect();
        self.send(None, &Message::ClearedParts(ClearedParts { parts }));
    }

    /// Tells a peer, or every peer, on which target a suspect request will run, runs or has ended.
    pub fn send_claim(&self, to: Option<&Name>, claim: &Claim) {
        self.send(to, &suspects::claim_to_wire(claim));
    }

    /// Tells a peer, or every peer, what is known about the limit of a target.
    pub fn send_limit(&self, to: Option<&Name>, news: &LimitNews) {
        self.send(to, &target_limits::to_wire(news));
    }
}

/// Returns the event that a message of a peer's dispatcher means to this one; `None` if the message is malformed.
pub(super) fn event(from: Name, message: Message) -> Option<Event> {
    match message {
        Message::PoisonVerdict(verdict) => {
            let fingerprint = Fingerprint::try_from(verdict.fingerprint.as_ref()).ok()?;
            Some(Event::PoisonVerdict { fingerprint })
        }
        Message::PoisonSuspicion(suspicion) => {
            suspects::suspicion_from_wire(&suspicion).map(Event::PoisonSuspicion)
        }
        Message::SuspectClaim(claim) => {
            let claim = suspects::claim_from_wire(&claim)?;
            Some(Event::SuspectClaim { peer: from, claim })
        }
        Message::PartCrash(PartCrash { target, parts }) => {
            Some(Event::PartCrash { target: Name::from(target), parts: part_ids(parts) })
        }
        Message::PartVerdict(PartVerdict { part, lifetime_ms }) => {
            let lifetime = Duration::from_millis(lifetime_ms.into());
            Some(Event::PartVerdict { part: PartId(part), lifetime })
        }
        Message::ClearedParts(ClearedParts { parts }) => Some(Event::ClearedParts(part_ids(parts))),
        Message::TargetLimit(limit) => Some(Event::LimitNews(target_limits::from_wire(&limit))),
        _ => None,
    }
}

fn part_ids(parts: Vec<u64>) -> Vec<PartId> {
    parts.into_iter().map(PartId).collect()
}
