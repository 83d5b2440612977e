//! Deadline slack and fairness between accounts.

use std::collections::{BTreeMap, BTreeSet};

use stdx::Name;

/// The items that a fleet finishes per second, from the expected 190 M items a day.
const FLEET_ITEMS_PER_S: u64 = 2_200;
/// The slack below which jobs are in the most urgent class, in milliseconds.
const URGENT_SLACK_MS: u64 = 60_000;
/// Scales the service of an account, so that division by its weight keeps precision.
const SERVICE_SCALE: u64 = 1 << 20;

/// A job that may get work done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a, T> {
    /// The account that owns the job.
    pub account: &'a Name,
    /// When the job's window ends, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// The number of items that remain, as far as known.
    pub items: u64,
    /// The job.
    pub job: T,
}

/// Keeps the service that accounts got, in items divided by weight.
#[derive(Debug, Default)]
pub struct FairScheduler {
    served: BTreeMap<Name, u64>,
    weights: BTreeMap<Name, u32>,
}

/// Returns the urgency of a job: 0 below a minute of slack, and one more for each doubling.
///
/// Slack is the time to the deadline less the time that the whole fleet needs for the items. Classes instead of exact
/// slack leave room for fairness between jobs that are about equally urgent.
pub fn slack_class(unix_ms: u64, deadline_ms: u64, items: u64) -> u32 {
    let work_ms = items.saturating_mul(1_000) / FLEET_ITEMS_PER_S;
    let slack_ms = deadline_ms.saturating_sub(unix_ms).saturating_sub(work_ms);
    (slack_ms / URGENT_SLACK_MS).checked_ilog2().map_or(0, |it| it + 1)
}

impl FairScheduler {
    /// Sets the weights; accounts that are not named have weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<Name, u32>) {
        self.weights = weights;
    }

    /// Notes which accounts have unfinished jobs.
    ///
    /// An account that was idle starts at the level of the least served account, so that idle time earns nothing.
    pub fn set_active(&mut self, accounts: &BTreeSet<Name>) {
        self.served.retain(|it, _| accounts.contains(it));
        let floor = self.served.values().min().copied().unwrap_or(0);
        for account in accounts {
            self.served.entry(account.clone()).or_insert(floor);
        }
    }

    /// Adds the items of a claimed segment to the account's service.
    pub fn charge(&mut self, account: &Name, items: u64) {
        let weight = self.weights.get(account).copied().unwrap_or(1).max(1);
        *self.served.entry(account.clone()).or_insert(0) +=
            items * SERVICE_SCALE / u64::from(weight);
    }

    /// Picks the job that gets work next: least slack class, then least served account, then earliest deadline.
    pub fn pick<'a, T: Ord + Copy>(
        &self,
        unix_ms: u64,
        candidates: impl Iterator<Item = Candidate<'a, T>>,
    ) -> Option<T> {
        candidates
            .min_by_key(|it| {
                let class = slack_class(unix_ms, it.deadline_ms, it.items);
                let served = self.served.get(it.account).copied().unwrap_or(0);
                (class, served, it.deadline_ms, it.job)
            })
            .map(|it| it.job)
    }
}
