//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock, PoisonError},
    time::Instant,
};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Starts the record in a file.
///
/// # Panics
///
/// Panics if the file cannot be created.
pub fn start(path: &std::path::Path) {
    let file = File::create(path).expect("the record can be created");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Adds a line to the record.
pub fn line(text: &str) {
    let Some((file, started)) = RECORD.get() else { return };
    let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
    let _ = writeln!(file, "{:8.3} {text}", started.elapsed().as_secs_f64());
}

/// Adds a formatted line to the record.
#[macro_export]
macro_rules! note {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
