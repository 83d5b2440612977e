//! Sends a request over the path that works.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Instant,
};

use async_std::{
    future::timeout,
    io::{BufRead, BufReader, Read},
};
use futures::future::{BoxFuture, Either, select};
use http_edge::client::{Failure, OpenConnection, Progress};
use http_types::{Body, Request, Response};
use policy::paths::{LinkFault, Path};
use slog::debug;
use stdx::Name;

use super::{
    LinkLoss, TargetRef,
    failure::{SendError, TargetFailure},
    opening::{Opened, Purpose, open_exchange},
};
use crate::{answer::set_body, shared::Shared};

/// The part of the time for a new connection after which other daemons are asked whether they reach the target. Most connections open within a
/// few milliseconds; a lost packet costs a detour.
const HEDGE_PART: u32 = 3;

/// A request that is to be sent to a target.
pub struct Outgoing<'a> {
    /// The id that the target receives and returns.
    pub request_id: &'a str,
    /// What may happen if the link is lost after the request was sent.
    pub on_loss: OnLoss,
    /// Whether an idle connection may carry the request.
    pub may_reuse: bool,
    /// Builds the request when it is sent, so that the time left is current; `None` if it cannot be built.
    pub build: &'a (dyn Fn() -> Option<Request> + Send + Sync),
}

/// What may happen if the link is lost after a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnLoss {
    /// Nothing: the request may run once, so its answer is awaited.
    Wait,
    /// The request is sent again, as long as the head of its answer has not arrived.
    SendAgain,
    /// As [`Self::SendAgain`], and an answer that has begun breaks off, since it can be resumed.
    SendAgainOrResume,
}

/// Marks an answer that came through another daemon; read it with `res.ext().get::<AnsweredThroughPeer>()`.
#[derive(Debug, Clone)]
pub struct AnsweredThroughPeer {
    /// That daemon.
    pub peer: Name,
    /// When its connection to the target had been opened, or later.
    pub opened_at: Instant,
}

/// Sends a request to a target and returns the answer as soon as its head has arrived.
///
/// The request goes over a direct connection, or through another daemon if the link is lost and that daemon reaches the target. It is sent again
/// only if nothing was sent before, or if [`Outgoing::on_loss`] allows it.
///
/// # Errors
///
/// Fails if no valid answer head arrives. Reading the body fails with an error from which [`TargetFailure::from_io`] extracts the reason.
pub async fn send(
    cx: &Shared,
    to: TargetRef<'_>,
    outgoing: &Outgoing<'_>,
) -> Result<Response, SendError> {
    let mut path = cx.target_paths.path(cx, to.address);
    let idle = match path {
        Path::Peer => None,
        Path::Direct | Path::OpenConnectionOrPeer => take_idle(cx, to, outgoing),
    };
    let mut was_sent = false;
    if let Some(connection) = idle {
        match send_directly(cx, to, connection, outgoing).await {
            Some(result) => return result,
            None => (path, was_sent) = (Path::Peer, true),
        }
    }
    let result = send_over_new_connection(cx, to, path, outgoing).await;
    result.map_err(|e| match was_sent {
        true => SendError::sent(e.failure),
        false => e,
    })
}

async fn send_over_new_connection(
    cx: &Shared,
    to: TargetRef<'_>,
    path: Path,
    outgoing: &Outgoing<'_>,
) -> Result<Response, SendError> {
    if path != Path::Direct
        && let Some(result) = send_through_peer(cx, to, None, outgoing).await
    {
        return result;
    }
    let purpose = Purpose::Send { request_id: outgoing.request_id };
    let (opened, not_carried_out) = match connect_or_ask(cx, to, purpose).await? {
        Connected::ThroughPeer(opened) => {
            (Some(*opened), SendError::not_sent(Failure::ConnectTimeout))
        }
        Connected::Direct(connection) => match send_directly(cx, to, connection, outgoing).await {
            Some(result) => return result,
            None => (None, SendError::sent(TargetFailure::LinkLost)),
        },
    };
    send_through_peer(cx, to, opened, outgoing).await.unwrap_or(Err(not_carried_out))
}

/// Returns whether the link to a target is lost: no direct connection can be opened, and another daemon has just opened one.
///
/// Asked after a connection broke, to tell a failure of the link from one of the target.
pub(crate) async fn is_link_lost(cx: &Shared, to: TargetRef<'_>) -> bool {
    let paths = &cx.target_paths;
    if !paths.is_enabled() {
        return false;
    }
    if !paths.is_lost(to.address) {
        check_link(cx, to).await;
    }
    paths.is_lost(to.address)
}

enum Connected {
    Direct(OpenConnection),
    ThroughPeer(Box<Opened>),
}

fn take_idle(cx: &Shared, to: TargetRef<'_>, outgoing: &Outgoing<'_>) -> Option<OpenConnection> {
    outgoing.may_reuse.then(|| cx.client.take_idle(to.address, outgoing.request_id)).flatten()
}

/// Sends a request over a direct connection; `None` if the link was lost before the head of the answer arrived, and the request may be sent
/// again.
async fn send_directly(
    cx: &Shared,
    to: TargetRef<'_>,
    connection: OpenConnection,
    outgoing: &Outgoing<'_>,
) -> Option<Result<Response, SendError>> {
    let Some(req) = (outgoing.build)() else { return Some(Err(not_built())) };
    let sent = Box::pin(cx.client.send_on(connection, outgoing.request_id, req));
    if outgoing.on_loss == OnLoss::Wait || !cx.target_paths.is_enabled() {
        return Some(sent.await.map_err(SendError::from));
    }
    let lost = Box::pin(cx.target_paths.until_silent_loss(&cx.client, to.address));
    let result = match select(sent, lost).await {
        Either::Left((result, _)) => result,
        Either::Right(((), sent)) => {
            // Resets the connection before the request is sent again.
            drop(sent);
            log_lost(cx, to, outgoing);
            return None;
        }
    };
    match result {
        Ok(res) if outgoing.on_loss == OnLoss::SendAgainOrResume => {
            Some(Ok(break_on_loss(cx, to, res)))
        }
        Ok(res) => Some(Ok(res)),
        Err(e) if is_broken(&e.failure) && is_link_lost(cx, to).await => {
            log_lost(cx, to, outgoing);
            None
        }
        Err(e) => Some(Err(e.into())),
    }
}

fn log_lost(cx: &Shared, to: TargetRef<'_>, outgoing: &Outgoing<'_>) {
    debug!(
        cx.log, "request leaves a lost link";
        "request" => outgoing.request_id, "target" => %to.target
    );
}

/// Returns whether a connection broke before the head of an answer.
fn is_broken(failure: &Failure) -> bool {
    matches!(failure, Failure::Io(_) | Failure::ClosedBeforeAnswer | Failure::ClosedByOwner)
}

/// Sends a request through other daemons; `None` if none has a connection to the target, so that nothing was sent.
async fn send_through_peer(
    cx: &Shared,
    to: TargetRef<'_>,
    first: Option<Opened>,
    outgoing: &Outgoing<'_>,
) -> Option<Result<Response, SendError>> {
    const MAX_HELPERS: usize = 3;
    let mut excluded = Vec::new();
    let mut next = first;
    for _ in 0..MAX_HELPERS {
        let opened = match next.take() {
            Some(opened) => opened,
            None => {
                let purpose = Purpose::Send { request_id: outgoing.request_id };
                open_exchange(cx, to, purpose, &mut excluded).await?
            }
        };
        excluded.push(opened.peer().clone());
        let Some(req) = (outgoing.build)() else { return Some(Err(not_built())) };
        match opened.run(cx, outgoing.request_id, req).await {
            Err(e) if e.progress == Progress::NotSent => {
                debug!(
                    cx.log, "exchange not carried out";
                    "request" => outgoing.request_id, "target" => %to.target, "error" => %e
                );
            }
            result => return Some(result),
        }
    }
    None
}

fn not_built() -> SendError {
    SendError::not_sent(Failure::InvalidRequest("the request cannot be built"))
}

/// Opens a direct connection to a target and records the result. If that does not succeed at once, asks other daemons, unless the link is known to
/// be lost.
pub(super) async fn check_link(cx: &Shared, to: TargetRef<'_>) {
    if cx.target_paths.is_lost(to.address) {
        if let Ok(connection) = cx.client.connect(to.address).await {
            cx.target_paths.on_connected(cx, to.address);
            keep_idle(cx, to.address, connection);
        }
        return;
    }
    match connect_or_ask(cx, to, Purpose::Check).await {
        Ok(Connected::Direct(connection)) => keep_idle(cx, to.address, connection),
        Ok(Connected::ThroughPeer(_)) => {}
        Err(e) => {
            debug!(cx.log, "link to a target checked"; "target" => %to.target, "error" => %e);
        }
    }
}

/// Keeps a connection that no request has used, so that the next request needs no new one, unless there is an idle one already: targets accept
/// a limited number from all daemons.
pub(super) fn keep_idle(cx: &Shared, address: SocketAddr, connection: OpenConnection) {
    if cx.client.idle_count(address) == 0 {
        cx.client.put_back(connection);
    }
}

/// Opens a direct connection, or an exchange with a daemon that reaches the target if that does not succeed at once.
async fn connect_or_ask(
    cx: &Shared,
    to: TargetRef<'_>,
    purpose: Purpose<'_>,
) -> Result<Connected, SendError> {
    let on_connected = |connection| {
        cx.target_paths.on_connected(cx, to.address);
        Connected::Direct(connection)
    };
    let mut connect = Box::pin(cx.client.connect(to.address));
    if !cx.target_paths.is_enabled() {
        return Ok(on_connected(connect.await?));
    }
    let hedge_delay = cx.target_paths.connect_timeout / HEDGE_PART;
    let mut excluded = Vec::new();
    let ask = Box::pin(open_exchange(cx, to, purpose, &mut excluded));
    let failed = match timeout(hedge_delay, &mut connect).await {
        Ok(Ok(connection)) => return Ok(on_connected(connection)),
        Ok(Err(e)) => e,
        Err(_) => match select(connect, ask).await {
            Either::Left((Ok(connection), _)) => return Ok(on_connected(connection)),
            Either::Left((Err(e), ask)) => return finish_asking(cx, to, e.into(), ask).await,
            Either::Right((Some(opened), _)) => {
                return Ok(on_lost(cx, to, LinkFault::Hangs, opened));
            }
            Either::Right((None, connect)) => return Ok(on_connected(connect.await?)),
        },
    };
    finish_asking(cx, to, failed.into(), ask).await
}

/// Waits for the answers of other daemons after a direct connection could not be opened.
async fn finish_asking(
    cx: &Shared,
    to: TargetRef<'_>,
    failed: SendError,
    ask: impl Future<Output = Option<Opened>>,
) -> Result<Connected, SendError> {
    let fault = match failed.failure {
        TargetFailure::Direct(Failure::ConnectTimeout) => LinkFault::Hangs,
        _ => LinkFault::Refused,
    };
    let opened = ask.await.ok_or(failed)?;
    Ok(on_lost(cx, to, fault, opened))
}

fn on_lost(cx: &Shared, to: TargetRef<'_>, fault: LinkFault, opened: Opened) -> Connected {
    let loss = LinkLoss { fault, peer: opened.peer(), peer_contact_age: opened.contact_age() };
    cx.target_paths.on_lost(cx, to.address, &loss);
    Connected::ThroughPeer(Box::new(opened))
}

/// Makes the body of an answer break off when the link is lost.
fn break_on_loss(cx: &Shared, to: TargetRef<'_>, mut res: Response) -> Response {
    let body = res.take_body();
    let len = body.len();
    let (paths, client) = (Arc::clone(&cx.target_paths), cx.client.clone());
    let address = to.address;
    let lost = async move { paths.until_silent_loss(&client, address).await };
    let reader = BodyOverLink { body: body.into_reader(), lost: Mutex::new(Box::pin(lost)) };
    set_body(&mut res, Body::from_reader(BufReader::new(reader), len));
    res
}

/// The body of an answer that breaks off when the link is lost.
struct BodyOverLink {
    body: Box<dyn BufRead + Unpin + Send + Sync + 'static>,
    // The mutex makes the future `Sync`, which a body must be; it is never contended.
    lost: Mutex<BoxFuture<'static, ()>>,
}

impl Read for BodyOverLink {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(read) = Pin::new(&mut self.body).poll_read(cx, buf) {
            return Poll::Ready(read);
        }
        let lost = self.lost.get_mut().unwrap_or_else(PoisonError::into_inner);
        lost.as_mut().poll(cx).map(|()| Err(TargetFailure::LinkLost.into_io()))
    }
}
