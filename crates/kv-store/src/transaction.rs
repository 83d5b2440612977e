//! Atomic, conditional changes of several keys.

use stdx::{Name, value_type};

use crate::store::{Entry, LeaseId, Revision};

/// The maximum total number of conditions, writes and removals in one transaction.
pub const MAX_OPERATIONS: usize = 32;

value_type! {
    /// Changes that take effect atomically if all conditions hold.
    #[derive(Default)]
    pub struct Transaction {
        /// The required revisions of keys; revision 0 stands for a missing key.
        pub expected: Vec<Expected>,
        /// The keys to write. After a lost answer, the first one shows whether the transaction took effect.
        pub writes: Vec<Write>,
        /// The keys to remove.
        pub removals: Vec<Name>,
    }
}

value_type! {
    /// A condition of a transaction.
    pub struct Expected {
        /// The key.
        pub key: Name,
        /// The revision that must have last written the key.
        pub revision: Revision,
    }
}

value_type! {
    /// A write of a transaction.
    pub struct Write {
        /// The key.
        pub key: Name,
        /// The bytes to store.
        pub value: Vec<u8>,
        /// The lease whose end deletes the key.
        pub lease: Option<LeaseId>,
    }
}

value_type! {
    /// The outcome of a transaction.
    pub enum CommitOutcome {
        /// The transaction took effect at this revision.
        Won(Revision),
        /// The transaction had no effect because a condition does not hold; holds the existing entries for the keys of the
        /// conditions.
        Lost(Vec<Entry>),
        /// The transaction may or may not have taken effect, or may still do so.
        Unknown,
    }
}

impl Transaction {
    /// Adds the condition that a key was last written at a revision.
    pub fn expect(mut self, key: impl Into<Name>, revision: Revision) -> Self {
        self.expected.push(Expected { key: key.into(), revision });
        self
    }

    /// Adds a write.
    pub fn write(mut self, key: impl Into<Name>, value: Vec<u8>) -> Self {
        self.writes.push(Write { key: key.into(), value, lease: None });
        self
    }

    /// Adds a removal.
    pub fn remove(mut self, key: impl Into<Name>) -> Self {
        self.removals.push(key.into());
        self
    }

    /// Adds the conditions, writes and removals of another transaction after those of this one.
    pub fn append(&mut self, other: Self) {
        self.expected.extend(other.expected);
        self.writes.extend(other.writes);
        self.removals.extend(other.removals);
    }

    /// Returns the total size of the values, in bytes.
    pub fn value_bytes(&self) -> usize {
        self.writes.iter().map(|it| it.value.len()).sum()
    }

    /// Returns the number of conditions, writes and removals.
    pub fn operations(&self) -> usize {
        self.expected.len() + self.writes.len() + self.removals.len()
    }
}
