//! Messages about requests in flight.

/// The state that a daemon sends to its peers at regular intervals.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Increases with each change of the contents; set by the hub.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The configuration revision in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The short identities of the targets with requests in flight. Positions in a list of targets would be ambiguous,
    /// since daemons may know different lists. With parallel lists a target takes 6 bytes, which keeps heartbeats small
    /// in a large failure domain.
    #[prost(fixed32, repeated, tag = "11")]
    pub targets: Vec<u32>,
    /// The online requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "12")]
    pub online: Vec<u32>,
    /// The batch requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "13")]
    pub batch: Vec<u32>,
    /// The positions in `targets` of those that run a suspect, once for each suspect.
    #[prost(uint32, repeated, tag = "14")]
    pub suspects: Vec<u32>,
    /// The short identities of the services with waiting online requests.
    #[prost(fixed64, repeated, tag = "9")]
    pub waiting: Vec<u64>,
    /// The short identities of the services with waiting batch requests.
    #[prost(fixed64, repeated, tag = "10")]
    pub batch_waiting: Vec<u64>,
    /// For each of `targets`, the mean time between two events of its streams, in milliseconds; 0 if not measured.
    #[prost(uint32, repeated, tag = "15")]
    pub event_gap_ms: Vec<u32>,
    /// For each of `targets`, the requests sent in the last four seconds, or 0 if the target names no limit; empty if none does.
    #[prost(uint32, repeated, tag = "16")]
    pub starts: Vec<u32>,
    /// For each of `targets`, how long work takes on its machine, in percent of the usual time, or 0 if it has not said so lately;
    /// empty if none has.
    #[prost(uint32, repeated, tag = "17")]
    pub slowdown: Vec<u32>,
}

/// Requests in flight of parts of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// The parts.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<LoadPart>,
    /// Whether a relay is to inform daemons that run batch items at once.
    #[prost(bool, tag = "2")]
    pub urgent: bool,
    /// The configuration revision that the sender has in force.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Requests in flight of one instance, or the sum over several. The lists parallel to `targets` may be shorter; missing
/// entries are 0.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadPart {
    /// The instance, or the name of the part.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The failure domain of the instances; empty if they are in several.
    #[prost(string, tag = "2")]
    pub failure_domain: String,
    /// The short identities of the targets with requests in flight.
    #[prost(fixed32, repeated, tag = "3")]
    pub targets: Vec<u32>,
    /// The online requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "4")]
    pub online: Vec<u32>,
    /// The batch requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "5")]
    pub batch: Vec<u32>,
    /// The suspects in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "6")]
    pub suspects: Vec<u32>,
    /// For each of `targets`, the online requests in flight of instances with more requests waiting for the service.
    #[prost(uint32, repeated, tag = "7")]
    pub contending: Vec<u32>,
    /// For each of `targets`, the batch requests in flight of instances with more requests waiting for the service.
    #[prost(uint32, repeated, tag = "8")]
    pub batch_contending: Vec<u32>,
    /// The short identities of the services with waiting online requests.
    #[prost(fixed64, repeated, tag = "9")]
    pub waiting: Vec<u64>,
    /// For each of `waiting`, the number of instances with such requests.
    #[prost(uint32, repeated, tag = "10")]
    pub waiting_instances: Vec<u32>,
    /// The short identities of the services with waiting batch requests.
    #[prost(fixed64, repeated, tag = "11")]
    pub batch_waiting: Vec<u64>,
    /// For each of `batch_waiting`, the number of instances with such requests.
    #[prost(uint32, repeated, tag = "12")]
    pub batch_waiting_instances: Vec<u32>,
    /// For each of `targets`, the lowest mean time between two events of its streams, in milliseconds; 0 if unmeasured.
    #[prost(uint32, repeated, tag = "13")]
    pub event_gap_ms: Vec<u32>,
    /// For each of `targets`, the requests sent in the last four seconds, or 0 if the target names no limit.
    #[prost(uint32, repeated, tag = "14")]
    pub starts: Vec<u32>,
    /// For each of `targets`, how long work takes on its machine, in percent of the usual time, or 0 if it has not said so lately.
    #[prost(uint32, repeated, tag = "15")]
    pub slowdown: Vec<u32>,
}
