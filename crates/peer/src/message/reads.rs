//! Messages for reads of the key-value service through relays.

use bytes::Bytes;

/// Asks a relay for keys from its copy of the key-value service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReadRequest {
    /// Chosen by the requester and repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The prefix of the keys.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// The identity of the relay's copy that was read before; 0 asks for all keys.
    #[prost(fixed64, tag = "3")]
    pub run: u64,
    /// The number of changes of that copy that the requester already has.
    #[prost(uint64, tag = "4")]
    pub after: u64,
    /// How long the answer may wait for a change, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// Whether the relay may only answer with data that it read from the service directly.
    #[prost(bool, tag = "6")]
    pub at_first_hand: bool,
    /// How often the relay's copy had missed changes when it was read before; absent if that is not known. A relay whose copy
    /// has missed changes since then answers at once.
    #[prost(uint64, optional, tag = "7")]
    pub gaps: Option<u64>,
}

/// The kind of a relay's answer to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ReadStatus {
    /// The relay can't answer: its copy is behind, or the answer exceeds the frame limit.
    Unusable = 0,
    /// All keys with the prefix follow.
    All = 1,
    /// The changes after `after` of the request follow.
    Changes = 2,
    /// The relay can't reach the service.
    ServiceLost = 3,
}

/// Answers a read.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReadAnswer {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The kind of the answer.
    #[prost(enumeration = "ReadStatus", tag = "2")]
    pub status: i32,
    /// The revision of the service that the relay's copy has reached.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// The identity of the relay's copy.
    #[prost(fixed64, tag = "5")]
    pub run: u64,
    /// The number of changes of the relay's copy.
    #[prost(uint64, tag = "6")]
    pub changes: u64,
    /// How often the relay's copy may have missed changes; missing from daemons of earlier releases.
    #[prost(uint64, optional, tag = "7")]
    pub gaps: Option<u64>,
    /// The keys.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<StoredItem>,
}

/// A key of the key-value service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoredItem {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// The revision of its last change.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// The revision of its creation.
    #[prost(int64, tag = "4")]
    pub created: i64,
    /// Its lease; 0 for none.
    #[prost(int64, tag = "5")]
    pub lease: i64,
    /// Whether the key was removed.
    #[prost(bool, tag = "6")]
    pub removed: bool,
}
