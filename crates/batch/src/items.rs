//! Sets of items within a segment, final states and their counts.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use stdx::{value_type, wire_type};

/// The maximum number of items in a segment.
pub const MAX_SEGMENT_ITEMS: u32 = 256;

const WORDS: usize = MAX_SEGMENT_ITEMS as usize / 64;

value_type! {
    /// A set of item indexes below [`MAX_SEGMENT_ITEMS`], serialized as hexadecimal digits.
    #[derive(Copy, Default)]
    pub struct ItemSet([u64; WORDS]);
}

value_type! {
    /// The final state of an item.
    #[derive(Copy, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum FinalState {
        /// The target answered; the result is stored.
        Done,
        /// The item failed permanently; the reason is stored.
        Failed,
        /// The job was cancelled before the item was completed.
        Cancelled,
        /// The job's window ended before the item was completed.
        Expired,
        /// The item of a non-idempotent route was started and its outcome was lost, so it may have run.
        Unknown,
    }
}

wire_type! {
    /// The number of items in each final state.
    #[derive(Copy, Default, Eq)]
    pub struct Counts {
        /// All items, ended or not.
        pub total: u64,
        /// Items in the state [`FinalState::Done`].
        pub done: u64,
        /// Items in the state [`FinalState::Failed`].
        pub failed: u64,
        /// Items in the state [`FinalState::Cancelled`].
        pub cancelled: u64,
        /// Items in the state [`FinalState::Expired`].
        pub expired: u64,
        /// Items in the state [`FinalState::Unknown`].
        pub unknown: u64,
    }
}

impl ItemSet {
    /// Returns the set of the first `count` items.
    pub fn first(count: u32) -> Self {
        (0..count).collect()
    }

    /// Returns whether the set contains an item.
    pub fn contains(&self, item: u32) -> bool {
        self.0[item as usize / 64] & (1 << (item % 64)) != 0
    }

    /// Adds an item and returns whether it was absent.
    ///
    /// # Panics
    ///
    /// Panics if the index is [`MAX_SEGMENT_ITEMS`] or more.
    pub fn insert(&mut self, item: u32) -> bool {
        let absent = !self.contains(item);
        self.0[item as usize / 64] |= 1 << (item % 64);
        absent
    }

    /// Removes an item.
    pub fn remove(&mut self, item: u32) {
        self.0[item as usize / 64] &= !(1 << (item % 64));
    }

    /// Returns the number of items.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|it| it.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; WORDS]
    }

    /// Returns the items that are in either set.
    pub fn union(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] | other.0[i]))
    }

    /// Returns the items that are in both sets.
    pub fn intersection(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & other.0[i]))
    }

    /// Returns the items that are not in `other`.
    pub fn difference(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & !other.0[i]))
    }

    /// Iterates over the items in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..MAX_SEGMENT_ITEMS).filter(|it| self.contains(*it))
    }
}

impl FromIterator<u32> for ItemSet {
    fn from_iter<I: IntoIterator<Item = u32>>(items: I) -> Self {
        let mut set = Self::default();
        for item in items {
            set.insert(item);
        }
        set
    }
}

impl Serialize for ItemSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = self.0.iter().flat_map(|it| it.to_le_bytes()).collect();
        let used = bytes.iter().rposition(|it| *it != 0).map_or(0, |i| i + 1);
        serializer.serialize_str(&hex::encode(&bytes[..used]))
    }
}

impl<'de> Deserialize<'de> for ItemSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = hex::decode(&text).map_err(D::Error::custom)?;
        if bytes.len() > WORDS * 8 {
            return Err(D::Error::custom("the set has more items than a segment"));
        }
        let mut words = [0_u64; WORDS];
        for (i, byte) in bytes.iter().enumerate() {
            words[i / 8] |= u64::from(*byte) << (i % 8 * 8);
        }
        Ok(Self(words))
    }
}

impl FinalState {
    /// All final states, in the order of the fields of [`Counts`].
    pub const ALL: [Self; 5] =
        [Self::Done, Self::Failed, Self::Cancelled, Self::Expired, Self::Unknown];
}

impl Counts {
    /// Returns the number of items that have ended.
    pub fn ended(&self) -> u64 {
        self.done + self.failed + self.cancelled + self.expired + self.unknown
    }

    /// Adds the counts of another part of the job.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.done += other.done;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.expired += other.expired;
        self.unknown += other.unknown;
    }
}
