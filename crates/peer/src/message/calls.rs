//! Messages for calls to the key-value service that one daemon makes for another.

use bytes::Bytes;

/// The HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum StoreMethod {
    /// Reads.
    Get = 0,
    /// Writes, and grants or renews a lease.
    Post = 1,
    /// Ends a lease.
    Delete = 2,
}

/// Asks a daemon to make a call that the sender cannot make itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreCall {
    /// Chosen by the requester and repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The HTTP method.
    #[prost(enumeration = "StoreMethod", tag = "2")]
    pub method: i32,
    /// The path with its query; empty to ask only whether the receiver reaches the service.
    #[prost(string, tag = "3")]
    pub path: String,
    /// The body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// How a call ended that a daemon made for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum StoreCallOutcome {
    /// The call may have taken effect.
    Unknown = 0,
    /// The service answered.
    Answered = 1,
    /// The call was not sent.
    NotSent = 2,
}

/// Answers a [`StoreCall`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreCallAnswer {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// How the call ended.
    #[prost(enumeration = "StoreCallOutcome", tag = "2")]
    pub outcome: i32,
    /// The HTTP status of the service's answer.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// The body of the service's answer.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}
