//! An in-process store with a clock that the test moves, for tests of code that takes a [`Store`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::Sender;
use async_std::task;
use async_trait::async_trait;
use futures::future::abortable;
use kv_store::{
    Entry, Error, LeaseId, Listing, Outcome, Page, Result, Revision, Store, Watch, WatchEvent,
    envelope::MAX_VALUE,
    wire::{
        self, Blob, Compare, DeleteRequest, EventType, Int, KeyValue, PutRequest, RangeRequest,
        RequestOp, Target, TxnRequest, prefix_end,
    },
};
use stdx::{Name, Timestamp};

use crate::kv::{self, Kv};

/// Events that wait for a slow watcher.
const WATCH_QUEUE: usize = 256;

/// The fault switches of a fake store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FakeFaults {
    /// Every call fails as unreachable, without effect.
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
    /// Watches of an earlier epoch end with a reset.
    epoch: u64,
    watchers: Vec<Sender<()>>,
}

impl State {
    fn wake_watchers(&mut self) {
        // A full channel holds a wake-up already.
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

    /// Moves the clock; leases that run out by then end.
    pub fn advance(&self, by: Duration) {
        let mut state = self.lock();
        state.now += by;
        let now = state.now;
        if state.kv.expire(now) {
            state.wake_watchers();
        }
    }

    /// Ends a lease at once.
    ///
    /// # Errors
    ///
    /// Fails if the lease is gone.
    pub fn lapse(&self, lease: LeaseId) -> kv::Result<()> {
        let mut state = self.lock();
        state.kv.lease_revoke(lease.0)?;
        state.wake_watchers();
        Ok(())
    }

    /// Restores the state of an earlier revision; open watches end with a reset.
    ///
    /// # Errors
    ///
    /// Fails if the revision is not reached yet.
    pub fn roll_back(&self, revision: Revision) -> kv::Result<()> {
        let mut state = self.lock();
        let now = state.now;
        state.kv.roll_back(now, revision.0)?;
        state.epoch += 1;
        state.wake_watchers();
        Ok(())
    }

    /// Returns how many calls arrived, including those that failed.
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

    fn write(&self, key: &str, expected: Option<Revision>, op: RequestOp) -> Result<Outcome> {
        let mut state = self.call()?;
        let with_effect = state.faults.unknown_with_effect > 0;
        if with_effect {
            state.faults.unknown_with_effect -= 1;
        } else if state.faults.unknown_without_effect > 0 {
            state.faults.unknown_without_effect -= 1;
            return Ok(Outcome::Unknown);
        }
        let unchanged = |revision: Revision| Compare {
            key: blob(key),
            target: Target::Mod,
            mod_revision: Int(revision.0),
            ..Compare::default()
        };
        let txn = TxnRequest {
            compare: expected.map(unchanged).into_iter().collect(),
            success: vec![op],
            failure: vec![],
        };
        let res = state.kv.txn(&txn).map_err(error_of)?;
        state.wake_watchers();
        Ok(match (with_effect, res.succeeded) {
            (true, _) => Outcome::Unknown,
            (false, true) => Outcome::Won(Revision(res.header.revision.0)),
            (false, false) => Outcome::Lost(read(&state.kv, key)),
        })
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        Ok(read(&self.call()?.kv, key))
    }

    async fn range(&self, prefix: &str) -> Result<Listing> {
        let state = self.call()?;
        let req = RangeRequest {
            key: blob(prefix),
            range_end: Blob(prefix_end(prefix.as_bytes())),
            ..RangeRequest::default()
        };
        let res = state.kv.range(&req).map_err(error_of)?;
        let entries = res.kvs.into_iter().map(entry_of).collect();
        Ok(Listing { revision: Revision(res.header.revision.0), entries })
    }

    async fn range_between(&self, start: &str, end: &str, limit: u32) -> Result<Page> {
        let state = self.call()?;
        let req = RangeRequest {
            key: blob(start),
            range_end: blob(end),
            limit: Int(i64::from(limit)),
            ..RangeRequest::default()
        };
        let res = state.kv.range(&req).map_err(error_of)?;
        Ok(Page { entries: res.kvs.into_iter().map(entry_of).collect(), more: res.more })
    }

    async fn create(&self, key: &str, value: &[u8]) -> Result<Outcome> {
        self.write(key, Some(Revision(0)), put(key, value, 0)?)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
    ) -> Result<Outcome> {
        self.write(key, Some(expected), put(key, value, 0)?)
    }

    async fn delete(&self, key: &str, expected: Option<Revision>) -> Result<Outcome> {
        let delete = DeleteRequest { key: blob(key), ..DeleteRequest::default() };
        self.write(key, expected, RequestOp::Delete(delete))
    }

    async fn put_with_lease(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<Outcome> {
        self.write(key, None, put(key, value, lease.0)?)
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId> {
        let mut state = self.call()?;
        let now = state.now;
        let ttl = ttl.as_millis().div_ceil(1000) as i64;
        let res = state.kv.lease_grant(now, 0, ttl).map_err(error_of)?;
        Ok(LeaseId(res.id.0))
    }

    async fn lease_keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        let mut state = self.call()?;
        let now = state.now;
        match state.kv.lease_keep_alive(now, lease.0).ttl.0 {
            ttl @ 1.. => Ok(Duration::from_secs(ttl.unsigned_abs())),
            _ => Err(Error::LeaseGone),
        }
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<()> {
        let mut state = self.call()?;
        match state.kv.lease_revoke(lease.0) {
            Ok(()) | Err(kv::Error::LeaseNotFound) => {}
            Err(error) => return Err(error_of(error)),
        }
        state.wake_watchers();
        Ok(())
    }

    fn watch(&self, prefix: &str, from: Revision) -> Watch {
        let (tx, rx) = async_channel::bounded(WATCH_QUEUE);
        let (wake_tx, wake) = async_channel::bounded(1);
        let mut state = self.lock();
        state.calls += 1;
        state.watchers.push(wake_tx);
        let epoch = state.epoch;
        let mut next = if from.0 == 0 { state.kv.revision() + 1 } else { from.0 };
        // A revision that is further ahead than the next was counted before a restore.
        let ahead = next > state.kv.revision() + 1;
        drop(state);
        let (store, prefix) = (self.clone(), prefix.as_bytes().to_vec());
        let (run, handle) = abortable(async move {
            loop {
                let events = {
                    let state = store.lock();
                    let reset = ahead || state.epoch != epoch;
                    let events = state.kv.events(&prefix, &prefix_end(&prefix), next);
                    next = next.max(state.kv.revision() + 1);
                    events.ok().filter(|_| !reset)
                };
                let Some(events) = events else {
                    // The watcher may be gone; then nobody waits for the report.
                    let _ = tx.send(WatchEvent::Reset).await;
                    return;
                };
                for event in events {
                    if tx.send(event_of(event)).await.is_err() {
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

fn blob(text: &str) -> Blob {
    Blob(text.as_bytes().to_vec())
}

fn name(blob: &Blob) -> Name {
    Name::new(String::from_utf8_lossy(&blob.0))
}

fn put(key: &str, value: &[u8], lease: i64) -> Result<RequestOp> {
    if value.len() > MAX_VALUE {
        return Err(Error::TooLarge { size: value.len(), limit: MAX_VALUE });
    }
    let value = Blob(value.to_vec());
    Ok(RequestOp::Put(PutRequest { key: blob(key), value, lease: Int(lease) }))
}

fn read(kv: &Kv, key: &str) -> Option<Entry> {
    let req = RangeRequest { key: blob(key), ..RangeRequest::default() };
    kv.range(&req).ok()?.kvs.into_iter().next().map(entry_of)
}

fn entry_of(kv: KeyValue) -> Entry {
    Entry {
        key: name(&kv.key),
        value: kv.value.0,
        create_revision: Revision(kv.create_revision.0),
        mod_revision: Revision(kv.mod_revision.0),
        lease: (kv.lease.0 != 0).then_some(LeaseId(kv.lease.0)),
    }
}

fn event_of(event: wire::WatchEvent) -> WatchEvent {
    match event.kind {
        EventType::Put => WatchEvent::Put(entry_of(event.kv)),
        EventType::Delete => WatchEvent::Delete {
            key: name(&event.kv.key),
            revision: Revision(event.kv.mod_revision.0),
        },
    }
}

fn error_of(error: kv::Error) -> Error {
    match error {
        kv::Error::LeaseNotFound => Error::LeaseGone,
        kv::Error::Compacted(_) => Error::Compacted,
        error => Error::Protocol(error.to_string()),
    }
}
