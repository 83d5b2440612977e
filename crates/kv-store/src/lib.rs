//! What the product asks of a key-value service; a client of one service implements it.
//!
//! - [`budget`]: call counts by kind, and the budget that they are charged to.
//! - [`envelope`]: the envelope of stored values, with the unique token of each write.
//! - [`error`]: the errors of the crate.
//! - [`replica`]: a copy of the keys under a prefix, from listings and changes of several sources.
//! - [`store`]: the trait of the key-value service.
//! - [`transaction`]: changes of several keys that take effect together.

pub mod budget;
pub mod envelope;
pub mod error;
pub mod replica;
pub mod store;
pub mod transaction;

pub use error::{Error, Result};
pub use replica::{Replica, Version};
pub use store::{Entry, LeaseId, Listing, Outcome, Page, Revision, Store, Watch, WatchEvent};
pub use transaction::{CommitOutcome, Transaction};
