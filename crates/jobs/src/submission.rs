//! The transaction that accepts a job.

use std::collections::BTreeSet;

use fleet::{BatchTerms, QualifiedName};
use kv_store::{Revision, Transaction, transaction::MAX_OPERATIONS};
use stdx::{Name, record_type};
use thiserror::Error;

use crate::{
    key::JobId,
    model::{Item, JobRecord, OpenJob, encode},
};

/// The size at which a new part is started, in bytes; it keeps parts below the 1 MB limit of the key-value service.
const PART_BYTES: usize = 500_000;
/// The approximate maximum size of an encoded item without its body, in bytes.
const ITEM_OVERHEAD: usize = 1_024;
/// The maximum size of a part, in bytes: the largest value that the key-value service accepts, less the envelope.
const MAX_PART_BYTES: usize = 1_000_000;
/// The operations of an acceptance other than the parts: the condition on the record and the writes of the record and the
/// index entry.
const FIXED_OPERATIONS: usize = 3;
/// The maximum number of items in a job.
pub const MAX_ITEMS: usize = 200;

/// The result of this module.
pub type Result<T> = std::result::Result<T, SubmissionError>;

/// Why a job cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SubmissionError {
    /// The job has no items, or too many.
    #[error("a job has 1 to {MAX_ITEMS} items, not {count}")]
    ItemCount {
        /// The number of items.
        count: usize,
    },
    /// Two items share an id.
    #[error("two items have the id {id:?}")]
    DuplicateItem {
        /// The id.
        id: Name,
    },
    /// The items do not fit into one transaction.
    #[error("the items are larger than what can be accepted at once")]
    TooLarge,
}

record_type! {
    /// A job to be accepted.
    pub struct Submission {
        /// The id of the job.
        pub id: JobId,
        /// The account.
        pub account: QualifiedName,
        /// The service that runs the items.
        pub service: QualifiedName,
        /// The route that the job was submitted to.
        pub route: Name,
        /// The host that the job was submitted to.
        pub host: Name,
        /// The items.
        pub items: Vec<Item>,
        /// The deadlines and limits of the job.
        pub terms: BatchTerms,
        /// The number of failed attempts at targets after which an item ends as failed.
        pub max_attempts: u32,
        /// When the job arrived, in milliseconds since the Unix epoch.
        pub received_ms: u64,
    }
}

impl Submission {
    /// Returns the total number of tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|it| it.tokens).sum()
    }

    /// Returns the transaction that accepts the whole job atomically.
    ///
    /// # Errors
    ///
    /// Fails if the job is not valid.
    pub fn transaction(&self) -> Result<Transaction> {
        self.check()?;
        let parts = self.parts()?;
        let record = JobRecord {
            origin: self.account.origin.clone(),
            account: self.account.name.clone(),
            service: self.service.name.clone(),
            host: self.host.clone(),
            total: self.items.len(),
            parts: parts.len(),
            received_ms: self.received_ms,
            due_after_ms: self.terms.due.as_millis() as u64,
            give_up_after_ms: self.terms.give_up_after.as_millis() as u64,
            max_attempts: self.max_attempts,
            listed: Vec::new(),
            cancelled: false,
        };
        let open = OpenJob {
            origin: record.origin.clone(),
            account: record.account.clone(),
            route: self.route.clone(),
            tokens: self.tokens(),
        };
        let mut transaction = Transaction::default()
            .expect(self.id.record_key(), Revision(0))
            .write(self.id.record_key(), encode(&record))
            .write(self.id.open_key(), encode(&open));
        for (n, part) in parts.into_iter().enumerate() {
            transaction = transaction.write(self.id.part_key(n), part);
        }
        Ok(transaction)
    }

    fn check(&self) -> Result<()> {
        let count = self.items.len();
        if count == 0 || count > MAX_ITEMS {
            return Err(SubmissionError::ItemCount { count });
        }
        let mut ids = BTreeSet::new();
        match self.items.iter().find(|it| !ids.insert(&it.id)) {
            Some(item) => Err(SubmissionError::DuplicateItem { id: item.id.clone() }),
            None => Ok(()),
        }
    }

    fn parts(&self) -> Result<Vec<Vec<u8>>> {
        let mut parts: Vec<Vec<&Item>> = Vec::new();
        let mut bytes = PART_BYTES;
        for item in &self.items {
            let size = item.body.0.len() * 4 / 3 + ITEM_OVERHEAD;
            if bytes + size > PART_BYTES {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            parts.last_mut().expect("a part was started").push(item);
        }
        let parts: Vec<Vec<u8>> = parts.iter().map(encode).collect();
        let fits = parts.len() + FIXED_OPERATIONS <= MAX_OPERATIONS
            && parts.iter().all(|it| it.len() <= MAX_PART_BYTES);
        if fits { Ok(parts) } else { Err(SubmissionError::TooLarge) }
    }
}

/// Returns whether a job fits the limit of waiting tokens for its account and route, given the unfinished jobs `open`.
pub fn fits_token_limit<'a>(
    submission: &Submission,
    open: impl IntoIterator<Item = &'a OpenJob>,
) -> bool {
    let Some(limit) = submission.terms.max_waiting_tokens else { return true };
    let own = open.into_iter().filter(|it| {
        it.origin == submission.account.origin
            && it.account == submission.account.name
            && it.route == submission.route
    });
    let waiting: u64 = own.map(|it| it.tokens).sum();
    waiting.saturating_add(submission.tokens()) <= limit
}
