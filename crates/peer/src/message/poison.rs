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

/// Reports that a target crashed on which a request with these prompt parts was in flight without any output.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartCrash {
    /// The name of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The hashes of the parts, in the order of the prompt.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
}

/// Reports that requests with a prompt part must not run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartVerdict {
    /// The hash of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// The least time for which the part is refused, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub lifetime_ms: u32,
}

/// Reports that targets answer on prompt parts that were suspects or condemned.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClearedParts {
    /// The hashes of the parts.
    #[prost(fixed64, repeated, tag = "1")]
    pub parts: Vec<u64>,
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
