//! Bounds the memory that callers can make the process hold.
//!
//! All servers of a process share one [`MemoryBudget`]. Bytes are granted before they are read. When the budget is used up, the
//! reader that asks for more waits while another body that is still arriving is refused: first the largest of the slow ones, then
//! the one that began last, so that the others get to their end. Small holders may use a reserve, so that ordinary requests go
//! on beside large ones.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use thiserror::Error;

/// Holders of at most this many bytes may use the reserve; a request with the usual header fields is one.
const SMALL_BYTES: usize = 128 * 1024;

/// The part of the budget that is reserved for small holders, as a divisor.
const RESERVE_DIVISOR: usize = 8;

/// The part of the budget that idle connections may take together, as a divisor.
const IDLE_DIVISOR: usize = 2;

/// A body without a byte for this long counts as slow while memory is short.
const STALLED_AFTER: Duration = Duration::from_millis(250);

/// A body below this rate counts as slow while memory is short.
const SLOW_BYTES_PER_S: f64 = 256.0 * 1024.0;

/// The age from which the rate of a body says something.
const RATED_AFTER: Duration = Duration::from_millis(500);

/// The budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the instance has no memory for the request now")]
pub struct OverBudget;

/// Counters since the start and the current state of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MemoryStats {
    /// The bytes that may be held.
    pub limit: usize,
    /// The bytes that are held.
    pub held: usize,
    /// The most bytes that were held at once.
    pub peak: usize,
    /// Bodies that were refused while they arrived, to make room.
    pub revoked: u64,
    /// Requests, connections and answers that found no room.
    pub refused: u64,
}

/// Bytes that the holders of a process share; clones are the same budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    stats: MemoryStats,
    /// Held by connections without a request.
    idle: usize,
    bodies: BTreeMap<u64, Body>,
    /// Wakes the readers that wait for room, by body.
    waiting: BTreeMap<u64, Waker>,
}

/// A request body.
#[derive(Debug)]
struct Body {
    bytes: usize,
    began: Instant,
    progress: Instant,
    phase: Phase,
    /// Wakes the reader when its body is refused.
    waker: Option<Waker>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Arriving,
    /// Refused; its memory is about to be released.
    Revoked,
    /// Arrived as a whole; the request may run, so it is not refused any more.
    Whole,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let state = State {
            stats: MemoryStats { limit, ..MemoryStats::default() },
            idle: 0,
            bodies: BTreeMap::new(),
            waiting: BTreeMap::new(),
        };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Returns the counters.
    pub fn stats(&self) -> MemoryStats {
        self.lock().stats
    }

    /// Takes bytes for as long as the result lives.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no room.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, OverBudget> {
        self.reserve_as(bytes, false)
    }

    /// Takes bytes for a connection that has no request; all of them together get a part of the budget.
    ///
    /// # Errors
    ///
    /// Fails if the budget or that part has no room.
    pub fn reserve_idle(&self, bytes: usize) -> Result<Reservation, OverBudget> {
        self.reserve_as(bytes, true)
    }

    /// Starts the account of a request body.
    pub fn body(&self) -> BodyMemory {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        BodyMemory { budget: self.clone(), id, is_charged: AtomicBool::new(false) }
    }

    fn reserve_as(&self, bytes: usize, is_idle: bool) -> Result<Reservation, OverBudget> {
        let mut state = self.lock();
        let idle_room = state.stats.limit / IDLE_DIVISOR;
        let fits_idle = !is_idle || state.idle + bytes <= idle_room;
        if !fits_idle || !state.has_room(bytes, bytes) {
            state.stats.refused += 1;
            if fits_idle {
                state.revoke_one(None);
            }
            return Err(OverBudget);
        }
        state.take(bytes);
        if is_idle {
            state.idle += bytes;
        }
        Ok(Reservation { budget: self.clone(), bytes, is_idle })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PartialEq for MemoryBudget {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Default for MemoryBudget {
    /// Creates a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX / 2)
    }
}

impl State {
    fn has_room(&self, more: usize, total: usize) -> bool {
        let limit = self.stats.limit;
        let limit = if total <= SMALL_BYTES { limit } else { limit - limit / RESERVE_DIVISOR };
        self.stats.held + more <= limit
    }

    fn take(&mut self, bytes: usize) {
        self.stats.held += bytes;
        self.stats.peak = self.stats.peak.max(self.stats.held);
    }

    fn release(&mut self, bytes: usize) {
        self.stats.held -= bytes;
        std::mem::take(&mut self.waiting).into_values().for_each(Waker::wake);
    }

    /// Refuses an arriving body to make room, unless the memory of another one is about to be released. Returns whether there
    /// is one to wait for.
    fn revoke_one(&mut self, asking: Option<u64>) -> bool {
        if self.bodies.values().any(|it| it.phase == Phase::Revoked) {
            return true;
        }
        let Some(id) = self.body_to_refuse(asking) else { return false };
        self.stats.revoked += 1;
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        body.phase = Phase::Revoked;
        if let Some(waker) = body.waker.take() {
            waker.wake();
        }
        true
    }

    fn body_to_refuse(&self, asking: Option<u64>) -> Option<u64> {
        let now = Instant::now();
        let is_large = |id: u64, it: &Body| it.bytes > SMALL_BYTES || asking == Some(id);
        let arriving = self.bodies.iter().filter(|(_, it)| it.phase == Phase::Arriving);
        let candidates: Vec<_> =
            arriving.filter(|(id, it)| is_large(**id, it)).map(|(id, it)| (*id, it)).collect();
        let slow = candidates.iter().filter(|(id, it)| asking != Some(*id) && it.is_slow(now));
        let slowest = slow.max_by_key(|(_, it)| it.bytes);
        slowest.or(candidates.iter().max_by_key(|(_, it)| it.began)).map(|(id, _)| *id)
    }
}

impl Body {
    fn is_slow(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.began);
        let is_stalled = now.saturating_duration_since(self.progress) >= STALLED_AFTER;
        is_stalled
            || age >= RATED_AFTER && (self.bytes as f64) < SLOW_BYTES_PER_S * age.as_secs_f64()
    }
}

/// Bytes taken from a budget; returned on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
    is_idle: bool,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if self.is_idle {
            state.idle -= self.bytes;
        }
        state.release(self.bytes);
    }
}

/// The account of one request body, from its first byte until nothing holds it any more.
#[derive(Debug)]
pub struct BodyMemory {
    budget: MemoryBudget,
    id: u64,
    /// Whether the budget knows the body; small ones take nothing from it.
    is_charged: AtomicBool,
}

impl BodyMemory {
    /// Takes more bytes, waiting until another body has made room.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, or if this body has to make room. It must be released then.
    pub async fn grow(&self, bytes: usize) -> Result<(), OverBudget> {
        poll_fn(|cx| self.poll_grow(bytes, cx)).await
    }

    pub(crate) fn poll_grow(
        &self,
        bytes: usize,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), OverBudget>> {
        let now = Instant::now();
        self.is_charged.store(true, Ordering::Relaxed);
        let mut guard = self.budget.lock();
        let state = &mut *guard;
        let new = Body { bytes: 0, began: now, progress: now, phase: Phase::Arriving, waker: None };
        let body = state.bodies.entry(self.id).or_insert(new);
        body.progress = now;
        if body.phase == Phase::Revoked {
            return Poll::Ready(Err(OverBudget));
        }
        let total = body.bytes + bytes;
        if state.has_room(bytes, total) {
            state.take(bytes);
            if let Some(body) = state.bodies.get_mut(&self.id) {
                body.bytes = total;
            }
            return Poll::Ready(Ok(()));
        }
        let can_wait = state.revoke_one(Some(self.id));
        let is_revoked = state.bodies.get(&self.id).is_some_and(|it| it.phase == Phase::Revoked);
        if is_revoked || !can_wait {
            state.stats.refused += 1;
            return Poll::Ready(Err(OverBudget));
        }
        state.waiting.insert(self.id, cx.waker().clone());
        if let Some(body) = state.bodies.get_mut(&self.id) {
            body.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Gives back bytes that were taken but not used.
    pub(crate) fn shrink(&self, bytes: usize) {
        let mut state = self.budget.lock();
        if let Some(body) = state.bodies.get_mut(&self.id) {
            body.bytes -= bytes;
            state.release(bytes);
        }
    }

    /// Sets who is woken when the body is refused; fails if it has been.
    pub(crate) fn watch(&self, cx: &Context<'_>) -> Result<(), OverBudget> {
        if !self.is_charged.load(Ordering::Relaxed) {
            return Ok(());
        }
        match self.budget.lock().bodies.get_mut(&self.id) {
            Some(body) if body.phase == Phase::Revoked => Err(OverBudget),
            Some(body) => {
                body.waker = Some(cx.waker().clone());
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Marks the body as whole, so that it is not refused any more; fails if it has been.
    pub(crate) fn finish(&self) -> Result<(), OverBudget> {
        if !self.is_charged.load(Ordering::Relaxed) {
            return Ok(());
        }
        match self.budget.lock().bodies.get_mut(&self.id) {
            Some(body) if body.phase == Phase::Revoked => Err(OverBudget),
            Some(body) => {
                body.phase = Phase::Whole;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        if !*self.is_charged.get_mut() {
            return;
        }
        let mut state = self.budget.lock();
        if let Some(body) = state.bodies.remove(&self.id) {
            state.release(body.bytes);
        }
    }
}
