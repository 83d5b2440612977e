//! The state of the daemon, as shown to operators at `/status`.

use std::collections::BTreeMap;

use fleet::QualifiedName;
use policy::{
    dispatch::{Belief, HealthState, PeerLoad, Snapshot},
    rate::Stats,
};
use serde::Serialize;
use stdx::Name;

/// The state of the control thread.
#[derive(Debug, Clone)]
pub struct ControlStatus {
    /// Peers with an open link.
    pub peers: Vec<Name>,
    /// Rate slots that this instance uses.
    pub slots_held: u32,
    /// Rate slots of the peers with an open link.
    pub slots_of_peers: BTreeMap<Name, u32>,
    /// Whether the rate limiter admits requests: it holds slots, and loans of an earlier incarnation have lapsed.
    pub is_admitting: bool,
    /// Whether a drain has released every slot.
    pub slots_drained: bool,
    /// The number of accounts in use on this instance.
    pub accounts_in_use: usize,
    /// Totals of rate decisions.
    pub rate: RateStatus,
    /// Requests that are queued or running.
    pub requests_open: usize,
    /// The services.
    pub services: Vec<ServiceStatus>,
}

/// The requests that this instance has in flight, for heartbeats.
#[derive(Debug, Clone)]
pub struct LoadStatus {
    /// Requests in flight by target; targets without any are left out.
    pub in_flight: Vec<PeerLoad>,
    /// The services for which online requests wait.
    pub waiting: Vec<QualifiedName>,
    /// The services for which batch requests wait.
    pub batch_waiting: Vec<QualifiedName>,
}

/// Totals of rate decisions since the start.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RateStatus {
    /// Requests admitted.
    pub granted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Loan messages sent.
    pub messages: u64,
    /// Bytes of loan messages sent, with packet headers.
    pub bytes: u64,
    /// Loan messages kept back by the bound on control traffic.
    pub suppressed: u64,
}

/// The state of a service.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceStatus {
    /// The service as `origin/name`.
    pub service: String,
    /// Waiting online requests.
    pub online_queued: usize,
    /// Waiting batch requests.
    pub batch_queued: usize,
    /// The targets.
    pub targets: Vec<TargetStatus>,
    /// The targets that are limited because they are cold.
    pub cold_targets: Vec<Name>,
}

/// The state of a target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub target: Name,
    /// The health.
    pub health: &'static str,
    /// Online requests of this instance in flight.
    pub online: u32,
    /// Batch requests of this instance in flight.
    pub batch: u32,
    /// The time between events of streams that this instance has measured, in milliseconds; 0 if it has not lately.
    pub event_gap_ms: u32,
    /// What was learned of the target, if the choice among targets follows it.
    pub learned: Option<LearnedStatus>,
}

/// What was learned of a target.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LearnedStatus {
    /// How long the target usually takes for its work, relative to the others of the service.
    pub relative_time: f64,
    /// The requests that it takes without getting slower.
    pub handled_well: f64,
    /// How slow its machine is now, relative to its usual speed.
    pub slowdown: f64,
    /// Whether its reports agree with what callers got.
    pub trusted: bool,
}

/// How an instance is linked with the others.
#[derive(Debug, Clone, Serialize)]
pub struct OverlayStatus {
    /// The part that the instance takes.
    pub role: OverlayRole,
    /// The linked relays; for a user the one in use first.
    pub relays: Vec<Name>,
    /// The instances that use this one as a relay.
    pub users: Vec<Name>,
}

/// The role of an instance in the overlay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OverlayRole {
    /// The other instances are not known yet.
    Starting,
    /// All instances are linked with each other.
    Mesh,
    /// Relays serve the instance.
    User,
    /// The instance relays.
    Relay,
}

/// The response of `/status`.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The name of this instance.
    pub instance: Name,
    /// The failure domain of this instance.
    pub failure_domain: Name,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Whether the instance is draining.
    pub draining: bool,
    /// The revision in force; 0 before the first.
    pub revision: u64,
    /// Seconds since the key-value service answered last.
    pub platform_silent_s: u64,
    /// Peers with an open link.
    pub peers: Vec<Name>,
    /// How the instance is linked with the others; `None` while it starts.
    pub overlay: Option<OverlayStatus>,
    /// Rate slots that this instance uses.
    pub slots_held: u32,
    /// Rate slots of the peers with an open link.
    pub slots_of_peers: BTreeMap<Name, u32>,
    /// Accounts in use here.
    pub accounts_in_use: usize,
    /// Totals of rate decisions.
    pub rate: RateStatus,
    /// Requests that wait or run.
    pub requests_open: usize,
    /// Batch segments that this instance owns.
    pub segments_owned: usize,
    /// The services.
    pub services: Vec<ServiceStatus>,
    /// The evacuated failure domains; `None` without evacuations or before they are known.
    pub evacuations: Option<Vec<EvacuationStatus>>,
    /// The time since the evacuated failure domains were last read, in milliseconds.
    pub evacuations_age_ms: Option<u64>,
}

/// An evacuated failure domain.
#[derive(Debug, Clone, Serialize)]
pub struct EvacuationStatus {
    /// The failure domain.
    pub domain: Name,
    /// When this daemon learnt of the order, in Unix milliseconds.
    pub since_unix_ms: u64,
}

impl From<Stats> for RateStatus {
    fn from(stats: Stats) -> Self {
        Self {
            granted: stats.granted,
            refused: stats.refused,
            messages: stats.messages,
            bytes: stats.bytes,
            suppressed: stats.suppressed,
        }
    }
}

impl From<Snapshot> for ServiceStatus {
    fn from(snapshot: Snapshot) -> Self {
        let target =
            |(target, health, load, belief): (Name, HealthState, PeerLoad, Option<Belief>)| {
                TargetStatus {
                    target,
                    health: health_name(health),
                    online: load.online,
                    batch: load.batch,
                    event_gap_ms: load.event_gap_ms,
                    learned: belief.map(|it| LearnedStatus {
                        relative_time: it.relative_time,
                        handled_well: it.handled_well,
                        slowdown: it.slowdown,
                        trusted: it.is_trusted,
                    }),
                }
            };
        Self {
            service: snapshot.service.to_string(),
            online_queued: snapshot.online_queued,
            batch_queued: snapshot.batch_queued,
            targets: snapshot.targets.into_iter().map(target).collect(),
            cold_targets: snapshot.cold_targets,
        }
    }
}

fn health_name(health: HealthState) -> &'static str {
    match health {
        HealthState::Unknown => "unknown",
        HealthState::Up => "up",
        HealthState::Suspect => "suspect",
        HealthState::HeldDown => "held_down",
        HealthState::Leaving => "leaving",
    }
}
