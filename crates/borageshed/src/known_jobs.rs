//! What never changes about the jobs that callers asked for lately.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use jobs::{Item, JobId, JobRecord};

/// Records that are kept; each takes some hundred bytes, and a miss costs one read of the store.
const MAX_RECORDS: usize = 1_024;
/// Bytes of items that are kept; some ten jobs of the usual size.
const MAX_ITEM_BYTES: usize = 3 << 20;

/// Keeps records and items of jobs.
#[derive(Debug, Default)]
pub struct KnownJobs {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    jobs: HashMap<JobId, Known>,
    /// The jobs in the order in which they were first asked for.
    order: VecDeque<JobId>,
    item_bytes: usize,
}

#[derive(Debug)]
struct Known {
    record: Arc<JobRecord>,
    items: Option<Arc<[Item]>>,
}

impl KnownJobs {
    /// Returns the record of a job as it was when it was first read.
    pub fn record(&self, id: &JobId) -> Option<Arc<JobRecord>> {
        self.lock().jobs.get(id).map(|it| Arc::clone(&it.record))
    }

    /// Returns the items of a job.
    pub fn items(&self, id: &JobId) -> Option<Arc<[Item]>> {
        self.lock().jobs.get(id)?.items.clone()
    }

    /// Keeps a record; the oldest one makes room.
    pub fn keep_record(&self, id: &JobId, record: &Arc<JobRecord>) {
        let mut state = self.lock();
        if state.jobs.contains_key(id) {
            return;
        }
        state.jobs.insert(id.clone(), Known { record: Arc::clone(record), items: None });
        state.order.push_back(id.clone());
        if state.order.len() > MAX_RECORDS {
            state.forget_oldest();
        }
    }

    /// Keeps the items of a job whose record is kept; the oldest jobs make room.
    pub fn keep_items(&self, id: &JobId, items: &Arc<[Item]>) {
        let mut state = self.lock();
        let Some(known) = state.jobs.get_mut(id) else { return };
        if known.items.replace(Arc::clone(items)).is_none() {
            state.item_bytes += size(items);
        }
        while state.item_bytes > MAX_ITEM_BYTES && state.order.len() > 1 {
            state.forget_oldest();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        let items = self.jobs.remove(&oldest).and_then(|it| it.items);
        self.item_bytes -= items.map_or(0, |it| size(&it));
    }
}

fn size(items: &[Item]) -> usize {
    items.iter().map(|it| it.body.0.len()).sum()
}
