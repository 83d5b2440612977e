//! Answers of targets that may be passed on to callers.

use http_edge::{
    problem::{Execution, Problem, ProblemKind},
    status::Status,
};
use http_types::{Body, Response};

use crate::answer::set_body;

/// An answer of a target that may be passed on to the caller.
///
/// No other answer of a target reaches a caller. Its status does not promise that the request has not run, unless the request may run
/// again: the caller of any other request sends it once more after such a promise.
#[derive(Debug)]
pub struct TargetAnswer(Response);

/// The status of a target's answer promises that the request has not run, but the target may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnfoundedPromise {
    /// The status that the target sent.
    pub status: Status,
}

impl TargetAnswer {
    /// Builds the head of the answer for the caller, without hop-by-hop headers. The target did not say that it has not run the request.
    ///
    /// # Errors
    ///
    /// Fails if the status promises that the request has not run, unless the request is idempotent.
    pub fn new(
        res: &Response,
        request_id: &str,
        is_idempotent: bool,
    ) -> Result<Self, UnfoundedPromise> {
        let status = Status::of(res);
        if !is_idempotent && status.promises_not_run() {
            return Err(UnfoundedPromise { status });
        }
        let mut answer = status.into_response();
        for (name, values) in res.iter() {
            let is_forwarded = !matches!(
                name.as_str(),
                "connection"
                    | "keep-alive"
                    | "transfer-encoding"
                    | "content-length"
                    | "te"
                    | "trailer"
                    | "upgrade"
            );
            if is_forwarded {
                for value in values {
                    answer.append_header(name.clone(), value.clone());
                }
            }
        }
        answer.insert_header("x-request-id", request_id);
        Ok(Self(answer))
    }

    /// Adds the body.
    #[must_use]
    pub fn with_body(mut self, body: Body) -> Self {
        set_body(&mut self.0, body);
        self
    }

    /// Replaces the body by one that is made from it.
    pub fn map_body(&mut self, f: impl FnOnce(Body) -> Body) {
        let body = self.0.take_body();
        set_body(&mut self.0, f(body));
    }

    /// Returns the answer.
    pub fn response(&self) -> &Response {
        &self.0
    }

    /// Returns the answer for the caller.
    pub fn into_response(self) -> Response {
        self.0
    }
}

impl UnfoundedPromise {
    /// Returns the answer for the caller. It has no header of the target's answer, such as the time after which to send the request
    /// again.
    pub fn into_problem(self) -> Problem {
        let status = self.status.code();
        let detail =
            format!("the target answered with status {status} and may have run the request");
        Problem::new(ProblemKind::TargetFailed, Execution::Unknown, detail)
    }
}
