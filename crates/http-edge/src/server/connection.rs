//! Serves one connection of a caller.

use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use async_h1::server::Encoder;
use async_std::future::timeout;
use async_std::io::prelude::{ReadExt, WriteExt};
use async_std::io::{BufReader, Read, Write};
use async_std::net::TcpStream;
use futures::future::{Either, FutureExt, poll_fn, select};
use http_types::{Body, Method, Request, Response};

use super::caller::Caller;
use super::head::{self, Head, HeadError};
use super::input::{FREE_BODY_BYTES, FillOutcome, Input};
use super::pace::Pace;
use super::{ServerLimits, Shared, count, status_line};
use crate::framing::{BodyDecoder, BodyError, Framing};
use crate::problem::{Execution, Problem, ProblemKind};
use crate::status::{Status, StatusClass};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Minimum free space for another read into the write buffer; the chunk encoder of `async-h1` panics on tiny buffers.
const MIN_ENCODE_BYTES: usize = 1024;

/// Maximum number of bytes that are discarded after an early final answer.
const MAX_LINGER_BYTES: usize = 16 * 1024 * 1024;

/// What a request costs while it is handled: its entries in queues, the connection to its target, and the buffers of its answer.
const EXCHANGE_BYTES: usize = 80 * 1024;

/// What each header field of a request costs while it is handled: it is kept as received, as forwarded and as sent.
const FIELD_BYTES: usize = 1024;

/// Maximum size of the bytes that are read ahead of a handler beyond the buffer of an idle connection.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// What the connection does after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Reads the next request.
    Continue,
    /// Closes after the caller had time to read the answer, because bytes from the caller may be unread.
    Linger,
    Close,
}

/// Serves a connection until it ends or is closed through its handle.
pub(crate) async fn run<S>(cx: &Arc<Shared<S>>, stream: TcpStream, caller: Caller)
where
    S: Clone + Send + Sync + 'static,
{
    let closed = caller.close_signal().clone();
    let conn = Connection { cx, stream: &stream, caller: &caller, input: Input::new() };
    let serve = pin!(conn.serve());
    let close = pin!(closed.wait());
    // `select` polls `close` first, so a close takes precedence over bytes that are ready to be sent.
    if let Either::Left(_) = select(close, serve).await {
        // Other clones of the stream may exist, so dropping this one might not close the socket.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Answers a connection that exceeds the connection limit with 503.
pub(crate) async fn refuse(limits: &ServerLimits, stream: TcpStream) {
    let problem = Problem::new(
        ProblemKind::TooManyConnections,
        Execution::NotRun,
        "the instance has as many connections as it accepts",
    )
    .with_retry_after(limits.refusal_retry_after);
    if answer_problem(limits, &stream, problem).await.is_ok() {
        linger(limits, &stream).await;
    }
}

struct Connection<'a, S> {
    cx: &'a Arc<Shared<S>>,
    stream: &'a TcpStream,
    caller: &'a Caller,
    input: Input,
}

impl<S: Clone + Send + Sync + 'static> Connection<'_, S> {
    async fn serve(&self) {
        loop {
            self.caller.set_waiting(true);
            let head = self.read_head().await;
            self.caller.set_waiting(false);
            let next = match head {
                Ok(Some(head)) => self.exchange(head).await.unwrap_or(Next::Close),
                Ok(None) => Next::Close,
                Err(e) => {
                    count(&self.cx.counters.rejected);
                    match answer_problem(&self.cx.limits(), self.stream, e.into_problem()).await {
                        Ok(()) => Next::Linger,
                        Err(_) => Next::Close,
                    }
                }
            };
            match next {
                Next::Continue => {}
                Next::Linger => return linger(&self.cx.limits(), self.stream).await,
                Next::Close => return,
            }
        }
    }

    /// Reads the next head; `None` if the connection ends between two requests.
    async fn read_head(&self) -> Result<Option<Head>, HeadError> {
        let limits = self.cx.limits();
        let waiting_since = Instant::now();
        let mut started = None;
        loop {
            let (parsed, buffered) = self.input.with_buffered(|buf| {
                // Empty lines before the request line are allowed (RFC 9112, section 2.2).
                let skipped =
                    buf.iter().take_while(|&&byte| byte == b'\r' || byte == b'\n').count();
                (head::parse(&buf[skipped..]).map(|head| (head, skipped)), buf.len() - skipped)
            });
            let (head, skipped) = parsed?;
            match head {
                Some(head) if head.len > limits.max_head_bytes => {
                    return Err(HeadError::TooLarge(limits.max_head_bytes));
                }
                Some(head) => {
                    self.input.consume(skipped + head.len);
                    return self.check_body(head).map(Some);
                }
                None if buffered > limits.max_head_bytes => {
                    return Err(HeadError::TooLarge(limits.max_head_bytes));
                }
                None => self.input.consume(skipped),
            }
            let (since, limit) = match buffered {
                0 => (waiting_since, limits.idle_timeout),
                _ => (*started.get_or_insert_with(Instant::now), limits.head_timeout),
            };
            let fill = poll_fn(|cx| self.input.poll_fill(self.stream, cx));
            let fill = timeout(limit.saturating_sub(since.elapsed()), fill);
            let filled = match buffered {
                0 => {
                    // The read is polled first, so a request that has already arrived is still served.
                    let draining = pin!(self.cx.draining.wait());
                    match select(pin!(fill), draining).await {
                        Either::Left((filled, _)) => filled,
                        Either::Right(_) => return Ok(None),
                    }
                }
                _ => fill.await,
            };
            match filled {
                Ok(FillOutcome::Bytes) => {}
                Ok(FillOutcome::Closed) if buffered == 0 => return Ok(None),
                // The caller may have closed only its sending half and can still read the answer.
                Ok(FillOutcome::Closed) => return Err(HeadError::Syntax(httparse::Error::Status)),
                Ok(FillOutcome::BufferFull) => {
                    return Err(HeadError::TooLarge(limits.max_head_bytes));
                }
                Err(_) if buffered == 0 => return Ok(None),
                Err(_) => return Err(HeadError::TimedOut),
            }
        }
    }

    fn check_body(&self, head: Head) -> Result<Head, HeadError> {
        let limit = self.cx.limits().max_body_bytes;
        match head.framing {
            Framing::Length(len) if len > limit => Err(HeadError::BodyTooLarge(limit)),
            _ => Ok(head),
        }
    }

    async fn exchange(&self, head: Head) -> io::Result<Next> {
        count(&self.cx.counters.requests);
        let limits = self.cx.limits();
        let Ok(_memory) = limits.memory.reserve(EXCHANGE_BYTES + head.fields * FIELD_BYTES) else {
            count(&self.cx.counters.rejected);
            answer_problem(&limits, self.stream, Problem::from_body_error(BodyError::NoMemory))
                .await?;
            return Ok(Next::Linger);
        };
        let read_ahead = match head.framing {
            Framing::Length(len) if len <= FREE_BODY_BYTES as u64 => None,
            _ => limits.memory.reserve(READ_AHEAD_BYTES).ok(),
        };
        self.input.set_read_ahead(read_ahead.is_some());
        let Head { mut req, framing, expects_continue, wants_close, .. } = head;
        let method = req.method();
        self.attach_body(&mut req, framing, expects_continue, &limits);
        req.ext_mut().insert(self.caller.clone());
        let handler = self.cx.app.respond::<_, Response>(req);
        let res = self.with_read_ahead(handler, OnDisconnect::Finish).await?;
        let mut res = res.unwrap_or_else(|e| Response::new(e.status()));
        if self.input.body_error().is_some_and(|e| replaces_answer(e, &res)) {
            res = self.body_problem();
        }
        if self.caller.is_closed() {
            count(&self.cx.counters.caller_disconnects);
            return Ok(Next::Close);
        }
        if self.input.body_error() == Some(BodyError::TooSlow) {
            count(&self.cx.counters.too_slow);
        }
        let body_used_up = self.input.end_body();
        self.input.shrink();
        drop(read_ahead);
        let drained = self.cx.draining.is_set() && self.input.with_buffered(<[u8]>::is_empty);
        let answer_wants_close = res
            .header("connection")
            .is_some_and(|values| head::contains_token(values.as_str().as_bytes(), b"close"));
        let closing = self.cx.close_after_answers.is_set();
        let close = wants_close || answer_wants_close || closing || drained || !body_used_up;
        if close {
            res.insert_header("connection", "close");
        }
        let written =
            self.with_read_ahead(self.write_answer(res, method), OnDisconnect::Cancel).await;
        if self.caller.is_closed() && written.is_err() {
            count(&self.cx.counters.caller_disconnects);
        }
        written??;
        Ok(match close {
            // Bytes may be unread even if the body was consumed, for example a pipelined request.
            true => Next::Linger,
            false => Next::Continue,
        })
    }

    fn attach_body(
        &self,
        req: &mut Request,
        framing: Framing,
        expects_continue: bool,
        limits: &ServerLimits,
    ) {
        let decoder = BodyDecoder::new(framing, limits.max_body_bytes);
        let memory = Arc::new(limits.memory.body());
        let body = self.input.start_body(decoder, expects_continue, limits, Arc::clone(&memory));
        // Whoever keeps the body keeps its account as well.
        req.ext_mut().insert(memory);
        let len = match framing {
            Framing::Length(0) => return,
            Framing::Length(len) => usize::try_from(len).ok(),
            Framing::Chunked | Framing::UntilClose => None,
        };
        // Setting a body replaces the caller's media type.
        let media_type = req.header("content-type").cloned();
        req.set_body(Body::from_reader(BufReader::new(body), len));
        if let Some(values) = media_type {
            req.insert_header("content-type", &values);
        }
    }

    fn body_problem(&self) -> Response {
        count(&self.cx.counters.rejected);
        let error = self.input.body_error().unwrap_or(BodyError::Closed);
        Problem::from_body_error(error).into_response()
    }

    /// Runs `work` while reading ahead, so that a close by the caller is detected immediately.
    async fn with_read_ahead<F: Future>(
        &self,
        work: F,
        on_disconnect: OnDisconnect,
    ) -> io::Result<F::Output> {
        let mut work = pin!(work);
        poll_fn(|cx| {
            // If a handler closes its own connection, its answer must not be sent in the same poll.
            if self.caller.close_signal().is_set() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            if self.input.poll_read_ahead(self.stream, cx).is_ready() {
                self.caller.mark_closed();
                if on_disconnect == OnDisconnect::Cancel {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                }
            }
            if let Poll::Ready(output) = work.as_mut().poll(cx) {
                return Poll::Ready(Ok(output));
            }
            if on_disconnect == OnDisconnect::Finish && self.input.take_continue() {
                let mut socket = self.stream;
                // The send buffer is empty at this point, so a working socket accepts these few bytes in one write.
                let _ = Pin::new(&mut socket).poll_write(cx, CONTINUE);
            }
            Poll::Pending
        })
        .await
    }

    async fn write_answer(&self, mut res: Response, method: Method) -> io::Result<()> {
        enforce_announced_length(&mut res);
        let limits = self.cx.limits();
        let mut pace = Pace::new(limits.write_timeout, limits.min_bytes_per_s);
        let status = Status::of(&res);
        let mut is_head = true;
        let mut encoder = Encoder::new(res, method);
        let mut buf = vec![0; WRITE_BUFFER_BYTES];
        loop {
            let mut n = encoder.read(&mut buf).await?;
            if std::mem::take(&mut is_head) {
                n = status_line::replace_unknown(&mut buf, n, status);
            }
            if n == 0 {
                return Ok(());
            }
            // Sends the head and the first bytes of the body in one segment if these are available.
            let mut end = None;
            while end.is_none() && buf.len() - n >= MIN_ENCODE_BYTES {
                match encoder.read(&mut buf[n..]).now_or_never() {
                    Some(Ok(0)) => end = Some(Ok(())),
                    Some(Ok(more)) => n += more,
                    Some(Err(e)) => end = Some(Err(e)),
                    None => break,
                }
            }
            let started = Instant::now();
            write_in_time(&limits, self.stream, &buf[..n]).await?;
            pace.wait(started.elapsed());
            pace.progress(n);
            if pace.is_too_slow() {
                count(&self.cx.counters.too_slow);
                return Err(io::ErrorKind::TimedOut.into());
            }
            if let Some(end) = end {
                return end;
            }
        }
    }
}

/// What happens to work in progress when the caller closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OnDisconnect {
    /// The work continues: the handler decides when to stop because it may have to record an outcome.
    Finish,
    /// The work is dropped.
    Cancel,
}

/// Returns whether the server replaces the answer of a handler that only reports a failure to read the body. Such a handler has not run
/// the request: one that passes on a part of a body before it is complete has to answer by itself.
fn replaces_answer(error: BodyError, res: &Response) -> bool {
    let is_error =
        matches!(Status::of(res).class(), StatusClass::ClientError | StatusClass::ServerError);
    error != BodyError::Closed && is_error && res.len() == Some(0)
}

async fn write_in_time(
    limits: &ServerLimits,
    mut stream: &TcpStream,
    mut bytes: &[u8],
) -> io::Result<()> {
    while !bytes.is_empty() {
        let n = timeout(limits.write_timeout, stream.write(bytes))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[n..];
    }
    Ok(())
}

async fn answer_problem(
    limits: &ServerLimits,
    stream: &TcpStream,
    problem: Problem,
) -> io::Result<()> {
    let mut res = problem.into_response();
    res.insert_header("connection", "close");
    let mut bytes = Vec::new();
    Encoder::new(res, Method::Get).read_to_end(&mut bytes).await?;
    write_in_time(limits, stream, &bytes).await
}

/// Closes the sending half and discards incoming bytes for up to `limits.linger`.
///
/// Closing a socket with unread bytes sends a reset, which can destroy an answer that the caller has not read yet.
async fn linger(limits: &ServerLimits, mut stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let discard = async {
        let mut sink = [0; 8 * 1024];
        let mut left = MAX_LINGER_BYTES;
        while let Ok(n) = stream.read(&mut sink).await {
            left = left.saturating_sub(n);
            if n == 0 || left == 0 {
                break;
            }
        }
    };
    let _ = timeout(limits.linger, discard).await;
}

/// Makes writing fail for an answer that ends before its announced length, so that the connection is closed and not
/// reused.
fn enforce_announced_length(res: &mut Response) {
    let Some(len) = res.len().filter(|&len| len > 0) else { return };
    let media_type = res.header("content-type").cloned();
    let body = LengthCheckedBody { body: res.take_body(), left: len };
    res.set_body(Body::from_reader(BufReader::new(body), Some(len)));
    if let Some(values) = media_type {
        res.insert_header("content-type", &values);
    }
}

struct LengthCheckedBody {
    body: Body,
    left: usize,
}

impl Read for LengthCheckedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let n = futures::ready!(Pin::new(&mut this.body).poll_read(cx, out))?;
        if n == 0 && this.left > 0 && !out.is_empty() {
            return Poll::Ready(Err(BodyError::Truncated.into()));
        }
        this.left = this.left.saturating_sub(n);
        Poll::Ready(Ok(n))
    }
}
