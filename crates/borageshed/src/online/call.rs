//! A request with everything that dispatch and attempts need.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::io::Cursor;
use fleet::QualifiedName;
use http_edge::{memory::BodyMemory, raw_target::RawTarget};
use http_types::{
    Body, Method, Request, Url,
    headers::{HeaderName, HeaderValue},
};
use policy::{
    dispatch::{self, Class, Fingerprint, PartId},
    rate::AccountId,
    versions::StreamId,
};
use sha2::{Digest, Sha256};
use stdx::{Name, Timestamp};
use twox_hash::XxHash64;

/// The number of attempts for requests that are limited only by the retry budget and their deadline.
pub const UNLIMITED_ATTEMPTS: u32 = u32::MAX;

/// A request with everything that dispatch and attempts need.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id that targets receive and return.
    pub request_id: String,
    /// The service that the request goes to.
    pub service: QualifiedName,
    /// The client account that the request runs for.
    pub account: QualifiedName,
    /// The account whose rate the request counts against; `None` for batch items and open routes.
    pub account_id: Option<AccountId>,
    /// The identifier of the key that the caller presented.
    pub key: Option<Name>,
    /// The account's weight.
    pub weight: u32,
    /// The class of the request.
    pub class: Class,
    /// The estimated cost in tokens.
    pub cost: u64,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// The longest time to the first byte of the answer.
    pub timeout: Duration,
    /// The time to the first byte of the answer that callers expect; `None` if none is declared.
    pub objective: Option<Duration>,
    /// When the whole answer must have arrived; `None` for no limit.
    pub deadline: Option<Timestamp>,
    /// The maximum number of targets that the request may run on.
    pub max_attempts: u32,
    /// How a broken stream is continued.
    pub resumption: Resumption,
    /// The version that began the stream, if the call continues one.
    pub version: Option<Name>,
    /// The id of the attempt that brought the first event, if the call continues a stream.
    pub first_attempt: Option<String>,
    /// The hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// The hashes of the prompt parts that other requests may share, in the order of the prompt.
    pub shared_parts: Vec<u64>,
    /// Whether it is known that the request does not crash targets by itself.
    pub harmless: bool,
    /// The message for the target.
    pub message: Arc<Message>,
}

/// How a broken stream is continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resumption {
    /// The stream is not continued.
    Never,
    /// The target that began the stream keeps the rest and sends it on request.
    SameTarget,
    /// Any target can continue the stream after the last event that arrived.
    AnyTarget {
        /// The id of the last event that the caller already has.
        after: Option<u64>,
    },
}

/// The message for the target.
#[derive(Debug)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers that are forwarded; the caller's key is not among them.
    pub headers: Vec<(String, HeaderValue)>,
    /// The body.
    pub body: Vec<u8>,
    /// The account of the body's memory, if a caller sent it.
    pub memory: Option<Arc<BodyMemory>>,
}

/// Reads the body of a message without a copy.
struct SharedBody(Arc<Message>);

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0.body
    }
}

impl Call {
    /// Creates the call of an online request that counts against no rate, may run once, may run on any number of targets and has
    /// no deadline for its whole answer; the target that began its stream continues it.
    pub fn new(
        request_id: String,
        service: QualifiedName,
        account: QualifiedName,
        cost: u64,
        timeout: Duration,
        message: Message,
    ) -> Self {
        Self {
            request_id,
            service,
            account,
            account_id: None,
            key: None,
            weight: 1,
            class: Class::Online,
            cost,
            idempotent: false,
            timeout,
            objective: None,
            deadline: None,
            max_attempts: UNLIMITED_ATTEMPTS,
            resumption: Resumption::SameTarget,
            version: None,
            first_attempt: None,
            prefix: None,
            shared_parts: Vec::new(),
            harmless: false,
            message: Arc::new(message),
        }
    }

    /// Returns the request in the form that the dispatcher expects; its id is set on submission.
    pub fn dispatch_request(&self, now: Timestamp) -> dispatch::Request {
        let deadline = self.deadline.unwrap_or(now + self.timeout);
        dispatch::Request {
            id: 0,
            account: self.account.clone(),
            key: self.key.clone(),
            weight: self.weight,
            service: self.service.clone(),
            class: self.class,
            cost: self.cost,
            bytes: self.message.body.len(),
            deadline,
            // The target takes the other half until its first byte.
            due: self.objective.map_or(deadline, |it| now + it / 2),
            large_reserve_until: Timestamp::ZERO,
            idempotent: self.idempotent,
            resumable: matches!(self.resumption, Resumption::AnyTarget { .. }),
            version: self.version.clone(),
            max_attempts: self.max_attempts,
            prefix: self.prefix,
            shared_parts: self.shared_parts.iter().map(|it| self.part_id(*it)).collect(),
            fingerprint: self.fingerprint(),
            harmless: self.harmless,
        }
    }

    /// Returns the identity of a prompt part within the service; the same part may be harmless to the targets of another one.
    fn part_id(&self, part: u64) -> PartId {
        PartId(XxHash64::oneshot(part, self.service.to_string().as_bytes()))
    }

    /// Returns the id of the last event that the caller already has, if it continues a stream.
    pub fn last_event(&self) -> Option<u64> {
        match self.resumption {
            Resumption::AnyTarget { after } => after,
            Resumption::Never | Resumption::SameTarget => None,
        }
    }

    /// Returns the identity of the stream that the call begins or continues.
    pub fn stream_id(&self) -> StreamId {
        StreamId::of(&self.service, self.first_attempt.as_ref().unwrap_or(&self.request_id))
    }

    /// Returns the time left for the answer.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.map_or(self.timeout, |it| it.since(now))
    }

    /// Hashes everything that determines how the request affects a target.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        let parts = [
            self.account.to_string().into_bytes(),
            self.service.to_string().into_bytes(),
            self.message.method.to_string().into_bytes(),
            self.message.path.clone().into_bytes(),
        ];
        for part in &parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&self.message.body);
        // A verdict on an equal request of another kind says nothing about a harmless one.
        hash.update([u8::from(self.harmless)]);
        hash.finalize().into()
    }
}

impl Message {
    /// Builds the request for one attempt; `None` if the address does not form a valid URL, or if the path or the name of a header is
    /// not valid.
    ///
    /// Headers that concern only the connection of the caller are left out. This happens before the daemon adds headers of its own, so
    /// that a caller cannot name those in `Connection`.
    pub fn request(self: &Arc<Self>, address: SocketAddr) -> Option<Request> {
        let url = Url::parse(&format!("http://{address}/")).ok()?;
        let mut req = Request::new(self.method, url);
        // A URL would be normalised; the target receives path and query unchanged.
        req.ext_mut().insert(RawTarget::parse(&self.path).ok()?);
        let options = self.headers.iter().filter(|(name, _)| name == "connection");
        let options: Vec<&str> = options
            .flat_map(|(_, value)| value.as_str().split(','))
            .map(str::trim)
            .filter(|it| !it.eq_ignore_ascii_case("host"))
            .collect();
        for (name, value) in &self.headers {
            // Without the header, the client cannot drop headers that are added later.
            if name == "connection" || options.iter().any(|it| it.eq_ignore_ascii_case(name)) {
                continue;
            }
            let name = HeaderName::from_bytes(name.as_bytes().to_vec()).ok()?;
            req.append_header(name, value.clone());
        }
        if !self.body.is_empty() {
            let body = Cursor::new(SharedBody(Arc::clone(self)));
            req.set_body(Body::from_reader(body, Some(self.body.len())));
            if let Some((_, value)) = self.headers.iter().find(|(name, _)| name == "content-type") {
                req.insert_header("content-type", value.clone());
            }
        }
        Some(req)
    }
}
