//! Links, and messages that take more than one of them.

use bytes::Bytes;

/// The first message of either side.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The version of the protocol.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The id of the sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Rises with each start of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The failure domain of the sender.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
}

/// What the sender of a link's frames says about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkRole {
    /// Whether it passes messages on.
    #[prost(bool, tag = "1")]
    pub relays: bool,
    /// Whether the receiver is to pass messages on to it.
    #[prost(bool, tag = "2")]
    pub subscribes: bool,
}

/// A message to all instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Flood {
    /// The id of the sender.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: Bytes,
}

/// A message to one instance that takes more than one link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// The id of the addressee.
    #[prost(string, tag = "1")]
    pub to: String,
    /// The id of the sender.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
    /// The links that it has passed.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// Tells that the sender shuts down and takes no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leaving {}
