//! Logs totals at a fixed interval, for operators who have only the log.

use std::{sync::Arc, time::Duration};

use async_std::task;
use slog::info;

use crate::shared::Shared;

/// The interval between two summary lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the totals until the daemon stops.
pub async fn run(cx: Arc<Shared>) {
    loop {
        task::sleep(SUMMARY_INTERVAL).await;
        let calls: Vec<String> = cx
            .platform_calls()
            .filter(|(_, count)| *count > 0)
            .map(|(kind, count)| format!("{kind}:{count}"))
            .collect();
        let reads: Vec<String> = cx
            .platform_reads()
            .map(|(kind, area, count)| format!("{kind} {area}:{count}"))
            .collect();
        let copies: Vec<String> = cx
            .platform_store()
            .copy_ages()
            .into_iter()
            .map(|(prefix, age)| format!("{prefix}:{}ms", age.as_millis()))
            .collect();
        info!(
            cx.log, "totals since the start";
            "requests_open" => cx.control.open_requests(), "store_calls" => calls.join(","),
            "store_reads" => reads.join(","),
            "copy_ages" => copies.join(","),
            "store_silent_s" => cx.platform_silent_s(), "lines_dropped" => cx.dropped_lines.count()
        );
    }
}
