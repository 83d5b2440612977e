//! Caches the immutable data of recently requested jobs.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use jobs::{Item, JobId, JobRecord};

/// The maximum number of cached records. Each takes some hundred bytes, and a miss costs one read of the store.
const MAX_RECORDS: usize = 1_024;
/// The maximum total size of cached items in bytes; enough for about ten jobs of the usual size.
const MAX_ITEM_BYTES: usize = 3 << 20;

/// Caches records and items of jobs.
#[derive(Debug, Default)]
pub struct JobCache {
    state: Mutex<CacheState>,
}

#[derive(Debug, Default)]
struct CacheState {
    jobs: HashMap<JobId, CachedJob>,
    /// The jobs in the order in which their records were inserted.
    insertion_order: VecDeque<JobId>,
    item_bytes: usize,
}

#[derive(Debug)]
struct CachedJob {
    record: Arc<JobRecord>,
    items: Option<Arc<[Item]>>,
}

impl JobCache {
    /// Returns the cached record of a job, as it was when it was first read.
    pub fn record(&self, id: &JobId) -> Option<Arc<JobRecord>> {
        self.lock().jobs.get(id).map(|it| Arc::clone(&it.record))
    }

    /// Returns the cached items of a job.
    pub fn items(&self, id: &JobId) -> Option<Arc<[Item]>> {
        self.lock().jobs.get(id)?.items.clone()
    }

    /// Caches a record; evicts the oldest job if the cache is full.
    pub fn insert_record(&self, id: &JobId, record: &Arc<JobRecord>) {
        let mut state = self.lock();
        if state.jobs.contains_key(id) {
            return;
        }
        state.jobs.insert(id.clone(), CachedJob { record: Arc::clone(record), items: None });
        state.insertion_order.push_back(id.clone());
        if state.insertion_order.len() > MAX_RECORDS {
            state.evict_oldest();
        }
    }

    /// Caches the items of a job whose record is cached; evicts the oldest jobs if the items take too much memory.
    pub fn insert_items(&self, id: &JobId, items: &Arc<[Item]>) {
        let mut state = self.lock();
        let Some(cached) = state.jobs.get_mut(id) else { return };
        if cached.items.replace(Arc::clone(items)).is_none() {
            state.item_bytes += body_bytes(items);
        }
        while state.item_bytes > MAX_ITEM_BYTES && state.insertion_order.len() > 1 {
            state.evict_oldest();
        }
    }

    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CacheState {
    fn evict_oldest(&mut self) {
        let Some(oldest) = self.insertion_order.pop_front() else { return };
        let items = self.jobs.remove(&oldest).and_then(|it| it.items);
        self.item_bytes -= items.map_or(0, |it| body_bytes(&it));
    }
}

fn body_bytes(items: &[Item]) -> usize {
    items.iter().map(|it| it.body.0.len()).sum()
}
