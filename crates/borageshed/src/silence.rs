//! Resets connections to targets that have gone silent: in the middle of an answer if the target answers on a new connection, and at
//! any time if it accepts none.

use std::sync::Arc;

use http_edge::client::{Failure, Progress, Silence};
use http_types::{Method, Request, Url};
use slog::{info, warn};

use crate::shared::Shared;

/// The maximum number of queued reports. For a target with more silent connections, the first reports are enough to
/// probe it.
const MAX_QUEUED_REPORTS: usize = 256;

/// Accepts reports of silent connections.
#[derive(Debug, Clone)]
pub struct SilenceReporter(async_channel::Sender<Silence>);

impl SilenceReporter {
    /// Reports a connection on which no byte has arrived for some time.
    pub fn report(&self, silence: Silence) {
        // If the queue is full, the gap timeout of the connection closes it instead.
        let _ = self.0.try_send(silence);
    }
}

/// Creates the channel for reports.
pub fn channel() -> (SilenceReporter, async_channel::Receiver<Silence>) {
    let (tx, rx) = async_channel::bounded(MAX_QUEUED_REPORTS);
    (SilenceReporter(tx), rx)
}

/// Handles reports until the daemon stops.
pub async fn run(cx: Arc<Shared>, reports: async_channel::Receiver<Silence>) {
    while let Ok(silence) = reports.recv().await {
        let cx = Arc::clone(&cx);
        async_std::task::spawn(async move {
            let may_probe = cx.evacuations.allows_address(&cx, silence.addr)
                && !cx.directory.snapshot().is_cold(silence.addr);
            match silence.in_answer && may_probe {
                true => probe_and_close(&cx, silence).await,
                // The target may still be working on the request, and the timeouts of the request apply. Nothing is sent to targets of
                // an evacuated failure domain, and nothing needless to cold ones.
                false => close_if_unreachable(&cx, silence).await,
            }
        });
    }
}

/// Probes the target over a new connection and, if it answers, closes the silent connection and the idle ones to the
/// same address: the target or a device on the path has lost the old connection, so nothing more will arrive on it.
async fn probe_and_close(cx: &Shared, silence: Silence) {
    let Ok(url) = Url::parse(&format!("http://{}/health", silence.addr)) else { return };
    let probe = Request::new(Method::Get, url);
    match cx.client.send_over_new_connection(silence.addr, &cx.request_id(), probe).await {
        Ok(_) => {
            let closed_siblings = cx.client.close_idle(silence.addr, Some(&silence.connection));
            silence.connection.close();
            warn!(
                cx.log, "silent connection closed, because the target answers on a new one";
                "target" => %silence.addr, "request" => &silence.request_id, "gap_ms" => silence.gap.as_millis(),
                "idle_siblings_closed" => closed_siblings
            );
        }
        Err(e) if e.progress == Progress::NotSent => close_unreachable(cx, &silence, &e.failure),
        Err(e) => {
            info!(cx.log, "target with a silent connection does not answer"; "target" => %silence.addr, "error" => %e)
        }
    }
}

async fn close_if_unreachable(cx: &Shared, silence: Silence) {
    if let Err(e) = cx.client.check_connection(silence.addr).await {
        close_unreachable(cx, &silence, &e);
    }
}

/// Resets a silent connection to a target that accepts no new ones, and closes the idle connections to it. Behind a network
/// partition, the kernel would deliver the request seconds after the partition has ended, when the target may be leaving.
fn close_unreachable(cx: &Shared, silence: &Silence, error: &Failure) {
    let closed_siblings = cx.client.close_idle(silence.addr, None);
    silence.connection.close();
    info!(
        cx.log, "silent connection closed, because the target accepts no new one";
        "target" => %silence.addr, "request" => &silence.request_id, "gap_ms" => silence.gap.as_millis(),
        "in_answer" => silence.in_answer, "idle_siblings_closed" => closed_siblings, "error" => %error
    );
}
