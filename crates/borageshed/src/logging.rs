//! Structured logs: one line of key=value pairs for each event, on standard output.
//!
//! The number of lines per second is limited. Lines over the limit are dropped and counted; lines below level info,
//! such as those of served requests, are dropped before those of failures. A reader of standard output that stops
//! reading blocks only the writer thread.

use std::{
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use slog::{Drain, FnValue, Level, Logger, OwnedKVList, Record, o};
use slog_async::{Async, OverflowStrategy};
use slog_logfmt::Logfmt;

use crate::{
    clock,
    settings::{LogLevel, Settings},
};

/// The maximum number of lines that wait for standard output. While it blocks, further lines are dropped.
const QUEUED_LINES: usize = 1_024;

/// The size of the largest burst, in seconds of the permitted rate.
const BURST_SECONDS: f64 = 2.0;

/// The fraction of the burst that is reserved for lines of level info and above.
const RESERVED_FRACTION: f64 = 0.5;

/// Counts the lines that were dropped.
#[derive(Debug, Default)]
pub struct DroppedLines(AtomicU64);

impl DroppedLines {
    /// Returns the number of lines that were dropped so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Creates the root logger, which adds time and instance to each line.
pub fn logger(settings: &Settings) -> (Logger, Arc<DroppedLines>) {
    let level = match settings.log_level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let dropped = Arc::new(DroppedLines::default());
    let lines = Logfmt::new(io::stdout()).build().fuse();
    let queued =
        Async::new(lines).chan_size(QUEUED_LINES).overflow_strategy(OverflowStrategy::Drop).build();
    let limited =
        RateLimitedDrain::new(queued, settings.limits.log_lines_per_s, Arc::clone(&dropped));
    let drain = limited.filter_level(level).fuse();
    let time = FnValue(|_: &Record<'_>| clock::unix_millis());
    let log = Logger::root(drain, o!("ts" => time, "instance" => settings.instance.to_string()));
    (log, dropped)
}

/// Drops lines over a rate limit.
struct RateLimitedDrain<D> {
    inner: D,
    lines_per_s: f64,
    state: Mutex<TokenBucket>,
    dropped: Arc<DroppedLines>,
}

struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl<D> RateLimitedDrain<D> {
    fn new(inner: D, lines_per_s: u32, dropped: Arc<DroppedLines>) -> Self {
        let lines_per_s = f64::from(lines_per_s);
        let bucket = TokenBucket { level: lines_per_s * BURST_SECONDS, filled_at: Instant::now() };
        Self { inner, lines_per_s, state: Mutex::new(bucket), dropped }
    }

    fn try_take(&self, level: Level) -> bool {
        let capacity = self.lines_per_s * BURST_SECONDS;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(state.filled_at).as_secs_f64() * self.lines_per_s;
        state.level = (state.level + gained).min(capacity);
        state.filled_at = now;
        let floor = if level.is_at_least(Level::Info) { 0.0 } else { capacity * RESERVED_FRACTION };
        let fits = state.level - 1.0 >= floor;
        if fits {
            state.level -= 1.0;
        }
        fits
    }
}

impl<D: Drain> Drain for RateLimitedDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        if !self.try_take(record.level()) {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.inner.log(record, values).map(|_| ())
    }
}
