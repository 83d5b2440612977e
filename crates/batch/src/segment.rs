//! The record of a segment and its valid transitions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stdx::{Name, value_type, wire_type};

use crate::items::{Counts, FinalState, ItemSet, MAX_SEGMENT_ITEMS};

value_type! {
    /// An incarnation of an instance; a restart or a lapsed lease begins a new one.
    #[derive(Serialize, Deserialize)]
    pub struct Owner {
        /// The instance.
        pub instance: Name,
        /// The name of the incarnation, unique across all instances and restarts.
        pub incarnation: Name,
    }
}

wire_type! {
    /// The record of a segment; results are committed by a compare-and-swap of this record.
    ///
    /// No two writes of a segment record are equal, because `fence` grows with each claim and `seq` with each commit of
    /// a claim. A writer therefore recognises its own write after a lost answer.
    pub struct SegmentRecord {
        /// The owner; `None` if the segment was released or has ended.
        pub owner: Option<Owner>,
        /// The fencing token, which grows with each claim.
        pub fence: u64,
        /// The number of commits since the claim.
        pub seq: u64,
        /// The number of items.
        pub items: u32,
        /// Items with a committed result.
        pub done: ItemSet,
        /// Items that failed permanently.
        #[serde(default, skip_serializing_if = "ItemSet::is_empty")]
        pub failed: ItemSet,
        /// Items that ended because the job was cancelled.
        #[serde(default, skip_serializing_if = "ItemSet::is_empty")]
        pub cancelled: ItemSet,
        /// Items that ended because the job's window ended.
        #[serde(default, skip_serializing_if = "ItemSet::is_empty")]
        pub expired: ItemSet,
        /// Items of non-idempotent routes whose outcome was lost.
        #[serde(default, skip_serializing_if = "ItemSet::is_empty")]
        pub unknown: ItemSet,
        /// Items of non-idempotent routes that may have been dispatched.
        #[serde(default, skip_serializing_if = "ItemSet::is_empty")]
        pub started: ItemSet,
        /// The number of failed attempts of each unfinished item that has any.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub attempts: BTreeMap<u32, u32>,
        /// The names of the committed result chunks, in commit order.
        pub chunks: Vec<Name>,
    }
}

impl SegmentRecord {
    /// Returns the record that claims a segment, with the next fencing token.
    ///
    /// Items that a previous owner recorded as started end as unknown, because they may have run. If the job was
    /// cancelled or has expired, all other items get `final_state_for_unfinished`, and the record has no owner.
    ///
    /// # Panics
    ///
    /// Panics if the segment has ended.
    pub fn claim(
        previous: Option<&Self>,
        owner: Owner,
        items: u32,
        final_state_for_unfinished: Option<FinalState>,
    ) -> Self {
        assert!((1..=MAX_SEGMENT_ITEMS).contains(&items), "a segment has 1 to 256 items");
        assert!(previous.is_none_or(|it| it.items == items && !it.is_ended()));
        let mut record = match previous {
            Some(it) => it.clone(),
            None => Self {
                owner: None,
                fence: 0,
                seq: 0,
                items,
                done: ItemSet::default(),
                failed: ItemSet::default(),
                cancelled: ItemSet::default(),
                expired: ItemSet::default(),
                unknown: ItemSet::default(),
                started: ItemSet::default(),
                attempts: BTreeMap::new(),
                chunks: Vec::new(),
            },
        };
        record.fence += 1;
        record.seq = 0;
        for item in record.started.difference(&record.ended()).iter() {
            record.end_item(item, FinalState::Unknown);
        }
        if let Some(final_state) = final_state_for_unfinished {
            for item in record.unfinished().iter() {
                record.end_item(item, final_state);
            }
        }
        record.owner = (!record.is_ended()).then_some(owner);
        record.check();
        record
    }

    /// Sets the final state of an item.
    ///
    /// # Panics
    ///
    /// Panics if the item has a final state, since at most one result of an item may be committed.
    pub fn end_item(&mut self, item: u32, final_state: FinalState) {
        assert!(item < self.items, "item {item} is outside the segment");
        assert!(!self.ended().contains(item), "item {item} has a final state already");
        self.attempts.remove(&item);
        self.items_in_mut(final_state).insert(item);
    }

    /// Returns the items that have a final state.
    pub fn ended(&self) -> ItemSet {
        FinalState::ALL
            .iter()
            .fold(ItemSet::default(), |all, final_state| all.union(self.items_in(*final_state)))
    }

    /// Returns the items that have no final state.
    pub fn unfinished(&self) -> ItemSet {
        ItemSet::first(self.items).difference(&self.ended())
    }

    /// Returns whether every item has a final state.
    pub fn is_ended(&self) -> bool {
        self.unfinished().is_empty()
    }

    /// Returns the final state of an item, if it has one.
    pub fn final_state(&self, item: u32) -> Option<FinalState> {
        FinalState::ALL.into_iter().find(|it| self.items_in(*it).contains(item))
    }

    /// Returns the items in a final state.
    pub fn items_in(&self, final_state: FinalState) -> &ItemSet {
        match final_state {
            FinalState::Done => &self.done,
            FinalState::Failed => &self.failed,
            FinalState::Cancelled => &self.cancelled,
            FinalState::Expired => &self.expired,
            FinalState::Unknown => &self.unknown,
        }
    }

    /// Returns the number of items in each final state.
    pub fn counts(&self) -> Counts {
        let count = |final_state| u64::from(self.items_in(final_state).len());
        Counts {
            total: u64::from(self.items),
            done: count(FinalState::Done),
            failed: count(FinalState::Failed),
            cancelled: count(FinalState::Cancelled),
            expired: count(FinalState::Expired),
            unknown: count(FinalState::Unknown),
        }
    }

    /// Checks that no item has two final states, that all items are within the segment, and that an ended segment has
    /// no owner.
    ///
    /// # Panics
    ///
    /// Panics if the record is inconsistent.
    pub fn check(&self) {
        let counts = self.counts();
        assert_eq!(counts.ended(), u64::from(self.ended().len()), "an item has two final states");
        assert!(self.ended().difference(&ItemSet::first(self.items)).is_empty());
        assert!(self.started.difference(&ItemSet::first(self.items)).is_empty());
        assert!(!self.is_ended() || self.owner.is_none(), "an ended segment must have no owner");
    }

    /// Checks that `next` is a valid commit by the owner of this record.
    ///
    /// # Panics
    ///
    /// Panics if a final state or a result chunk would be lost, or if the fencing token would change.
    pub fn check_commit(&self, next: &Self) {
        next.check();
        assert_eq!((self.fence, self.items), (next.fence, next.items));
        assert_eq!(self.seq + 1, next.seq, "commits of a claim must be numbered without gaps");
        assert!(next.chunks.starts_with(&self.chunks), "a committed result chunk was dropped");
        for final_state in FinalState::ALL {
            assert!(
                self.items_in(final_state).difference(next.items_in(final_state)).is_empty(),
                "a final state was changed"
            );
        }
    }

    fn items_in_mut(&mut self, final_state: FinalState) -> &mut ItemSet {
        match final_state {
            FinalState::Done => &mut self.done,
            FinalState::Failed => &mut self.failed,
            FinalState::Cancelled => &mut self.cancelled,
            FinalState::Expired => &mut self.expired,
            FinalState::Unknown => &mut self.unknown,
        }
    }
}
