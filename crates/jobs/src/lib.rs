//! Batch jobs whose items come with their submission: acceptance, ownership, order of work and results.
//!
//! All code is pure: it builds transactions for the key-value service and takes their outcomes.
//!
//! - [`key`]: the keys of a job.
//! - [`model`]: what is stored about a job.
//! - [`submission`]: the transaction that accepts a job.
//! - [`run`]: the owner's view of a job: which item is next, and which results are to be stored.
//! - [`order`]: which item runs next.
//! - [`claim`]: which daemon takes a job.
//! - [`times`]: when a job is due, by the steady clock of the daemon that runs it.

pub mod claim;
pub mod key;
pub mod model;
pub mod order;
pub mod run;
pub mod submission;
pub mod times;

pub use key::JobId;
pub use model::{Item, ItemResult, ItemState, JobRecord, OpenJob};
pub use run::{ItemEnd, JobRun};
pub use submission::Submission;
pub use times::{Discovery, JobTimes};
