//! The messages and their encoding. Field numbers are never reused, so that versions can be mixed during an upgrade.
//!
//! - [`calls`]: calls to the key-value service that one daemon makes for another.
//! - [`config`]: parts of the configuration.
//! - [`exchange`]: exchanges with targets that one daemon carries out for another.
//! - [`jobs`]: batch jobs.
//! - [`limits`]: targets that limit the requests of all instances together.
//! - [`links`]: links, and messages that are relayed over several links.
//! - [`loads`]: requests in flight.
//! - [`loans`]: loans of rate-limit tokens.
//! - [`poison`]: requests that crash targets.
//! - [`reads`]: reads of the key-value service through relays.
//! - [`streams`]: the software versions that began callers' streams.

pub mod calls;
pub mod config;
pub mod exchange;
pub mod jobs;
pub mod limits;
pub mod links;
pub mod loads;
pub mod loans;
pub mod poison;
pub mod reads;
pub mod streams;

use bytes::Bytes;
use prost::Message as _;
use thiserror::Error;

pub use calls::{StoreCall, StoreCallAnswer, StoreCallOutcome, StoreMethod};
pub use config::{ConfigChunk, ConfigFetch};
pub use exchange::ExchangeOpen;
pub use jobs::{JobAccepted, JobAnswer, JobCancelled, JobRequest, JobStatus};
pub use limits::TargetLimit;
pub use links::{Flood, Forward, Hello, Leaving, LinkRole};
pub use loads::{Heartbeat, LoadPart, Loads};
pub use loans::{ClosedLoan, LoanGrant, LoanRequest, LoanReturn};
pub use poison::{
    ClearedParts, PartCrash, PartVerdict, PoisonSuspicion, PoisonVerdict, SuspectClaim,
    SuspectState,
};
pub use reads::{ReadAnswer, ReadRequest, ReadStatus, StoredItem};
pub use streams::{OriginAnswer, OriginRequest, StreamOrigin};

/// The largest frame, in bytes; a configuration chunk takes at most half of it.
pub const MAX_FRAME: usize = 512 << 10;

/// The size of the length prefix of each frame, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The version of the protocol; links between different versions are refused.
pub const PROTOCOL: u32 = 1;

/// A message between daemons.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Message {
    /// The first message that each side of a link sends.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Reports the state of the sender.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Asks for a loan of tokens.
    #[prost(message, tag = "3")]
    LoanRequest(LoanRequest),
    /// Answers a loan request.
    #[prost(message, tag = "4")]
    LoanGrant(LoanGrant),
    /// Asks for parts of a configuration revision.
    #[prost(message, tag = "5")]
    ConfigFetch(ConfigFetch),
    /// Carries one part of a configuration revision.
    #[prost(message, tag = "6")]
    ConfigChunk(ConfigChunk),
    /// Reports that a request must not run again.
    #[prost(message, tag = "7")]
    PoisonVerdict(PoisonVerdict),
    /// Reports that a job was cancelled.
    #[prost(message, tag = "8")]
    JobCancelled(JobCancelled),
    /// Reports that the sender is shutting down.
    #[prost(message, tag = "9")]
    Leaving(Leaving),
    /// Returns loans of tokens.
    #[prost(message, tag = "10")]
    LoanReturn(LoanReturn),
    /// Reports that a target crashed while it ran a request.
    #[prost(message, tag = "11")]
    PoisonSuspicion(PoisonSuspicion),
    /// Claims a target for a suspect, so that no other suspect runs there.
    #[prost(message, tag = "12")]
    SuspectClaim(SuspectClaim),
    /// Reports the role of the sender on the link.
    #[prost(message, tag = "14")]
    LinkRole(LinkRole),
    /// Carries a message to all instances.
    #[prost(message, tag = "15")]
    Flood(Flood),
    /// Carries a message to one instance.
    #[prost(message, tag = "16")]
    Forward(Forward),
    /// Reports requests in flight.
    #[prost(message, tag = "17")]
    Loads(Loads),
    /// Asks a relay for keys of the key-value service.
    #[prost(message, tag = "18")]
    ReadRequest(ReadRequest),
    /// Answers a read.
    #[prost(message, tag = "19")]
    ReadAnswer(ReadAnswer),
    /// Hands an accepted job over to the daemon that is to run it.
    #[prost(message, tag = "22")]
    JobAccepted(JobAccepted),
    /// Asks about a job.
    #[prost(message, tag = "20")]
    JobRequest(JobRequest),
    /// Answers a question about a job.
    #[prost(message, tag = "21")]
    JobAnswer(JobAnswer),
    /// Asks for a call to the key-value service.
    #[prost(message, tag = "23")]
    StoreCall(StoreCall),
    /// Answers a call to the key-value service.
    #[prost(message, tag = "24")]
    StoreCallAnswer(StoreCallAnswer),
    /// Reports the crash of a target under requests with these prompt parts.
    #[prost(message, tag = "25")]
    PartCrash(PartCrash),
    /// Reports that requests with a prompt part must not run.
    #[prost(message, tag = "26")]
    PartVerdict(PartVerdict),
    /// Reports that targets answer on prompt parts.
    #[prost(message, tag = "27")]
    ClearedParts(ClearedParts),
    /// Reports the limit of a target.
    #[prost(message, tag = "28")]
    TargetLimit(TargetLimit),
    /// Reports the version that began a stream.
    #[prost(message, tag = "29")]
    StreamOrigin(StreamOrigin),
    /// Asks for the version that began a stream.
    #[prost(message, tag = "30")]
    OriginRequest(OriginRequest),
    /// Answers with the version that began a stream.
    #[prost(message, tag = "31")]
    OriginAnswer(OriginAnswer),
    /// Opens an exchange with a target; the first message on a connection that is no link.
    #[prost(message, tag = "32")]
    ExchangeOpen(ExchangeOpen),
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(
        oneof = "Message",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32"
    )]
    message: Option<Message>,
}

/// Why a message can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The message exceeds [`MAX_FRAME`].
    #[error("a message of {0} bytes exceeds the frame limit of {MAX_FRAME} bytes")]
    TooLarge(usize),
    /// The bytes don't encode a message.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// The result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a message as the contents of a frame.
///
/// # Errors
///
/// Fails if the message exceeds [`MAX_FRAME`].
pub fn encode(message: &Message) -> Result<Bytes> {
    let envelope = Envelope { message: Some(message.clone()) };
    match envelope.encoded_len() {
        len @ 0..=MAX_FRAME => {
            let mut buf = Vec::with_capacity(len);
            envelope.encode_raw(&mut buf);
            Ok(buf.into())
        }
        len => Err(Error::TooLarge(len)),
    }
}

/// Decodes the contents of a frame; `None` stands for a kind of message that only a newer version knows.
///
/// # Errors
///
/// Fails if the bytes don't encode a message.
pub fn decode(frame: Bytes) -> Result<Option<Message>> {
    let envelope = Envelope::decode(frame);
    envelope.map(|envelope| envelope.message).map_err(|error| Error::Malformed(error.to_string()))
}
