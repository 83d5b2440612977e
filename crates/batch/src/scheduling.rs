//! Picks jobs by deadline slack and by weighted fairness between accounts.

use std::collections::{BTreeMap, BTreeSet};

use stdx::Name;

/// The items that the fleet finishes per second, derived from the expected 190 million items per day.
const FLEET_ITEMS_PER_S: u64 = 2_200;
/// Jobs with less slack than this, in milliseconds, are in the most urgent class.
const URGENT_SLACK_MS: u64 = 60_000;
/// The fixed-point scale of [`FairScheduler::served`], which keeps precision when items are divided by a weight.
const SERVED_SCALE: u64 = 1 << 20;

/// A job that may be picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a, T> {
    /// The account that owns the job.
    pub account: &'a Name,
    /// When the job's window ends, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// The number of items that are not known to have ended.
    pub items: u64,
    /// The job.
    pub job: T,
}

/// Picks the next job and tracks how many items each account was served, divided by its weight.
#[derive(Debug, Default)]
pub struct FairScheduler {
    /// Items that were charged to an account, multiplied by [`SERVED_SCALE`] and divided by its weight.
    served: BTreeMap<Name, u64>,
    weights: BTreeMap<Name, u32>,
}

/// Returns the urgency class of a job: 0 below one minute of slack, and one more for each doubling of the slack.
///
/// Slack is the time to the deadline minus the time that the whole fleet needs for the items. Jobs are compared by
/// class instead of exact slack, so that fairness decides between jobs of similar urgency.
pub fn slack_class(unix_ms: u64, deadline_ms: u64, items: u64) -> u32 {
    let work_ms = items.saturating_mul(1_000) / FLEET_ITEMS_PER_S;
    let slack_ms = deadline_ms.saturating_sub(unix_ms).saturating_sub(work_ms);
    (slack_ms / URGENT_SLACK_MS).checked_ilog2().map_or(0, |it| it + 1)
}

impl FairScheduler {
    /// Sets the weights; accounts without an entry have weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<Name, u32>) {
        self.weights = weights;
    }

    /// Sets the accounts that have unfinished jobs.
    ///
    /// An account that becomes active starts at the level of the least served account, so that it accumulates no credit
    /// while it is idle.
    pub fn set_active(&mut self, accounts: &BTreeSet<Name>) {
        self.served.retain(|it, _| accounts.contains(it));
        let floor = self.served.values().min().copied().unwrap_or(0);
        for account in accounts {
            self.served.entry(account.clone()).or_insert(floor);
        }
    }

    /// Charges the items of a claimed segment to an account.
    pub fn charge(&mut self, account: &Name, items: u64) {
        let weight = self.weights.get(account).copied().unwrap_or(1).max(1);
        *self.served.entry(account.clone()).or_insert(0) +=
            items * SERVED_SCALE / u64::from(weight);
    }

    /// Picks the next job: lowest slack class first, then least served account, then earliest deadline.
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
