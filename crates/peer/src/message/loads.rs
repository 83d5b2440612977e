//! Requests in flight.

/// The state that a daemon repeats to its peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Rises with each change of the contents; set by the hub.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The configuration revision in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The short identities of the targets with requests in flight; daemons may know different lists of targets, so
    /// positions in a list would not do. With parallel lists a target takes 6 bytes, which keeps the heartbeats of a large
    /// domain affordable.
    #[prost(fixed32, repeated, tag = "11")]
    pub targets: Vec<u32>,
    /// The online requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "12")]
    pub online: Vec<u32>,
    /// The batch requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "13")]
    pub batch: Vec<u32>,
    /// The positions in `targets` of those that run a suspect, once for each.
    #[prost(uint32, repeated, tag = "14")]
    pub suspects: Vec<u32>,
    /// The short identities of the services for which online requests wait.
    #[prost(fixed64, repeated, tag = "9")]
    pub waiting: Vec<u64>,
    /// The short identities of the services for which batch requests wait.
    #[prost(fixed64, repeated, tag = "10")]
    pub batch_waiting: Vec<u64>,
    /// The mean time between two events of streams of each of `targets`, in milliseconds; 0 if none was measured.
    #[prost(uint32, repeated, tag = "15")]
    pub event_gap_ms: Vec<u32>,
}

/// Requests in flight of parts of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// The parts.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<LoadPart>,
    /// Whether a relay is to tell runners of batch items at once.
    #[prost(bool, tag = "2")]
    pub urgent: bool,
    /// The configuration revision that the sender has in force.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Requests in flight of one instance, or the sum over several. The lists that go with `targets` may be shorter, which stands
/// for zeros.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadPart {
    /// The instance, or the name of the part.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The failure domain of the instances; empty for several.
    #[prost(string, tag = "2")]
    pub failure_domain: String,
    /// The short identities of the targets with requests in flight.
    #[prost(fixed32, repeated, tag = "3")]
    pub targets: Vec<u32>,
    /// The online requests on each of `targets`.
    #[prost(uint32, repeated, tag = "4")]
    pub online: Vec<u32>,
    /// The batch requests.
    #[prost(uint32, repeated, tag = "5")]
    pub batch: Vec<u32>,
    /// The suspects.
    #[prost(uint32, repeated, tag = "6")]
    pub suspects: Vec<u32>,
    /// The online requests of instances at which others for the same service wait.
    #[prost(uint32, repeated, tag = "7")]
    pub contending: Vec<u32>,
    /// The batch requests of instances at which others for the same service wait.
    #[prost(uint32, repeated, tag = "8")]
    pub batch_contending: Vec<u32>,
    /// The short identities of the services for which online requests wait.
    #[prost(fixed64, repeated, tag = "9")]
    pub waiting: Vec<u64>,
    /// The number of instances at which they do, for each of `waiting`.
    #[prost(uint32, repeated, tag = "10")]
    pub waiting_instances: Vec<u32>,
    /// The short identities of the services for which batch requests wait.
    #[prost(fixed64, repeated, tag = "11")]
    pub batch_waiting: Vec<u64>,
    /// The number of instances at which they do, for each of `batch_waiting`.
    #[prost(uint32, repeated, tag = "12")]
    pub batch_waiting_instances: Vec<u32>,
    /// The least mean time between two events of streams of each of `targets`, in milliseconds; 0 if none was measured.
    #[prost(uint32, repeated, tag = "13")]
    pub event_gap_ms: Vec<u32>,
}
