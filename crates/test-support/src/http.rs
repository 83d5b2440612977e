//! A small HTTP client for tests, one connection per call.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{future::timeout, io::ReadExt as _, net::TcpStream};
use http_types::{Body, Method, Request, Response, Url};
use thiserror::Error;

/// The timeout of a call, including the transfer of its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// The reason why a call returned no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The answer is not valid HTTP, or the connection was closed before it was complete.
    #[error("no valid answer: {0}")]
    Http(http_types::Error),
    /// The answer was not complete before the timeout.
    #[error("no answer in time")]
    TimedOut,
}

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::Get, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Creates a POST request with a JSON body.
    pub fn post(path: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self { method: Method::Post, body: body.into(), ..Self::get(path) }
            .header("content-type", "application/json")
    }

    /// Creates a PUT request with a JSON body.
    pub fn put(path: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self { method: Method::Put, ..Self::post(path, body) }
    }

    /// Adds an `Authorization` header with the caller's key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Replaces the method.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Sends the request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives.
    pub async fn send(&self, address: SocketAddr) -> Result<Reply> {
        let call = async {
            let mut res = self.open(address).await?;
            let body = res.body_bytes().await.map_err(CallError::Http)?;
            Ok(Reply { body, ..reply_head(&res) })
        };
        timeout(CALL_TIMEOUT, call).await.map_err(|_| CallError::TimedOut)?
    }

    /// Sends the request and returns as soon as the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails if no answer head arrives.
    pub async fn open(&self, address: SocketAddr) -> Result<Response> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        async_h1::connect(stream, self.request(address)?).await.map_err(CallError::Http)
    }

    fn request(&self, address: SocketAddr) -> Result<Request> {
        // The HTTP library derives the `Host` header from the URL.
        let host = self.headers.iter().find(|(name, _)| name == "host").map(|(_, value)| value);
        let host = host.cloned().unwrap_or_else(|| address.to_string());
        let url = Url::parse(&format!("http://{host}{}", self.path))
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
        let mut req = Request::new(self.method, url);
        if !self.body.is_empty() {
            req.set_body(Body::from_bytes(self.body.clone()));
        }
        for (name, value) in &self.headers {
            req.insert_header(name.as_str(), value.as_str());
        }
        Ok(req)
    }
}

impl Reply {
    /// Returns the body as text; bytes that are not UTF-8 are replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON; `null` if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the `data` lines of an SSE stream without their field name.
    pub fn event_data(&self) -> Vec<String> {
        let text = self.text();
        text.lines().filter_map(|it| it.strip_prefix("data: ")).map(str::to_owned).collect()
    }

    /// Returns the value of the header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads the next part of a streamed answer with at most `max_reads` reads; the result is empty at its end.
///
/// # Errors
///
/// Fails if the connection fails.
pub async fn read_some(res: &mut Response, max_reads: usize) -> io::Result<String> {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    for _ in 0..max_reads {
        let n = res.read(&mut buf).await?;
        if n == 0 {
            break;
        }
        text.extend_from_slice(&buf[..n]);
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

#[expect(
    clippy::disallowed_methods,
    reason = "the client of async-h1 reads only the codes that http-types knows"
)]
fn reply_head(res: &Response) -> Reply {
    let header =
        |(name, values): (&http_types::headers::HeaderName, &http_types::headers::HeaderValues)| {
            (name.as_str().to_owned(), values.last().as_str().to_owned())
        };
    Reply {
        status: res.status().into(),
        headers: res.iter().map(header).collect(),
        body: Vec::new(),
    }
}
