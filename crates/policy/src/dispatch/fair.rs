//! The weighted fair queue.
//!
//! Every account has a counter of the tokens that it was served, divided by its weight; the waiting account with the lowest
//! counter is served next. The counter of the account served last is the virtual time of the queue. When an account starts
//! to wait, its counter is raised to the virtual time less a bounded credit, if it is lower. Without the credit, an account
//! that stays within its share would lose the service that it does not use from one moment to the next, and would wait
//! behind accounts that always have requests waiting.
//!
//! Within an account, requests that can still meet their objective are served first. In the order of arrival, all requests of an
//! overload would be served when it is too late for each of them.

use std::collections::{BTreeSet, VecDeque};

use fleet::QualifiedName;
use indexmap::IndexMap;
use stdx::Timestamp;

/// A waiting request and what it counts towards the limits of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Entry {
    pub id: u64,
    pub cost: u64,
    pub bytes: usize,
    /// The latest time at which a start still meets the objective.
    pub due: Timestamp,
}

/// Requests by account, in weighted fair order.
#[derive(Debug)]
pub(super) struct FairQueue {
    accounts: IndexMap<QualifiedName, AccountQueue>,
    /// The accounts that wait, by counter, then by name.
    order: BTreeSet<(u64, QualifiedName)>,
    /// The counter of the account served last.
    virtual_time: u64,
    len: usize,
    bytes: usize,
    cost: u64,
    /// The sum of the weights of the accounts that wait.
    active_weight: u64,
}

#[derive(Debug, Default)]
struct AccountQueue {
    weight: u64,
    counter: u64,
    entries: VecDeque<Entry>,
    /// The number of entries at the end that can no longer meet their objective.
    overdue: usize,
    bytes: usize,
    cost: u64,
}

/// The counter's unit is a thousandth of a token, so that division by weights keeps its precision.
const COUNTER_SCALE: u64 = 1_000;

/// How far the counter of an account that starts to wait may lie behind the virtual time, in units of the counter: for an
/// account of weight one, two requests with the longest prompts that the fleet's engines accept.
const CREDIT: u64 = 16_384 * COUNTER_SCALE;

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            accounts: IndexMap::new(),
            order: BTreeSet::new(),
            // Above zero, so that the first accounts have credit too.
            virtual_time: CREDIT,
            len: 0,
            bytes: 0,
            cost: 0,
            active_weight: 0,
        }
    }
}

impl AccountQueue {
    /// Returns the number of entries that can still meet their objective.
    fn in_time(&self) -> usize {
        self.entries.len() - self.overdue
    }
}

impl FairQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the waiting requests and bytes of an account.
    pub fn account_load(&self, account: &QualifiedName) -> (usize, usize) {
        self.accounts.get(account).map_or((0, 0), |it| (it.entries.len(), it.bytes))
    }

    /// Returns the tokens that will be served before a new request of the account.
    pub fn cost_ahead(&self, account: &QualifiedName, weight: u32) -> u64 {
        let weight = u64::from(weight.max(1));
        let floor = self.virtual_time - CREDIT;
        let (counter, own) =
            self.accounts.get(account).map_or((floor, 0), |it| (it.counter.max(floor), it.cost));
        self.ahead(counter, weight, own)
    }

    /// Returns the waiting requests of every account in order, each with the tokens that will be served before it.
    pub fn waiting(&self) -> impl Iterator<Item = (Entry, u64)> {
        self.accounts.values().flat_map(|queue| {
            queue.entries.iter().scan(0, |own, entry| {
                let ahead = self.ahead(queue.counter, queue.weight, *own);
                *own += entry.cost;
                Some((*entry, ahead))
            })
        })
    }

    /// Estimates the tokens served until an account has been served `own` tokens, assuming that the counters of the other
    /// waiting accounts are at the virtual time.
    fn ahead(&self, counter: u64, weight: u64, own: u64) -> u64 {
        let finish = counter.saturating_add(own.saturating_mul(COUNTER_SCALE) / weight);
        let lead = finish.saturating_sub(self.virtual_time) / COUNTER_SCALE;
        let others = lead.saturating_mul(self.active_weight.saturating_sub(weight));
        own.saturating_add(others).min(self.cost)
    }

    /// Appends a request.
    pub fn push_back(&mut self, account: &QualifiedName, weight: u32, entry: Entry) {
        self.insert(account, weight, |queue| queue.entries.insert(queue.in_time(), entry), entry);
    }

    /// Puts back a request that was dequeued, ahead of the account's others.
    pub fn push_front(&mut self, account: &QualifiedName, weight: u32, entry: Entry) {
        self.insert(account, weight, |queue| queue.entries.push_front(entry), entry);
    }

    /// Moves the requests that can no longer meet their objective behind the others of their account.
    pub fn demote_overdue(&mut self, now: Timestamp) {
        for queue in self.accounts.values_mut() {
            for _ in 0..queue.in_time() {
                let Some(entry) = queue.entries.pop_front() else { break };
                let is_overdue = entry.due <= now;
                let position = if is_overdue { queue.entries.len() } else { queue.in_time() };
                queue.entries.insert(position, entry);
                queue.overdue += usize::from(is_overdue);
            }
        }
    }

    /// Returns the accounts that wait, in the order in which they are served, each with its first request.
    pub fn first_requests(&self) -> impl Iterator<Item = (&QualifiedName, u64)> {
        self.order.iter().map(|(_, account)| (account, self.accounts[account].entries[0].id))
    }

    /// Removes the account's first request and charges the account for it.
    pub fn pop(&mut self, account: &QualifiedName) -> Option<Entry> {
        let id = self.accounts.get(account)?.entries.front()?.id;
        let counter = self.accounts[account].counter;
        let entry = self.remove(account, id)?;
        self.virtual_time = self.virtual_time.max(counter);
        self.charge(account, entry.cost as i64);
        Some(entry)
    }

    /// Removes a waiting request without a charge.
    pub fn remove(&mut self, account: &QualifiedName, id: u64) -> Option<Entry> {
        let queue = self.accounts.get_mut(account)?;
        let position = queue.entries.iter().position(|it| it.id == id)?;
        queue.overdue -= usize::from(position >= queue.in_time());
        let entry = queue.entries.remove(position)?;
        queue.bytes -= entry.bytes;
        queue.cost -= entry.cost;
        if queue.entries.is_empty() {
            self.order.remove(&(queue.counter, account.clone()));
            self.active_weight -= queue.weight;
        }
        self.len -= 1;
        self.bytes -= entry.bytes;
        self.cost -= entry.cost;
        Some(entry)
    }

    /// Adds tokens to the account's counter; negative tokens are a refund.
    pub fn charge(&mut self, account: &QualifiedName, tokens: i64) {
        let Some(queue) = self.accounts.get_mut(account) else { return };
        let waits = !queue.entries.is_empty();
        if waits {
            self.order.remove(&(queue.counter, account.clone()));
        }
        let amount = tokens.unsigned_abs().saturating_mul(COUNTER_SCALE) / queue.weight;
        queue.counter = match tokens >= 0 {
            true => queue.counter.saturating_add(amount),
            false => queue.counter.saturating_sub(amount),
        };
        if waits {
            self.order.insert((queue.counter, account.clone()));
        }
    }

    /// Returns the account that holds the most bytes and requests for its weight, and its last request.
    pub fn largest_account(&self) -> Option<(&QualifiedName, Entry)> {
        let (account, queue) = self.accounts.iter().max_by_key(|(_, it)| {
            (it.bytes as u64 + it.entries.len() as u64 * 1_024) / it.weight.max(1)
        })?;
        Some((account, *queue.entries.back()?))
    }

    /// Removes the accounts that do not wait and whose counter no longer differs from that of a new account.
    pub fn prune(&mut self) {
        let floor = self.virtual_time - CREDIT;
        self.accounts.retain(|_, it| !it.entries.is_empty() || it.counter > floor);
    }

    fn insert(
        &mut self,
        account: &QualifiedName,
        weight: u32,
        put: impl FnOnce(&mut AccountQueue),
        entry: Entry,
    ) {
        let weight = u64::from(weight.max(1));
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account.clone(), AccountQueue { weight, ..Default::default() });
        }
        let queue = &mut self.accounts[account];
        if queue.entries.is_empty() {
            queue.weight = weight;
            queue.counter = queue.counter.max(self.virtual_time - CREDIT);
            self.order.insert((queue.counter, account.clone()));
            self.active_weight += weight;
        }
        put(queue);
        queue.bytes += entry.bytes;
        queue.cost += entry.cost;
        self.len += 1;
        self.bytes += entry.bytes;
        self.cost += entry.cost;
    }
}
