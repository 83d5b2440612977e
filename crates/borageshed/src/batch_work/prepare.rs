//! Turns an item into a call of a service.

use batch::{ItemRun, JobManifest};
use fleet::{Kind, QualifiedName};
use http_edge::problem::{Execution, Problem, ProblemKind};
use http_types::{Method, headers::HeaderValue};
use policy::dispatch::Class;
use stdx::Name;

use crate::{
    api::{self, inference, plain},
    in_force::InForce,
    online::{Call, Message},
};

/// The paths that model services serve.
const INFERENCE_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// Returns the identity of the account that owns a job.
pub fn account_of(text: &str) -> Option<QualifiedName> {
    let (origin, name) = text.split_once('/')?;
    Some(QualifiedName::new(origin, Kind::Account, name))
}

/// Returns whether requests to an endpoint such as `POST /v1/completions` are idempotent.
///
/// # Errors
///
/// Returns a problem if no service has such a route.
pub fn is_idempotent(in_force: &InForce, origin: &Name, endpoint: &str) -> api::Result<bool> {
    let (method, path) = endpoint.split_once(' ').unwrap_or(("POST", endpoint));
    if method == "POST" && INFERENCE_PATHS.contains(&path) {
        return Ok(true);
    }
    let path = path.split('?').next().unwrap_or(path);
    let resolved = plain::resolve(in_force.document(), Some(origin), path)?;
    Ok(plain::find_route(&resolved, method)?.idempotent)
}

/// Builds the call of an item. Names resolve in the origin of the job's account; the call carries no caller's key.
///
/// # Errors
///
/// Returns a problem if the item can never be run under this configuration.
pub fn item_call(
    in_force: &InForce,
    manifest: &JobManifest,
    run: &ItemRun,
    request_id: String,
) -> api::Result<Call> {
    let malformed =
        |detail: &str| Problem::new(ProblemKind::MalformedRequest, Execution::NotRun, detail);
    let account = account_of(&manifest.spec.account).ok_or_else(|| malformed("unknown account"))?;
    let method = run.method.parse::<Method>().map_err(|_| malformed("unknown method"))?;
    let weight = in_force.document().accounts.get(&account).map_or(1, |it| it.weight);
    let is_empty = matches!(method, Method::Get | Method::Delete) && &*run.body == "{}";
    let body = if is_empty { Vec::new() } else { run.body.as_bytes().to_vec() };
    let headers = vec![("content-type".to_owned(), json_type())];
    let url: &str = &run.url;
    if method == Method::Post && INFERENCE_PATHS.contains(&url) {
        if is_streamed(&body) {
            return Err(malformed("items of a batch cannot be streamed; leave out \"stream\""));
        }
        let prepared = inference::prepare(in_force, &account.origin, body)?;
        let timeout = inference::service_timeout(in_force, &prepared.service);
        let message =
            Message { method, path: url.to_owned(), headers, body: prepared.body, memory: None };
        let (service, cost) = (prepared.service, prepared.cost);
        return Ok(Call {
            weight,
            class: Class::Batch,
            idempotent: true,
            prefix: Some(prepared.prefix),
            ..Call::new(request_id, service, account, cost, timeout, message)
        });
    }
    let (path, query) = url.split_once('?').map_or((url, None), |(path, it)| (path, Some(it)));
    let resolved = plain::resolve(in_force.document(), Some(&account.origin), path)?;
    let route = plain::find_route(&resolved, &run.method)?;
    if manifest.idempotent && !route.idempotent {
        // The job does not record the starts of its items, so an item could run twice.
        return Err(malformed("the route is no longer idempotent since the job was submitted"));
    }
    let path =
        query.map_or_else(|| resolved.path.to_owned(), |it| format!("{}?{it}", resolved.path));
    let (service, timeout) = (resolved.id.clone(), resolved.service.timeout());
    let cost = plain::cost(body.len());
    let message = Message { method, path, headers, body, memory: None };
    Ok(Call {
        weight,
        class: Class::Batch,
        idempotent: manifest.idempotent,
        ..Call::new(request_id, service, account, cost, timeout, message)
    })
}

fn is_streamed(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Streaming {
        #[serde(default)]
        stream: bool,
    }
    serde_json::from_slice::<Streaming>(body).is_ok_and(|it| it.stream)
}

fn json_type() -> HeaderValue {
    HeaderValue::from_bytes(b"application/json".to_vec()).expect("the text is ASCII")
}
