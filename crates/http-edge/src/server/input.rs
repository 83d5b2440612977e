//! Input buffer of a caller's connection. Only the task of the connection fills it.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use async_std::io::Read;
use async_std::net::TcpStream;
use bytes::{Buf, BytesMut};

use super::ServerLimits;
use super::pace::Pace;
use crate::framing::{BodyDecoder, BodyError, Decoded};
use crate::memory::BodyMemory;
use crate::timer::{GapEvent, GapTimer};

/// Maximum number of bytes that are read ahead of the handler. While the buffer is full, a close by the caller is not
/// detected.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes that are read ahead while the current request is complete, that is of pipelined requests.
const PIPELINE_BYTES: usize = 16 * 1024;

const READ_CHUNK_BYTES: usize = 8 * 1024;

/// The first bytes of a body, which are covered by what its request is charged. Ordinary requests so need no more of the budget.
pub(crate) const FREE_BODY_BYTES: usize = 16 * 1024;

/// Result of one read from the socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FillOutcome {
    Bytes,
    BufferFull,
    Closed,
}

struct State {
    buf: BytesMut,
    closed: bool,
    decoder: Option<BodyDecoder>,
    body_error: Option<BodyError>,
    /// Number of the current exchange; reading the body of an earlier one fails.
    exchange: u64,
    /// Maximum length of the buffer.
    max_bytes: usize,
    wants_continue: bool,
    connection_waker: Option<Waker>,
    body_waker: Option<Waker>,
}

/// The receiving half of a connection.
#[derive(Clone)]
pub(crate) struct Input {
    state: Arc<Mutex<State>>,
}

impl Input {
    pub(crate) fn new() -> Self {
        let state = State {
            buf: BytesMut::new(),
            closed: false,
            decoder: None,
            body_error: None,
            exchange: 0,
            max_bytes: READ_AHEAD_BYTES,
            wants_continue: false,
            connection_waker: None,
            body_waker: None,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads once from the socket. An I/O error counts as a close.
    pub(crate) fn poll_fill(&self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<FillOutcome> {
        let mut state = self.lock();
        if state.closed {
            return Poll::Ready(FillOutcome::Closed);
        }
        state.connection_waker = Some(cx.waker().clone());
        let is_whole = state.decoder.as_ref().is_some_and(BodyDecoder::is_done);
        let max_bytes = if is_whole { PIPELINE_BYTES } else { state.max_bytes };
        if state.buf.len() >= max_bytes {
            return Poll::Ready(FillOutcome::BufferFull);
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut socket = stream;
        let filled = match Pin::new(&mut socket).poll_read(cx, &mut chunk) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(0) | Err(_)) => {
                state.closed = true;
                FillOutcome::Closed
            }
            Poll::Ready(Ok(n)) => {
                state.buf.extend_from_slice(&chunk[..n]);
                FillOutcome::Bytes
            }
        };
        if let Some(waker) = state.body_waker.take() {
            waker.wake();
        }
        Poll::Ready(filled)
    }

    /// Reads until the socket has no more bytes or the buffer is full; ready once the caller has closed the connection.
    pub(crate) fn poll_read_ahead(&self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            match self.poll_fill(stream, cx) {
                Poll::Ready(FillOutcome::Bytes) => {}
                Poll::Ready(FillOutcome::Closed) => return Poll::Ready(()),
                // The body reader wakes the task of the connection when it has consumed bytes.
                Poll::Ready(FillOutcome::BufferFull) | Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Calls `f` with the bytes that are not yet consumed.
    pub(crate) fn with_buffered<T>(&self, f: impl FnOnce(&[u8]) -> T) -> T {
        f(&self.lock().buf)
    }

    pub(crate) fn consume(&self, n: usize) {
        self.lock().buf.advance(n);
    }

    /// Sets how many bytes are read ahead of the handler.
    pub(crate) fn set_read_ahead(&self, has_memory: bool) {
        self.lock().max_bytes = if has_memory { READ_AHEAD_BYTES } else { PIPELINE_BYTES };
    }

    /// Gives back the memory of an empty buffer that has grown.
    pub(crate) fn shrink(&self) {
        let mut state = self.lock();
        state.max_bytes = READ_AHEAD_BYTES;
        if state.buf.is_empty() && state.buf.capacity() > PIPELINE_BYTES {
            state.buf = BytesMut::new();
        }
    }

    /// Starts the body of the next request.
    pub(crate) fn start_body(
        &self,
        decoder: BodyDecoder,
        expects_continue: bool,
        limits: &ServerLimits,
        memory: Arc<BodyMemory>,
    ) -> RequestBody {
        let mut state = self.lock();
        state.exchange += 1;
        state.decoder = Some(decoder);
        state.body_error = None;
        state.wants_continue = false;
        RequestBody {
            input: self.clone(),
            exchange: state.exchange,
            expects_continue,
            timer: GapTimer::new(None, limits.body_gap_timeout),
            pace: Pace::new(limits.body_gap_timeout, limits.min_bytes_per_s),
            memory,
            free_bytes: FREE_BODY_BYTES,
            waits_for_memory: false,
            pending_since: None,
        }
    }

    /// Ends the current body and returns whether it was consumed to its end.
    pub(crate) fn end_body(&self) -> bool {
        let mut state = self.lock();
        state.exchange += 1;
        if let Some(waker) = state.body_waker.take() {
            waker.wake();
        }
        let State { buf, decoder, .. } = &mut *state;
        let Some(mut decoder) = decoder.take() else { return true };
        // Discards what has already arrived. If the body is longer, the rest is not read and the connection closes.
        let mut sink = [0; READ_CHUNK_BYTES];
        while let Ok(Decoded { consumed, .. }) = decoder.decode(buf, &mut sink) {
            buf.advance(consumed);
            if consumed == 0 {
                break;
            }
        }
        decoder.is_done()
    }

    /// Returns the error with which reading the body failed.
    pub(crate) fn body_error(&self) -> Option<BodyError> {
        self.lock().body_error
    }

    /// Returns whether the body reader asked for a `100 Continue`, and clears the request.
    pub(crate) fn take_continue(&self) -> bool {
        std::mem::take(&mut self.lock().wants_continue)
    }
}

/// The body of one request.
pub(crate) struct RequestBody {
    input: Input,
    exchange: u64,
    expects_continue: bool,
    timer: GapTimer,
    pace: Pace,
    memory: Arc<BodyMemory>,
    /// How many more bytes are not charged.
    free_bytes: usize,
    /// Whether the last read waits for room in the budget.
    waits_for_memory: bool,
    /// Since when a read is pending. The gap and the rate are measured only then, because the time between two reads is spent
    /// by the handler and not by the caller.
    pending_since: Option<Instant>,
}

impl Read for RequestBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut guard = this.input.lock();
        let state = &mut *guard;
        if state.exchange != this.exchange {
            return Poll::Ready(Err(BodyError::Closed.into()));
        }
        if let Some(error) = state.body_error {
            return Poll::Ready(Err(error.into()));
        }
        let Some(decoder) = &mut state.decoder else { return Poll::Ready(Ok(0)) };
        // Whoever reads the body keeps it, so its bytes are taken from the budget before they leave the buffer.
        let wanted = if decoder.is_done() { 0 } else { out.len().min(state.buf.len()) };
        let is_free = wanted <= this.free_bytes;
        if !is_free {
            match this.memory.poll_grow(wanted, cx) {
                Poll::Pending => {
                    if !std::mem::replace(&mut this.waits_for_memory, true) {
                        this.timer.progress();
                    }
                    // The handler of a body that makes room may be busy, so the wait has an end of its own.
                    match this.timer.poll(cx) {
                        Poll::Ready(GapEvent::Expired) => {
                            state.body_error = Some(BodyError::NoMemory);
                            return Poll::Ready(Err(BodyError::NoMemory.into()));
                        }
                        Poll::Ready(GapEvent::Warning(_)) | Poll::Pending => return Poll::Pending,
                    }
                }
                Poll::Ready(Ok(())) => this.waits_for_memory = false,
                Poll::Ready(Err(_)) => {
                    state.body_error = Some(BodyError::NoMemory);
                    return Poll::Ready(Err(BodyError::NoMemory.into()));
                }
            }
        }
        let decoded = decoder.decode(&state.buf, &mut out[..wanted]);
        let produced = decoded.as_ref().map_or(0, |it| it.produced);
        if is_free {
            this.free_bytes -= produced;
        } else if produced < wanted {
            this.memory.shrink(wanted - produced);
        }
        let result = decoded.and_then(|done| {
            state.buf.advance(done.consumed);
            this.pace.progress(done.consumed);
            if done.consumed > 0 {
                if let Some(since) = this.pending_since.take() {
                    this.pace.wait(since.elapsed());
                }
                if let Some(waker) = &state.connection_waker {
                    waker.wake_by_ref();
                }
            }
            if decoder.is_done() {
                this.memory.finish().map_err(|_| BodyError::NoMemory)?;
            }
            if done.produced > 0 || decoder.is_done() {
                return Ok(Poll::Ready(done.produced));
            }
            if state.closed {
                return Err(BodyError::Truncated);
            }
            this.memory.watch(cx).map_err(|_| BodyError::NoMemory)?;
            if this.pending_since.is_none() {
                this.pending_since = Some(Instant::now());
                this.timer.progress();
            }
            if this.pace.is_too_slow() {
                return Err(BodyError::TooSlow);
            }
            match this.timer.poll(cx) {
                Poll::Ready(GapEvent::Expired) => Err(BodyError::TimedOut),
                Poll::Ready(GapEvent::Warning(_)) | Poll::Pending => Ok(Poll::Pending),
            }
        });
        match result {
            Ok(Poll::Ready(n)) => Poll::Ready(Ok(n)),
            Ok(Poll::Pending) => {
                state.body_waker = Some(cx.waker().clone());
                if std::mem::take(&mut this.expects_continue) && state.buf.is_empty() {
                    state.wants_continue = true;
                    if let Some(waker) = &state.connection_waker {
                        waker.wake_by_ref();
                    }
                }
                Poll::Pending
            }
            Err(error) => {
                state.body_error = Some(error);
                Poll::Ready(Err(error.into()))
            }
        }
    }
}
