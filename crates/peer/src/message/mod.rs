//! The messages and their encoding. Field numbers are never reused, so that versions can be mixed during an upgrade.
//!
//! - [`config`]: parts of the configuration.
//! - [`jobs`]: batch jobs.
//! - [`links`]: links, and messages that take more than one of them.
//! - [`loads`]: requests in flight.
//! - [`loans`]: loans of tokens.
//! - [`poison`]: requests that kill targets.
//! - [`reads`]: reads of the key-value service through relays.

pub mod config;
pub mod jobs;
pub mod links;
pub mod loads;
pub mod loans;
pub mod poison;
pub mod reads;

use bytes::Bytes;
use prost::Message as _;
use thiserror::Error;

pub use config::{ConfigChunk, ConfigFetch};
pub use jobs::{JobAccepted, JobAnswer, JobCancelled, JobRequest, JobStatus};
pub use links::{Flood, Forward, Hello, Leaving, LinkRole};
pub use loads::{Heartbeat, LoadPart, Loads};
pub use loans::{ClosedLoan, LoanGrant, LoanRequest, LoanReturn};
pub use poison::{PoisonSuspicion, PoisonVerdict, SuspectClaim, SuspectState};
pub use reads::{ReadAnswer, ReadRequest, ReadStatus, StoredItem};

/// The largest frame, in bytes; a configuration chunk takes at most half of it.
pub const MAX_FRAME: usize = 512 << 10;

/// Bytes in front of each frame, which hold its length.
pub const LENGTH_BYTES: usize = 4;

/// The version of the protocol; links between different versions are refused.
pub const PROTOCOL: u32 = 1;

/// A message between daemons.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Message {
    /// The first message of either side.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The state of the sender.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Asks for tokens.
    #[prost(message, tag = "3")]
    LoanRequest(LoanRequest),
    /// Gives tokens.
    #[prost(message, tag = "4")]
    LoanGrant(LoanGrant),
    /// Asks for configuration.
    #[prost(message, tag = "5")]
    ConfigFetch(ConfigFetch),
    /// Gives configuration.
    #[prost(message, tag = "6")]
    ConfigChunk(ConfigChunk),
    /// Bans a request.
    #[prost(message, tag = "7")]
    PoisonVerdict(PoisonVerdict),
    /// Stops a job.
    #[prost(message, tag = "8")]
    JobCancelled(JobCancelled),
    /// Announces a shutdown.
    #[prost(message, tag = "9")]
    Leaving(Leaving),
    /// Gives up tokens.
    #[prost(message, tag = "10")]
    LoanReturn(LoanReturn),
    /// Casts suspicion on a request.
    #[prost(message, tag = "11")]
    PoisonSuspicion(PoisonSuspicion),
    /// Keeps other suspects away.
    #[prost(message, tag = "12")]
    SuspectClaim(SuspectClaim),
    /// Tells what the sender is on the link.
    #[prost(message, tag = "14")]
    LinkRole(LinkRole),
    /// Carries a message to all instances.
    #[prost(message, tag = "15")]
    Flood(Flood),
    /// Carries a message to one instance.
    #[prost(message, tag = "16")]
    Forward(Forward),
    /// Tells of requests in flight.
    #[prost(message, tag = "17")]
    Loads(Loads),
    /// Asks a relay for keys.
    #[prost(message, tag = "18")]
    ReadRequest(ReadRequest),
    /// Gives keys.
    #[prost(message, tag = "19")]
    ReadAnswer(ReadAnswer),
    /// Hands a job over to be run.
    #[prost(message, tag = "22")]
    JobAccepted(JobAccepted),
    /// Asks about a job.
    #[prost(message, tag = "20")]
    JobRequest(JobRequest),
    /// Tells of a job.
    #[prost(message, tag = "21")]
    JobAnswer(JobAnswer),
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(
        oneof = "Message",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    message: Option<Message>,
}

/// Why a message can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The message exceeds [`MAX_FRAME`].
    #[error("a message of {0} bytes exceeds the frame limit of {MAX_FRAME} bytes")]
    TooLarge(usize),
    /// The bytes are no message.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// A result of this module.
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
/// Fails if the bytes are no message.
pub fn decode(frame: Bytes) -> Result<Option<Message>> {
    let envelope = Envelope::decode(frame);
    envelope.map(|envelope| envelope.message).map_err(|error| Error::Malformed(error.to_string()))
}
