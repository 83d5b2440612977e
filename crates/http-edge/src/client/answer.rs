//! The body of an answer, read from the connection on demand.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_std::io::Read;
use bytes::Buf;

use super::error::Failure;
use super::pool::Connection;
use super::{Inner, Silence};
use crate::framing::BodyDecoder;
use crate::timer::{GapEvent, GapTimer};

const READ_CHUNK_BYTES: usize = 16 * 1024;

/// What an exchange determines for the body of its answer.
#[derive(Debug, Clone)]
pub(super) struct BodyTerms {
    /// Whether the connection can carry another exchange after the body.
    pub(super) reusable: bool,
    /// Whether a body without bytes is truncated.
    pub(super) awaits_content: bool,
    /// The failure to send that broke the connection. The kernel reports a reset once: if sending met it, reading sees an orderly end.
    pub(super) broken_by: Option<Failure>,
}

/// Reads one body. Dropping it before the end closes the connection.
pub(super) struct AnswerBody {
    inner: Arc<Inner>,
    /// `None` once the body ended or failed.
    conn: Option<Connection>,
    request_id: String,
    decoder: BodyDecoder,
    reusable: bool,
    /// Set while the body has no byte and needs one to be complete.
    awaits_content: bool,
    /// The failure in place of the end of the connection.
    broken_by: Option<Failure>,
    timer: GapTimer,
    /// Whether a read is pending. The gap is measured only then, because the time between two reads is spent by the
    /// reader and not by the target.
    read_pending: bool,
    failure: Option<Failure>,
}

impl AnswerBody {
    pub(super) fn new(
        inner: Arc<Inner>,
        conn: Connection,
        request_id: &str,
        decoder: BodyDecoder,
        terms: BodyTerms,
    ) -> Self {
        let timer = GapTimer::new(Some(inner.settings.silence_after), inner.settings.gap_timeout);
        let mut body = Self {
            inner,
            conn: Some(conn),
            request_id: request_id.to_owned(),
            decoder,
            reusable: terms.reusable,
            awaits_content: terms.awaits_content,
            broken_by: terms.broken_by,
            timer,
            read_pending: false,
            failure: None,
        };
        if body.decoder.is_done() {
            body.finish();
        }
        body
    }

    /// Returns the connection to the pool if the next answer on it can't be confused with this one; the pool rejects
    /// connections with surplus bytes.
    fn finish(&mut self) {
        let Some(mut conn) = self.conn.take() else { return };
        conn.end_exchange();
        if self.reusable {
            self.inner.return_to_pool(conn);
        }
    }

    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<Result<usize, Failure>> {
        loop {
            let Some(conn) = &mut self.conn else {
                return Poll::Ready(self.failure.clone().map_or(Ok(0), Err));
            };
            let done = self.decoder.decode(&conn.buf, out)?;
            conn.buf.advance(done.consumed);
            if self.decoder.is_done() {
                self.finish();
                return Poll::Ready(Ok(done.produced));
            }
            if done.produced > 0 {
                self.awaits_content = false;
                return Poll::Ready(Ok(done.produced));
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut socket = &conn.stream;
            match Pin::new(&mut socket).poll_read(cx, &mut chunk) {
                Poll::Ready(Ok(0)) if conn.is_closed_by_owner() => {
                    return Poll::Ready(Err(Failure::ClosedByOwner));
                }
                Poll::Ready(Ok(0)) => {
                    if let Some(failure) = &self.broken_by {
                        return Poll::Ready(Err(failure.clone()));
                    }
                    if self.awaits_content {
                        return Poll::Ready(Err(Failure::EmptyBody));
                    }
                    self.decoder.end_of_input()?;
                    self.finish();
                }
                Poll::Ready(Ok(n)) => {
                    conn.traffic.on_received();
                    conn.buf.extend_from_slice(&chunk[..n]);
                    self.read_pending = false;
                }
                Poll::Ready(Err(e)) => {
                    let failure = match conn.is_closed_by_owner() {
                        true => Failure::ClosedByOwner,
                        false => Failure::Io(e.kind()),
                    };
                    return Poll::Ready(Err(failure));
                }
                Poll::Pending => {
                    if !std::mem::replace(&mut self.read_pending, true) {
                        self.timer.progress();
                    }
                    match self.timer.poll(cx) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(GapEvent::Expired) => {
                            return Poll::Ready(Err(Failure::GapTimeout));
                        }
                        Poll::Ready(GapEvent::Warning(gap)) => {
                            (self.inner.on_silence)(Silence {
                                addr: conn.addr,
                                request_id: self.request_id.clone(),
                                gap,
                                in_answer: true,
                                connection: conn.handle(),
                            });
                        }
                    }
                }
            }
        }
    }
}

impl Read for AnswerBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = futures::ready!(self.poll_body(cx, out));
        Poll::Ready(result.map_err(|failure| {
            // Closes the connection, so that the rest of this answer is not read as the start of another one.
            self.conn = None;
            self.failure = Some(failure.clone());
            failure.into_io()
        }))
    }
}
