//! Waits for what another process brings about.

use std::{
    io,
    time::{Duration, Instant},
};

use async_std::task;

/// Asks every `poll` whether something holds, until it does.
///
/// # Errors
///
/// Fails if it does not hold within `limit`; the error names `what`.
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
    let message = format!("it takes more than {limit:?} until {what}");
    Err(io::Error::new(io::ErrorKind::TimedOut, message))
}
