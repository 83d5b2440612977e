//! Bounds what the answers of all targets together make the process hold.

use std::sync::atomic::{AtomicUsize, Ordering};

use thiserror::Error;

/// The result of taking bytes from a budget.
pub type Result<T> = std::result::Result<T, OverBudget>;

/// The part of each buffer that is not counted, so that ordinary answers do not fail because of the bytes of faulty targets.
const FREE_BYTES: usize = 16 << 10;

/// Bytes that buffers of the process share.
#[derive(Debug)]
pub struct ByteBudget {
    held: AtomicUsize,
    limit: usize,
}

/// What one buffer has taken from a budget; returned on drop.
#[derive(Debug)]
pub struct BudgetShare {
    budget: &'static ByteBudget,
    bytes: usize,
}

/// The buffers of the process hold as many bytes as they may together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answers of all targets together hold more than {limit} bytes")]
pub struct OverBudget {
    /// The limit.
    pub limit: usize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self { held: AtomicUsize::new(0), limit }
    }

    /// Returns the bytes that are taken.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns an empty share.
    pub const fn share(&'static self) -> BudgetShare {
        BudgetShare { budget: self, bytes: 0 }
    }
}

impl BudgetShare {
    /// Adapts the share to a buffer of this size.
    ///
    /// # Errors
    ///
    /// Fails if the budget is used up; the share is unchanged then. A smaller size never fails.
    pub fn resize(&mut self, buffer_bytes: usize) -> Result<()> {
        let wanted = buffer_bytes.saturating_sub(FREE_BYTES);
        let limit = self.budget.limit;
        match wanted.checked_sub(self.bytes) {
            None => {
                self.budget.held.fetch_sub(self.bytes - wanted, Ordering::Relaxed);
            }
            Some(0) => {}
            Some(more) => {
                let add = |held: usize| held.checked_add(more).filter(|it| *it <= limit);
                let held = &self.budget.held;
                held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
                    .map_err(|_| OverBudget { limit })?;
            }
        }
        self.bytes = wanted;
        Ok(())
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
