//! The side of an exchange that has the connection to the target: passes a request on for another daemon, and its answer back.

use std::{future::Future, net::SocketAddr, str::FromStr as _, sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    io::{BufReader, ReadExt as _},
    task,
};
use futures::{
    future::{Either, select},
    pin_mut,
};
use http_edge::{
    client::{AnswerInfo, Failure, OpenConnection, Progress},
    raw_target::RawTarget,
    status::Status,
};
use http_types::{Body, Method, Request, Response, Url};
use peer::{
    exchange::{
        EXCHANGE_KEEP_ALIVE, ExchangeError, ExchangeReceiver, ExchangeSender, IncomingExchange,
    },
    message::exchange::{
        AnswerHead, BodyEnd, BodyPiece, DeclineReason, ExchangeDeclined, ExchangeFailed,
        ExchangeMessage, ExchangeOpen, ExchangeReady, FailureDiagnosis, MAX_PIECE_BYTES,
        RequestHead,
    },
};
use policy::{dispatch::FailureCause, paths::links::RECENT_CONTACT};
use slog::{debug, info};
use stdx::Name;

use super::{
    exchange::{append_headers, headers_to_wire},
    heard_ago,
    send::keep_idle,
};
use crate::{
    answer::{BodySender, body_channel},
    directory::{ServiceId, TargetName},
    online::attempt,
    online::protocol::{self, Liveness},
    shared::Shared,
    tasks::contain,
};

/// The part of the usual time that a new connection to a target may take. The daemon that asks waits for the answer, and others may be quicker.
const CONNECT_PART: u32 = 2;
/// How long hearing from a target shows that it is reached, so that no new connection is needed to prove it.
const CONTACT_VALIDITY: Duration = Duration::from_millis(250);
/// The pieces of a request that wait for the target.
const MAX_QUEUED_PIECES: usize = 2;

/// Carries out the exchanges that other daemons ask for, until the daemon stops.
pub async fn run(cx: Arc<Shared>, exchanges: async_channel::Receiver<IncomingExchange>) {
    while let Ok(exchange) = exchanges.recv().await {
        let cx = Arc::clone(&cx);
        task::spawn(async move {
            let request_id = exchange.open.request_id.clone();
            // After a panic, which has been logged, the connection closes without a last message.
            let _ = contain(&cx.log, &request_id, serve(&cx, exchange)).await;
        });
    }
}

/// An exchange that is carried out, with the target's connection.
struct Prepared {
    connection: OpenConnection,
    address: SocketAddr,
    contact_age: Duration,
}

async fn serve(cx: &Shared, exchange: IncomingExchange) {
    let IncomingExchange { open, mut rx, mut tx } = exchange;
    let serving = cx.target_paths.begin_serving();
    let prepared = match &serving {
        Some(_) => prepare(cx, &open).await,
        None => Err(DeclineReason::Busy),
    };
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(reason) => return decline(cx, &open, reason, tx, rx).await,
    };
    let load = u32::try_from(cx.target_paths.served_count()).unwrap_or(u32::MAX);
    let contact_age_ms = u32::try_from(prepared.contact_age.as_millis()).unwrap_or(u32::MAX);
    let ready = ExchangeReady { load, contact_age_ms };
    let is_sent = tx.send(ExchangeMessage::Ready(ready)).await.is_ok();
    let head = if is_sent { receive_head(&mut rx).await } else { None };
    let Some(head) = head else {
        // The other daemon only wanted to know, or has no use for the exchange any more.
        return keep_idle(cx, prepared.address, prepared.connection);
    };
    let (pieces, body) = body_channel(MAX_QUEUED_PIECES);
    let Some(req) = build_request(head, prepared.address, body) else {
        info!(cx.log, "exchange for another daemon is not valid"; "request" => &open.request_id, "peer" => &open.instance);
        return;
    };
    let started = cx.clock.now();
    cx.metrics.exchanges_for_peers.inc();
    let outcome = {
        // Reads on to the end of the connection, which tells that the answer is not wanted any more.
        let receive = receive_body(&mut rx, pieces);
        let answer = pass_on(cx, &open, &mut tx, prepared, req);
        pin_mut!(receive, answer);
        match select(answer, receive).await {
            // Closing a connection on which something unread has arrived would reset it, and the answer could be lost.
            Either::Left((Ok(()), receive)) => {
                receive.await;
                Ok(())
            }
            Either::Left((Err(e), _)) => Err(e),
            Either::Right(((), _)) => Err(ExchangeError::Closed),
        }
    };
    debug!(
        cx.log, "exchange carried out for another daemon";
        "request" => &open.request_id, "peer" => &open.instance, "target" => &open.target,
        "outcome" => ?outcome, "after_ms" => cx.clock.now().since(started).as_millis() as u64
    );
    drop(serving);
}

/// Decides whether to carry out an exchange, and takes or opens a connection to the target.
async fn prepare(cx: &Shared, open: &ExchangeOpen) -> Result<Prepared, DeclineReason> {
    let paths = &cx.target_paths;
    if !paths.is_enabled() || open.token != paths.token() {
        return Err(DeclineReason::NotAllowed);
    }
    if cx.draining.is_set() {
        return Err(DeclineReason::Draining);
    }
    let table = cx.directory.snapshot();
    let service = table.service(ServiceId(open.service)).cloned();
    let name = service.map(|service| TargetName { service, target: Name::new(&open.target) });
    let name = name.ok_or(DeclineReason::UnknownTarget)?;
    let address = cx.directory.address(&name.service, &name.target);
    let address = address.ok_or(DeclineReason::UnknownTarget)?;
    if !cx.evacuations.allows(cx, &name.service, &name.target) {
        return Err(DeclineReason::UnknownTarget);
    }
    if paths.is_lost(address) {
        return Err(DeclineReason::Unreachable);
    }
    let contact_age = heard_ago(cx, address).unwrap_or(Duration::MAX);
    // Each new connection costs the target time, so an idle one is used if this daemon's links work.
    let is_proven = contact_age < CONTACT_VALIDITY || (!open.needs_proof && hears_targets(cx));
    // Without a request, the question is whether new connections open.
    if is_proven
        && !open.request_id.is_empty()
        && let Some(connection) = cx.client.take_idle(address, &open.request_id)
    {
        return Ok(Prepared { connection, address, contact_age });
    }
    match timeout(paths.connect_timeout / CONNECT_PART, cx.client.connect(address)).await {
        Ok(Ok(connection)) => {
            paths.on_connected(cx, address);
            Ok(Prepared { connection, address, contact_age: Duration::ZERO })
        }
        Ok(Err(_)) | Err(_) => Err(DeclineReason::Unreachable),
    }
}

async fn decline(
    cx: &Shared,
    open: &ExchangeOpen,
    reason: DeclineReason,
    mut tx: ExchangeSender,
    mut rx: ExchangeReceiver,
) {
    let declined = ExchangeDeclined {
        reason: reason.into(),
        has_lost_links: cx.target_paths.lost_count() > 0,
        hears_targets: hears_targets(cx),
    };
    debug!(
        cx.log, "exchange declined";
        "request" => &open.request_id, "peer" => &open.instance, "target" => &open.target,
        "declined" => ?declined
    );
    if tx.send(ExchangeMessage::Declined(declined)).await.is_ok() {
        // The other daemon closes the connection when it has read this.
        let _ = rx.next().await;
    }
}

/// Returns whether something has just arrived from any target.
fn hears_targets(cx: &Shared) -> bool {
    cx.client.all_traffic().iter().any(|it| it.received_at.elapsed() < RECENT_CONTACT)
}

/// Receives the head of the request; `None` if the other daemon sends none.
async fn receive_head(rx: &mut ExchangeReceiver) -> Option<RequestHead> {
    loop {
        match rx.next().await {
            Ok(None) => {}
            Ok(Some(ExchangeMessage::Request(head))) => return Some(head),
            Ok(Some(_)) | Err(_) => return None,
        }
    }
}

fn build_request(head: RequestHead, address: SocketAddr, body: Body) -> Option<Request> {
    let RequestHead { method, path, headers, body_bytes } = head;
    let method = Method::from_str(&method).ok()?;
    let mut req = Request::new(method, Url::parse(&format!("http://{address}/")).ok()?);
    req.ext_mut().insert(RawTarget::parse(&path).ok()?);
    if body_bytes != Some(0) {
        let len = match body_bytes {
            Some(it) => Some(usize::try_from(it).ok()?),
            None => None,
        };
        req.set_body(Body::from_reader(BufReader::new(body.into_reader()), len));
        // Setting a body adds a media type.
        req.remove_header("content-type");
    }
    append_headers(req.as_mut(), headers).then_some(req)
}

/// Receives the body of the request, and whatever follows, until the connection ends or falls silent.
async fn receive_body(rx: &mut ExchangeReceiver, pieces: BodySender) {
    let mut pieces = Some(pieces);
    loop {
        match rx.next().await {
            Ok(None) => {}
            // If the target has answered before it has read the request, nobody reads the rest.
            Ok(Some(ExchangeMessage::Piece(piece))) => {
                if let Some(tx) = &pieces
                    && tx.piece(piece.bytes.into()).await.is_err()
                {
                    pieces = None;
                }
            }
            Ok(Some(ExchangeMessage::End(_))) => {
                if let Some(tx) = pieces.take() {
                    let _ = tx.end().await;
                }
            }
            // What ends without its end is not a whole request.
            Ok(Some(_)) | Err(_) => return,
        }
    }
}

/// Sends the request to the target and the answer to the other daemon.
async fn pass_on(
    cx: &Shared,
    open: &ExchangeOpen,
    tx: &mut ExchangeSender,
    prepared: Prepared,
    req: Request,
) -> Result<(), ExchangeError> {
    let Prepared { connection, address, .. } = prepared;
    let sent = cx.client.send_on(connection, &open.request_id, req);
    let mut res = match with_keep_alive(tx, sent).await? {
        Ok(res) => res,
        Err(e) => {
            let is_sent = e.progress == Progress::Sent;
            let failed = diagnose(cx, address, is_sent, Some(&e.failure), e.to_string());
            let failed = with_keep_alive(tx, failed).await?;
            return tx.send(ExchangeMessage::Failed(failed)).await;
        }
    };
    tx.send(ExchangeMessage::Answer(answer_head(&res))).await?;
    let mut buf = vec![0; MAX_PIECE_BYTES];
    loop {
        match with_keep_alive(tx, res.read(&mut buf)).await? {
            Ok(0) => return tx.send(ExchangeMessage::End(BodyEnd {})).await,
            Ok(n) => {
                let bytes = buf[..n].to_vec().into();
                tx.send(ExchangeMessage::Piece(BodyPiece { bytes })).await?;
            }
            Err(e) => {
                drop(res);
                let failed = diagnose(cx, address, true, Failure::from_io(&e), e.to_string());
                let failed = with_keep_alive(tx, failed).await?;
                return tx.send(ExchangeMessage::Failed(failed)).await;
            }
        }
    }
}

fn answer_head(res: &Response) -> AnswerHead {
    let age = res.ext().get::<AnswerInfo>().map_or(Duration::ZERO, |it| it.opened_at.elapsed());
    AnswerHead {
        status: Status::of(res).code().into(),
        headers: headers_to_wire(res.as_ref()),
        body_bytes: res.len().map(|it| it as u64),
        connection_age_ms: age.as_millis() as u64,
    }
}

/// Looks at the target after a failure.
async fn diagnose(
    cx: &Shared,
    address: SocketAddr,
    sent: bool,
    failure: Option<&Failure>,
    detail: String,
) -> ExchangeFailed {
    let empty_body = failure == Some(&Failure::EmptyBody);
    let diagnosis = match attempt::direct_failure_cause(failure) {
        FailureCause::ConnectionLost => match protocol::check_liveness(cx, address).await {
            Liveness::Alive => FailureDiagnosis::AnswerLost,
            Liveness::Ended => FailureDiagnosis::Crashed,
            // The link of this daemon may be lost.
            Liveness::Unknown => FailureDiagnosis::Unspecified,
        },
        _ => FailureDiagnosis::BadAnswer,
    };
    ExchangeFailed { sent, diagnosis: diagnosis.into(), detail, empty_body }
}

/// Waits for a step, and meanwhile shows the other daemon that this one is alive.
async fn with_keep_alive<T>(
    tx: &mut ExchangeSender,
    step: impl Future<Output = T>,
) -> Result<T, ExchangeError> {
    pin_mut!(step);
    loop {
        let pause = Box::pin(task::sleep(EXCHANGE_KEEP_ALIVE));
        match select(step.as_mut(), pause).await {
            Either::Left((done, _)) => return Ok(done),
            Either::Right(_) => tx.keep_alive().await?,
        }
    }
}
