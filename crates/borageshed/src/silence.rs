//! Connections to targets that went silent: they are closed if the target answers on a new connection.

use std::sync::Arc;

use http_edge::client::Silence;
use http_types::{Method, Request, Url};
use slog::{info, warn};

use crate::shared::Shared;

/// Silent connections that may wait to be looked into; a target with more is looked into by the first ones.
const MAX_QUEUED_REPORTS: usize = 256;

/// Takes reports of silent connections.
#[derive(Debug, Clone)]
pub struct SilenceReporter(async_channel::Sender<Silence>);

impl SilenceReporter {
    /// Reports a connection from which no byte came for a while.
    pub fn report(&self, silence: Silence) {
        // When the queue is full, the gap limit of the connection ends it.
        let _ = self.0.try_send(silence);
    }
}

/// Creates the channel of reports.
pub fn channel() -> (SilenceReporter, async_channel::Receiver<Silence>) {
    let (tx, rx) = async_channel::bounded(MAX_QUEUED_REPORTS);
    (SilenceReporter(tx), rx)
}

/// Looks into reports until the daemon ends.
pub async fn run(cx: Arc<Shared>, reports: async_channel::Receiver<Silence>) {
    while let Ok(silence) = reports.recv().await {
        // Before the answer starts, the limit on the first byte applies: the target may be working.
        if !silence.in_answer {
            continue;
        }
        let cx = Arc::clone(&cx);
        async_std::task::spawn(async move { probe_and_close(&cx, silence).await });
    }
}

/// A target that answers on a new connection has lost the old one, or something between has: nothing will come on it.
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
        Err(e) => {
            info!(cx.log, "target with a silent connection does not answer"; "target" => %silence.addr, "error" => %e)
        }
    }
}
