//! Parts of the configuration.

use bytes::Bytes;

/// Asks for parts of a configuration revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigFetch {
    /// The revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The SHA-256 digests of the requested chunks; an empty list asks for the head.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub digests: Vec<Bytes>,
}

/// One part of a configuration revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigChunk {
    /// The revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The SHA-256 digest of the chunk; empty for the head.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// The bytes of the chunk or of the head.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
}
