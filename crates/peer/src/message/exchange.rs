//! Exchanges with targets that one daemon carries out for another, each on a connection of its own.

use bytes::Bytes;
use prost::Message as _;

use super::{Error, Result};

/// The most bytes of a body in one message.
pub const MAX_PIECE_BYTES: usize = 16 << 10;

/// The largest message of an exchange, in bytes: a head with its names, or a piece of a body.
pub const MAX_EXCHANGE_FRAME: usize = 64 << 10;

/// Opens an exchange; the first message on a connection that is not a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExchangeOpen {
    /// The version of the protocol, see [`super::PROTOCOL`].
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The id of the sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The token of the receiver, as its registration says.
    #[prost(string, tag = "3")]
    pub token: String,
    /// The short id of the service.
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// The name of the target.
    #[prost(string, tag = "5")]
    pub target: String,
    /// The id of the request; empty if only the path to the target is of interest.
    #[prost(string, tag = "6")]
    pub request_id: String,
    /// Whether the sender needs to know that the target is reached just now, because it has not yet found its own link lost.
    #[prost(bool, tag = "7")]
    pub needs_proof: bool,
}

/// The receiver has an open connection to the target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExchangeReady {
    /// The exchanges that the receiver carries out for others.
    #[prost(uint32, tag = "1")]
    pub load: u32,
    /// The time since the target was last heard of, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub contact_age_ms: u32,
}

/// The receiver does not carry out the exchange; nothing has been sent to the target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExchangeDeclined {
    /// Why.
    #[prost(enumeration = "DeclineReason", tag = "1")]
    pub reason: i32,
    /// Whether the receiver has lost links to targets itself.
    #[prost(bool, tag = "2")]
    pub has_lost_links: bool,
    /// Whether the receiver has heard from any target just before.
    #[prost(bool, tag = "3")]
    pub hears_targets: bool,
}

/// Why a daemon does not carry out an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum DeclineReason {
    /// A reason that this version does not know.
    Unspecified = 0,
    /// It cannot open a connection to the target.
    Unreachable = 1,
    /// It does not know the target, or sends it nothing now.
    UnknownTarget = 2,
    /// It is shutting down.
    Draining = 3,
    /// It carries out as many exchanges as it may.
    Busy = 4,
    /// The token is not its own, or exchanges are not enabled.
    NotAllowed = 5,
}

/// A header of a request or an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Header {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// The head of the request; its body follows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestHead {
    /// The method.
    #[prost(string, tag = "1")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The headers, without those of the framing.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// The length of the body in bytes, if it is known.
    #[prost(uint64, optional, tag = "4")]
    pub body_bytes: Option<u64>,
}

/// The head of the answer; its body follows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerHead {
    /// The status as the target sent it.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The length of the body in bytes, if it is known.
    #[prost(uint64, optional, tag = "3")]
    pub body_bytes: Option<u64>,
    /// The age of the connection to the target, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub connection_age_ms: u64,
}

/// A piece of the body of the request or the answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BodyPiece {
    /// The bytes, at most [`MAX_PIECE_BYTES`].
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
}

/// The body is complete.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BodyEnd {}

/// The exchange with the target failed, before its answer or within it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExchangeFailed {
    /// Whether a byte of the request may have been sent to the target.
    #[prost(bool, tag = "1")]
    pub sent: bool,
    /// What a look at the target shows.
    #[prost(enumeration = "FailureDiagnosis", tag = "2")]
    pub diagnosis: i32,
    /// The failure in words.
    #[prost(string, tag = "3")]
    pub detail: String,
    /// Whether an answer without a length ended before its first byte.
    #[prost(bool, tag = "4")]
    pub empty_body: bool,
}

/// What the daemon that talks to the target knows of it after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FailureDiagnosis {
    /// Nothing, for example because its own link to the target is lost.
    Unspecified = 0,
    /// The connection broke, and the target may have ended.
    ConnectionLost = 1,
    /// The connection broke, and nothing listens at the address any more.
    Crashed = 2,
    /// The connection broke, and the target accepts new ones.
    AnswerLost = 3,
    /// The answer came too late or was not valid.
    BadAnswer = 4,
}

/// A message of an exchange after [`ExchangeOpen`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ExchangeMessage {
    /// From the receiver of [`ExchangeOpen`]: the request may be sent.
    #[prost(message, tag = "1")]
    Ready(ExchangeReady),
    /// From the receiver of [`ExchangeOpen`]; the exchange is over.
    #[prost(message, tag = "2")]
    Declined(ExchangeDeclined),
    /// The head of the request.
    #[prost(message, tag = "3")]
    Request(RequestHead),
    /// The head of the answer.
    #[prost(message, tag = "4")]
    Answer(AnswerHead),
    /// A piece of the body that the sender sends.
    #[prost(message, tag = "5")]
    Piece(BodyPiece),
    /// The end of that body.
    #[prost(message, tag = "6")]
    End(BodyEnd),
    /// From the receiver of [`ExchangeOpen`]; the exchange is over.
    #[prost(message, tag = "7")]
    Failed(ExchangeFailed),
}

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(oneof = "ExchangeMessage", tags = "1, 2, 3, 4, 5, 6, 7")]
    message: Option<ExchangeMessage>,
}

impl ExchangeMessage {
    /// Encodes the message as the contents of a frame.
    ///
    /// # Errors
    ///
    /// Fails if the message exceeds [`MAX_EXCHANGE_FRAME`].
    pub fn into_frame(self) -> Result<Bytes> {
        let envelope = Envelope { message: Some(self) };
        match envelope.encoded_len() {
            0..=MAX_EXCHANGE_FRAME => Ok(envelope.encode_to_vec().into()),
            len => Err(Error::TooLarge(len)),
        }
    }

    /// Decodes the contents of a frame.
    ///
    /// # Errors
    ///
    /// Fails if the bytes don't encode a message that this version knows. What is not understood in an exchange may be a part of a body, so it
    /// can't be passed over.
    pub fn from_frame(frame: Bytes) -> Result<Self> {
        let envelope = Envelope::decode(frame).map_err(|e| Error::Malformed(e.to_string()))?;
        envelope.message.ok_or_else(|| Error::Malformed("unknown message".to_owned()))
    }
}
