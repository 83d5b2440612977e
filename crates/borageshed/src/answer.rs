//! Helpers for answers to callers.

use http_types::{Body, Response};

/// Replaces the body but keeps the content type, which `http-types` would otherwise set from the body.
pub fn set_body(res: &mut Response, body: Body) {
    let content_type = res.header("content-type").map(|it| it.last().clone());
    res.set_body(body);
    match content_type {
        Some(value) => {
            res.insert_header("content-type", value);
        }
        None => {
            res.remove_header("content-type");
        }
    }
}
