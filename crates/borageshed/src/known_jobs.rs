//! The records of jobs that callers asked for lately.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
};

use jobs::{JobId, JobRecord};

/// Records that are kept; each takes some hundred bytes, and a miss costs one read of the store.
const MAX_RECORDS: usize = 1_024;

/// Keeps what never changes about a job: to whom it belongs and how many items it has.
#[derive(Debug, Default)]
pub struct KnownJobs {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    records: HashMap<JobId, Arc<JobRecord>>,
    /// The jobs in the order in which they were first asked for.
    order: VecDeque<JobId>,
}

impl KnownJobs {
    /// Returns the record of a job as it was when it was first read.
    pub fn get(&self, id: &JobId) -> Option<Arc<JobRecord>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).records.get(id).cloned()
    }

    /// Keeps a record; the oldest one makes room.
    pub fn insert(&self, id: &JobId, record: &Arc<JobRecord>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.records.insert(id.clone(), Arc::clone(record)).is_some() {
            return;
        }
        state.order.push_back(id.clone());
        if state.order.len() > MAX_RECORDS
            && let Some(oldest) = state.order.pop_front()
        {
            state.records.remove(&oldest);
        }
    }
}
