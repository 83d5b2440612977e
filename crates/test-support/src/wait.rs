//! Polls conditions that depend on other processes.

use std::{
    io,
    time::{Duration, Instant},
};

use async_std::task;

/// Checks a condition at intervals of `poll` until it holds.
///
/// # Errors
///
/// Fails if the condition does not hold within `limit`; the error contains `what`, the condition in words.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    poll: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> io::Result<()> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition().await {
            return Ok(());
        }
        task::sleep(poll).await;
    }
    let message = format!("timed out after {limit:?} waiting until {what}");
    Err(io::Error::new(io::ErrorKind::TimedOut, message))
}
