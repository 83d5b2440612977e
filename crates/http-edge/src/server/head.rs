//! Request heads: parsing, validation and conversion.

use std::str::FromStr;

use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Method, Request, Url, Version};
use thiserror::Error;

use crate::framing::{Framing, FramingError, parse_framing};
use crate::problem::{Execution, Problem, ProblemKind};
use crate::raw_target::RawTarget;

/// Maximum number of header fields in a request.
const MAX_HEADERS: usize = 128;

/// Why the server rejects a request head without calling the handler.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum HeadError {
    #[error("the request head is not valid: {0}")]
    Syntax(httparse::Error),
    #[error("a header value is not ASCII text")]
    HeaderValue,
    #[error("{0}")]
    Framing(#[from] FramingError),
    #[error("the Host header is missing")]
    MissingHost,
    #[error("there are several Host headers")]
    DuplicateHost,
    #[error("the Host header is not valid")]
    InvalidHost,
    #[error("the request target is not valid")]
    InvalidTarget,
    #[error("the request target names another host than the Host header")]
    HostMismatch,
    #[error("the expectation is not supported")]
    UnsupportedExpectation,
    #[error("the request head is longer than {0} bytes")]
    TooLarge(usize),
    #[error("the request head has more than {MAX_HEADERS} header fields")]
    TooManyHeaders,
    #[error("the request head did not arrive in time")]
    TimedOut,
    #[error("only HTTP/1.1 is supported")]
    UnsupportedVersion,
    #[error("the method is not known")]
    UnsupportedMethod,
    #[error("the request body is longer than {0} bytes")]
    BodyTooLarge(u64),
}

impl HeadError {
    pub(crate) fn into_problem(self) -> Problem {
        let kind = match self {
            Self::TooLarge(_) | Self::TooManyHeaders => ProblemKind::HeadTooLarge,
            Self::BodyTooLarge(_) => ProblemKind::BodyTooLarge,
            Self::TimedOut => ProblemKind::RequestTimeout,
            Self::UnsupportedVersion => ProblemKind::UnsupportedVersion,
            Self::UnsupportedMethod => ProblemKind::UnsupportedMethod,
            _ => ProblemKind::MalformedRequest,
        };
        Problem::new(kind, Execution::NotRun, self.to_string())
    }
}

/// A valid request head.
#[derive(Debug)]
pub(crate) struct Head {
    /// The request without its body.
    pub(crate) req: Request,
    /// Length of the head in bytes.
    pub(crate) len: usize,
    /// Number of header fields.
    pub(crate) fields: usize,
    pub(crate) framing: Framing,
    pub(crate) expects_continue: bool,
    pub(crate) wants_close: bool,
}

/// Parses a head at the start of `buf`; `None` if it is not complete.
pub(crate) fn parse(buf: &[u8]) -> Result<Option<Head>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let len = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooManyHeaders),
        Err(httparse::Error::Version) => return Err(HeadError::UnsupportedVersion),
        Err(e) => return Err(HeadError::Syntax(e)),
    };
    let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
        return Ok(None);
    };
    if version != 1 {
        return Err(HeadError::UnsupportedVersion);
    }
    let framing = parse_framing(head.headers)?.unwrap_or(Framing::Length(0));
    let host = parse_host(head.headers)?;
    let url = request_url(host, target)?;
    let method = Method::from_str(method).map_err(|_| HeadError::UnsupportedMethod)?;
    if method == Method::Connect {
        return Err(HeadError::UnsupportedMethod);
    }
    let mut req = Request::new(method, url);
    req.set_version(Some(Version::Http1_1));
    // Parsing normalises the URL, so the request target is also stored as the caller sent it.
    req.ext_mut().insert(RawTarget::parse(target).map_err(|_| HeadError::InvalidTarget)?);
    let mut expects_continue = false;
    let mut wants_close = false;
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("expect") {
            if !header.value.eq_ignore_ascii_case(b"100-continue") {
                return Err(HeadError::UnsupportedExpectation);
            }
            expects_continue = true;
        }
        if header.name.eq_ignore_ascii_case("connection") {
            wants_close |= contains_token(header.value, b"close");
        }
        let name = HeaderName::from_bytes(header.name.as_bytes().to_vec())
            .map_err(|_| HeadError::HeaderValue)?;
        let value =
            HeaderValue::from_bytes(header.value.to_vec()).map_err(|_| HeadError::HeaderValue)?;
        req.append_header(name, value);
    }
    Ok(Some(Head { req, len, fields: head.headers.len(), framing, expects_continue, wants_close }))
}

pub(crate) fn contains_token(value: &[u8], token: &[u8]) -> bool {
    value.split(|&byte| byte == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}

fn parse_host<'a>(headers: &[httparse::Header<'a>]) -> Result<&'a str, HeadError> {
    let mut hosts = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("host"));
    let host = hosts.next().ok_or(HeadError::MissingHost)?;
    if hosts.next().is_some() {
        return Err(HeadError::DuplicateHost);
    }
    let host = std::str::from_utf8(host.value).map_err(|_| HeadError::InvalidHost)?;
    // Other characters, such as `@` and `/`, would change how the URL is split.
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b".-_:[]".contains(&byte);
    if host.is_empty() || !host.bytes().all(valid) {
        return Err(HeadError::InvalidHost);
    }
    Ok(host)
}

fn request_url(host: &str, target: &str) -> Result<Url, HeadError> {
    if target.contains('#') {
        return Err(HeadError::InvalidTarget);
    }
    if target.starts_with('/') {
        // A target that starts with two slashes is still parsed as a path because the authority precedes it.
        return Url::parse(&format!("http://{host}{target}")).map_err(|_| HeadError::InvalidTarget);
    }
    let url = Url::parse(target).map_err(|_| HeadError::InvalidTarget)?;
    let host_url = Url::parse(&format!("http://{host}/")).map_err(|_| HeadError::InvalidHost)?;
    if url.scheme() != "http" || !url.username().is_empty() || url.password().is_some() {
        return Err(HeadError::InvalidTarget);
    }
    // If the two hosts could differ, a caller could pass a check on one of them and be routed by the other.
    match url.host() == host_url.host() && url.port() == host_url.port() {
        true => Ok(url),
        false => Err(HeadError::HostMismatch),
    }
}
