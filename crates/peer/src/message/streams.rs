//! Messages about the software versions that began callers' streams.

/// Tells a daemon which version began a stream, so that it can answer questions of others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamOrigin {
    /// The short identity of the service.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// The identity of the stream.
    #[prost(fixed64, tag = "2")]
    pub stream: u64,
    /// The version.
    #[prost(string, tag = "3")]
    pub version: String,
    /// The target; missing if it is not known.
    #[prost(string, optional, tag = "4")]
    pub target: Option<String>,
}

/// Asks which version began a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginRequest {
    /// Identifies the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The identity of the stream.
    #[prost(fixed64, tag = "2")]
    pub stream: u64,
}

/// Answers the question which version began a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginAnswer {
    /// The id of the question.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The version; missing if it is not known.
    #[prost(string, optional, tag = "2")]
    pub version: Option<String>,
    /// The target that began the stream; missing if it is not known.
    #[prost(string, optional, tag = "3")]
    pub target: Option<String>,
}
