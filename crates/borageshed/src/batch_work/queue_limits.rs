//! Limits how many items wait in the dispatcher's queue.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use fleet::{Document, QualifiedName};

/// Counts the items that wait for a target, by service.
#[derive(Debug)]
pub struct QueueLimits {
    queues: HashMap<QualifiedName, Queue>,
    wake: async_channel::Sender<()>,
}

/// The items that wait for a target of one service.
#[derive(Debug, Clone)]
pub struct Queue {
    waiting: Arc<AtomicUsize>,
    wake: async_channel::Sender<()>,
}

/// Counts one item as waiting while the guard exists.
#[derive(Debug)]
pub struct WaitingGuard {
    /// The queue in which the item is counted.
    pub queue: Queue,
}

impl QueueLimits {
    /// Creates empty counts. A message is sent on `wake` when an item stops waiting and there may be room for another.
    pub fn new(wake: async_channel::Sender<()>) -> Self {
        Self { queues: HashMap::new(), wake }
    }

    /// Returns whether another item may wait for a service.
    ///
    /// The targets accept about as many items at a time as they can run concurrently, and all daemons share that number.
    /// More items in the queue would only delay the jobs of other accounts behind them.
    pub fn has_room(&self, document: &Document, service: &QualifiedName, daemons: usize) -> bool {
        let waiting = self.queues.get(service).map_or(0, |it| it.waiting.load(Ordering::Acquire));
        waiting < max_waiting(document, service, daemons)
    }

    /// Counts an item as waiting.
    pub fn enter(&mut self, service: &QualifiedName) -> WaitingGuard {
        let new = || Queue { waiting: Arc::default(), wake: self.wake.clone() };
        self.queues.entry(service.clone()).or_insert_with(new).enter()
    }
}

impl Queue {
    /// Counts an item as waiting.
    pub fn enter(&self) -> WaitingGuard {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        WaitingGuard { queue: self.clone() }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.queue.waiting.fetch_sub(1, Ordering::AcqRel);
        // If the channel is full, a wake-up is already pending.
        let _ = self.queue.wake.try_send(());
    }
}

fn max_waiting(document: &Document, service: &QualifiedName, daemons: usize) -> usize {
    let targets = document.services.get(service).into_iter().flat_map(|it| it.targets.values());
    let slots: usize = targets.filter(|it| !it.leaving).map(|it| it.concurrency as usize).sum();
    slots.div_ceil(daemons.max(1)).max(1)
}
