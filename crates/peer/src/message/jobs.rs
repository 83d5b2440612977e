//! Messages about batch jobs.

use bytes::Bytes;

/// Reports that a batch job was cancelled.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobCancelled {
    /// The qualified name of the account, as `origin/name`.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The id of the job.
    #[prost(string, tag = "2")]
    pub job: String,
}

/// Reports to the daemon that is to claim a batch job that the job was accepted, with everything stored for it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobAccepted {
    /// The id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// The revision of its record.
    #[prost(int64, tag = "2")]
    pub revision: i64,
    /// Its record, in its stored form.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
    /// Its entry in the index of unfinished jobs, in its stored form.
    #[prost(bytes = "bytes", tag = "4")]
    pub open: Bytes,
    /// The parts that hold its items, in their stored form.
    #[prost(bytes = "bytes", repeated, tag = "5")]
    pub parts: Vec<Bytes>,
}

/// Asks the owner of a batch job about it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRequest {
    /// Chosen by the requester and repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The id of the job.
    #[prost(string, tag = "2")]
    pub job: String,
    /// The position from which results are requested.
    #[prost(uint32, tag = "3")]
    pub after: u32,
    /// How long the answer may wait for a result, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// The item whose body is requested instead of results; empty to request results.
    #[prost(string, tag = "5")]
    pub item: String,
}

/// Whether a daemon can answer a question about a batch job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum JobStatus {
    /// It doesn't run the job, or can't be sure that no other daemon does.
    Unsure = 0,
    /// The answer contains what was requested.
    Known = 1,
}

/// Answers a question about a batch job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobAnswer {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether the fields `account`, `total` and `content` are valid.
    #[prost(enumeration = "JobStatus", tag = "2")]
    pub status: i32,
    /// The instance that runs the job, as far as the answering one knows; empty if unknown.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The qualified name of the account, as `origin/name`.
    #[prost(string, tag = "4")]
    pub account: String,
    /// The number of items.
    #[prost(uint32, tag = "5")]
    pub total: u32,
    /// The stored results from the requested position on, or the body of the requested item.
    #[prost(bytes = "bytes", repeated, tag = "6")]
    pub content: Vec<Bytes>,
}
