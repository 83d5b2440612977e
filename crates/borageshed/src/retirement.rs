//! Empties this instance when the operator is about to remove it.

use std::{sync::Arc, time::Duration};

use async_std::task;
use platform::retirement::{self, Progress};
use slog::{info, warn};

use crate::shared::Shared;

/// The maximum number of attempts to store a report for the operator.
const MAX_ATTEMPTS: u32 = 20;
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Waits for an order to empty the instance, and carries it out.
///
/// All durable state is in the key-value service, so the instance is empty as soon as it has released its claims on
/// jobs.
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
                warn!(cx.log, "progress of emptying not reported to the operator"; "error" => %e);
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}
