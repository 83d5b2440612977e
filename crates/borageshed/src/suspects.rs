//! Converts the messages that dispatchers exchange about suspect requests to and from their wire format.

use bytes::Bytes;
use fleet::{Kind, QualifiedName};
use peer::{Message, PoisonSuspicion, SuspectClaim, SuspectState};
use policy::dispatch::{Claim, ClaimState, Fingerprint, Suspicion};
use stdx::Name;

/// Encodes a suspicion.
pub fn suspicion_to_wire(it: &Suspicion) -> Message {
    Message::PoisonSuspicion(PoisonSuspicion {
        fingerprint: Bytes::copy_from_slice(&it.fingerprint),
        origin: it.service.origin.to_string(),
        service: it.service.name.to_string(),
        target: it.target.to_string(),
    })
}

/// Decodes a suspicion; returns `None` if the message is malformed.
pub fn suspicion_from_wire(it: &PoisonSuspicion) -> Option<Suspicion> {
    Some(Suspicion {
        fingerprint: Fingerprint::try_from(it.fingerprint.as_ref()).ok()?,
        service: service_name(&it.origin, &it.service),
        target: Name::new(&it.target),
    })
}

/// Encodes a claim.
pub fn claim_to_wire(it: &Claim) -> Message {
    let state = match it.state {
        ClaimState::Announced => SuspectState::Announced,
        ClaimState::Running => SuspectState::Running,
        ClaimState::Ended => SuspectState::Ended,
    };
    Message::SuspectClaim(SuspectClaim {
        fingerprint: Bytes::copy_from_slice(&it.fingerprint),
        origin: it.service.origin.to_string(),
        service: it.service.name.to_string(),
        target: it.target.to_string(),
        state: state.into(),
    })
}

/// Decodes a claim; returns `None` if the message is malformed.
pub fn claim_from_wire(it: &SuspectClaim) -> Option<Claim> {
    let state = match SuspectState::try_from(it.state).ok()? {
        SuspectState::Announced => ClaimState::Announced,
        SuspectState::Running => ClaimState::Running,
        SuspectState::Ended => ClaimState::Ended,
    };
    Some(Claim {
        fingerprint: Fingerprint::try_from(it.fingerprint.as_ref()).ok()?,
        service: service_name(&it.origin, &it.service),
        target: Name::new(&it.target),
        state,
    })
}

fn service_name(origin: &str, service: &str) -> QualifiedName {
    QualifiedName::new(origin, Kind::Service, service)
}
