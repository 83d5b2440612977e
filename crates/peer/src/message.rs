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

/// What the sender of a link's frames says about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkRole {
    /// Whether it passes messages on.
    #[prost(bool, tag = "1")]
    pub relays: bool,
    /// Whether the receiver is to pass messages on to it.
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

/// A message to one instance that takes more than one link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// The id of the addressee.
    #[prost(string, tag = "1")]
    pub to: String,
    /// The id of the sender.
    #[prost(string, tag = "2")]
    pub origin: String,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
    /// The links that it has passed.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// Requests in flight of parts of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// The parts.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<LoadPart>,
    /// Whether a relay is to tell runners of batch items at once.
    #[prost(bool, tag = "2")]
    pub urgent: bool,
    /// The configuration revision that the sender has in force.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Requests in flight of one instance, or the sum over several. The lists that go with `targets` may be shorter, which stands
/// for zeros.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadPart {
    /// The instance, or the name of the part.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The failure domain of the instances; empty for several.
    #[prost(string, tag = "2")]
    pub failure_domain: String,
    /// The short identities of the targets with requests in flight.
    #[prost(fixed32, repeated, tag = "3")]
    pub targets: Vec<u32>,
    /// The online requests on each of `targets`.
    #[prost(uint32, repeated, tag = "4")]
    pub online: Vec<u32>,
    /// The batch requests.
    #[prost(uint32, repeated, tag = "5")]
    pub batch: Vec<u32>,
    /// The suspects.
    #[prost(uint32, repeated, tag = "6")]
    pub suspects: Vec<u32>,
    /// The online requests of instances at which others for the same service wait.
    #[prost(uint32, repeated, tag = "7")]
    pub contending: Vec<u32>,
    /// The batch requests of instances at which others for the same service wait.
    #[prost(uint32, repeated, tag = "8")]
    pub batch_contending: Vec<u32>,
    /// The short identities of the services for which online requests wait.
    #[prost(fixed64, repeated, tag = "9")]
    pub waiting: Vec<u64>,
    /// The number of instances at which they do, for each of `waiting`.
    #[prost(uint32, repeated, tag = "10")]
    pub waiting_instances: Vec<u32>,
    /// The short identities of the services for which batch requests wait.
    #[prost(fixed64, repeated, tag = "11")]
    pub batch_waiting: Vec<u64>,
    /// The number of instances at which they do, for each of `batch_waiting`.
    #[prost(uint32, repeated, tag = "12")]
    pub batch_waiting_instances: Vec<u32>,
}

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

/// Tells the daemon that is to claim a batch job that the job was accepted, with all that is stored of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobAccepted {
    /// The id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// The revision of its record.
    #[prost(int64, tag = "2")]
    pub revision: i64,
    /// Its record, as it is stored.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
    /// Its entry in the index of unfinished jobs, likewise.
    #[prost(bytes = "bytes", tag = "4")]
    pub open: Bytes,
    /// The parts of its items, likewise.
    #[prost(bytes = "bytes", repeated, tag = "5")]
    pub parts: Vec<Bytes>,
}

/// Asks the owner of a batch job about it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRequest {
    /// Chosen by the asker and repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The id of the job.
    #[prost(string, tag = "2")]
    pub job: String,
    /// The position from which results are wanted.
    #[prost(uint32, tag = "3")]
    pub after: u32,
    /// How long the answer may wait for a result, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// The item whose body is wanted instead of results; empty for results.
    #[prost(string, tag = "5")]
    pub item: String,
}

/// How the owner of a batch job answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum JobStatus {
    /// It does not run the job, or cannot be sure that nobody else does.
    Unsure = 0,
    /// What is asked for follows.
    Known = 1,
}

/// Answers a question about a batch job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobAnswer {
    /// The id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether the rest counts.
    #[prost(enumeration = "JobStatus", tag = "2")]
    pub status: i32,
    /// The instance that runs the job, as far as the answering one knows; empty if it does not.
    #[prost(string, tag = "3")]
    pub owner: String,
    /// The qualified name of the account, as `origin/name`.
    #[prost(string, tag = "4")]
    pub account: String,
    /// The number of items.
    #[prost(uint32, tag = "5")]
    pub total: u32,
    /// The stored results from the wanted position on, or the body.
    #[prost(bytes = "bytes", repeated, tag = "6")]
    pub content: Vec<Bytes>,
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
