//! The state of a key-value service with revisions, leases and watches, free of I/O and of the wall clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kv_store::wire::{
    Blob, Compare, Comparison, DeleteRequest, DeleteResponse, EventType, Header, Int, KeyValue,
    LeaseResponse, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp, ResponseOp,
    Target, TxnRequest, TxnResponse, WatchEvent,
};
use stdx::Timestamp;
use thiserror::Error;

/// The largest value that the service takes, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// The history is compacted when its values exceed this many bytes, so that long runs stay bounded.
pub const MAX_HISTORY: usize = 64 << 20;

/// Why the service refuses a call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The lease was never granted, was revoked or has expired.
    #[error("requested lease not found")]
    LeaseNotFound,
    /// A lease with the requested id exists.
    #[error("lease already exists")]
    LeaseExists,
    /// The revision is older than the kept history; the first kept one is given.
    #[error("required revision has been compacted")]
    Compacted(i64),
    /// The revision has not been reached yet.
    #[error("required revision is a future revision")]
    Future,
    /// A value exceeds [`MAX_VALUE`].
    #[error("request is too large")]
    TooLarge,
}

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug, Clone)]
struct Change {
    revision: i64,
    key: Vec<u8>,
    before: Option<Arc<KeyValue>>,
    after: Option<Arc<KeyValue>>,
}

impl Change {
    fn size(&self) -> usize {
        self.key.len() + self.after.as_ref().map_or(0, |kv| kv.value.0.len())
    }
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires: Timestamp,
    granted_at: i64,
}

/// The keys, leases and history of one service.
#[derive(Debug, Clone)]
pub struct Kv {
    cluster: u64,
    revision: i64,
    /// The oldest revision whose changes are kept.
    first_kept: i64,
    history: Vec<Change>,
    history_size: usize,
    keys: BTreeMap<Vec<u8>, Arc<KeyValue>>,
    leases: BTreeMap<i64, Lease>,
    /// Ended leases; a rollback that brings their keys back needs their time to live.
    ended_leases: BTreeMap<i64, Duration>,
    next_lease: i64,
}

impl Default for Kv {
    fn default() -> Self {
        Self {
            cluster: 1,
            revision: 1,
            first_kept: 1,
            history: Vec::new(),
            history_size: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            ended_leases: BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl Kv {
    /// Returns the revision of the latest write.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the header of an answer given now.
    pub fn header(&self) -> Header {
        Header { cluster_id: self.cluster.to_string(), revision: Int(self.revision) }
    }

    /// Reads keys, now or at the earlier revision that the request names.
    ///
    /// # Errors
    ///
    /// Fails if the revision is compacted or not reached yet.
    pub fn range(&self, req: &RangeRequest) -> Result<RangeResponse> {
        let at = req.revision.0;
        if at > self.revision {
            return Err(Error::Future);
        }
        let past;
        let keys = if at > 0 && at < self.revision {
            if at + 1 < self.first_kept {
                return Err(Error::Compacted(self.first_kept));
            }
            past = self.keys_at(at);
            &past
        } else {
            &self.keys
        };
        let found: Vec<_> = keys
            .range(req.key.0.clone()..)
            .take_while(|(key, _)| in_range(key, &req.key.0, &req.range_end.0))
            .map(|(_, kv)| kv)
            .collect();
        let limit = usize::try_from(req.limit.0).ok().filter(|n| *n > 0).unwrap_or(usize::MAX);
        let kvs = found.iter().take(limit).map(|kv| {
            let mut kv = KeyValue::clone(kv);
            if req.keys_only {
                kv.value = Blob::default();
            }
            kv
        });
        Ok(RangeResponse {
            header: self.header(),
            kvs: kvs.collect(),
            more: found.len() > limit,
            count: Int(found.len() as i64),
        })
    }

    /// Writes one key.
    ///
    /// # Errors
    ///
    /// Fails if the value is too large or the lease is gone.
    pub fn put(&mut self, req: &PutRequest) -> Result<PutResponse> {
        self.check_put(req)?;
        let revision = self.revision + 1;
        self.write(revision, req);
        self.finish(revision);
        Ok(PutResponse { header: self.header() })
    }

    /// Deletes keys; the revision stays as it is if there are none.
    pub fn delete(&mut self, req: &DeleteRequest) -> DeleteResponse {
        let revision = self.revision + 1;
        let deleted = self.erase_range(revision, req);
        self.finish(if deleted > 0 { revision } else { revision - 1 });
        DeleteResponse { header: self.header(), deleted: Int(deleted) }
    }

    /// Runs a transaction; all its writes share one revision.
    ///
    /// # Errors
    ///
    /// Fails, without any effect, if an operation would fail.
    pub fn txn(&mut self, req: &TxnRequest) -> Result<TxnResponse> {
        let succeeded = req.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded { &req.success } else { &req.failure };
        for op in ops {
            match op {
                RequestOp::Put(put) => self.check_put(put)?,
                RequestOp::Range(range) => drop(self.range(range)?),
                RequestOp::Delete(_) => {}
            }
        }
        let revision = self.revision + 1;
        let mut written = false;
        let mut responses = Vec::with_capacity(ops.len());
        for op in ops {
            responses.push(match op {
                RequestOp::Range(range) => ResponseOp::Range(self.range(range)?),
                RequestOp::Put(put) => {
                    self.write(revision, put);
                    written = true;
                    ResponseOp::Put(PutResponse::default())
                }
                RequestOp::Delete(delete) => {
                    let deleted = self.erase_range(revision, delete);
                    written |= deleted > 0;
                    ResponseOp::Delete(DeleteResponse {
                        deleted: Int(deleted),
                        ..DeleteResponse::default()
                    })
                }
            });
        }
        self.finish(if written { revision } else { revision - 1 });
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    /// Grants a lease; an `id` of 0 lets the service choose one.
    ///
    /// # Errors
    ///
    /// Fails if the id is taken.
    pub fn lease_grant(&mut self, now: Timestamp, id: i64, ttl: i64) -> Result<LeaseResponse> {
        let id = if id == 0 { self.free_lease_id() } else { id };
        if self.leases.contains_key(&id) {
            return Err(Error::LeaseExists);
        }
        let ttl = ttl.max(1);
        let duration = Duration::from_secs(ttl.unsigned_abs());
        let lease = Lease { ttl: duration, expires: now + duration, granted_at: self.revision };
        self.leases.insert(id, lease);
        Ok(LeaseResponse { header: self.header(), id: Int(id), ttl: Int(ttl) })
    }

    /// Renews a lease; the answer's time to live is 0 if the lease is gone.
    pub fn lease_keep_alive(&mut self, now: Timestamp, id: i64) -> LeaseResponse {
        self.expire(now);
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires = now + lease.ttl;
            lease.ttl.as_secs() as i64
        });
        LeaseResponse { header: self.header(), id: Int(id), ttl: Int(ttl) }
    }

    /// Ends a lease and deletes its keys; also used to bring about a lapse.
    ///
    /// # Errors
    ///
    /// Fails if the lease is gone.
    pub fn lease_revoke(&mut self, id: i64) -> Result<()> {
        let lease = self.leases.remove(&id).ok_or(Error::LeaseNotFound)?;
        self.ended_leases.insert(id, lease.ttl);
        let held = |kv: &Arc<KeyValue>| kv.lease.0 == id;
        let keys: Vec<_> =
            self.keys.iter().filter(|(_, kv)| held(kv)).map(|(key, _)| key.clone()).collect();
        let revision = self.revision + 1;
        for key in &keys {
            self.erase(revision, key);
        }
        self.finish(if keys.is_empty() { revision - 1 } else { revision });
        Ok(())
    }

    /// Returns the ids of the leases in force.
    pub fn leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Ends the leases that ran out by `now`; returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let due: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &due {
            // The id was just read from the map, so the lease exists.
            let _ = self.lease_revoke(*id);
        }
        !due.is_empty()
    }

    /// Returns the events from revision `start` on in a range of keys, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if `start` is compacted.
    pub fn events(&self, key: &[u8], range_end: &[u8], start: i64) -> Result<Vec<WatchEvent>> {
        if start < self.first_kept {
            return Err(Error::Compacted(self.first_kept));
        }
        let from = self.history.partition_point(|change| change.revision < start);
        let wanted =
            self.history[from..].iter().filter(|change| in_range(&change.key, key, range_end));
        Ok(wanted.map(event_of).collect())
    }

    /// Forgets the changes before `revision`.
    pub fn compact(&mut self, revision: i64) {
        let keep = self.history.partition_point(|change| change.revision < revision);
        self.history_size -= self.history[..keep].iter().map(Change::size).sum::<usize>();
        self.history.drain(..keep);
        self.first_kept = self.first_kept.max(revision.min(self.revision + 1));
    }

    /// Restores the state of an earlier revision, as after a restore from a backup.
    ///
    /// As with a restored backup, the cluster id changes.
    ///
    /// # Errors
    ///
    /// Fails if the revision is compacted or not reached yet.
    pub fn roll_back(&mut self, now: Timestamp, revision: i64) -> Result<()> {
        if revision > self.revision {
            return Err(Error::Future);
        }
        if revision + 1 < self.first_kept {
            return Err(Error::Compacted(self.first_kept));
        }
        self.keys = self.keys_at(revision);
        let keep = self.history.partition_point(|change| change.revision <= revision);
        self.history_size -= self.history[keep..].iter().map(Change::size).sum::<usize>();
        self.history.truncate(keep);
        self.revision = revision;
        self.cluster += 1;
        self.leases.retain(|_, lease| lease.granted_at <= revision);
        let wanted: BTreeSet<i64> =
            self.keys.values().map(|kv| kv.lease.0).filter(|id| *id != 0).collect();
        for id in wanted {
            let ttl = self.ended_leases.get(&id).copied().unwrap_or(Duration::from_secs(1));
            self.leases.entry(id).or_insert(Lease {
                ttl,
                expires: now + ttl,
                granted_at: revision,
            });
        }
        Ok(())
    }

    fn keys_at(&self, revision: i64) -> BTreeMap<Vec<u8>, Arc<KeyValue>> {
        let mut keys = self.keys.clone();
        for change in self.history.iter().rev().take_while(|change| change.revision > revision) {
            match &change.before {
                Some(kv) => keys.insert(change.key.clone(), Arc::clone(kv)),
                None => keys.remove(&change.key),
            };
        }
        keys
    }

    fn free_lease_id(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease) {
            self.next_lease += 1;
        }
        self.next_lease
    }

    fn check_put(&self, req: &PutRequest) -> Result<()> {
        if req.value.0.len() > MAX_VALUE {
            return Err(Error::TooLarge);
        }
        if req.lease.0 != 0 && !self.leases.contains_key(&req.lease.0) {
            return Err(Error::LeaseNotFound);
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key.0);
        let number = |field: fn(&KeyValue) -> Int| kv.map_or(0, |kv| field(kv).0);
        let order = match compare.target {
            Target::Version => number(|kv| kv.version).cmp(&compare.version.0),
            Target::Create => number(|kv| kv.create_revision).cmp(&compare.create_revision.0),
            Target::Mod => number(|kv| kv.mod_revision).cmp(&compare.mod_revision.0),
            Target::Lease => number(|kv| kv.lease).cmp(&compare.lease.0),
            // A comparison with the value of a missing key never holds.
            Target::Value => match kv {
                Some(kv) => kv.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            Comparison::Equal => order.is_eq(),
            Comparison::Greater => order.is_gt(),
            Comparison::Less => order.is_lt(),
            Comparison::NotEqual => order.is_ne(),
        }
    }

    fn write(&mut self, revision: i64, req: &PutRequest) {
        let before = self.keys.get(&req.key.0).cloned();
        let after = Arc::new(KeyValue {
            key: req.key.clone(),
            create_revision: before.as_ref().map_or(Int(revision), |kv| kv.create_revision),
            mod_revision: Int(revision),
            version: Int(before.as_ref().map_or(0, |kv| kv.version.0) + 1),
            value: req.value.clone(),
            lease: req.lease,
        });
        self.keys.insert(req.key.0.clone(), Arc::clone(&after));
        self.record(Change { revision, key: req.key.0.clone(), before, after: Some(after) });
    }

    fn erase_range(&mut self, revision: i64, req: &DeleteRequest) -> i64 {
        let keys: Vec<_> = self
            .keys
            .range(req.key.0.clone()..)
            .take_while(|(key, _)| in_range(key, &req.key.0, &req.range_end.0))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.erase(revision, key);
        }
        keys.len() as i64
    }

    fn erase(&mut self, revision: i64, key: &[u8]) {
        let before = self.keys.remove(key);
        self.record(Change { revision, key: key.to_vec(), before, after: None });
    }

    fn record(&mut self, change: Change) {
        self.history_size += change.size();
        self.history.push(change);
    }

    fn finish(&mut self, revision: i64) {
        assert!(revision >= self.revision, "the revision never falls by a write");
        self.revision = revision;
        if self.history_size > MAX_HISTORY {
            let middle = self.history[self.history.len() / 2].revision;
            self.compact(middle);
        }
    }
}

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        end => key >= start && key < end,
    }
}

fn event_of(change: &Change) -> WatchEvent {
    match &change.after {
        Some(kv) => WatchEvent { kind: EventType::Put, kv: KeyValue::clone(kv) },
        None => WatchEvent {
            kind: EventType::Delete,
            kv: KeyValue {
                key: Blob(change.key.clone()),
                mod_revision: Int(change.revision),
                ..KeyValue::default()
            },
        },
    }
}
