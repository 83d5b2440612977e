//! Forwards an answer to the caller while it arrives, and resumes a broken event stream where it stopped.
//!
//! - `resumption`: asks a target for the rest of a stream.

mod resumption;

use std::{io, net::SocketAddr, sync::Arc};

use async_std::{io::ReadExt as _, task};
use futures::future::{Either, select};
use http_edge::server::Caller;
use http_types::Response;
use policy::{dispatch::FailureCause, versions::RecordedOrigin};
use slog::{debug, warn};
use stdx::{Name, Timestamp};

use self::resumption::ResumeOutcome;
use super::{
    Call, Resumption, attempt,
    event_gap::EventGapMeter,
    events::EventSplitter,
    protocol,
    source::{AnswerSource, VersionCheck},
    target_answer::TargetAnswer,
};
use crate::{
    answer::{BodySender, body_channel},
    control::Admission,
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
