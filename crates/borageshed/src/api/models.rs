//! The list of models.

use http_types::Response;
use serde_json::json;

use super::{Request, Result, caller, identity};

/// Lists the models under the names that the caller can use.
///
/// # Errors
///
/// Returns a problem if the caller's key is not valid.
pub async fn list(req: Request) -> Result<Response> {
    let caller = caller(&req)?;
    let identity = identity::authenticate(&req, &caller)?;
    let document = identity.in_force.document();
    let data: Vec<_> = document
        .models
        .keys()
        .filter(|it| document.service_of_model(it).is_some())
        .map(|it| json!({ "id": it.to_string(), "object": "model", "owned_by": it.origin }))
        .collect();
    let mut res = Response::new(200);
    res.set_body(json!({ "object": "list", "data": data }));
    Ok(res)
}
