//! A one-way flag that can be awaited.

use async_channel::{Receiver, Sender};

/// A flag that is set at most once; clones share it.
#[derive(Debug, Clone)]
pub struct Signal {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Signal {
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self { tx, rx }
    }

    /// Sets the signal and wakes all waiters.
    pub fn set(&self) {
        self.tx.close();
    }

    /// Returns whether the signal is set.
    pub fn is_set(&self) -> bool {
        self.tx.is_closed()
    }

    /// Completes once the signal is set.
    pub async fn wait(&self) {
        // Nothing is ever sent, so receiving ends only when the channel is closed.
        while self.rx.recv().await.is_ok() {}
    }
}

impl Default for Signal {
    fn default() -> Self {
        Self::new()
    }
}
