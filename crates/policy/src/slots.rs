//! The assignment of rate slots to instances.
//!
//! A slot is 1/`rate_slots` of every account's rate and burst. An instance uses a slot only while its claim is provably
//! valid. [`SlotManager`] decides on claims; the caller performs its [`SlotAction`]s on a compare-and-swap store and
//! feeds back each [`SlotOutcome`].

#[cfg(test)]
mod tests;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::seq::SliceRandom;
use stdx::{Name, Rng, Timestamp, record_type, value_type, wire_type};

use crate::rate::{Holdings, LENDER_HOLD};

/// How long a claim stays valid after its last successful renewal was sent, unless the caller configures otherwise.
pub const DEFAULT_SLOT_VALIDITY: Duration = Duration::from_secs(15 * 60);

/// The number of renewals during the validity of a claim, so that several may fail in a row before it lapses.
const RENEWALS_PER_VALIDITY: u32 = 5;
/// The share of the validity that allows for clock drift, as a divisor: the clocks of holder and observer may each be
/// wrong by 1%.
const DRIFT_DIVISOR: u32 = 50;
/// How long a write without an outcome blocks its slot; the caller's own timeout is expected to be shorter.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which an instance that holds slots reads all claims.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// The interval for other instances, and for holders that have their quota of slots and whose fellow holders have not
/// changed for [`STABLE_AFTER`]; a claim that has changed meanwhile only costs a loan request.
const STABLE_READ_INTERVAL: Duration = Duration::from_secs(10);
/// How long the set of holders must be unchanged before an instance claims slots. Daemons that start together would
/// otherwise each claim all slots before they know of each other, and release most of them again.
const CLAIM_DELAY: Duration = Duration::from_millis(500);
/// How long slots may still move between holders after the set of holders has changed.
const STABLE_AFTER: Duration = Duration::from_secs(10);
/// In failure domains of at most this many instances all of them hold slots, so that the loss of one costs a small part
/// of the rates.
const MAX_HOLDERS: usize = 4;
/// The number of instances that hold slots in larger failure domains. With more of them, the shares of small accounts
/// would be less than one request, and every request would need several loans.
const HOLDERS_OF_LARGE_DOMAIN: usize = 1;

wire_type! {
    /// The record of one slot in the store.
    pub struct SlotRecord {
        /// The holder, or `None` if the slot was released.
        pub holder: Option<Name>,
        /// The incarnation of the holder; a restart begins a new one under the same id.
        pub incarnation: u64,
        /// Incremented with each renewal, so that observers see that the holder is alive.
        pub renewal: u64,
    }
}

value_type! {
    /// The revision of a record in the store; `None` where no record exists.
    #[derive(Copy)]
    pub struct StoreRevision(pub u64);
}

record_type! {
    /// A record as the store returned it.
    pub struct StoredSlot {
        /// The revision to pass with the next write.
        pub revision: StoreRevision,
        /// The record.
        pub record: SlotRecord,
    }
}

record_type! {
    /// An action that the caller performs on the store.
    pub enum SlotAction {
        /// Read all slot records and pass them to [`SlotManager::on_read`].
        ReadAll {
            /// The sequence number of the read.
            read: u64,
            /// Whether the records must be current as of the read; otherwise a stale copy is enough.
            must_be_current: bool,
        },
        /// Write a record if it still has the expected revision, and pass the outcome to [`SlotManager::on_outcome`].
        CompareAndSwap {
            /// The number of the slot.
            slot: u32,
            /// The revision that the record must have, or `None` if it must not exist.
            expected: Option<StoreRevision>,
            /// The record to write.
            record: SlotRecord,
        },
    }
}

record_type! {
    /// How a compare-and-swap ended.
    pub enum SlotOutcome {
        /// The record was written.
        Won(StoreRevision),
        /// Another write came first; contains the current record, if there is one.
        Lost(Option<StoredSlot>),
        /// It is not known whether the record was written; the write may still take effect later.
        Unknown,
    }
}

/// Claims, renews and releases slots for one instance.
#[derive(Debug)]
pub struct SlotManager {
    id: Name,
    incarnation: u64,
    validity: Duration,
    slots: Vec<Slot>,
    last_read: u64,
    last_read_at: Option<Timestamp>,
    /// Whether a complete read has arrived; until then no slot is known to be free.
    has_read: bool,
    is_draining: bool,
    /// The instances that are to hold slots, as of the last tick.
    holders: BTreeSet<Name>,
    /// When `holders` last changed.
    holders_unchanged_since: Timestamp,
    rng: Rng,
}

#[derive(Debug, Clone, Default)]
struct Slot {
    stored: Option<StoredSlot>,
    /// When the record in `stored` was first seen; a new revision of an equal record does not count as a change.
    seen_at: Timestamp,
    use_until: Option<Timestamp>,
    renewed_at: Timestamp,
    /// When use was stopped in order to release the slot.
    stopped_at: Option<Timestamp>,
    write: Option<Write>,
    /// When the last outcome of a write arrived.
    written_at: Option<Timestamp>,
}

#[derive(Debug, Clone)]
struct Write {
    record: SlotRecord,
    sent_at: Timestamp,
}

/// An instance that may become a holder of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name of the instance.
    pub name: &'a Name,
    /// Its failure domain.
    pub failure_domain: &'a Name,
    /// Its processor share in thousandths of a core.
    pub capacity: u32,
}

/// Returns which of the instances that admit callers are to hold slots: in each failure domain those with the largest
/// processor share, and among equal ones the first by name. All others borrow from them.
///
/// The result depends on the list only, so that all instances agree.
pub fn holders<'a>(candidates: impl IntoIterator<Item = Candidate<'a>>) -> BTreeSet<Name> {
    let mut by_domain: BTreeMap<&Name, Vec<Candidate<'_>>> = BTreeMap::new();
    for candidate in candidates {
        by_domain.entry(candidate.failure_domain).or_default().push(candidate);
    }
    let mut holders = BTreeSet::new();
    for candidates in by_domain.values_mut() {
        // By length of the name first, so that names that end in numbers without leading zeros sort numerically.
        candidates.sort_unstable_by_key(|it| (Reverse(it.capacity), it.name.len(), it.name));
        let count = match candidates.len() {
            count @ ..=MAX_HOLDERS => count,
            _ => HOLDERS_OF_LARGE_DOMAIN,
        };
        holders.extend(candidates.iter().take(count).map(|it| it.name.clone()));
    }
    holders
}

impl SlotManager {
    /// Creates the slot manager of instance `id`.
    ///
    /// `incarnation` must differ from every earlier one under the same id.
    ///
    /// # Panics
    ///
    /// Panics if `slots` is zero.
    pub fn new(id: Name, incarnation: u64, slots: u32, validity: Duration, rng: Rng) -> Self {
        assert!(slots > 0, "the document must set at least one rate slot");
        Self {
            id,
            incarnation,
            validity,
            slots: vec![Slot::default(); slots as usize],
            last_read: 0,
            last_read_at: None,
            has_read: false,
            is_draining: false,
            holders: BTreeSet::new(),
            holders_unchanged_since: Timestamp::ZERO,
            rng,
        }
    }

    /// Returns until when each own slot may be used, and the number of slots that each instance in `reachable` holds
    /// according to the store.
    pub fn holdings(&self, now: Timestamp, reachable: &BTreeSet<Name>) -> Holdings {
        let usable = self.slots.iter().filter(|it| it.is_usable(now));
        let mut holdings = Holdings {
            own: usable.filter_map(|it| it.use_until).collect(),
            peers: BTreeMap::new(),
        };
        for holder in self.slots.iter().filter_map(Slot::holder) {
            if *holder != self.id && reachable.contains(holder) {
                *holdings.peers.entry(holder.clone()).or_default() += 1;
            }
        }
        holdings
    }

    /// Starts a drain: stops using all slots, releases them and claims none again.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether a drain is complete: no known record names this instance, and no write is pending.
    pub fn is_drained(&self) -> bool {
        self.is_draining
            && self.slots.iter().all(|it| it.holder() != Some(&self.id) && it.write.is_none())
    }

    /// Applies a complete read of the slot records.
    ///
    /// Only the result of the last `ReadAll` has an effect, and only on slots without a write that is pending or that ended
    /// after the read was sent.
    pub fn on_read(&mut self, now: Timestamp, read: u64, records: &BTreeMap<u32, StoredSlot>) {
        let Some(sent_at) = self.last_read_at.filter(|_| read == self.last_read) else { return };
        self.has_read = true;
        for (slot, number) in self.slots.iter_mut().zip(0..) {
            if slot.write.is_none() && slot.written_at.is_none_or(|it| it < sent_at) {
                slot.observe(now, records.get(&number).cloned(), &self.id, self.incarnation);
            }
        }
    }

    /// Applies the outcome of the compare-and-swap of `record` on `slot`.
    ///
    /// The outcome of a write that timed out has no effect: the next read shows what the store holds.
    pub fn on_outcome(
        &mut self,
        now: Timestamp,
        slot: u32,
        record: &SlotRecord,
        outcome: SlotOutcome,
    ) {
        let Some(slot) = self.slots.get_mut(slot as usize) else { return };
        let Some(write) = slot.write.take_if(|it| it.record == *record) else { return };
        slot.written_at = Some(now);
        match outcome {
            SlotOutcome::Won(revision) => {
                let is_claim = write.record.holder.is_some();
                let stored = StoredSlot { revision, record: write.record };
                slot.observe(now, Some(stored), &self.id, self.incarnation);
                if is_claim && slot.stopped_at.is_none() {
                    slot.renewed_at = write.sent_at;
                    slot.use_until = Some(write.sent_at + self.validity);
                }
            }
            SlotOutcome::Lost(current) => {
                slot.observe(now, current, &self.id, self.incarnation);
            }
            SlotOutcome::Unknown => self.last_read_at = None,
        }
    }

    /// Returns the actions that are due.
    ///
    /// `holders` are the live instances that are to hold slots, see [`holders()`]; other instances only read which peers to
    /// borrow from.
    pub fn tick(&mut self, now: Timestamp, holders: &BTreeSet<Name>) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        if self.holders != *holders {
            self.holders = holders.clone();
            self.holders_unchanged_since = now;
        }
        let interval = self.read_interval(now);
        if self.last_read_at.is_none_or(|at| now.since(at) >= interval) {
            self.last_read_at = Some(now);
            self.last_read += 1;
            let must_be_current = self.holders.contains(&self.id)
                || self.slots.iter().any(|it| it.holder() == Some(&self.id));
            actions.push(SlotAction::ReadAll { read: self.last_read, must_be_current });
        }
        for slot in &mut self.slots {
            if slot.use_until.is_some_and(|until| until <= now) {
                slot.use_until = None;
            }
            slot.write.take_if(|it| now.since(it.sent_at) >= OUTCOME_TIMEOUT);
        }
        if !self.has_read {
            return actions;
        }
        let quota = self.quota(now);
        self.stop_using_surplus(now, quota);
        for number in 0..self.slots.len() {
            actions.extend(self.own_slot_action(now, number));
        }
        actions.extend(self.claim_missing(now, quota));
        self.check_claims(now);
        actions
    }

    fn read_interval(&self, now: Timestamp) -> Duration {
        let has_known_holder = self.slots.iter().any(|it| it.holder().is_some());
        let has_quota = || {
            let held = self.slots.iter().filter(|it| it.is_usable(now)).count();
            held == self.quota(now)
        };
        let is_stable = || {
            now.since(self.holders_unchanged_since) >= STABLE_AFTER
                && !self.is_draining
                && has_quota()
        };
        match has_known_holder && (!self.holders.contains(&self.id) || is_stable()) {
            true => STABLE_READ_INTERVAL,
            false => READ_INTERVAL,
        }
    }

    /// Returns the number of slots that this instance should hold: an even part of those that live holders can obtain.
    fn quota(&self, now: Timestamp) -> usize {
        if self.is_draining || !self.holders.contains(&self.id) {
            return 0;
        }
        let obtainable = self.slots.iter().filter(|it| self.is_obtainable(now, it)).count();
        let count = self.holders.len();
        obtainable / count + usize::from(self.rank() < obtainable % count)
    }

    /// Returns the position of this instance among the holders, in order of name.
    fn rank(&self) -> usize {
        self.holders.iter().take_while(|it| **it < self.id).count()
    }

    fn is_obtainable(&self, now: Timestamp, slot: &Slot) -> bool {
        slot.holder().is_none_or(|holder| self.holders.contains(holder))
            || self.has_lapsed(now, slot)
    }

    /// Returns whether the claim on a slot may be taken over: the holder has stopped using it, by any clock within the
    /// allowed drift, and its loans have lapsed.
    fn has_lapsed(&self, now: Timestamp, slot: &Slot) -> bool {
        now.since(slot.seen_at) >= self.validity + self.validity / DRIFT_DIVISOR + LENDER_HOLD
    }

    fn stop_using_surplus(&mut self, now: Timestamp, quota: usize) {
        let id = &self.id;
        let kept = |slot: &Slot| slot.holder() == Some(id) && slot.stopped_at.is_none();
        let surplus = self.slots.iter().filter(|slot| kept(slot)).count().saturating_sub(quota);
        for slot in self.slots.iter_mut().rev().filter(|slot| kept(slot)).take(surplus) {
            slot.stopped_at = Some(now);
            slot.use_until = None;
        }
    }

    fn own_slot_action(&mut self, now: Timestamp, number: usize) -> Option<SlotAction> {
        let slot = &self.slots[number];
        if slot.holder() != Some(&self.id) || slot.write.is_some() {
            return None;
        }
        let renewal = slot.next_renewal();
        let holder = match slot.stopped_at {
            // Loans from the slot may still be spent elsewhere until they lapse.
            Some(stopped_at) if now.since(stopped_at) < LENDER_HOLD => return None,
            Some(_) => None,
            None if slot.use_until.is_some()
                && now.since(slot.renewed_at) < self.validity / RENEWALS_PER_VALIDITY =>
            {
                return None;
            }
            None => Some(self.id.clone()),
        };
        // If the slot is not in use, this takes back a slot of an earlier incarnation under the same id.
        Some(self.write(now, number, SlotRecord { holder, incarnation: self.incarnation, renewal }))
    }

    fn claim_missing(&mut self, now: Timestamp, quota: usize) -> Vec<SlotAction> {
        if now.since(self.holders_unchanged_since) < CLAIM_DELAY {
            return Vec::new();
        }
        let own = |slot: &Slot| {
            let claimed = slot.write.as_ref().and_then(|it| it.record.holder.as_ref());
            slot.stopped_at.is_none() && (slot.holder() == Some(&self.id) || claimed.is_some())
        };
        let missing = quota.saturating_sub(self.slots.iter().filter(|it| own(it)).count());
        let can_claim = |slot: &Slot| match slot.holder() {
            None => true,
            Some(holder) => *holder != self.id && self.has_lapsed(now, slot),
        };
        let mut free: Vec<_> = (0..self.slots.len())
            .filter(|&it| self.slots[it].write.is_none() && can_claim(&self.slots[it]))
            .collect();
        // Instances that claim at the same time should try different slots, so each starts with those of its own rank.
        free.shuffle(&mut self.rng);
        let (rank, count) = (self.rank(), self.holders.len().max(1));
        free.sort_by_key(|number| number % count != rank);
        free.truncate(missing);
        free.into_iter()
            .map(|number| {
                let renewal = self.slots[number].next_renewal();
                let holder = Some(self.id.clone());
                let record = SlotRecord { holder, incarnation: self.incarnation, renewal };
                self.write(now, number, record)
            })
            .collect()
    }

    fn write(&mut self, now: Timestamp, number: usize, record: SlotRecord) -> SlotAction {
        let slot = &mut self.slots[number];
        slot.write = Some(Write { record: record.clone(), sent_at: now });
        let expected = slot.stored.as_ref().map(|it| it.revision);
        SlotAction::CompareAndSwap { slot: number as u32, expected, record }
    }

    fn check_claims(&self, now: Timestamp) {
        for slot in self.slots.iter().filter(|it| it.is_usable(now)) {
            assert!(
                slot.is_own(&self.id, self.incarnation) && slot.stopped_at.is_none(),
                "a slot is used without a claim: {slot:?}"
            );
        }
    }
}

impl Slot {
    fn holder(&self) -> Option<&Name> {
        self.stored.as_ref().and_then(|it| it.record.holder.as_ref())
    }

    fn is_own(&self, id: &Name, incarnation: u64) -> bool {
        self.stored.as_ref().is_some_and(|it| {
            it.record.holder.as_ref() == Some(id) && it.record.incarnation == incarnation
        })
    }

    fn is_usable(&self, now: Timestamp) -> bool {
        self.use_until.is_some_and(|until| now < until)
    }

    fn next_renewal(&self) -> u64 {
        self.stored.as_ref().map_or(0, |it| it.record.renewal) + 1
    }

    /// Applies a record from the store. Its revision may be older than the last one after the store was restored from a
    /// backup.
    fn observe(&mut self, now: Timestamp, stored: Option<StoredSlot>, id: &Name, incarnation: u64) {
        if stored.as_ref().map(|it| &it.record) != self.stored.as_ref().map(|it| &it.record) {
            self.seen_at = now;
        }
        self.stored = stored;
        if self.holder() != Some(id) {
            self.stopped_at = None;
        }
        if !self.is_own(id, incarnation) {
            self.use_until = None;
        }
    }
}
