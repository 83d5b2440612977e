//! The side of an exchange that has the request: sends it to the helper and receives the answer.

use std::{
    io,
    pin::Pin,
    str::FromStr as _,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_std::{
    io::{BufRead, BufReader, Read, ReadExt as _},
    task,
};
use futures::{
    future::{AbortHandle, Either, abortable, select},
    pin_mut,
};
use http_edge::{raw_target::RawTarget, signal::Signal, status::Status};
use http_types::{
    Body, Request, Response,
    headers::{HeaderName, HeaderValue, Headers},
};
use peer::{
    exchange::{EXCHANGE_KEEP_ALIVE, ExchangeError, ExchangeReceiver, ExchangeSender},
    message::exchange::{
        AnswerHead, BodyEnd, BodyPiece, ExchangeFailed, ExchangeMessage, FailureDiagnosis, Header,
        MAX_PIECE_BYTES, RequestHead,
    },
};
use policy::dispatch::FailureCause;
use slog::debug;
use stdx::Name;

use super::{
    failure::{SendError, TargetFailure},
    opening::{HelperUse, Opened},
    send::AnsweredThroughPeer,
};
use crate::{
    answer::{BodySender, body_channel, set_body},
    shared::Shared,
};

/// The pieces of an answer that wait for the reader.
const MAX_QUEUED_PIECES: usize = 4;

impl Opened {
    /// Sends a request through the helper and returns the answer as soon as its head has arrived. Dropping the future or the answer ends the
    /// exchange.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer head arrives.
    pub(super) async fn run(
        self,
        cx: &Shared,
        request_id: &str,
        req: Request,
    ) -> Result<Response, SendError> {
        let Self { tx, rx, helper, .. } = self;
        let peer = helper.name.clone();
        debug!(cx.log, "request sent through another daemon"; "request" => request_id, "peer" => %peer);
        cx.metrics.exchanges_through_peers.inc();
        let (pieces, body) = body_channel(MAX_QUEUED_PIECES);
        let (head_tx, head_rx) = async_channel::bounded(1);
        let carried_out = carry_out(tx, rx, helper, req, head_tx, pieces);
        let (run, abort) = abortable(carried_out);
        let exchange = AbortOnDrop(abort);
        task::spawn(run);
        let lost = |detail: &str| TargetFailure::PeerLost {
            peer: peer.clone(),
            detail: detail.to_owned(),
        };
        let head = match head_rx.recv().await {
            Ok(head) => head?,
            // The task has panicked.
            Err(_) => return Err(SendError::sent(lost("the exchange was given up"))),
        };
        let AnswerHead { status, headers, body_bytes, connection_age_ms } = head;
        let status = u16::try_from(status).ok().and_then(|it| Status::try_from(it).ok());
        let Some(mut res) = status.map(Status::into_response) else {
            return Err(SendError::sent(lost("the answer has no valid status")));
        };
        if !append_headers(res.as_mut(), headers) {
            return Err(SendError::sent(lost("the answer has a header that is not valid")));
        }
        let age = Duration::from_millis(connection_age_ms);
        let now = Instant::now();
        let opened_at = now.checked_sub(age).unwrap_or(now);
        res.ext_mut().insert(AnsweredThroughPeer { peer, opened_at });
        if body_bytes != Some(0) {
            let len = body_bytes.and_then(|it| usize::try_from(it).ok());
            let body = ExchangeBody { body: body.into_reader(), _exchange: exchange };
            set_body(&mut res, Body::from_reader(BufReader::new(body), len));
        }
        Ok(res)
    }
}

/// Ends the task of an exchange when its answer is no longer wanted.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The body of an answer; dropping it ends the exchange.
struct ExchangeBody {
    body: Box<dyn BufRead + Unpin + Send + Sync + 'static>,
    _exchange: AbortOnDrop,
}

impl Read for ExchangeBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

type HeadSender = async_channel::Sender<Result<AnswerHead, SendError>>;

/// Sends the request and receives the answer at the same time, until the exchange ends.
async fn carry_out(
    mut tx: ExchangeSender,
    mut rx: ExchangeReceiver,
    helper: HelperUse,
    req: Request,
    head: HeadSender,
    pieces: BodySender,
) {
    let answered = Signal::new();
    let send = send_request(&mut tx, req, &answered);
    let receive = receive_answer(&mut rx, &helper.name, &answered, head, pieces);
    pin_mut!(send, receive);
    match select(receive, send).await {
        Either::Left(_) => {}
        // The helper has closed the connection, and what it sent before has arrived or will not.
        Either::Right((_, receive)) => receive.await,
    }
}

/// Sends the request until the answer has begun, and then shows the helper that this side is alive. Ends with the connection.
async fn send_request(
    tx: &mut ExchangeSender,
    mut req: Request,
    answered: &Signal,
) -> Result<(), ExchangeError> {
    let mut body = req.take_body();
    let path = req.ext().get::<RawTarget>().cloned();
    let path = path.unwrap_or_else(|| RawTarget::of_url(req.url()));
    let head = RequestHead {
        method: req.method().to_string(),
        path: path.as_str().to_owned(),
        headers: headers_to_wire(req.as_ref()),
        body_bytes: body.len().map(|it| it as u64),
    };
    tx.send(ExchangeMessage::Request(head)).await?;
    let mut buf = vec![0; MAX_PIECE_BYTES];
    // What is left of a request after its answer has begun is not read by the target either.
    while !answered.is_set() {
        match body.read(&mut buf).await {
            Ok(0) => {
                tx.send(ExchangeMessage::End(BodyEnd {})).await?;
                break;
            }
            Ok(n) => {
                let bytes = buf[..n].to_vec().into();
                tx.send(ExchangeMessage::Piece(BodyPiece { bytes })).await?;
            }
            // The request does not end, which the helper takes for a request that broke off.
            Err(_) => return Err(ExchangeError::Closed),
        }
    }
    drop(buf);
    loop {
        task::sleep(EXCHANGE_KEEP_ALIVE).await;
        tx.keep_alive().await?;
    }
}

/// Receives the answer and passes it on; ends when it is complete, has failed or is no longer wanted.
async fn receive_answer(
    rx: &mut ExchangeReceiver,
    peer: &Name,
    answered: &Signal,
    head: HeadSender,
    pieces: BodySender,
) {
    loop {
        let received = rx.next().await;
        // If the receiver of the head has gone, the task is about to be aborted.
        let passed_on = match received {
            Ok(None) => continue,
            Ok(Some(ExchangeMessage::Answer(it))) if !answered.is_set() => {
                answered.set();
                let _ = head.send(Ok(it)).await;
                Ok(())
            }
            Ok(Some(ExchangeMessage::Piece(it))) if answered.is_set() => {
                pieces.piece(it.bytes.into()).await
            }
            Ok(Some(ExchangeMessage::End(_))) if answered.is_set() => {
                let _ = pieces.end().await;
                return;
            }
            Ok(Some(ExchangeMessage::Failed(it))) => {
                let sent = it.sent || answered.is_set();
                return fail(sent, reported_failure(peer, &it), &head, &pieces).await;
            }
            Ok(Some(_)) => {
                let failure = peer_lost(peer, &ExchangeError::Malformed);
                return fail(true, failure, &head, &pieces).await;
            }
            Err(e) => return fail(true, peer_lost(peer, &e), &head, &pieces).await,
        };
        if passed_on.is_err() {
            return;
        }
    }
}

/// Reports a failure to whoever waits for the answer: for its head, or for its body.
async fn fail(sent: bool, failure: TargetFailure, head: &HeadSender, pieces: &BodySender) {
    let error = match sent {
        true => SendError::sent(failure.clone()),
        false => SendError::not_sent(failure.clone()),
    };
    // If the head has arrived, nobody waits for this one.
    let _ = head.try_send(Err(error));
    let _ = pieces.error(failure.into_io()).await;
}

fn peer_lost(peer: &Name, error: &ExchangeError) -> TargetFailure {
    TargetFailure::PeerLost { peer: peer.clone(), detail: error.to_string() }
}

fn reported_failure(peer: &Name, failed: &ExchangeFailed) -> TargetFailure {
    let cause = match failed.diagnosis() {
        FailureDiagnosis::Crashed => FailureCause::Crashed,
        FailureDiagnosis::ConnectionLost => FailureCause::ConnectionLost,
        FailureDiagnosis::BadAnswer => FailureCause::BadAnswer,
        FailureDiagnosis::AnswerLost => FailureCause::AnswerLost,
        // The helper has lost its own link, which says nothing about the target.
        FailureDiagnosis::Unspecified => FailureCause::LinkLost,
    };
    let (empty_body, detail) = (failed.empty_body, failed.detail.clone());
    TargetFailure::ThroughPeer { peer: peer.clone(), cause, empty_body, detail }
}

pub(super) fn headers_to_wire(headers: &Headers) -> Vec<Header> {
    let values = headers.iter().flat_map(|(name, values)| {
        values
            .iter()
            .map(move |it| Header { name: name.as_str().to_owned(), value: it.as_str().to_owned() })
    });
    values.collect()
}

/// Appends headers; returns whether all are valid.
pub(super) fn append_headers(to: &mut Headers, headers: Vec<Header>) -> bool {
    headers.into_iter().all(|Header { name, value }| {
        let name = HeaderName::from_bytes(name.into_bytes());
        let value = HeaderValue::from_str(&value);
        match (name, value) {
            (Ok(name), Ok(value)) => {
                to.append(name, value);
                true
            }
            _ => false,
        }
    })
}
