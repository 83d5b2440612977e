//! Resumes a broken event stream where it stopped.

use std::{io, sync::Arc};

use async_std::future::timeout;
use futures::future::{Either, select};
use http_edge::{client::Progress, status::Status};
use http_types::{Request, Response, StatusCode};
use policy::dispatch::{FailureCause, NotRunCause};
use serde_json::json;
use slog::info;
use stdx::Name;

use super::{AnswerForwarder, is_event_stream};
use crate::{
    control::Directive,
    online::{
        Message, attempt, protocol,
        source::{AnswerSource, VersionCheck},
    },
    target_paths::TargetRef,
};

/// The outcome of an attempt to resume a broken stream.
pub(super) enum ResumeOutcome {
    /// This target sends the rest of the stream.
    Continued(Box<Response>, AnswerSource),
    /// The stream cannot be continued; the failure has not been reported to the control thread yet.
    Failed,
    /// The control thread refused the request.
    Refused,
    /// A drain leaves too little time, or the version of targets cannot be confirmed; the control thread learns of it when the admission
    /// is dropped.
    Withdrawn,
}

/// The outcome of asking one target for the rest of a stream.
enum ResumeAttempt {
    /// This target sends it.
    Sending(Box<Response>, AnswerSource),
    /// It does not, which has been reported to the control thread.
    Failed,
    /// It is not certain whether the target has the version that began the stream.
    Unconfirmed,
}

impl AnswerForwarder {
    /// Continues the stream after an event: on the target that sent it if only the link there is lost, or else on one that the control thread
    /// chooses.
    pub(super) async fn resume_on_any_target(
        &self,
        source: &AnswerSource,
        last_event: Option<u64>,
        error: &io::Error,
        may_stay: bool,
    ) -> ResumeOutcome {
        let cause = self.diagnose(&source.target, error).await;
        info!(
            self.cx.log, "stream broke";
            "request" => &self.call.request_id, "target" => %source.target, "last_event" => last_event,
            "cause" => ?cause, "error" => %error
        );
        if cause == FailureCause::LinkLost && may_stay {
            // The target itself is sound, and keeps what it has read of the prompt, so the stream goes on there through another daemon.
            match self.resume_on((&source.target, &source.version), last_event).await {
                ResumeAttempt::Sending(res, source) => {
                    return ResumeOutcome::Continued(res, source);
                }
                ResumeAttempt::Failed => {}
                ResumeAttempt::Unconfirmed => return ResumeOutcome::Withdrawn,
            }
        } else {
            self.admission.failed_after_send(cause);
        }
        loop {
            let too_late = Box::pin(self.cx.drain.too_late(&self.cx.clock, &self.call));
            let late_or_gone = select(too_late, Box::pin(self.caller.closed()));
            let directive = match select(late_or_gone, Box::pin(self.admission.next())).await {
                Either::Left((Either::Left(_), _)) => return ResumeOutcome::Withdrawn,
                Either::Right((Some(directive), _)) => directive,
                Either::Left((Either::Right(_), _)) | Either::Right((None, _)) => {
                    return ResumeOutcome::Failed;
                }
            };
            match directive {
                Directive::Dispatch { target, version, .. } => {
                    match self.resume_on((&target, &version), last_event).await {
                        ResumeAttempt::Sending(res, source) => {
                            return ResumeOutcome::Continued(res, source);
                        }
                        ResumeAttempt::Failed => {}
                        // Another target could not be confirmed either.
                        ResumeAttempt::Unconfirmed => return ResumeOutcome::Withdrawn,
                    }
                }
                Directive::Yield | Directive::Cancel => {}
                Directive::Refuse(_) | Directive::OverRate(_) => return ResumeOutcome::Refused,
            }
        }
    }

    /// Requests the rest of the stream from a target; reports the failure if the target does not send it.
    async fn resume_on(
        &self,
        (target, version): (&Name, &Name),
        last_event: Option<u64>,
    ) -> ResumeAttempt {
        let Some(address) = self.cx.directory.address(&self.call.service, target) else {
            self.admission.failed_before_send();
            return ResumeAttempt::Failed;
        };
        let to = TargetRef { service: &self.call.service, target, address };
        if !self.cx.evacuations.allows(&self.cx, &self.call.service, target) {
            self.admission.not_run(NotRunCause::Evacuated);
            return ResumeAttempt::Failed;
        }
        let sent_at = self.cx.clock.now();
        let time_left = self.call.time_left(sent_at);
        let sent = protocol::send(&self.cx, &self.call, to, last_event);
        let res = match timeout(time_left, sent).await {
            Ok(Ok(res)) => res,
            Ok(Err(e)) if e.progress == Progress::NotSent => {
                self.admission.failed_before_send();
                return ResumeAttempt::Failed;
            }
            Ok(Err(e)) => {
                let cause = attempt::diagnose_failure(&self.cx, to, Some(&e.failure)).await;
                self.admission.failed_after_send(cause);
                return ResumeAttempt::Failed;
            }
            Err(_) => {
                self.admission.failed_after_send(FailureCause::BadAnswer);
                return ResumeAttempt::Failed;
            }
        };
        if let Some(cause) = protocol::not_run_cause(&self.cx, &self.call, target, &res, sent_at) {
            self.admission.not_run(cause);
            return ResumeAttempt::Failed;
        }
        if Status::of(&res) != StatusCode::Ok.into() || !is_event_stream(&res) {
            self.admission.failed_after_send(FailureCause::BadAnswer);
            return ResumeAttempt::Failed;
        }
        let source = AnswerSource::of(&res, target, version);
        if last_event.is_some() {
            match self.check_version(&source).await {
                VersionCheck::Confirmed => {}
                VersionCheck::Changed => {
                    // The target is sound, but what it sends does not continue what the caller has.
                    drop(res);
                    self.admission.failed_after_send(FailureCause::AnswerLost);
                    return ResumeAttempt::Failed;
                }
                VersionCheck::Unconfirmed => return ResumeAttempt::Unconfirmed,
            }
        }
        info!(
            self.cx.log, "stream resumed";
            "request" => &self.call.request_id, "target" => %target, "version" => %version, "last_event" => last_event
        );
        self.admission.first_byte();
        ResumeAttempt::Sending(Box::new(res), source)
    }

    /// Checks that a target of the version under which the request was placed sends the answer.
    pub(super) async fn check_version(&self, source: &AnswerSource) -> VersionCheck {
        let time_left = self.call.time_left(self.cx.clock.now());
        source.check_version(&self.cx, &self.call.service, time_left).await
    }

    /// Requests the rest of the stream from the target that began it, over a new connection.
    pub(super) async fn resume_on_same_target(
        &self,
        engine_request_id: Option<&str>,
        from: u64,
        error: &io::Error,
    ) -> ResumeOutcome {
        let Some(req) = engine_request_id.and_then(|it| self.resume_request(it, from)) else {
            return ResumeOutcome::Failed;
        };
        if !self.cx.evacuations.allows(&self.cx, &self.call.service, &self.target) {
            return ResumeOutcome::Failed;
        }
        let sent =
            self.cx.client.send_over_new_connection(self.address, &self.call.request_id, req);
        let resumed = match sent.await {
            Ok(res) if Status::of(&res) == StatusCode::Ok.into() && is_event_stream(&res) => {
                Some(res)
            }
            Ok(_) | Err(_) => None,
        };
        info!(
            self.cx.log, "stream broke";
            "request" => &self.call.request_id, "events" => from, "resumed" => resumed.is_some(), "error" => %error
        );
        resumed.map_or(ResumeOutcome::Failed, |it| {
            let source = AnswerSource::of(&it, &self.target, &self.version);
            ResumeOutcome::Continued(Box::new(it), source)
        })
    }

    fn resume_request(&self, engine_request_id: &str, from: u64) -> Option<Request> {
        let mut members: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(&self.call.message.body).ok()?;
        members.insert("engine_request_id".to_owned(), json!(engine_request_id));
        members.insert("resume_from".to_owned(), json!(from));
        let message = Message {
            method: self.call.message.method,
            path: self.call.message.path.clone(),
            headers: self.call.message.headers.clone(),
            body: serde_json::to_vec(&members).ok()?,
            memory: None,
        };
        Arc::new(message).request(self.address)
    }
}
