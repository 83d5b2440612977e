//! The trait of the key-value service.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use futures::future::AbortHandle;
use stdx::{Name, value_type};

use crate::{
    error::Result,
    transaction::{CommitOutcome, Transaction},
};

value_type! {
    /// The revision of a write; each write of any key increments it.
    #[derive(Copy, Default)]
    pub struct Revision(pub i64);
}

impl Revision {
    /// Returns the revision after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

value_type! {
    /// The id of a lease.
    #[derive(Copy)]
    pub struct LeaseId(pub i64);
}

value_type! {
    /// A key with its value and revisions.
    pub struct Entry {
        /// The key.
        pub key: Name,
        /// The bytes that the caller stored.
        pub value: Vec<u8>,
        /// The revision that created the key.
        pub create_revision: Revision,
        /// The revision that last wrote the key.
        pub mod_revision: Revision,
        /// The lease whose end deletes the key.
        pub lease: Option<LeaseId>,
    }
}

value_type! {
    /// The entries under a prefix at one revision.
    pub struct Listing {
        /// All entries are at least as new as this revision; a watch from the next one continues the listing.
        pub revision: Revision,
        /// The entries, by key.
        pub entries: Vec<Entry>,
    }
}

value_type! {
    /// One page of a range between two keys.
    pub struct Page {
        /// The entries, by key.
        pub entries: Vec<Entry>,
        /// Whether the limit truncated the page.
        pub more: bool,
    }
}

value_type! {
    /// The outcome of a write.
    pub enum Outcome {
        /// The write took effect at this revision.
        Won(Revision),
        /// The write had no effect because the key was in another state; holds the current state.
        Lost(Option<Entry>),
        /// The write may or may not have taken effect, or may still do so.
        Unknown,
    }
}

value_type! {
    /// An event of a watch.
    pub enum WatchEvent {
        /// A key was written.
        Put(Entry),
        /// A key was deleted, explicitly or by the end of its lease.
        Delete {
            /// The key.
            key: Name,
            /// The revision of the deletion.
            revision: Revision,
        },
        /// Events may be missing, because the service dropped its history. The watch ends; the caller lists the prefix
        /// again and opens a new watch.
        Reset,
    }
}

/// An open watch; it ends when dropped.
#[derive(Debug)]
pub struct Watch {
    events: async_channel::Receiver<WatchEvent>,
    task: AbortHandle,
}

impl Watch {
    /// Creates a watch from its channel and the task that fills it.
    pub fn new(events: async_channel::Receiver<WatchEvent>, task: AbortHandle) -> Self {
        Self { events, task }
    }

    /// Waits for the next event; `None` follows [`WatchEvent::Reset`].
    pub async fn next(&self) -> Option<WatchEvent> {
        self.events.recv().await.ok()
    }

    /// Returns the channel of the events, for use in a `select`.
    pub fn events(&self) -> &async_channel::Receiver<WatchEvent> {
        &self.events
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The platform's key-value service.
///
/// Every operation fails with [`Error::Unreachable`](crate::Error::Unreachable) or
/// [`Error::OverBudget`](crate::Error::OverBudget) only if it had no effect. Reads and lease calls fail with
/// [`Error::AnswerLost`](crate::Error::AnswerLost) if no answer came; writes of keys report [`Outcome::Unknown`] then.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads all keys that start with `prefix`.
    ///
    /// The entries are at least as new as the revision of the listing, so a watch from the next revision on may report
    /// changes that the listing shows already.
    async fn range(&self, prefix: &str) -> Result<Listing>;

    /// Reads at most `limit` keys that start with `prefix`, in order, starting after the key `after`.
    ///
    /// Consecutive pages are read at different revisions.
    async fn page(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page>;

    /// Commits several changes atomically.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome>;

    /// Creates a key; loses if it exists.
    async fn create(&self, key: &str, value: &[u8]) -> Result<Outcome>;

    /// Replaces a value; loses unless `expected` is the key's last revision. Revision 0 stands for a missing key.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
    ) -> Result<Outcome>;

    /// Deletes a key; loses unless `expected` is the key's last revision, if given.
    ///
    /// Deleting a missing key without `expected` wins. A deletion leaves no token, so the outcome of one with `expected`
    /// is unknown if its answer was lost and the key is gone.
    async fn delete(&self, key: &str, expected: Option<Revision>) -> Result<Outcome>;

    /// Writes a key unconditionally; the end of the lease deletes it.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseGone`](crate::Error::LeaseGone) if the lease has ended.
    async fn put_with_lease(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<Outcome>;

    /// Grants a lease; the time to live is rounded up to whole seconds.
    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId>;

    /// Renews a lease and returns its time to live.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseGone`](crate::Error::LeaseGone) if the lease has ended.
    async fn lease_keep_alive(&self, lease: LeaseId) -> Result<Duration>;

    /// Ends a lease and deletes its keys; succeeds if the lease has ended already.
    async fn lease_revoke(&self, lease: LeaseId) -> Result<()>;

    /// Reports the events of all keys that start with `prefix`, from the revision `from` on, each once and in order.
    ///
    /// Revision 0 stands for the one after the latest when the watch is first open. A broken connection is reopened without
    /// missing or repeating events.
    fn watch(&self, prefix: &str, from: Revision) -> Watch;
}
