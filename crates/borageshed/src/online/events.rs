//! Splits a stream of server-sent events into whole events, so that a broken stream can be continued after the last one.

use std::io;

use http_edge::framing::BodyError;
use thiserror::Error;

use super::byte_budget::{BudgetShare, ByteBudget, OverBudget};

/// The maximum length of an event; a faulty target may send bytes without end.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The bytes of unfinished events that the process holds for all streams.
static UNFINISHED_EVENTS: ByteBudget = ByteBudget::new(16 << 20);

/// A stream exceeds a limit, or does not go on where it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamError {
    /// An event is too long.
    #[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
    /// A resumed stream does not go on where it broke: it starts over, leaves out an event or holds something else.
    #[error("the resumed stream does not go on after event {last}")]
    NotContinued {
        /// The id of the last event before.
        last: u64,
    },
    /// The whole stream is too long.
    #[error("the stream holds more than {limit} bytes")]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// All streams of the process together are too long.
    #[error(transparent)]
    OverBudget(#[from] OverBudget),
}

impl StreamError {
    /// Returns whether an I/O error says that a stream exceeds a length limit.
    pub fn is_limit_in(error: &io::Error) -> bool {
        let stream_error = error.get_ref().and_then(|it| it.downcast_ref::<Self>());
        matches!(
            stream_error,
            Some(Self::EventTooLong | Self::TooLong { .. } | Self::OverBudget(_))
        )
    }
}

impl From<StreamError> for io::Error {
    fn from(error: StreamError) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// Buffers the last event until it is complete.
#[derive(Debug)]
pub struct EventSplitter {
    partial: Vec<u8>,
    partial_share: BudgetShare,
    event_count: u64,
    last_id: Option<u64>,
    /// Whether events with data have arrived after the one with `last_id`.
    has_unnumbered: bool,
    /// What the answer must be, if a target was asked to go on after `last_id`.
    resumed: Resumed,
}

/// What is known of an answer that continues a stream. An answer from the start is passed on as the target sends it; but what follows the
/// events of another answer must be events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Resumed {
    /// The answer is the first one of its stream.
    #[default]
    No,
    /// No whole event of the answer has arrived.
    Awaited,
    /// The answer has gone on where the stream broke.
    Begun,
}

impl Resumed {
    fn of(last_id: Option<u64>) -> Self {
        match last_id {
            Some(_) => Self::Awaited,
            None => Self::No,
        }
    }
}

impl Default for EventSplitter {
    fn default() -> Self {
        Self {
            partial: Vec::new(),
            partial_share: UNFINISHED_EVENTS.share(),
            event_count: 0,
            last_id: None,
            has_unnumbered: false,
            resumed: Resumed::default(),
        }
    }
}

impl EventSplitter {
    /// Creates a splitter for a stream of which some events are known already.
    pub fn resume(event_count: u64, last_id: u64) -> Self {
        Self { event_count, last_id: Some(last_id), ..Self::default() }
    }

    /// Creates a splitter for a stream that goes on after an event, if one is given.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, resumed: Resumed::of(last_id), ..Self::default() }
    }

    /// Prepares for the answer of another target, which was asked to go on after the last whole event.
    pub fn begin_attempt(&mut self) {
        self.discard_partial();
        self.resumed = Resumed::of(self.last_id);
    }

    /// Adds a piece of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long, if the unfinished events of all streams together are, or if a resumed stream does not go on
    /// after the last event.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<u8>, StreamError> {
        // The two line feeds at the end of an event may arrive in different pieces.
        let search_start = self.partial.len().saturating_sub(1);
        self.partial_share.resize(self.partial.len() + piece.len())?;
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
        self.partial_share.resize(self.partial.len())?;
        self.check_resumed(&whole)?;
        self.event_count += count_events(&whole);
        self.last_id = last_id(&whole).or(self.last_id);
        if let Some(last) = blocks(&whole).filter(|it| has_data(it)).last() {
            self.has_unnumbered = last_id(last).is_none();
        }
        Ok(whole)
    }

    fn check_resumed(&mut self, whole: &[u8]) -> Result<(), StreamError> {
        let Some(last) = self.last_id.filter(|_| self.resumed != Resumed::No) else {
            return Ok(());
        };
        let goes_on =
            self.resumed == Resumed::Begun || first_id(whole) == Some(last.wrapping_add(1));
        if !goes_on || !blocks(whole).all(is_event) {
            return Err(StreamError::NotContinued { last });
        }
        self.resumed = Resumed::Begun;
        Ok(())
    }

    /// Returns the number of whole events so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the id of the last whole event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether a target that is asked to go on after [`EventSplitter::last_id`] sends exactly what is missing. It would repeat
    /// events that have no id.
    pub fn can_go_on(&self) -> bool {
        !self.has_unnumbered
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub fn discard_partial(&mut self) {
        self.partial = Vec::new();
        self.partial_share = UNFINISHED_EVENTS.share();
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

/// Returns the id of the first event, if it has one.
fn first_id(events: &[u8]) -> Option<u64> {
    last_id(blocks(events).next()?)
}

/// Returns the blocks that empty lines end.
fn blocks(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let end = rest.windows(2).position(|it| it == b"\n\n")?;
        let (block, after) = rest.split_at(end);
        rest = &after[2..];
        Some(block)
    })
}

/// Returns whether a block has a field of an event or a comment.
fn is_event(block: &[u8]) -> bool {
    const FIELDS: [&[u8]; 5] = [b"id:", b"data:", b"event:", b"retry:", b":"];
    block.split(|it| *it == b'\n').any(|line| FIELDS.iter().any(|it| line.starts_with(it)))
}

fn has_data(block: &[u8]) -> bool {
    block.split(|it| *it == b'\n').any(|line| line.starts_with(b"data:"))
}

fn last_id(events: &[u8]) -> Option<u64> {
    let ids = events.split(|it| *it == b'\n').rev().filter_map(|it| it.strip_prefix(b"id:"));
    ids.filter_map(|it| std::str::from_utf8(it).ok()?.trim().parse().ok()).next()
}
