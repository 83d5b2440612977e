//! Counters of bytes, messages and closed links.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$meta:meta])* $field:ident,)*) => {
        /// A snapshot of the counters.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct Stats { $($(#[$meta])* pub $field: u64,)* }

        #[derive(Debug, Default)]
        pub(crate) struct Counters { $(pub(crate) $field: AtomicU64,)* }

        impl Counters {
            pub(crate) fn snapshot(&self) -> Stats {
                Stats { $($field: self.$field.load(Ordering::Relaxed),)* }
            }
        }
    };
}

counters! {
    /// Bytes sent, including the length prefix of each frame, without TCP and IP headers.
    bytes_sent,
    /// Bytes received, counted like the bytes sent.
    bytes_received,
    /// Messages sent, without empty frames.
    messages_sent,
    /// Messages received, without empty frames.
    messages_received,
    /// Scheduled heartbeats sent; those sent at once for a new revision are not counted.
    heartbeats_sent,
    /// Empty frames sent to keep links alive.
    keep_alives_sent,
    /// Messages that were not queued because the queue of the link was full.
    queue_full,
    /// Links that came up.
    links_up,
    /// Links closed because the peer was silent.
    closed_silent,
    /// Links closed because of a malformed or oversized frame.
    closed_malformed,
    /// Links replaced by a newer connection of the same peer.
    closed_replaced,
    /// Connections that ended before the link was up.
    failed_handshakes,
}

pub(crate) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
