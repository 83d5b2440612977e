//! Structured logs: one line of key=value pairs for each event, on standard output.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::Async;
use slog_logfmt::Logfmt;

use crate::settings::{LogLevel, Settings};

/// Lines that wait for standard output; when it blocks, further lines are dropped and counted by `slog-async`.
const QUEUED_LINES: usize = 4_096;

/// Creates the root logger, which adds the instance to each line.
pub fn logger(settings: &Settings) -> Logger {
    let level = match settings.log_level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let lines = Logfmt::new(io::stdout()).build().fuse();
    let drain = Async::new(lines).chan_size(QUEUED_LINES).build().filter_level(level).fuse();
    Logger::root(drain, o!("instance" => settings.instance.to_string()))
}
