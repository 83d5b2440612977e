//! Sends one request and receives the head of its answer.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::io::BufReader;
use async_std::io::prelude::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use bytes::{Buf, BytesMut};
use futures::future::poll_fn;
use http_types::{Body, Method, Request, Response};

use super::answer::{AnswerBody, BodyTerms};
use super::error::{Failure, Progress, SendError};
use super::head::{self, AnswerHead, KeepAliveTimeout, Parsed};
use super::pool::Connection;
use super::traffic::AddressTraffic;
use super::{AnswerInfo, Inner, Silence};
use crate::framing::{BodyDecoder, Framing};
use crate::status::Status;
use crate::timer::{GapEvent, GapTimer};

const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of interim answers before the final one.
const MAX_INTERIM_ANSWERS: usize = 8;

/// Progress of sending and receiving, read by the timer.
#[derive(Default)]
struct Activity {
    /// Bytes were sent or received since the timer last checked.
    progressed: AtomicBool,
    /// The client is waiting for bytes of the request body, which does not count as silence of the target.
    awaiting_body: AtomicBool,
    /// Some bytes of the request were passed to the kernel.
    sent: AtomicBool,
    /// Some bytes of the answer were received.
    received: AtomicBool,
}

pub(super) async fn run(
    inner: &Arc<Inner>,
    mut conn: Connection,
    reused: bool,
    request_id: &str,
    mut req: Request,
) -> Result<Response, SendError> {
    let started = Instant::now();
    let addr = conn.addr;
    let method = req.method();
    let body = req.take_body();
    let framing = request_framing(method, &body);
    let head = head::format(addr, request_id, &req, framing)
        .map_err(|failure| SendError::not_sent(addr, failure))?;
    let activity = Activity::default();
    conn.begin_exchange(request_id);
    let mut buf = std::mem::take(&mut conn.buf);
    let result = {
        let write = write_request(&conn.stream, head, body, framing, &activity);
        let read = read_head(&conn.stream, &conn.traffic, &mut buf, method, inner, &activity);
        let on_silence = |gap| {
            (inner.on_silence)(Silence {
                addr,
                request_id: request_id.to_owned(),
                gap,
                in_answer: false,
                connection: conn.handle(),
            });
        };
        send_and_receive_head(inner, write, read, &activity, on_silence).await
    };
    conn.buf = buf;
    let checked = result.and_then(|done| {
        let check = inner.settings.request_id_check.on_connection(reused);
        head::check_request_id(&done.head.res, request_id, check)?;
        Ok(done)
    });
    let done = checked.map_err(|failure| {
        let progress = match activity.sent.load(Ordering::Relaxed) {
            true => Progress::Sent,
            false => Progress::NotSent,
        };
        let failure = if conn.is_closed_by_owner() { Failure::ClosedByOwner } else { failure };
        SendError { addr, progress, failure }
    })?;
    let AnswerHead { mut res, framing, keep_alive, .. } = *done.head;
    let info = AnswerInfo {
        connection: conn.handle(),
        reused,
        opened_at: conn.opened_at,
        time_to_head: started.elapsed(),
        ends_with_connection: framing == Framing::UntilClose,
    };
    conn.keep_alive_timeout = res.ext().get::<KeepAliveTimeout>().map(|it| it.0);
    res.ext_mut().insert(info);
    let terms = BodyTerms {
        reusable: keep_alive && done.request == RequestEnd::Sent && framing != Framing::UntilClose,
        // A target that ends after its head leaves the same bytes as an empty body without a length. A failure says what it has to say
        // in its head.
        awaits_content: framing == Framing::UntilClose && Status::of(&res).is_success(),
        broken_by: match done.request {
            RequestEnd::Broken(failure) => Some(failure),
            RequestEnd::Sent | RequestEnd::Unfinished => None,
        },
    };
    let decoder = BodyDecoder::new(framing, inner.settings.max_body_bytes);
    let body = AnswerBody::new(Arc::clone(inner), conn, request_id, decoder, terms);
    let len = match framing {
        Framing::Length(0) => return Ok(res),
        Framing::Length(len) => usize::try_from(len).ok(),
        Framing::Chunked | Framing::UntilClose => None,
    };
    // Setting a body replaces the target's media type.
    let media_type = res.header("content-type").cloned();
    res.set_body(Body::from_reader(BufReader::new(body), len));
    if let Some(values) = media_type {
        res.insert_header("content-type", &values);
    }
    Ok(res)
}

fn request_framing(method: Method, body: &Body) -> Option<Framing> {
    match body.len() {
        None => Some(Framing::Chunked),
        // Methods without a defined body carry no framing header unless there is a body.
        Some(0) if !matches!(method, Method::Post | Method::Put | Method::Patch) => None,
        Some(len) => Some(Framing::Length(len as u64)),
    }
}

struct ReceivedHead {
    head: Box<AnswerHead>,
    request: RequestEnd,
}

/// How far the request was sent when the head of its answer arrived.
#[derive(Debug, PartialEq, Eq)]
enum RequestEnd {
    Sent,
    /// The rest is not sent, since the target has answered.
    Unfinished,
    /// Sending failed because the connection broke.
    Broken(Failure),
}

impl RequestEnd {
    fn of(written: Option<&Result<(), Failure>>) -> Self {
        match written {
            Some(Ok(())) => Self::Sent,
            // The target had ended its answer before it reset the connection; otherwise the kernel reports the reset.
            None | Some(Err(Failure::Io(io::ErrorKind::BrokenPipe))) => Self::Unfinished,
            Some(Err(failure)) => Self::Broken(failure.clone()),
        }
    }
}

/// Sends and receives at the same time, because a target may answer before it has read the whole request.
async fn send_and_receive_head(
    inner: &Inner,
    write: impl Future<Output = Result<(), Failure>>,
    read: impl Future<Output = Result<Box<AnswerHead>, Failure>>,
    activity: &Activity,
    on_silence: impl Fn(Duration),
) -> Result<ReceivedHead, Failure> {
    let settings = &inner.settings;
    let mut write = pin!(write);
    let mut read = pin!(read);
    let mut written = None;
    let mut timer = GapTimer::new(Some(settings.silence_after), settings.gap_timeout);
    poll_fn(|cx: &mut Context<'_>| {
        if written.is_none()
            && let Poll::Ready(result) = write.as_mut().poll(cx)
        {
            if let Err(failure @ Failure::RequestBody(_)) = result {
                return Poll::Ready(Err(failure));
            }
            timer.restart(settings.first_byte_timeout);
            written = Some(result);
        }
        if let Poll::Ready(result) = read.as_mut().poll(cx) {
            // If both halves failed, the failure to send is reported because it is closer to the cause.
            return Poll::Ready(match (result, &written) {
                (Ok(head), written) => {
                    Ok(ReceivedHead { head, request: RequestEnd::of(written.as_ref()) })
                }
                (Err(_), Some(Err(failure))) => Err(failure.clone()),
                (Err(failure), _) => Err(failure),
            });
        }
        if activity.progressed.swap(false, Ordering::Relaxed) {
            timer.progress();
        }
        loop {
            match timer.poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(_) if activity.awaiting_body.load(Ordering::Relaxed) => {
                    timer.progress();
                }
                Poll::Ready(GapEvent::Warning(gap)) => on_silence(gap),
                Poll::Ready(GapEvent::Expired) => {
                    let first = written.is_some() && !activity.received.load(Ordering::Relaxed);
                    return Poll::Ready(Err(match first {
                        true => Failure::FirstByteTimeout,
                        false => Failure::GapTimeout,
                    }));
                }
            }
        }
    })
    .await
}

async fn write_request(
    stream: &TcpStream,
    head: Vec<u8>,
    mut body: Body,
    framing: Option<Framing>,
    activity: &Activity,
) -> Result<(), Failure> {
    let mut out = head;
    let mut left = match framing {
        Some(Framing::Length(len)) => Some(len),
        Some(Framing::Chunked) => None,
        Some(Framing::UntilClose) | None => Some(0),
    };
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        if left == Some(0) {
            return write_all(stream, &out, activity).await;
        }
        // The head is buffered until the first bytes of the body are available and is sent in one write with them.
        activity.awaiting_body.store(true, Ordering::Relaxed);
        let n = body.read(&mut chunk).await.map_err(|e| Failure::RequestBody(e.kind()))?;
        activity.awaiting_body.store(false, Ordering::Relaxed);
        // The gap is measured from the time at which there are bytes to send again.
        activity.progressed.store(true, Ordering::Relaxed);
        match &mut left {
            Some(_) if n == 0 => return Err(Failure::RequestBody(io::ErrorKind::UnexpectedEof)),
            Some(left) => {
                *left = left.saturating_sub(n as u64);
                out.extend_from_slice(&chunk[..n]);
            }
            None => {
                out.extend_from_slice(format!("{n:x}\r\n").as_bytes());
                out.extend_from_slice(&chunk[..n]);
                out.extend_from_slice(b"\r\n");
                if n == 0 {
                    left = Some(0);
                }
            }
        }
        write_all(stream, &out, activity).await?;
        out.clear();
    }
}

async fn write_all(
    mut stream: &TcpStream,
    mut bytes: &[u8],
    activity: &Activity,
) -> Result<(), Failure> {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(Failure::Io(io::ErrorKind::WriteZero)),
            Ok(n) => {
                activity.sent.store(true, Ordering::Relaxed);
                activity.progressed.store(true, Ordering::Relaxed);
                bytes = &bytes[n..];
            }
            Err(e) => return Err(Failure::Io(e.kind())),
        }
    }
    Ok(())
}

async fn read_head(
    mut stream: &TcpStream,
    traffic: &AddressTraffic,
    buf: &mut BytesMut,
    method: Method,
    inner: &Inner,
    activity: &Activity,
) -> Result<Box<AnswerHead>, Failure> {
    let mut interim = 0;
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        match head::parse(buf, method)? {
            Parsed::Final(head) => {
                buf.advance(head.len);
                return Ok(head);
            }
            Parsed::Interim(len) => {
                buf.advance(len);
                interim += 1;
                if interim > MAX_INTERIM_ANSWERS {
                    return Err(Failure::MalformedHead("too many interim answers"));
                }
                continue;
            }
            Parsed::Partial if buf.len() > inner.settings.max_head_bytes => {
                return Err(Failure::MalformedHead("too long"));
            }
            Parsed::Partial => {}
        }
        match stream.read(&mut chunk).await {
            Ok(0) => return Err(Failure::ClosedBeforeAnswer),
            Ok(n) => {
                traffic.on_received();
                activity.received.store(true, Ordering::Relaxed);
                activity.progressed.store(true, Ordering::Relaxed);
                buf.extend_from_slice(&chunk[..n]);
            }
            Err(e) => return Err(Failure::Io(e.kind())),
        }
    }
}
