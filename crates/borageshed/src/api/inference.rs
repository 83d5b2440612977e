//! Completion and chat requests to model services.

use std::{hash::Hasher as _, sync::Arc};

use fleet::{QualifiedName, names::ResolveError};
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_types::{Method, Response};
use serde::Deserialize;
use serde_json::value::RawValue;
use stdx::Name;
use twox_hash::XxHash64;

use super::{Request, Result, body_memory, caller, identity, into_answer, read_body};
use crate::{
    in_force::InForce,
    online::{self, Call, Message},
};

/// The number of output tokens assumed for a request that does not limit them.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// The approximate number of characters per token of English text.
const CHARS_PER_TOKEN: u64 = 4;
/// The length of the prompt prefix by which a target with the prompt in its cache is found. Prompts begin with the
/// instructions that callers share.
const PREFIX_BYTES: usize = 512;

/// A request prepared for a model service.
#[derive(Debug)]
pub struct Inference {
    /// The service that offers the model.
    pub service: QualifiedName,
    /// The estimated cost in tokens.
    pub cost: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// The body for the target, with the model's unqualified name.
    pub body: Vec<u8>,
}

/// The members of a request body that determine its service and cost. All others are forwarded unchanged.
#[derive(Deserialize)]
struct Routing {
    model: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

/// The members that are looked at as they are. Keeping all members of a body would take many times its size in memory.
#[derive(Deserialize)]
struct Members<'a> {
    #[serde(borrow)]
    model: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// Runs a completion or chat request.
///
/// # Errors
///
/// Returns a problem if the request is invalid or does not complete.
pub async fn run(mut req: Request) -> Result<Response> {
    let caller = caller(&req)?;
    let identity = identity::authenticate(&req, &caller)?;
    let body = read_body(&mut req).await?;
    let cx = Arc::clone(req.state());
    let request_id = cx.request_id();
    let prepared = prepare(&identity.in_force, identity.origin(), body)
        .map_err(|it| it.with_request_id(&*request_id))?;
    let timeout = service_timeout(&identity.in_force, &prepared.service);
    let message = Message {
        method: Method::Post,
        path: req.url().path().to_owned(),
        headers: super::plain::forwarded_headers(&req),
        body: prepared.body,
        memory: body_memory(&req),
    };
    let account = identity.account.name.clone();
    let (service, cost) = (prepared.service, prepared.cost);
    let call = Call {
        account_id: Some(identity.account.id),
        key: Some(identity.key_label()),
        weight: identity.weight,
        idempotent: true,
        prefix: Some(prepared.prefix),
        ..Call::new(request_id.clone(), service, account, cost, timeout, message)
    };
    into_answer(online::run(&cx, call, &caller).await, &request_id)
}

/// Finds the service for a request body and replaces the model's name by the one that the target knows.
///
/// # Errors
///
/// Returns a problem if the body is invalid, or if the model is unknown, ambiguous or offered by no service.
pub fn prepare(in_force: &InForce, origin: &Name, body: Vec<u8>) -> Result<Inference> {
    let malformed = |e: serde_json::Error| {
        Problem::new(
            ProblemKind::MalformedRequest,
            Execution::NotRun,
            format!("the body is no valid request: {e}"),
        )
    };
    let routing: Routing = serde_json::from_slice(&body).map_err(malformed)?;
    let document = in_force.document();
    let model =
        document.resolve_model(Some(origin), &routing.model).map_err(|e| unresolved_name(&e))?;
    let Some((service, _)) = document.service_of_model(model) else {
        let detail = format!("model {model} is offered by no service");
        return Err(Problem::new(ProblemKind::NotFound, Execution::NotRun, detail));
    };
    let output =
        routing.max_completion_tokens.or(routing.max_tokens).unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let cost = output.saturating_add(body.len() as u64 / CHARS_PER_TOKEN);
    let prefix = hash_prefix(&body).map_err(malformed)?;
    let body = if routing.model == model.name.as_str() {
        body
    } else {
        rename_model(&body, &model.name).map_err(malformed)?
    };
    Ok(Inference { service: service.clone(), cost, prefix, body })
}

/// Returns the problem for a name that is unknown or ambiguous.
pub fn unresolved_name(error: &ResolveError) -> Problem {
    let kind = match error {
        ResolveError::Unknown { .. } => ProblemKind::NotFound,
        ResolveError::Ambiguous { .. } => ProblemKind::AmbiguousName,
    };
    Problem::new(kind, Execution::NotRun, error.to_string())
}

/// Returns the maximum time until a service sends the first byte of an answer.
pub fn service_timeout(in_force: &InForce, service: &QualifiedName) -> std::time::Duration {
    let service = in_force.document().services.get(service);
    service.map_or(std::time::Duration::ZERO, fleet::Service::timeout)
}

fn hash_prefix(body: &[u8]) -> serde_json::Result<u64> {
    let members: Members<'_> = serde_json::from_slice(body)?;
    let prompt = members.messages.or(members.prompt).map_or("", |it| it.get());
    let mut hash = XxHash64::with_seed(0);
    hash.write(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
    Ok(hash.finish())
}

fn rename_model(body: &[u8], name: &Name) -> serde_json::Result<Vec<u8>> {
    let members: Members<'_> = serde_json::from_slice(body)?;
    let Some(model) = members.model else { return Ok(body.to_vec()) };
    // The value is a part of the body, so its position follows from the addresses.
    let start = model.get().as_ptr().addr() - body.as_ptr().addr();
    let name = serde_json::to_vec(name)?;
    Ok([&body[..start], &name, &body[start + model.get().len()..]].concat())
}
