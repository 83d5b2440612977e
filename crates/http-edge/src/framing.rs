//! Message body framing of HTTP/1.1 (RFC 9112, section 6). Does no I/O.

use std::io;

use thiserror::Error;

/// Maximum length of a chunk-size line and of the trailer section, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the connection closes (answers only).
    UntilClose,
}

/// A body that can't be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The connection closed before the end of the body.
    #[error("the body ended before its announced end")]
    Truncated,
    /// The chunk framing is invalid.
    #[error("the chunk framing is invalid")]
    Malformed,
    /// The body is longer than the limit.
    #[error("the body is longer than the limit")]
    TooLarge,
    /// No byte arrived in time.
    #[error("no byte of the body arrived in time")]
    TimedOut,
    /// The body did not arrive at the minimum rate.
    #[error("the body arrived too slowly")]
    TooSlow,
    /// The process has no memory for the body.
    #[error("the instance has no memory for the request now")]
    NoMemory,
    /// The exchange that the body belongs to is over.
    #[error("the exchange that the body belongs to is over")]
    Closed,
}

impl BodyError {
    /// Finds the typed error in an I/O error from a body reader.
    pub fn from_io(error: &io::Error) -> Option<Self> {
        error.get_ref().and_then(|inner| inner.downcast_ref::<Self>()).copied()
    }
}

impl From<BodyError> for io::Error {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::Truncated => io::ErrorKind::UnexpectedEof,
            BodyError::Malformed | BodyError::TooLarge => io::ErrorKind::InvalidData,
            BodyError::TimedOut | BodyError::TooSlow => io::ErrorKind::TimedOut,
            BodyError::NoMemory => io::ErrorKind::OutOfMemory,
            BodyError::Closed => io::ErrorKind::ConnectionAborted,
        };
        Self::new(kind, error)
    }
}

/// Number of bytes that one decoding step consumed and produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decoded {
    /// Bytes of input that were consumed.
    pub consumed: usize,
    /// Bytes of body written to the output.
    pub produced: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer { seen: usize },
    UntilClose,
    Done,
}

/// Decodes one body and consumes no byte after its end.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    remaining_limit: u64,
}

impl BodyDecoder {
    /// Creates a decoder for a body of at most `limit` bytes.
    pub fn new(framing: Framing, limit: u64) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(len) => State::Length(len),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, remaining_limit: limit }
    }

    /// Returns whether the whole body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes as much of `input` as fits into `out`.
    ///
    /// # Errors
    ///
    /// Fails if the chunk framing is invalid or the body is longer than the limit.
    pub fn decode(&mut self, input: &[u8], out: &mut [u8]) -> Result<Decoded, BodyError> {
        let mut done = Decoded { consumed: 0, produced: 0 };
        loop {
            let rest = &input[done.consumed..];
            match self.state {
                State::Done => return Ok(done),
                State::Length(len) | State::ChunkData(len) => {
                    let n = self.copy_body(rest, &mut out[done.produced..], len)?;
                    if n == 0 {
                        return Ok(done);
                    }
                    done.consumed += n;
                    done.produced += n;
                    let left = len - n as u64;
                    self.state = match (self.state, left) {
                        (State::Length(_), 0) => State::Done,
                        (State::Length(_), _) => State::Length(left),
                        (_, 0) => State::ChunkEnd,
                        _ => State::ChunkData(left),
                    };
                }
                State::UntilClose => {
                    let n = self.copy_body(rest, &mut out[done.produced..], u64::MAX)?;
                    done.consumed += n;
                    done.produced += n;
                    return Ok(done);
                }
                State::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Err(_) => return Err(BodyError::Malformed),
                    Ok(httparse::Status::Partial) if rest.len() > MAX_LINE_BYTES => {
                        return Err(BodyError::Malformed);
                    }
                    Ok(httparse::Status::Partial) => return Ok(done),
                    Ok(httparse::Status::Complete((n, size))) => {
                        done.consumed += n;
                        self.state = match size {
                            0 => State::Trailer { seen: 0 },
                            _ => State::ChunkData(size),
                        };
                    }
                },
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        done.consumed += 2;
                        self.state = State::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(done),
                    _ => return Err(BodyError::Malformed),
                },
                State::Trailer { seen } => {
                    let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
                        return match rest.len() + seen > MAX_LINE_BYTES {
                            true => Err(BodyError::Malformed),
                            false => Ok(done),
                        };
                    };
                    done.consumed += end + 2;
                    self.state = match end {
                        0 => State::Done,
                        _ if seen + end > MAX_LINE_BYTES => return Err(BodyError::Malformed),
                        _ => State::Trailer { seen: seen + end + 2 },
                    };
                }
            }
        }
    }

    /// Tells the decoder that the connection was closed.
    ///
    /// # Errors
    ///
    /// Fails if the body is not complete at this point.
    pub fn end_of_input(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }

    fn copy_body(&mut self, input: &[u8], out: &mut [u8], len: u64) -> Result<usize, BodyError> {
        let n = input.len().min(out.len()).min(usize::try_from(len).unwrap_or(usize::MAX));
        self.remaining_limit =
            self.remaining_limit.checked_sub(n as u64).ok_or(BodyError::TooLarge)?;
        out[..n].copy_from_slice(&input[..n]);
        Ok(n)
    }
}

/// An invalid combination of framing headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The length is not a decimal number.
    #[error("Content-Length is not a decimal number")]
    InvalidLength,
    /// Several lengths differ.
    #[error("several Content-Length values differ")]
    DifferentLengths,
    /// Length and transfer coding are both present.
    #[error("Content-Length and Transfer-Encoding are both present")]
    LengthAndCoding,
    /// The transfer coding is not `chunked` alone.
    #[error("the transfer coding is not supported")]
    UnsupportedCoding,
}

/// Parses the framing headers of a head; `None` if there are none.
///
/// # Errors
///
/// Fails on any combination that two parsers could interpret differently, because that permits request smuggling.
pub fn parse_framing(headers: &[httparse::Header<'_>]) -> Result<Option<Framing>, FramingError> {
    let mut length = None;
    let mut coding = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            for text in header.value.split(|&byte| byte == b',') {
                let value = parse_length(text.trim_ascii())?;
                if length.is_some_and(|known| known != value) {
                    return Err(FramingError::DifferentLengths);
                }
                length = Some(value);
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if coding.is_some() || !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(FramingError::UnsupportedCoding);
            }
            coding = Some(Framing::Chunked);
        }
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(FramingError::LengthAndCoding),
        (Some(len), None) => Ok(Some(Framing::Length(len))),
        (None, coding) => Ok(coding),
    }
}

fn parse_length(text: &[u8]) -> Result<u64, FramingError> {
    // `str::parse` alone would accept a leading plus sign.
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(FramingError::InvalidLength)
}

/// Returns whether a header must not be forwarded.
///
/// These are the headers that concern a single connection, and `authorization`, which carries the caller's key: targets
/// must not see it.
pub fn is_not_forwarded(name: &str) -> bool {
    const NAMES: [&str; 13] = [
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    NAMES.iter().any(|known| known.eq_ignore_ascii_case(name))
}
