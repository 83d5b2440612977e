//! HTTP calls to daemons.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, io::ReadExt as _, net::TcpStream};
use http_types::{Body, Method, Request, Url};
use serde_json::Value;

use crate::error::{Failure, Result};

/// The daemon may close a connection that is idle for longer while a request is in transit.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A call to make. It does not implement `Debug`, because its headers may hold a key.
#[derive(Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Headers by name.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// The time from the start of the call to the first byte of the body, or to its end if it is empty. The head of a
    /// stream may arrive long before its first event, so it does not count.
    pub first_byte: Duration,
}

/// An HTTP client that reuses connections.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
}

impl Call {
    /// Creates a call without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a caller's key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.headers.push(("authorization".to_owned(), format!("Bearer {key}")));
        self
    }

    /// Adds a body.
    #[must_use]
    pub fn with_body(mut self, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        self.headers.push(("content-type".to_owned(), content_type.to_owned()));
        self.body = body.into();
        self
    }

    fn request(&self, address: SocketAddr) -> http_types::Result<Request> {
        let url = Url::parse(&format!("http://{address}{}", self.path))?;
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

impl Client {
    /// Makes a call and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives within `limit`.
    pub async fn call(&self, address: SocketAddr, call: &Call, limit: Duration) -> Result<Answer> {
        let unreachable = |reason: String| Failure::Unreachable(format!("{address}: {reason}"));
        match timeout(limit, self.exchange(address, call)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(e)) => Err(unreachable(e.to_string())),
            Err(_) => Err(unreachable(format!("no answer within {limit:?}"))),
        }
    }

    #[expect(
        clippy::disallowed_methods,
        reason = "the client of async-h1 reads only the codes that http-types knows"
    )]
    async fn exchange(&self, address: SocketAddr, call: &Call) -> http_types::Result<Answer> {
        let started = Instant::now();
        let stream = match self.take_idle(address) {
            Some(stream) => stream,
            None => TcpStream::connect(address).await?,
        };
        stream.set_nodelay(true)?;
        let mut res = async_h1::connect(stream.clone(), call.request(address)?).await?;
        let mut body = Vec::new();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut first_byte = None;
        loop {
            let n = res.read(&mut buffer).await?;
            first_byte.get_or_insert_with(|| started.elapsed());
            if n == 0 {
                break;
            }
            body.extend_from_slice(&buffer[..n]);
        }
        let first_byte = first_byte.unwrap_or_default();
        let closes = res.header("connection").is_some_and(|it| it.last().as_str() == "close");
        if !closes {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(address).or_default().push((stream, Instant::now()));
        }
        Ok(Answer { status: res.status().into(), body, first_byte })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let (stream, since) = idle.get_mut(&address)?.pop()?;
        (since.elapsed() < MAX_IDLE_AGE).then_some(stream)
    }
}

impl Answer {
    /// Returns the body of a successful answer as JSON.
    ///
    /// # Errors
    ///
    /// Fails with the detail of the problem document if the status is not 2xx.
    pub fn json(&self) -> Result<Value> {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        match self.status {
            200..=299 => Ok(value),
            status => {
                let detail = value["detail"].as_str().unwrap_or("the answer has no detail");
                Err(Failure::Refused(format!("the daemon answered {status}: {detail}")))
            }
        }
    }
}

/// Reads a JSON document from the admin address of a daemon.
///
/// # Errors
///
/// Fails if the daemon does not answer, or answers with an error.
pub async fn get_json(address: SocketAddr, path: &str, limit: Duration) -> Result<Value> {
    let client = Client::default();
    client.call(address, &Call::new(Method::Get, path), limit).await?.json()
}
