//! Messages about targets that limit the requests of all instances together.

/// Reports what the sender knows about the limit of a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetLimit {
    /// The fleet of origin of the target's service.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The name of the target's service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The name of the target.
    #[prost(string, tag = "3")]
    pub target: String,
    /// The incarnation of the target.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// The limit in thousandths of a request per second; missing if the target names none any more.
    #[prost(uint64, optional, tag = "5")]
    pub limit_millis: Option<u64>,
    /// How long ago this was true, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
}
