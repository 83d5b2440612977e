//! Plain services, routed by path: `/<service>/..` or `/<origin>/<service>/..`.

use std::sync::Arc;

use fleet::{Document, QualifiedName, Route, RouteMatch, Service};
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_types::{Response, headers::HeaderValue};
use stdx::Name;

use super::{
    Request, Result, body_memory, caller, identity, identity::Identity, inference::unresolved_name,
    into_answer, read_body,
};
use crate::{
    idempotency,
    online::{self, Call, Message},
    shared::Shared,
};

/// Body bytes per unit of cost, chosen so that a plain request costs about as much as a short completion.
const BYTES_PER_COST: u64 = 64;
/// The cost of a plain request without a body.
const BASE_COST: u64 = 16;

/// A request path resolved to a plain service.
#[derive(Debug)]
pub struct ResolvedPath<'a> {
    /// The service.
    pub id: &'a QualifiedName,
    /// The service's entry in the document.
    pub service: &'a Service,
    /// The path below the service, which is sent to the target.
    pub path: &'a str,
}

/// Runs a request to a plain service.
///
/// # Errors
///
/// Returns a problem if the request is invalid or does not complete.
pub async fn run(mut req: Request) -> Result<Response> {
    let caller = caller(&req)?;
    let cx = Arc::clone(req.state());
    let in_force = identity::in_force(&cx)?;
    let path = req.url().path().to_owned();
    // Only a caller with a valid key has an origin; all others can reach open routes only.
    let identity = identity::authenticate(&req, &caller);
    let origin = identity.as_ref().ok().map(|it| it.origin().clone());
    let resolved = resolve(in_force.document(), origin.as_ref(), &path)?;
    let route = find_route(&resolved, req.method().as_ref())?.clone();
    let identity = match identity {
        Ok(identity) => Some(identity),
        Err(_) if route.open => None,
        Err(problem) => return Err(problem),
    };
    let body = read_body(&mut req).await?;
    let key = idempotency_key(&req)?;
    let target_path = match req.url().query() {
        Some(query) => format!("{}?{query}", resolved.path),
        None => resolved.path.to_owned(),
    };
    let message = Message {
        method: req.method(),
        path: target_path,
        headers: forwarded_headers(&req),
        body,
        memory: body_memory(&req),
    };
    let call = build_call(&cx, &resolved, &route, identity.as_ref(), message);
    let request_id = call.request_id.clone();
    match key {
        Some(key) if !route.idempotent => idempotency::run(&cx, call, &key, &caller).await,
        _ => into_answer(online::run(&cx, call, &caller).await, &request_id),
    }
}

/// Returns the headers that are forwarded to targets. Headers with credentials and all others that contain the caller's
/// key are dropped, and so are those that the daemon sets itself.
pub fn forwarded_headers(req: &Request) -> Vec<(String, HeaderValue)> {
    let key = identity::bearer_key(req);
    let mut passed = Vec::new();
    for (name, values) in req.iter() {
        let name = name.as_str();
        if matches!(
            name,
            "authorization"
                | "proxy-authorization"
                | "cookie"
                | "host"
                | "x-request-id"
                | "content-length"
        ) {
            continue;
        }
        for value in values {
            if key.is_none_or(|key| !value.as_str().contains(key)) {
                passed.push((name.to_owned(), value.clone()));
            }
        }
    }
    passed
}

/// Finds the service that a path begins with.
///
/// # Errors
///
/// Returns a problem if no service or more than one has this name.
pub fn resolve<'a>(
    document: &'a Document,
    origin: Option<&Name>,
    path: &'a str,
) -> Result<ResolvedPath<'a>> {
    let trimmed = path.trim_start_matches('/');
    let (first, rest) = trimmed.split_once('/').unwrap_or((trimmed, ""));
    let is_origin = document.fleet.origins.iter().any(|it| it.as_str() == first);
    let (text, rest) = match rest.split_once('/') {
        _ if !is_origin => (first.to_owned(), rest),
        Some((service, rest)) => (format!("{first}/{service}"), rest),
        None => (format!("{first}/{rest}"), ""),
    };
    let id = document.resolve_service(origin, &text).map_err(|e| unresolved_name(&e))?;
    // The service exists, because names are resolved among the services of the document.
    let service = &document.services[id];
    let start = path.len() - rest.len();
    let path = if rest.is_empty() { "/" } else { &path[start - 1..] };
    Ok(ResolvedPath { id, service, path })
}

/// Finds the route of a resolved path for a method.
///
/// # Errors
///
/// Returns a problem if the service has no route for the path and method.
pub fn find_route<'a>(resolved: &ResolvedPath<'a>, method: &str) -> Result<&'a Route> {
    let id = resolved.id;
    let detail = match resolved.service.route(method, resolved.path) {
        RouteMatch::Found(route) => return Ok(route),
        RouteMatch::NoMethod => format!("service {id} has no {method} for {}", resolved.path),
        RouteMatch::NoPath => format!("service {id} has no route for {}", resolved.path),
    };
    Err(Problem::new(ProblemKind::NotFound, Execution::NotRun, detail))
}

/// Returns the cost of a request with a body of the given length.
pub fn cost(body_bytes: usize) -> u64 {
    BASE_COST + body_bytes as u64 / BYTES_PER_COST
}

fn build_call(
    cx: &Shared,
    resolved: &ResolvedPath<'_>,
    route: &Route,
    identity: Option<&Identity>,
    message: Message,
) -> Call {
    let unauthenticated_account =
        || QualifiedName::new(&resolved.id.origin, fleet::Kind::Account, "");
    let account = identity.map_or_else(unauthenticated_account, |it| it.account.name.clone());
    let (service, timeout) = (resolved.id.clone(), resolved.service.timeout());
    let cost = cost(message.body.len());
    Call {
        account_id: identity.map(|it| it.account.id),
        key: identity.map(Identity::key_label),
        weight: identity.map_or(1, |it| it.weight),
        idempotent: route.idempotent,
        ..Call::new(cx.request_id(), service, account, cost, timeout, message)
    }
}

/// Returns the `Idempotency-Key` of a request.
///
/// # Errors
///
/// Returns a problem if the key is empty or too long.
pub fn idempotency_key(req: &Request) -> Result<Option<String>> {
    const MAX_KEY_BYTES: usize = 256;
    let Some(values) = req.header("idempotency-key") else { return Ok(None) };
    let key = values.last().as_str();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("Idempotency-Key must be 1 to {MAX_KEY_BYTES} bytes long");
        return Err(Problem::new(ProblemKind::MalformedRequest, Execution::NotRun, detail));
    }
    Ok(Some(key.to_owned()))
}
