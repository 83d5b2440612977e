//! Messages about links, and messages that are relayed over several links.

use bytes::Bytes;

/// The first message that each side of a link sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The version of the protocol.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The id of the sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Increases with each start of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The failure domain of the sender.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
}

/// The role of the sender on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkRole {
    /// Whether the sender relays messages.
    #[prost(bool, tag = "1")]
    pub relays: bool,
    /// Whether the receiver is to relay messages to the sender.
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

/// A message to one instance that is relayed over several links.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// The id of the recipient.
    #[prost(string, tag = "1")]
    pub to: String,
    /// The id of the sender.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
    /// The number of links that the message has crossed.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// Reports that the sender is shutting down and accepts no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leaving {}
