//! Counts of calls by kind, and the budget that limits them.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng as _;
use stdx::{Timestamp, value_type};

value_type! {
    /// The kind of a call; each kind is counted separately.
    #[derive(Copy)]
    pub enum CallKind {
        /// Reads one key.
        Get,
        /// Reads one page of a range.
        Range,
        /// Opens a watch; reopening it after a broken connection counts again.
        Watch,
        /// Checks that the service answers.
        Probe,
        /// Reads the state of a write after a lost answer.
        ReadBack,
        /// Creates a key.
        Create,
        /// Replaces a value.
        CompareAndSwap,
        /// Commits a transaction of several keys.
        Commit,
        /// Deletes a key.
        Delete,
        /// Writes a key under a lease.
        PutWithLease,
        /// Grants a lease.
        LeaseGrant,
        /// Renews a lease.
        LeaseKeepAlive,
        /// Ends a lease.
        LeaseRevoke,
        /// Repeats a write after a lost answer.
        WriteAgain,
    }
}

impl CallKind {
    /// Every kind.
    pub const ALL: [Self; 14] = [
        Self::Get,
        Self::Range,
        Self::Watch,
        Self::Probe,
        Self::ReadBack,
        Self::Create,
        Self::CompareAndSwap,
        Self::Commit,
        Self::Delete,
        Self::PutWithLease,
        Self::LeaseGrant,
        Self::LeaseKeepAlive,
        Self::LeaseRevoke,
        Self::WriteAgain,
    ];

    /// Returns the name under which the count is exported.
    pub fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Range => "range",
            Self::Watch => "watch",
            Self::Probe => "probe",
            Self::ReadBack => "read_back",
            Self::Create => "create",
            Self::CompareAndSwap => "compare_and_swap",
            Self::Commit => "commit",
            Self::Delete => "delete",
            Self::PutWithLease => "put_with_lease",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseKeepAlive => "lease_keep_alive",
            Self::LeaseRevoke => "lease_revoke",
            Self::WriteAgain => "write_again",
        }
    }

    fn is_read(self) -> bool {
        matches!(self, Self::Get | Self::Range | Self::Watch | Self::Probe | Self::ReadBack)
    }

    /// Returns whether a call is sent even over budget. Calls that determine the outcome of a write, or renew or end a lease, are:
    /// refusing them would leave an outcome unknown or lose the lease. They put the budget into debt instead.
    fn is_urgent(self) -> bool {
        matches!(self, Self::ReadBack | Self::WriteAgain | Self::LeaseKeepAlive | Self::LeaseRevoke)
    }

    /// Returns whether the service does not count a call toward its limits.
    fn is_unlimited(self) -> bool {
        self == Self::Probe
    }
}

/// The calls that one daemon may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetConfig {
    /// Reads and opened watches per second.
    pub reads_per_second: f64,
    /// Writes and lease calls per second.
    pub writes_per_second: f64,
    /// The burst capacity, in seconds' worth of calls.
    pub burst_seconds: f64,
}

impl Default for BudgetConfig {
    /// Splits the service's capacity of 2,000 reads and about 400 writes per second evenly over 370 daemons. The burst covers
    /// the start of a daemon, which claims its slots and reads the configuration.
    fn default() -> Self {
        Self { reads_per_second: 5.0, writes_per_second: 1.0, burst_seconds: 60.0 }
    }
}

#[derive(Debug)]
struct Bucket {
    per_second: f64,
    capacity: f64,
    available: f64,
    refilled_at: Timestamp,
}

impl Bucket {
    fn new(now: Timestamp, per_second: f64, burst_seconds: f64) -> Self {
        let capacity = (per_second * burst_seconds).max(1.0);
        Self { per_second, capacity, available: capacity, refilled_at: now }
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.available = (self.available + gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Counts calls and refuses those that exceed the budget.
#[derive(Debug)]
pub struct Budget {
    reads: Bucket,
    writes: Bucket,
    counts: BTreeMap<CallKind, u64>,
    refused: u64,
}

impl Budget {
    /// Creates a budget with its full burst available.
    pub fn new(now: Timestamp, cfg: BudgetConfig) -> Self {
        Self {
            reads: Bucket::new(now, cfg.reads_per_second, cfg.burst_seconds),
            writes: Bucket::new(now, cfg.writes_per_second, cfg.burst_seconds),
            counts: BTreeMap::new(),
            refused: 0,
        }
    }

    /// Charges a call to the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until the call fits the budget; a refused call is not counted.
    pub fn charge(&mut self, now: Timestamp, kind: CallKind) -> Result<(), Duration> {
        let bucket = if kind.is_read() { &mut self.reads } else { &mut self.writes };
        if kind.is_unlimited() {
            *self.counts.entry(kind).or_default() += 1;
            return Ok(());
        }
        bucket.refill(now);
        if bucket.available < 1.0 && !kind.is_urgent() {
            self.refused += 1;
            // A rate of zero would yield an infinite wait; a limit of an hour makes no difference to the caller.
            let wait = ((1.0 - bucket.available) / bucket.per_second).clamp(0.001, 3600.0);
            return Err(Duration::from_secs_f64(wait));
        }
        // The debt is bounded, so that urgent calls during a long outage do not block other calls for long after it.
        bucket.available = (bucket.available - 1.0).max(-bucket.capacity);
        *self.counts.entry(kind).or_default() += 1;
        Ok(())
    }

    /// Returns the number of calls sent so far, by kind.
    pub fn counts(&self) -> BTreeMap<CallKind, u64> {
        self.counts.clone()
    }

    /// Returns the number of refused calls.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Returns a random duration between 0.9 and 1.1 times the given one.
pub fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.9..1.1))
}
