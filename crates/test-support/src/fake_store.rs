//! An in-process store with a clock that the test advances, for tests of code that takes a [`Store`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::Sender;
use async_std::task;
use async_trait::async_trait;
use futures::future::abortable;
use kv_store::{
    CommitOutcome, Entry, Error, LeaseId, Listing, Outcome, Page, Result, Revision, Store,
    Transaction, Watch, WatchEvent, envelope::MAX_VALUE,
};
use platform::store::wire::{self, Blob, ExpectedRevision, Item, TxnRequest};
use stdx::{Name, Timestamp};

use crate::kv::{self, Kv};

/// Maximum number of events queued for a slow watcher.
const EVENT_QUEUE_SIZE: usize = 256;

/// The fault switches of a fake store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FakeFaults {
    /// Every call fails with [`Error::Unreachable`] and has no effect.
    pub outage: bool,
    /// The next N writes of keys take effect and are reported as unknown.
    pub unknown_with_effect: u32,
    /// The next N writes of keys after those have no effect and are reported as unknown.
    pub unknown_without_effect: u32,
}

#[derive(Debug, Default)]
struct State {
    kv: Kv,
    now: Timestamp,
    faults: FakeFaults,
    calls: u64,
    watchers: Vec<Sender<()>>,
}

impl State {
    fn wake_watchers(&mut self) {
        // A full channel means that a wake-up is pending already.
        self.watchers.retain(|wake| {
            !matches!(wake.try_send(()), Err(async_channel::TrySendError::Closed(())))
        });
    }
}

/// An in-process store; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    state: Arc<Mutex<State>>,
}

impl FakeStore {
    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: FakeFaults) {
        self.lock().faults = faults;
    }

    /// Advances the clock and ends the leases that expire by then.
    pub fn advance(&self, by: Duration) {
        let mut state = self.lock();
        state.now += by;
        let now = state.now;
        if state.kv.expire(now) {
            state.wake_watchers();
        }
    }

    /// Ends a lease immediately.
    ///
    /// # Errors
    ///
    /// Fails if the lease is gone.
    pub fn end_lease(&self, lease: LeaseId) -> kv::Result<()> {
        let mut state = self.lock();
        state.kv.lease_end(lease.0)?;
        state.wake_watchers();
        Ok(())
    }

    /// Returns the number of calls so far, including failed ones.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self) -> Result<MutexGuard<'_, State>> {
        let mut state = self.lock();
        state.calls += 1;
        match state.faults.outage {
            true => Err(Error::Unreachable("outage".to_owned())),
            false => Ok(state),
        }
    }

    fn write(&self, key: &str, txn: &TxnRequest) -> Result<Outcome> {
        Ok(match self.change(txn)? {
            CommitOutcome::Won(revision) => Outcome::Won(revision),
            CommitOutcome::Lost(entries) => {
                Outcome::Lost(entries.into_iter().find(|it| it.key.as_str() == key))
            }
            CommitOutcome::Unknown => Outcome::Unknown,
        })
    }

    fn change(&self, txn: &TxnRequest) -> Result<CommitOutcome> {
        let mut state = self.call()?;
        let with_effect = state.faults.unknown_with_effect > 0;
        if with_effect {
            state.faults.unknown_with_effect -= 1;
        } else if state.faults.unknown_without_effect > 0 {
            state.faults.unknown_without_effect -= 1;
            return Ok(CommitOutcome::Unknown);
        }
        let done = state.kv.txn(txn);
        state.wake_watchers();
        Ok(match (with_effect, done) {
            (false, Ok(revision)) => CommitOutcome::Won(Revision(revision)),
            (false, Err(kv::Error::Conflict(items))) => {
                CommitOutcome::Lost(items.into_iter().map(to_entry).collect())
            }
            (true, Ok(_) | Err(kv::Error::Conflict(_))) => CommitOutcome::Unknown,
            (_, Err(e)) => return Err(to_error(e)),
        })
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        Ok(self.call()?.kv.get(key).cloned().map(to_entry))
    }

    async fn range(&self, prefix: &str) -> Result<Listing> {
        let state = self.call()?;
        let revision = Revision(state.kv.revision());
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let page = state.kv.range(prefix, entries.last().map(|it| it.key.as_str()));
            entries.extend(page.items.into_iter().map(to_entry));
            if !page.has_more {
                return Ok(Listing { revision, entries });
            }
        }
    }

    async fn page(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        let page = self.call()?.kv.range(prefix, after);
        let has_more = page.has_more || page.items.len() > limit;
        Ok(Page {
            entries: page.items.into_iter().take(limit).map(to_entry).collect(),
            more: has_more,
        })
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome> {
        let writes = transaction.writes.iter().map(|it| {
            let lease = it.lease.map_or(0, |it| it.0);
            put(&it.key, &it.value, lease)
        });
        let conditions = transaction.expected.iter();
        self.change(&TxnRequest {
            expect_rev: conditions.map(|it| condition(&it.key, it.revision)).collect(),
            writes: writes.collect::<Result<_>>()?,
            remove: transaction.removals.iter().map(|it| it.to_string()).collect(),
        })
    }

    async fn create(&self, key: &str, value: &[u8]) -> Result<Outcome> {
        self.compare_and_swap(key, Revision(0), value).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
    ) -> Result<Outcome> {
        let txn = TxnRequest {
            expect_rev: vec![condition(key, expected)],
            writes: vec![put(key, value, 0)?],
            ..TxnRequest::default()
        };
        self.write(key, &txn)
    }

    async fn delete(&self, key: &str, expected: Option<Revision>) -> Result<Outcome> {
        let txn = TxnRequest {
            expect_rev: expected.map(|it| condition(key, it)).into_iter().collect(),
            remove: vec![key.to_owned()],
            ..TxnRequest::default()
        };
        self.write(key, &txn)
    }

    async fn put_with_lease(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<Outcome> {
        let writes = vec![put(key, value, lease.0)?];
        self.write(key, &TxnRequest { writes, ..TxnRequest::default() })
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId> {
        let mut state = self.call()?;
        let now = state.now;
        Ok(LeaseId(state.kv.lease_grant(now, ttl)))
    }

    async fn lease_keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        let mut state = self.call()?;
        let now = state.now;
        state.kv.lease_keep(now, lease.0).map_err(to_error)
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<()> {
        let mut state = self.call()?;
        match state.kv.lease_end(lease.0) {
            Ok(()) | Err(kv::Error::LeaseNotFound) => {}
            Err(error) => return Err(to_error(error)),
        }
        state.wake_watchers();
        Ok(())
    }

    fn watch(&self, prefix: &str, from: Revision) -> Watch {
        let (tx, rx) = async_channel::bounded(EVENT_QUEUE_SIZE);
        let (wake_tx, wake) = async_channel::bounded(1);
        let mut state = self.lock();
        state.calls += 1;
        state.watchers.push(wake_tx);
        let mut after = if from.0 == 0 { state.kv.revision() } else { from.0 - 1 };
        drop(state);
        let (store, prefix) = (self.clone(), prefix.to_owned());
        let (run, handle) = abortable(async move {
            loop {
                let changes = store.lock().kv.changes(&prefix, after);
                let Ok(changes) = changes else {
                    // A send fails only if the watcher is gone, which then needs no event.
                    let _ = tx.send(WatchEvent::Reset).await;
                    return;
                };
                after = changes.current_rev;
                for event in changes.events {
                    if tx.send(to_event(event)).await.is_err() {
                        return;
                    }
                }
                if wake.recv().await.is_err() {
                    return;
                }
            }
        });
        task::spawn(run);
        Watch::new(rx, handle)
    }
}

fn condition(key: &str, revision: Revision) -> ExpectedRevision {
    ExpectedRevision { key: key.to_owned(), rev: revision.0 }
}

fn put(key: &str, value: &[u8], lease: i64) -> Result<wire::Write> {
    if value.len() > MAX_VALUE {
        return Err(Error::TooLarge { size: value.len(), limit: MAX_VALUE });
    }
    Ok(wire::Write { key: key.to_owned(), value: Blob(value.to_vec()), lease })
}

fn to_entry(item: Item) -> Entry {
    Entry {
        key: Name::from(item.key),
        value: item.value.0,
        create_revision: Revision(item.created),
        mod_revision: Revision(item.rev),
        lease: (item.lease != 0).then_some(LeaseId(item.lease)),
    }
}

fn to_event(item: Item) -> WatchEvent {
    match item.removed {
        true => WatchEvent::Delete { key: Name::from(item.key), revision: Revision(item.rev) },
        false => WatchEvent::Put(to_entry(item)),
    }
}

fn to_error(error: kv::Error) -> Error {
    match error {
        kv::Error::LeaseNotFound => Error::LeaseGone,
        kv::Error::Compacted => Error::Compacted,
        error => Error::Protocol(error.to_string()),
    }
}
