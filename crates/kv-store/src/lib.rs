//! The interface to a key-value service, which the client of a specific service implements.
//!
//! - [`budget`]: counts of calls by kind, and the budget that limits them.
//! - [`envelope`]: the envelope of stored values, with the unique token of each write.
//! - [`error`]: the errors of the crate.
//! - [`replica`]: a copy of the keys under a prefix, merged from listings and changes of several sources.
//! - [`store`]: the trait of the key-value service.
//! - [`transaction`]: atomic changes of several keys.

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
