//! Messages about requests that crash targets.

use bytes::Bytes;

/// Reports that a request crashed two targets and must not run again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonVerdict {
    /// The SHA-256 digest of account and body.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
}

/// Reports that a target crashed while it ran a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonSuspicion {
    /// The SHA-256 digest of account and body.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// The fleet of origin of the target's service.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// The name of the target's service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The name of the target.
    #[prost(string, tag = "4")]
    pub target: String,
}

/// Reports the target on which a suspect is to run, runs or no longer runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectClaim {
    /// The SHA-256 digest of account and body.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// The fleet of origin of the target's service.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// The name of the target's service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The name of the target.
    #[prost(string, tag = "4")]
    pub target: String,
    /// The state of the run.
    #[prost(enumeration = "SuspectState", tag = "5")]
    pub state: i32,
}

/// The state of the run of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SuspectState {
    /// The run starts unless a peer objects.
    Announced = 0,
    /// The suspect is in flight.
    Running = 1,
    /// The run ended, or the claim is withdrawn.
    Ended = 2,
}
