//! Forwards an answer to the caller while it arrives, and resumes a broken event stream where it stopped.

use std::{io, net::SocketAddr, sync::Arc};

use async_std::{future::timeout, io::ReadExt as _, task};
use futures::future::{Either, select};
use http_edge::{client::Progress, server::Caller, status::Status};
use http_types::{Request, Response, StatusCode};
use policy::{
    dispatch::{FailureCause, NotRunCause},
    versions::RecordedOrigin,
};
use serde_json::json;
use slog::{debug, info, warn};
use stdx::{Name, Timestamp};

use super::{
    Call, Message, Resumption, attempt,
    event_gap::EventGapMeter,
    events::EventSplitter,
    protocol,
    source::{AnswerSource, VersionCheck},
    target_answer::TargetAnswer,
};
use crate::{
    answer::{BodySender, body_channel},
    control::{Admission, Directive},
    settings::FleetSource,
    shared::Shared,
    target_paths::{AnsweredThroughPeer, TargetFailure, TargetRef},
    tasks::contain,
};

/// The maximum number of pieces that wait for the caller. Beyond it, reading from the target stops, so that a slow caller
/// costs little memory.
const MAX_QUEUED_PIECES: usize = 8;
const MAX_PIECE_BYTES: usize = 16 * 1024;
/// How often a stream is resumed on the same target without an event in between; one that breaks again and again shows that the target is faulty.
const MAX_RESUMES: u32 = 3;

/// The last event of a stream that cannot be completed, so that the caller does not take the stream for complete.
const ERROR_EVENT: &str = concat!(
    "event: error\n",
    "data: {\"type\":\"urn:borageshed:problem:target-failed\",\"title\":\"Target failed\",",
    "\"detail\":\"the answer broke off\",\"execution\":\"ran\"}\n\n",
);

/// Forwards one answer from its target to its caller.
pub struct AnswerForwarder {
    /// The context of the daemon.
    pub cx: Arc<Shared>,
    /// The request.
    pub call: Call,
    /// The address of the target.
    pub address: SocketAddr,
    /// The target that began the answer.
    pub target: Name,
    /// The version of that target.
    pub version: Name,
    /// Reports the progress of the request to the control thread.
    pub admission: Admission,
    /// The caller's connection.
    pub caller: Caller,
    /// When the attempt started.
    pub started: Timestamp,
}

/// Returns whether an answer is a stream of server-sent events.
pub fn is_event_stream(res: &Response) -> bool {
    res.header("content-type").is_some_and(|it| it.last().as_str().starts_with("text/event-stream"))
}

impl AnswerForwarder {
    /// Starts to forward an answer, of which `first` has already been read; `head` is its head for the caller.
    pub fn start(self, head: TargetAnswer, res: Response, first: Vec<u8>) -> TargetAnswer {
        let (tx, body) = body_channel(MAX_QUEUED_PIECES);
        let (log, request_id) = (self.cx.log.clone(), self.call.request_id.clone());
        let forward = async move {
            match is_event_stream(&res) {
                true => self.forward_events(res, tx).await,
                false => self.forward_bytes(res, first, tx).await,
            }
        };
        task::spawn(async move {
            // After a panic, which has been logged, the body ends with an error.
            let _ = contain(&log, &request_id, forward).await;
        });
        head.with_body(body)
    }

    async fn forward_bytes(self, mut res: Response, first: Vec<u8>, tx: BodySender) {
        let mut piece = first;
        let mut buf = vec![0; MAX_PIECE_BYTES];
        loop {
            match self.deliver(&tx, piece).await {
                Delivery::Accepted => {}
                Delivery::Stopped => return self.stop(&tx),
            }
            piece = match self.read(&mut res, &mut buf).await {
                Read::Piece(n) => buf[..n].to_vec(),
                Read::End => return self.complete(&tx, None).await,
                Read::Broken(e) => {
                    drop(res);
                    return self.fail(&tx, e).await;
                }
                Read::Stopped => return self.stop(&tx),
            };
        }
    }

    async fn forward_events(self, mut res: Response, tx: BodySender) {
        let engine_request_id =
            res.header("x-engine-request-id").map(|it| it.last().as_str().to_owned());
        let mut splitter = EventSplitter::after(self.call.last_event());
        let (mut meter, mut is_resumed) = (EventGapMeter::default(), false);
        let is_direct = res.ext().get::<AnsweredThroughPeer>().is_none();
        let mut resumes = 0;
        // Without an event between two breaks, the links are no longer the likely cause.
        let mut resumes_without_event = 0;
        // Events of the current attempt follow those of the attempts before it.
        let (mut events_before, mut has_output) = (0, false);
        let mut source = AnswerSource::of(&res, &self.target, &self.version);
        let mut buf = vec![0; MAX_PIECE_BYTES];
        loop {
            match self.read_events(&mut res, &mut buf, &mut splitter).await {
                EventRead::Whole(whole) => {
                    if !whole.is_empty() {
                        resumes_without_event = 0;
                    }
                    if !has_output && splitter.event_count() > events_before {
                        has_output = true;
                        self.admission.output_begun();
                        self.record_origin(&source);
                    }
                    // After a resumption on any target, `self.target` may not be the target that sends the stream.
                    if !is_resumed && is_direct {
                        protocol::report_event_gap(
                            &self.cx,
                            &self.call,
                            &self.target,
                            &mut meter,
                            splitter.event_count(),
                        );
                    }
                    match self.deliver(&tx, whole).await {
                        Delivery::Accepted => {}
                        Delivery::Stopped => return self.stop(&tx),
                    }
                }
                EventRead::End => {
                    return self.complete(&tx, Some(splitter.event_count())).await;
                }
                EventRead::Broken(e) => {
                    drop(res);
                    splitter.discard_partial();
                    is_resumed = true;
                    resumes += 1;
                    resumes_without_event += 1;
                    let may_stay = resumes_without_event <= MAX_RESUMES;
                    let resumed = match self.call.resumption {
                        Resumption::AnyTarget { after } => {
                            let last_event = splitter.last_id().or(after);
                            let can_go_on = splitter.can_go_on()
                                && (!has_output
                                    || self.check_version(&source).await
                                        == VersionCheck::Confirmed);
                            let resumed = match can_go_on {
                                true => {
                                    self.resume_on_any_target(&source, last_event, &e, may_stay)
                                        .await
                                }
                                false => ResumeOutcome::Failed,
                            };
                            splitter.begin_attempt();
                            resumed
                        }
                        _ if resumes > MAX_RESUMES => ResumeOutcome::Failed,
                        Resumption::Never | Resumption::SameTarget => {
                            self.resume_on_same_target(
                                engine_request_id.as_deref(),
                                splitter.event_count(),
                                &e,
                            )
                            .await
                        }
                    };
                    match resumed {
                        ResumeOutcome::Continued(next, next_source) => {
                            (events_before, has_output) = (splitter.event_count(), false);
                            (res, source) = (*next, next_source);
                        }
                        ResumeOutcome::Failed => {
                            self.deliver_error_event(&tx).await;
                            return self.fail(&tx, e).await;
                        }
                        ResumeOutcome::Refused => {
                            self.admission.refused();
                            // The caller may have gone.
                            let _ = tx.error(e).await;
                            return;
                        }
                        ResumeOutcome::Withdrawn => {
                            // The caller may have gone.
                            let _ = tx.error(e).await;
                            return;
                        }
                    }
                }
                EventRead::Stopped => {
                    drop(res);
                    if !self.caller.is_closed() {
                        self.deliver_error_event(&tx).await;
                    }
                    return self.stop(&tx);
                }
            }
        }
    }

    /// Remembers which target began the stream, in case its caller takes it up. Called before the first event is delivered.
    fn record_origin(&self, source: &AnswerSource) {
        if matches!(self.call.resumption, Resumption::AnyTarget { .. }) {
            let is_certain =
                source.check_known_version(&self.cx, &self.call.service) == VersionCheck::Confirmed;
            let origin = RecordedOrigin {
                version: source.version.clone(),
                target: (!is_certain).then(|| source.target.clone()),
            };
            let (service, stream) = (&self.call.service, self.call.stream_id());
            self.cx.streams.record(&self.cx, service, stream, &origin, source.opened_at);
        }
    }

    /// Sends the error event to callers that expect one.
    async fn deliver_error_event(&self, tx: &BodySender) {
        match self.cx.settings.source {
            FleetSource::Document => {
                // The answer ends after this event in any case.
                let _ = self.deliver(tx, ERROR_EVENT.as_bytes().to_vec()).await;
            }
            // These callers treat every event as one from the target.
            FleetSource::Operator => {}
        }
    }

    /// Continues the stream after an event: on the target that sent it if only the link there is lost, or else on one that the control thread
    /// chooses.
    async fn resume_on_any_target(
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
    async fn check_version(&self, source: &AnswerSource) -> VersionCheck {
        let time_left = self.call.time_left(self.cx.clock.now());
        source.check_version(&self.cx, &self.call.service, time_left).await
    }

    /// Requests the rest of the stream from the target that began it, over a new connection.
    async fn resume_on_same_target(
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

    async fn read_events(
        &self,
        res: &mut Response,
        buf: &mut [u8],
        splitter: &mut EventSplitter,
    ) -> EventRead {
        match self.read(res, buf).await {
            Read::Piece(n) => match splitter.push(&buf[..n]) {
                Ok(whole) => EventRead::Whole(whole),
                Err(e) => EventRead::Broken(e.into()),
            },
            Read::End => match splitter.finish() {
                Ok(()) => EventRead::End,
                Err(e) => EventRead::Broken(e.into()),
            },
            Read::Broken(e) => EventRead::Broken(e),
            Read::Stopped => EventRead::Stopped,
        }
    }

    async fn read(&self, res: &mut Response, buf: &mut [u8]) -> Read {
        // If the target sends without end, bytes are always ready, and the timer below alone would not stop the stream.
        if self.call.deadline.is_some_and(|it| it <= self.cx.clock.now()) {
            return Read::Stopped;
        }
        match select(Box::pin(self.stopped()), Box::pin(res.read(buf))).await {
            Either::Left(_) => Read::Stopped,
            Either::Right((Ok(0), _)) => Read::End,
            Either::Right((Ok(n), _)) => Read::Piece(n),
            Either::Right((Err(e), _)) => Read::Broken(e),
        }
    }

    /// Waits for a directive, the deadline or the close of the caller's connection.
    async fn stopped(&self) {
        let directive_or_gone =
            select(Box::pin(self.admission.next()), Box::pin(self.caller.closed()));
        let deadline_passed = async {
            match self.call.deadline {
                Some(deadline) => task::sleep(deadline.since(self.cx.clock.now())).await,
                None => futures::future::pending().await,
            }
        };
        select(directive_or_gone, Box::pin(deadline_passed)).await;
    }

    /// Sends a piece to the caller, which may read slowly.
    async fn deliver(&self, tx: &BodySender, piece: Vec<u8>) -> Delivery {
        if piece.is_empty() {
            return Delivery::Accepted;
        }
        match select(Box::pin(tx.piece(piece)), Box::pin(self.stopped())).await {
            Either::Left((Ok(()), _)) => Delivery::Accepted,
            Either::Left((Err(_), _)) | Either::Right(_) => Delivery::Stopped,
        }
    }

    async fn complete(self, tx: &BodySender, tokens: Option<u64>) {
        attempt::observe_request(&self.cx, &self.call, self.started);
        self.admission.completed(tokens);
        // Waits for a caller that reads slowly; the caller may have gone.
        let _ = tx.end().await;
    }

    async fn fail(self, tx: &BodySender, error: io::Error) {
        warn!(self.cx.log, "answer broke off"; "request" => &self.call.request_id, "error" => %error);
        let cause = self.diagnose(&self.target, &error).await;
        self.admission.failed_after_send(cause);
        // The caller may have gone.
        let _ = tx.error(error).await;
    }

    /// Returns why the answer of a target broke off.
    async fn diagnose(&self, target: &Name, error: &io::Error) -> FailureCause {
        let service = &self.call.service;
        // A target that has gone since is looked for at its former address.
        let address = self.cx.directory.address(service, target).unwrap_or(self.address);
        let to = TargetRef { service, target, address };
        attempt::diagnose_failure(&self.cx, to, TargetFailure::from_io(error).as_ref()).await
    }

    /// Ends the answer because of a directive, the deadline or a caller that has gone. The body ends with an error, because its sender is
    /// dropped without the end.
    fn stop(self, tx: &BodySender) {
        let is_queue_full = tx.is_full();
        debug!(
            self.cx.log, "answer stopped";
            "request" => &self.call.request_id, "caller_gone" => self.caller.is_closed(), "queue_full" => is_queue_full
        );
        if is_queue_full {
            // A caller that does not read would not learn of the end, and its connection would stay open.
            self.caller.close();
        }
    }
}

/// The outcome of an attempt to resume a broken stream.
enum ResumeOutcome {
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

/// What became of a piece for the caller.
enum Delivery {
    Accepted,
    /// The answer ends here: a directive arrived, the deadline passed or the caller has gone.
    Stopped,
}

enum Read {
    Piece(usize),
    End,
    Broken(io::Error),
    Stopped,
}

enum EventRead {
    /// The events that a piece completed; possibly none.
    Whole(Vec<u8>),
    End,
    Broken(io::Error),
    Stopped,
}
