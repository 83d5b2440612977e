//! Non-idempotent requests with an `Idempotency-Key`: they run at most once across all instances, and a resend gets the
//! answer of that execution.
//!
//! The record in the key-value service is created before anything is sent to a target, so a resend through any instance
//! finds it.

use std::{sync::Arc, time::Duration};

use async_std::task;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use http_edge::{
    problem::{Execution, Problem, ProblemKind},
    server::Caller,
    status::Status,
};
use http_types::{Body, Response};
use kv_store::{Entry, Outcome, Revision};
use sha2::{Digest, Sha256};
use slog::{info, warn};
use stdx::{Name, wire_type};

use crate::{
    answer::set_body,
    api::{self, into_answer},
    online::{self, Call, Ended, target_answer::UnfoundedPromise},
    shared::Shared,
};

/// The largest answer that is stored for resends. The key-value service accepts values of up to a megabyte, and base64
/// adds a third.
const MAX_STORED_BYTES: usize = 256 * 1024;
/// The `Retry-After` of a resend while the first execution is open.
const OPEN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Background attempts to store the end of an execution, after the first attempt has failed.
const END_WRITE_ATTEMPTS: u32 = 30;
const END_WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);

wire_type! {
    /// The record of one key of one account.
    struct Record {
        /// The hash of the request, to detect a different request under the same key.
        fingerprint: Name,
        /// The id of the request that created the record.
        request_id: Name,
        /// The state of the execution.
        state: RecordState,
    }
}

/// The state of an execution.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum RecordState {
    /// The request may be running.
    Started,
    /// It is not known whether the request ran.
    Unknown,
    /// The request ran and was answered.
    Answered {
        /// The status of the answer.
        status: u16,
        /// The media type of the answer.
        content_type: Option<String>,
        /// The body in base64; `None` if it was too large to keep.
        body: Option<String>,
    },
}

/// Runs a request at most once, or answers from the record of an earlier execution.
///
/// # Errors
///
/// Returns a problem if the request is refused, or if an earlier execution is open or of unknown outcome.
pub async fn run(
    cx: &Arc<Shared>,
    call: Call,
    key: &str,
    caller: &Caller,
) -> api::Result<Response> {
    let store_key = store_key(&call, key);
    let record = Record {
        fingerprint: Name::from(hex::encode(call.fingerprint())),
        request_id: Name::new(&call.request_id),
        state: RecordState::Started,
    };
    let request_id = call.request_id.clone();
    let revision = match claim_record(cx, &store_key, &record).await {
        Ok(RecordClaim::Created(revision)) => revision,
        Ok(RecordClaim::Existing(entry)) => {
            return replay(&record, &entry).map_err(|it| it.with_request_id(&*request_id));
        }
        Err(problem) => return Err(problem.with_request_id(&*request_id)),
    };
    let owned_record = OwnedRecord { cx: Arc::clone(cx), key: store_key, record, revision };
    match online::run(cx, call, caller).await {
        Ended::Answered(answer) => owned_record.store_answer(answer.into_response()).await,
        Ended::Refused(problem) if problem.execution() == Execution::NotRun => {
            owned_record.release().await;
            Err(problem.with_request_id(request_id))
        }
        ended => {
            owned_record.finish(RecordState::Unknown).await;
            into_answer(ended, &request_id)
        }
    }
}

/// The outcome of creating a record.
enum RecordClaim {
    Created(Revision),
    Existing(Entry),
}

/// A record that this request created.
struct OwnedRecord {
    cx: Arc<Shared>,
    key: String,
    record: Record,
    revision: Revision,
}

impl OwnedRecord {
    /// Stores an answer and returns it for the caller.
    async fn store_answer(self, mut res: Response) -> api::Result<Response> {
        let status = Status::of(&res).code();
        let content_type = res.header("content-type").map(|it| it.last().as_str().to_owned());
        let is_small = res.len().is_some_and(|it| it <= MAX_STORED_BYTES);
        if !is_small {
            self.finish(RecordState::Answered { status, content_type, body: None }).await;
            return Ok(res);
        }
        let broken =
            |_| Problem::new(ProblemKind::TargetFailed, Execution::Ran, "the answer broke off");
        let bytes = res.body_bytes().await.map_err(broken)?;
        let body = Some(STANDARD.encode(&bytes));
        self.finish(RecordState::Answered { status, content_type, body }).await;
        set_body(&mut res, Body::from_bytes(bytes));
        Ok(res)
    }

    /// Removes the record of a request that was not run, so that a resend can run.
    async fn release(self) {
        match self.cx.store.delete(&self.key, Some(self.revision)).await {
            Ok(Outcome::Won(_)) => {}
            outcome => warn!(self.cx.log, "idempotency record not removed"; "outcome" => ?outcome),
        }
    }

    /// Stores the end of the execution. A failed write is retried in the background, so that it does not delay the
    /// answer.
    async fn finish(self, state: RecordState) {
        let record = Record { state, ..self.record.clone() };
        let Ok(value) = serde_json::to_vec(&record) else { return };
        if self.try_write(&value).await {
            return;
        }
        task::spawn(async move {
            for _ in 0..END_WRITE_ATTEMPTS {
                task::sleep(END_WRITE_RETRY_DELAY).await;
                if self.try_write(&value).await {
                    return;
                }
            }
            warn!(self.cx.log, "execution result not stored in the idempotency record"; "request" => %self.record.request_id);
        });
    }

    /// Returns whether the write is complete or no longer applies.
    async fn try_write(&self, value: &[u8]) -> bool {
        match self.cx.store.compare_and_swap(&self.key, self.revision, value).await {
            Ok(Outcome::Won(_)) => true,
            // A different record is found here only if the service was restored to an older state.
            Ok(Outcome::Lost(current)) => {
                info!(self.cx.log, "idempotency record changed"; "exists" => current.is_some());
                true
            }
            Ok(Outcome::Unknown) | Err(_) => false,
        }
    }
}

async fn claim_record(cx: &Shared, key: &str, record: &Record) -> api::Result<RecordClaim> {
    let unavailable = |detail: String| {
        Problem::new(ProblemKind::StoreUnavailable, Execution::NotRun, detail)
            .with_retry_after(OPEN_RETRY_AFTER)
    };
    let value = serde_json::to_vec(record).map_err(|e| unavailable(e.to_string()))?;
    match cx.store.create(key, &value).await {
        Ok(Outcome::Won(revision)) => {
            cx.platform_answered();
            Ok(RecordClaim::Created(revision))
        }
        Ok(Outcome::Lost(Some(entry))) => Ok(RecordClaim::Existing(entry)),
        Ok(Outcome::Lost(None) | Outcome::Unknown) => {
            Err(unavailable("the idempotency record could not be created for certain".to_owned()))
        }
        Err(e) => Err(unavailable(e.to_string())),
    }
}

/// Answers a resend from the record of the first execution.
fn replay(own: &Record, entry: &Entry) -> api::Result<Response> {
    let unreadable = |_| {
        Problem::new(
            ProblemKind::Conflict,
            Execution::Unknown,
            "the idempotency record cannot be read",
        )
    };
    let record: Record = serde_json::from_slice(&entry.value).map_err(unreadable)?;
    if record.fingerprint != own.fingerprint {
        let detail = "the Idempotency-Key was used for another request";
        return Err(Problem::new(ProblemKind::Conflict, Execution::NotRun, detail));
    }
    match record.state {
        RecordState::Started => {
            let detail = "a request with this Idempotency-Key is open";
            Err(Problem::new(ProblemKind::Conflict, Execution::Unknown, detail)
                .with_retry_after(OPEN_RETRY_AFTER))
        }
        RecordState::Unknown => {
            let detail = "it is not known whether the request with this Idempotency-Key ran";
            Err(Problem::new(ProblemKind::Conflict, Execution::Unknown, detail))
        }
        RecordState::Answered { body: None, .. } => {
            let detail = "the request ran; its answer was too large to keep";
            Err(Problem::new(ProblemKind::Conflict, Execution::Ran, detail))
        }
        RecordState::Answered { status, content_type, body: Some(body) } => {
            let damaged = || {
                Problem::new(
                    ProblemKind::Conflict,
                    Execution::Ran,
                    "the stored answer cannot be read",
                )
            };
            let bytes = STANDARD.decode(body).map_err(|_| damaged())?;
            let status = Status::try_from(status).map_err(|_| damaged())?;
            if status.promises_not_run() {
                return Err(UnfoundedPromise { status }.into_problem());
            }
            let mut res = status.into_response();
            if let Some(content_type) = content_type {
                res.insert_header("content-type", content_type);
            }
            set_body(&mut res, Body::from_bytes(bytes));
            res.insert_header("idempotent-replayed", "true");
            Ok(res)
        }
    }
}

/// Returns the key of the record. The caller's key is hashed because it may contain any character.
fn store_key(call: &Call, key: &str) -> String {
    format!(
        "idem/{}/{}/{}",
        call.account.origin,
        call.account.name,
        hex::encode(Sha256::digest(key))
    )
}
