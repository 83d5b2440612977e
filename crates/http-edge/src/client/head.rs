//! Heads of requests to targets and of the answers to them.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Method, Request, Response};

use super::error::Failure;
use super::{REQUEST_ID, RequestIdCheck};
use crate::framing::{Framing, is_not_forwarded, parse_framing};
use crate::raw_target::RawTarget;
use crate::status::Status;

#[cfg(test)]
mod tests;

const MAX_HEADERS: usize = 128;

/// Formats the head of a request, with the framing headers for `framing`.
pub(crate) fn format(
    addr: SocketAddr,
    request_id: &str,
    req: &Request,
    framing: Option<Framing>,
) -> Result<Vec<u8>, Failure> {
    if request_id.is_empty() || !request_id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Failure::InvalidRequest("the request id is not visible ASCII"));
    }
    let mut head = String::with_capacity(256);
    head.push_str(req.method().as_ref());
    head.push(' ');
    push_target(&mut head, req);
    let host = req.header("host").map(|it| it.last().as_str().to_owned());
    let host = host.unwrap_or_else(|| addr.to_string());
    head.push_str(&format!(" HTTP/1.1\r\nhost: {host}\r\n{REQUEST_ID}: {request_id}\r\n"));
    let connection_options = connection_options(req);
    for (name, values) in req.iter() {
        let name = name.as_str();
        let dropped = is_not_forwarded(name)
            || name.eq_ignore_ascii_case("host")
            || name.eq_ignore_ascii_case(REQUEST_ID)
            || connection_options.iter().any(|known| known.eq_ignore_ascii_case(name));
        if dropped {
            continue;
        }
        for value in values {
            let value = value.as_str();
            if value.bytes().any(|byte| matches!(byte, b'\r' | b'\n' | 0)) {
                return Err(Failure::InvalidRequest("a header value contains a line end"));
            }
            head.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    match framing {
        Some(Framing::Length(len)) => head.push_str(&format!("content-length: {len}\r\n")),
        Some(Framing::Chunked) => head.push_str("transfer-encoding: chunked\r\n"),
        Some(Framing::UntilClose) | None => {}
    }
    head.push_str("\r\n");
    Ok(head.into_bytes())
}

/// Writes the request target as the caller sent it, if it is known; otherwise the path and query of the URL.
fn push_target(head: &mut String, req: &Request) {
    let known = req.ext().get::<RawTarget>();
    match known {
        Some(target) => head.push_str(target.as_str()),
        None => head.push_str(RawTarget::of_url(req.url()).as_str()),
    }
}

fn connection_options(req: &Request) -> Vec<String> {
    let values = req.header("connection");
    values
        .into_iter()
        .flatten()
        .flat_map(|value| value.as_str().split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}

/// A valid answer head.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    pub(crate) res: Response,
    /// Length of the head in bytes.
    pub(crate) len: usize,
    pub(crate) framing: Framing,
    pub(crate) keep_alive: bool,
}

/// Result of parsing the start of the buffer.
#[derive(Debug)]
pub(crate) enum Parsed {
    /// An incomplete head.
    Partial,
    /// The head of an interim answer such as `100 Continue`, with its length in bytes; the final answer follows.
    Interim(usize),
    Final(Box<AnswerHead>),
}

/// Parses an answer head at the start of `buf`.
pub(crate) fn parse(buf: &[u8], method: Method) -> Result<Parsed, Failure> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let len = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(Parsed::Partial),
        Err(_) => return Err(Failure::MalformedHead("syntax")),
    };
    let code = head.code.ok_or(Failure::MalformedHead("no status code"))?;
    match code {
        // The client never requests an upgrade.
        101 => return Err(Failure::MalformedHead("unexpected upgrade")),
        100..=199 => return Ok(Parsed::Interim(len)),
        _ => {}
    }
    let status =
        Status::try_from(code).map_err(|_| Failure::MalformedHead("status code below 100"))?;
    let announced = parse_framing(head.headers)?;
    let has_no_body = method == Method::Head || code == 204 || code == 304;
    let framing = match announced {
        _ if has_no_body => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let mut keep_alive = head.version == Some(1);
    let mut connection_options = Vec::new();
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("connection") {
            let tokens = header.value.split(|&byte| byte == b',').map(<[u8]>::trim_ascii);
            for token in tokens {
                keep_alive &= !token.eq_ignore_ascii_case(b"close");
                connection_options.push(token);
            }
        }
    }
    let mut res = status.into_response();
    if let Some(idle) = parse_keep_alive_timeout(head.headers) {
        res.ext_mut().insert(idle);
    }
    for header in head.headers.iter() {
        let dropped = is_not_forwarded(header.name)
            || connection_options
                .iter()
                .any(|token| token.eq_ignore_ascii_case(header.name.as_bytes()));
        if dropped {
            continue;
        }
        let name = HeaderName::from_bytes(header.name.as_bytes().to_vec())
            .map_err(|_| Failure::MalformedHead("header name"))?;
        // `http-types` accepts only ASCII values. The header is dropped rather than the whole answer, because the
        // request may have to run at most once.
        let Ok(value) = HeaderValue::from_bytes(header.value.to_vec()) else { continue };
        res.append_header(name, value);
    }
    Ok(Parsed::Final(Box::new(AnswerHead { res, len, framing, keep_alive })))
}

/// The time for which a target announces to keep an idle connection open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KeepAliveTimeout(pub(crate) Duration);

/// Parses the `timeout` parameter of the `Keep-Alive` header, in whole seconds.
fn parse_keep_alive_timeout(headers: &[httparse::Header<'_>]) -> Option<KeepAliveTimeout> {
    let values = headers.iter().filter(|it| it.name.eq_ignore_ascii_case("keep-alive"));
    let values = values.filter_map(|it| std::str::from_utf8(it.value).ok());
    let mut parameters = values.flat_map(|it| it.split(','));
    parameters.find_map(|it| {
        let seconds = it.trim().strip_prefix("timeout=")?.parse().ok()?;
        Some(KeepAliveTimeout(Duration::from_secs(seconds)))
    })
}

/// Checks that the answer belongs to the request.
pub(crate) fn check_request_id(
    res: &Response,
    expected: &str,
    check: RequestIdCheck,
) -> Result<(), Failure> {
    let found = res.header(REQUEST_ID).map(|values| values.as_str().to_owned());
    match (&found, check) {
        (Some(id), _) if id == expected => Ok(()),
        (None, RequestIdCheck::IfPresent) => Ok(()),
        _ => Err(Failure::RequestId { expected: expected.to_owned(), found }),
    }
}
