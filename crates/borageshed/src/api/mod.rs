//! The HTTP interface for callers and operators.
//!
//! - [`admin`]: health, status, metrics and service-level burn.
//! - [`batches`]: batch jobs over uploaded input files.
//! - [`files`]: input, output and error files of batch jobs.
//! - [`identity`]: authentication of callers.
//! - [`inference`]: completion and chat requests to model services.
//! - [`ingress`]: requests of the platform's callers, routed by host and path prefix.
//! - [`jobs`]: batch jobs whose items come with their submission.
//! - [`models`]: the list of models.
//! - [`plain`]: plain services, routed by path.

pub mod admin;
pub mod batches;
pub mod files;
pub mod identity;
pub mod inference;
pub mod ingress;
pub mod jobs;
pub mod models;
pub mod plain;

use std::{future::Future, io, sync::Arc, time::Duration};

use async_std::io::{Cursor, ReadExt as _};
use fleet::{Kind, QualifiedName};
use http_edge::{
    framing::BodyError,
    memory::{BodyMemory, Reservation},
    problem::{Execution, Problem, ProblemKind},
    server::Caller,
};
use http_types::{Body, Response, StatusCode};
use policy::dispatch::{self, Class};
use stdx::Timestamp;

use crate::{
    control::Directive,
    online::{Ended, refusal},
    shared::Shared,
    tasks::contain,
};

use identity::Identity;

/// How long a batch call waits for the key-value service.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// The size of the pieces in which a body is read.
const READ_BYTES: usize = 16 * 1024;

/// A request with the context that handlers need.
pub type Request = tide::Request<Arc<Shared>>;
/// The result of a handler: an answer of a target or a problem of the daemon.
pub type Result<T> = std::result::Result<T, Problem>;

/// Builds the application that serves callers.
pub fn callers_app(cx: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(cx);
    app.at("/v1/completions").post(|req| respond(req, inference::run));
    app.at("/v1/chat/completions").post(|req| respond(req, inference::run));
    app.at("/v1/models").get(|req| respond(req, models::list));
    app.at("/v1/files").post(|req| respond(req, files::upload));
    app.at("/v1/files").get(|req| respond(req, files::list));
    app.at("/v1/files/:id").get(|req| respond(req, files::retrieve));
    app.at("/v1/files/:id/content").get(|req| respond(req, files::content));
    app.at("/v1/batches").post(|req| respond(req, batches::create));
    app.at("/v1/batches").get(|req| respond(req, batches::list));
    app.at("/v1/batches/:id").get(|req| respond(req, batches::retrieve));
    app.at("/v1/batches/:id/cancel").post(|req| respond(req, batches::cancel));
    app.at("/").all(|req| respond(req, plain::run));
    app.at("/*").all(|req| respond(req, plain::run));
    app
}

/// Converts the outcome of an online request into an answer.
pub fn into_answer(ended: Ended, request_id: &str) -> Result<Response> {
    match ended {
        Ended::Answered(answer) => Ok(answer.into_response()),
        Ended::Refused(problem) => Err(problem.with_request_id(request_id)),
        // The connection is closed, so nobody receives this answer.
        Ended::CallerGone => {
            Err(Problem::new(ProblemKind::RequestTimeout, Execution::Unknown, "the caller is gone"))
        }
    }
}

/// Authenticates the caller of a batch call and charges the call to the account's rate.
///
/// # Errors
///
/// Returns a problem if the key is not valid or the account is over its rate.
pub async fn admit(req: &Request) -> Result<Identity> {
    let identity = identity::authenticate(req, &caller(req)?)?;
    let cx = req.state();
    let account = identity.account.name.clone();
    // The control thread takes a token of the rate and then queues the request. No service has an empty name, so the
    // dispatcher refuses this request as soon as the rate has admitted it.
    let request = dispatch::Request {
        id: 0,
        service: QualifiedName::new(identity.origin(), Kind::Service, ""),
        account,
        key: Some(identity.key_label()),
        weight: identity.weight,
        class: Class::Online,
        cost: 1,
        bytes: 0,
        deadline: cx.clock.now() + STORE_TIMEOUT,
        due: Timestamp::from_micros(u64::MAX),
        large_reserve_until: Timestamp::ZERO,
        idempotent: true,
        resumable: false,
        version: None,
        max_attempts: u32::MAX,
        prefix: None,
        shared_parts: Vec::new(),
        harmless: false,
        fingerprint: [0; 32],
    };
    let admission = cx.control.submit(request, Some(identity.account.id));
    let admission = admission.map_err(|e| refusal::too_many_requests(&e))?;
    match admission.next().await {
        Some(Directive::OverRate(over_rate)) => {
            admission.refused();
            let account = &identity.account.name;
            refusal::log_over_rate(cx, &cx.request_id(), account, &over_rate);
            Err(refusal::over_rate(&over_rate))
        }
        Some(Directive::Refuse(refused)) if refused.reason == dispatch::Reason::NoTarget => {
            admission.refused();
            Ok(identity)
        }
        Some(Directive::Refuse(refused)) => {
            admission.refused();
            Err(refusal::from_dispatcher(&refused))
        }
        _ => Err(Problem::new(ProblemKind::Internal, Execution::NotRun, "the daemon stopped")),
    }
}

/// Returns the problem for a batch call that failed at the key-value service and changed nothing.
pub fn store_problem(error: &kv_store::Error) -> Problem {
    Problem::new(ProblemKind::StoreUnavailable, Execution::NotRun, error.to_string())
        .with_retry_after(Duration::from_secs(1))
}

/// Returns the problem for a batch call that the key-value service did not complete in time.
pub fn store_timeout(execution: Execution) -> Problem {
    let detail = "the platform's service did not confirm the call in time; send it again";
    Problem::new(ProblemKind::StoreUnavailable, execution, detail)
        .with_retry_after(Duration::from_secs(1))
}

/// Returns the handle of the caller's connection.
///
/// # Errors
///
/// Returns a problem if the request came without one.
pub fn caller(req: &Request) -> Result<Caller> {
    let missing = || {
        Problem::new(
            ProblemKind::Internal,
            Execution::NotRun,
            "the connection of the request is unknown",
        )
    };
    req.ext::<Caller>().cloned().ok_or_else(missing)
}

/// Reads the whole request body, whose length the server limits.
///
/// # Errors
///
/// Returns a problem if the body cannot be read.
pub async fn read_body(req: &mut Request) -> Result<Vec<u8>> {
    let unread = |e: io::Error| match BodyError::from_io(&e) {
        Some(e) => Problem::from_body_error(e),
        None => Problem::new(
            ProblemKind::MalformedRequest,
            Execution::NotRun,
            format!("the body could not be read: {e}"),
        ),
    };
    if req.len() == Some(0) {
        return Ok(Vec::new());
    }
    let mut body = Vec::with_capacity(req.len().unwrap_or(0));
    let mut piece = vec![0; req.len().unwrap_or(READ_BYTES).min(READ_BYTES)];
    let mut reader = req.take_body();
    // `read_to_end` would write zeros over the whole capacity, so that a body were resident before it has arrived.
    loop {
        match reader.read(&mut piece).await.map_err(unread)? {
            0 => return Ok(body),
            n => body.extend_from_slice(&piece[..n]),
        }
    }
}

/// Returns the account of the memory of the request body, which whoever keeps the body must keep as well.
pub fn body_memory(req: &Request) -> Option<Arc<BodyMemory>> {
    req.ext::<Arc<BodyMemory>>().cloned()
}

/// Takes memory for what is parsed out of a body.
///
/// # Errors
///
/// Returns a problem if there is no memory for it.
pub async fn reserve_for_parsing(req: &Request, bytes: usize) -> Result<()> {
    let Some(memory) = body_memory(req) else { return Ok(()) };
    memory.grow(bytes).await.map_err(|_| Problem::from_body_error(BodyError::NoMemory))
}

/// Returns an answer whose content takes its memory from the budget until the caller has read it.
///
/// # Errors
///
/// Returns a problem if there is no memory for it.
pub fn kept_answer(cx: &Shared, content: Vec<u8>) -> Result<Response> {
    let memory = cx
        .memory
        .reserve(content.len())
        .map_err(|_| Problem::from_body_error(BodyError::NoMemory))?;
    let len = content.len();
    let mut res = Response::new(StatusCode::Ok);
    let reader = Cursor::new(KeptContent { content, _memory: memory });
    res.set_body(Body::from_reader(reader, Some(len)));
    Ok(res)
}

/// The content of an answer and its share of the budget.
struct KeptContent {
    content: Vec<u8>,
    _memory: Reservation,
}

impl AsRef<[u8]> for KeptContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

async fn respond<F, Fut>(req: Request, handler: F) -> tide::Result
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Result<Response>>,
{
    let log = req.state().log.clone();
    let res = contain(&log, "", handler(req)).await.unwrap_or_else(|| Err(panic_problem()));
    Ok(res.unwrap_or_else(Problem::into_response).into())
}

/// Returns the answer to a request whose task panicked.
fn panic_problem() -> Problem {
    let detail = "the daemon failed while it handled the request";
    Problem::new(ProblemKind::Internal, Execution::Unknown, detail)
}
