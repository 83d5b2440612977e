//! Runs tasks whose panics must not pass unnoticed.

use std::future::Future;

use async_std::task;
use futures::FutureExt as _;
use slog::{Logger, error};
use stdx::panics;

/// Starts a task without which the daemon cannot work; if it panics, the daemon drains and stops.
pub(crate) fn spawn_essential(name: &'static str, run: impl Future<Output = ()> + Send + 'static) {
    task::spawn(panics::essential(name, run));
}

/// Runs the part of a request or item that may panic; `None`, with a log line, if it does.
pub fn contain<T>(
    log: &Logger,
    request_id: &str,
    run: impl Future<Output = T>,
) -> impl Future<Output = Option<T>> {
    // As an `async` function, this would hold `run` twice: as its argument and while it waits.
    panics::catch(run).map(move |it| {
        it.inspect_err(
            |e| error!(log, "request ended by a panic"; "request" => request_id, "error" => %e),
        )
        .ok()
    })
}

/// Sends a notice when a task ends: the given one, or else the one that was set at the start, also if the task panics, is aborted or
/// is never polled.
#[derive(Debug)]
pub struct EndNotice<T> {
    tx: async_channel::Sender<T>,
    notice: Option<T>,
}

impl<T> EndNotice<T> {
    /// Creates a notice that is sent when it is dropped, unless [`EndNotice::send`] was called before.
    pub fn new(tx: async_channel::Sender<T>, unless_sent: T) -> Self {
        Self { tx, notice: Some(unless_sent) }
    }

    /// Sends a notice in place of the one that was set at the start.
    pub fn send(mut self, notice: T) {
        self.notice = Some(notice);
    }
}

impl<T> Drop for EndNotice<T> {
    fn drop(&mut self) {
        if let Some(notice) = self.notice.take() {
            // The receiver may have ended.
            let _ = self.tx.try_send(notice);
        }
    }
}
