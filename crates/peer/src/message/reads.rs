//! Reads of the key-value service through relays.

use bytes::Bytes;

/// Asks a relay for what it has read of the key-value service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReadRequest {
    /// Chosen by the asker and repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The prefix of the keys.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// The run of the relay's copy that was read before; 0 asks for all keys.
    #[prost(fixed64, tag = "3")]
    pub run: u64,
    /// The number of the copy's changes after which others are wanted.
    #[prost(uint64, tag = "4")]
    pub after: u64,
    /// How long the answer may wait for a change, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// Whether only what was read from the service itself will do.
    #[prost(bool, tag = "6")]
    pub at_first_hand: bool,
}

/// How a relay answers a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ReadStatus {
    /// It cannot answer: it is behind, or the answer exceeds a frame.
    Unusable = 0,
    /// All keys with the prefix follow.
    All = 1,
    /// The changes after the revision of the request follow.
    Changes = 2,
    /// It cannot reach the service itself.
    ServiceLost = 3,
}

/// Answers a read.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReadAnswer {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What follows.
    #[prost(enumeration = "ReadStatus", tag = "2")]
    pub status: i32,
    /// The revision of the service that the relay's copy is as new as.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// The run of the relay's copy.
    #[prost(fixed64, tag = "5")]
    pub run: u64,
    /// The number of its changes.
    #[prost(uint64, tag = "6")]
    pub changes: u64,
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
