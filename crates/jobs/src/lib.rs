//! Batch jobs whose items are part of the submission: acceptance, ownership, scheduling and results.
//!
//! The crate does no I/O: it builds transactions for the key-value service and processes their outcomes.
//!
//! - [`key`]: the keys of a job.
//! - [`model`]: the stored records of a job.
//! - [`submission`]: the transaction that accepts a job.
//! - [`run`]: the owner's state of a job: waiting and running items, and results that are not stored yet.
//! - [`order`]: the order in which items run.
//! - [`checkpoint`]: partial outputs of running items.
//! - [`gathering`]: how long results wait for others to be stored with.
//! - [`claim`]: the daemon that claims a job.
//! - [`times`]: the deadlines of a job on the monotonic clock of the daemon that runs it.

pub mod checkpoint;
pub mod claim;
pub mod gathering;
pub mod key;
pub mod model;
pub mod order;
pub mod run;
pub mod submission;
pub mod times;

pub use checkpoint::{Checkpoint, PartialOutput};
pub use key::JobId;
pub use model::{Item, ItemResult, ItemState, JobRecord, OpenJob};
pub use run::{ItemEnd, JobRun, Room, Settled};
pub use submission::Submission;
pub use times::{Discovery, JobTimes};
