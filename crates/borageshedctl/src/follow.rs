//! Waits until every given daemon has a revision in force.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;

use crate::{
    cli::FollowArgs,
    context::Context,
    error::{Failure, Result},
    http,
};

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until every daemon given by `--admin` has a revision in force.
///
/// # Errors
///
/// Fails if no daemon was given, or if one of them lacks the revision at the time limit.
pub async fn wait(cx: &Context, revision: u64, args: &FollowArgs) -> Result<()> {
    let addresses = cx.admin_addresses()?;
    let start = Instant::now();
    let limit = Duration::from_secs(args.wait_limit_s);
    let mut reported = None;
    loop {
        let found = join_all(addresses.iter().map(|it| revision_in_force(cx, *it))).await;
        let behind: Vec<_> = addresses
            .iter()
            .zip(&found)
            .filter(|(_, found)| found.is_none_or(|it| it < revision))
            .collect();
        let done = addresses.len() - behind.len();
        if reported != Some(done) {
            reported = Some(done);
            let total = addresses.len();
            cx.progress(&format!("revision {revision} is in force on {done} of {total} daemons"));
        }
        if behind.is_empty() {
            return Ok(());
        }
        if start.elapsed() >= limit {
            return Err(Failure::Unreachable(lag_message(revision, &behind)));
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn revision_in_force(cx: &Context, address: SocketAddr) -> Option<u64> {
    let status = http::get_json(address, "/status", cx.call_timeout()).await.ok()?;
    status["revision"].as_u64()
}

fn lag_message(revision: u64, behind: &[(&SocketAddr, &Option<u64>)]) -> String {
    let behind = behind.iter().map(|(address, found)| match found {
        Some(found) => format!("{address} has revision {found}"),
        None => format!("{address} does not answer"),
    });
    let behind = behind.collect::<Vec<_>>().join(", ");
    format!("revision {revision} was accepted but is not in force everywhere: {behind}")
}
