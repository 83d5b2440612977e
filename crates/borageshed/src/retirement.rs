//! Empties this instance when the operator is about to take it away.

use std::{sync::Arc, time::Duration};

use async_std::task;
use platform::retirement::{self, Progress};
use slog::{info, warn};

use crate::shared::Shared;

/// How often a report to the operator is tried that the store did not take.
const MAX_ATTEMPTS: u32 = 20;
/// The pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Waits for an order to empty the instance, and carries it out.
///
/// Everything that must last is in the key-value service, so the instance is empty as soon as it has given up its claims.
pub async fn run(cx: Arc<Shared>) {
    let store = cx.platform_store().clone();
    let (tx, orders) = async_channel::unbounded();
    let instance = cx.settings.instance.clone();
    task::spawn(async move {
        retirement::follow(store, &instance, |within| tx.try_send(within).is_ok()).await;
    });
    while let Ok(within) = orders.recv().await {
        info!(cx.log, "instance is to be emptied"; "within_s" => within.as_secs_f64());
        report(&cx, Progress::Running).await;
        cx.retiring.set();
        cx.claims_released.wait().await;
        report(&cx, Progress::Completed).await;
    }
}

async fn report(cx: &Shared, progress: Progress) {
    for _ in 0..MAX_ATTEMPTS {
        match retirement::report(cx.platform_store(), &cx.settings.instance, progress).await {
            Ok(()) => {
                info!(cx.log, "operator told how far emptying has come"; "progress" => ?progress);
                return;
            }
            Err(e) => {
                warn!(cx.log, "operator not told how far emptying has come"; "error" => %e);
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}
