//! Splits a stream of server-sent events into whole events, so that a broken stream can be continued after the last one.

use std::io;

use http_edge::framing::BodyError;
use thiserror::Error;

/// The maximum length of an event; a faulty target may send bytes without end.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A stream exceeds a length limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamError {
    /// An event is too long.
    #[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
    /// The whole stream is too long.
    #[error("the stream holds more than {limit} bytes")]
    TooLong {
        /// The limit.
        limit: usize,
    },
}

impl StreamError {
    /// Returns whether an I/O error wraps a `StreamError`.
    pub fn is_in(error: &io::Error) -> bool {
        error.get_ref().is_some_and(|it| it.is::<Self>())
    }
}

impl From<StreamError> for io::Error {
    fn from(error: StreamError) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// Buffers the last event until it is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    event_count: u64,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream of which some events are known already.
    pub fn resume(event_count: u64, last_id: u64) -> Self {
        Self { partial: Vec::new(), event_count, last_id: Some(last_id) }
    }

    /// Adds a piece of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<u8>, StreamError> {
        // The two line feeds at the end of an event may arrive in different pieces.
        let search_start = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(piece);
        let Some(end) = last_event_end(&self.partial[search_start..]).map(|it| search_start + it)
        else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(StreamError::EventTooLong),
                false => Ok(Vec::new()),
            };
        };
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        self.event_count += count_events(&whole);
        self.last_id = last_id(&whole).or(self.last_id);
        Ok(whole)
    }

    /// Returns the number of whole events so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the id of the last whole event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Checks that the stream has not ended inside an event. A stream without a length looks complete where its connection broke.
    ///
    /// # Errors
    ///
    /// Fails with [`BodyError::Truncated`] if bytes follow the last whole event.
    pub fn finish(&self) -> Result<(), BodyError> {
        match self.partial.is_empty() {
            true => Ok(()),
            false => Err(BodyError::Truncated),
        }
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|it| it == b"\n\n").map(|at| at + 2)
}

fn count_events(bytes: &[u8]) -> u64 {
    bytes.windows(2).filter(|it| *it == b"\n\n").count() as u64
}

fn last_id(events: &[u8]) -> Option<u64> {
    let ids = events.split(|it| *it == b'\n').rev().filter_map(|it| it.strip_prefix(b"id:"));
    ids.filter_map(|it| std::str::from_utf8(it).ok()?.trim().parse().ok()).next()
}
