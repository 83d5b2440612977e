//! Converts what dispatchers tell each other about the limits of targets to and from the wire format.

use std::time::Duration;

use fleet::{Kind, QualifiedName};
use peer::Message;
use policy::dispatch::{LimitNews, TargetLimit};
use stdx::Name;

/// Encodes news about a limit.
pub fn to_wire(it: &LimitNews) -> Message {
    Message::TargetLimit(peer::TargetLimit {
        origin: it.service.origin.to_string(),
        service: it.service.name.to_string(),
        target: it.target.to_string(),
        incarnation: it.incarnation,
        limit_millis: it.limit.map(|it| it.0),
        age_ms: u32::try_from(it.age.as_millis()).unwrap_or(u32::MAX),
    })
}

/// Decodes news about a limit.
pub fn from_wire(it: &peer::TargetLimit) -> LimitNews {
    LimitNews {
        service: QualifiedName::new(&it.origin, Kind::Service, &it.service),
        target: Name::new(&it.target),
        incarnation: it.incarnation,
        limit: it.limit_millis.map(TargetLimit),
        age: Duration::from_millis(it.age_ms.into()),
    }
}
