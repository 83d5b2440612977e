//! The messages and their encoding. Field numbers are never reused, so that versions can be mixed during an upgrade.

use bytes::Bytes;
use prost::Message as _;
use thiserror::Error;

/// The largest frame, in bytes; a configuration chunk takes at most half of it.
pub const MAX_FRAME: usize = 512 << 10;

/// Bytes in front of each frame, which hold its length.
pub const LENGTH_BYTES: usize = 4;

/// The version of the protocol; links between different versions are refused.
pub const PROTOCOL: u32 = 1;

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

/// The state that a daemon repeats to its peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Rises with each change of the contents; set by the hub.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The configuration revision in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The short identities of the targets with requests in flight; daemons may know different lists of targets, so
    /// positions in a list would not do. With parallel lists a target takes 6 bytes, which keeps the heartbeats of a large
    /// domain affordable.
    #[prost(fixed32, repeated, tag = "11")]
    pub targets: Vec<u32>,
    /// The online requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "12")]
    pub online: Vec<u32>,
    /// The batch requests in flight on each of `targets`.
    #[prost(uint32, repeated, tag = "13")]
    pub batch: Vec<u32>,
    /// The positions in `targets` of those that run a suspect, once for each.
    #[prost(uint32, repeated, tag = "14")]
    pub suspects: Vec<u32>,
    /// The short identities of the services for which online requests wait.
    #[prost(fixed64, repeated, tag = "9")]
    pub waiting: Vec<u64>,
    /// The short identities of the services for which batch requests wait.
    #[prost(fixed64, repeated, tag = "10")]
    pub batch_waiting: Vec<u64>,
}

/// Asks a peer for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// The short identity of the account.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Chosen by the borrower and repeated in the grant.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The billionths of a token asked for.
    #[prost(uint64, tag = "3")]
    pub want: u64,
    /// Earlier loans from the same donor that are spent no more.
    #[prost(message, repeated, tag = "4")]
    pub closed: Vec<ClosedLoan>,
}

/// A loan that the borrower spends no more.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClosedLoan {
    /// The request that the loan answered.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The billionths of a token that were not spent.
    #[prost(uint64, tag = "2")]
    pub unspent: u64,
}

/// Answers a loan request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanGrant {
    /// The account of the request.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The billionths of a token given, possibly fewer than asked for, or none.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// The billionths of a token that the donor could still lend.
    #[prost(uint64, tag = "4")]
    pub level: u64,
    /// Whether the donor's own callers use up its share.
    #[prost(bool, tag = "5")]
    pub is_busy: bool,
}

/// Gives up loans.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanReturn {
    /// The account of the loans.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The loans.
    #[prost(message, repeated, tag = "2")]
    pub closed: Vec<ClosedLoan>,
}

/// Asks for parts of a configuration revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigFetch {
    /// The revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The SHA-256 digests of the wanted chunks; none asks for the head.
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

/// Tells that a request ended two targets and must not run again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonVerdict {
    /// The SHA-256 digest of account and body.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
}

/// Tells that a target died while it ran a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoisonSuspicion {
    /// The SHA-256 digest of account and body.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// The fleet of origin of the target's service.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// The name of the target's service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The name of the target.
    #[prost(string, tag = "4")]
    pub target: String,
}

/// Tells where a suspect is to run, runs or no longer runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectClaim {
    /// The SHA-256 digest of account and body.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// The fleet of origin of the target's service.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// The name of the target's service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The name of the target.
    #[prost(string, tag = "4")]
    pub target: String,
    /// How far the run has come.
    #[prost(enumeration = "SuspectState", tag = "5")]
    pub state: i32,
}

/// How far the run of a suspect has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SuspectState {
    /// The run starts unless a peer objects.
    Announced = 0,
    /// The suspect is in flight.
    Running = 1,
    /// The run ended, or the claim is withdrawn.
    Ended = 2,
}

/// Tells that a batch job was cancelled.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobCancelled {
    /// The qualified name of the account, as `origin/name`.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The id of the job.
    #[prost(string, tag = "2")]
    pub job: String,
}

/// Tells how many results of a batch job are stored.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobProgress {
    /// The id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// The number of results.
    #[prost(uint32, tag = "2")]
    pub listed: u32,
}

/// Tells that the sender shuts down and takes no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leaving {}

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
    /// Tells of new results.
    #[prost(message, tag = "13")]
    JobProgress(JobProgress),
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
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
