//! Batch jobs: input files, submission, segments, exactly-once commits, scheduling and results.
//!
//! The crate performs no I/O and reads no clock. Every state machine has `poll(now)`, which returns the next
//! [`StoreAction`] if one is due, and `on_outcome(now, outcome)`, which takes its outcome. A state machine has at most
//! one action outstanding.
//!
//! The daemon must meet three conditions:
//!
//! - It reports `Unavailable` only for calls that had no effect and will have none; otherwise it reports `Unknown`.
//! - An instance claims segments only while its live key exists, and the name of an incarnation is never used twice.
//! - After its lease has lapsed, an instance calls `abandon` on its runners and begins a new incarnation with a new
//!   planner.
//!
//! The following loop drives a planner and its runners; `call` performs an action on the key-value service:
//!
//! ```no_run
//! use batch::{ItemOutcome, ItemRun, Now, Planner, PlannerEvent, SegmentRunner, StoreAction, StoreOutcome};
//!
//! fn drive(
//!     now: Now,
//!     capacity: usize,
//!     planner: &mut Planner,
//!     runners: &mut Vec<SegmentRunner>,
//!     call: impl Fn(StoreAction) -> StoreOutcome,
//!     run: impl Fn(ItemRun) -> ItemOutcome,
//! ) {
//!     let max_claims = capacity.saturating_sub(runners.len());
//!     if let Some(action) = planner.poll(now, max_claims) {
//!         for event in planner.on_outcome(now, call(action)) {
//!             match event {
//!                 PlannerEvent::Claimed(runner) => runners.push(*runner),
//!                 PlannerEvent::JobCancelled(job) => {
//!                     let of_job = runners.iter_mut().filter(|it| it.id().job == job);
//!                     of_job.for_each(|it| it.cancel(now));
//!                 }
//!                 PlannerEvent::JobEnded(_) => {}
//!             }
//!         }
//!     }
//!     for runner in runners.iter_mut() {
//!         // A daemon runs items and calls concurrently, and their outcomes arrive later.
//!         while let Some(item) = runner.take_item(now) {
//!             let id = item.id;
//!             runner.on_item(now, id, run(item));
//!         }
//!         if let Some(action) = runner.poll(now) {
//!             runner.on_outcome(now, call(action));
//!         }
//!         for _stopped in runner.take_cancelled() { /* Cancel the request of this dispatch. */ }
//!     }
//!     for finished in runners.extract_if(.., |it| it.is_finished()) {
//!         planner.on_runner_finished(&finished);
//!     }
//! }
//! ```
//!
//! - [`key`]: typed keys and ranges of the key-value service.
//! - [`store`]: actions, outcomes, time, and the retry delays that the state machines share.
//! - [`input`]: validates input files and splits them into chunks of whole lines.
//! - [`upload`]: stores the chunks and the metadata record of a file.
//! - [`manifest`]: the specification, identity and state of a job.
//! - [`submit`]: submits and cancels jobs.
//! - [`items`]: sets of items within a segment, final states and their counts.
//! - [`segment`]: the record of a segment and its valid transitions.
//! - [`output`]: the lines of output and error files, and result chunks.
//! - [`commit`]: writes result chunks and then the segment record that lists them.
//! - [`run`]: dispatches of items, their outcomes, and the limits of a runner.
//! - [`runner`]: runs the items of one claimed segment and commits their results.
//! - [`scheduling`]: picks jobs by deadline slack and by weighted fairness between accounts.
//! - `view`: the state that a planner keeps for one job.
//! - [`planner`]: finds jobs, claims their segments and ends finished jobs.
//! - [`status`]: reads the state and counts of a job.
//! - [`results`]: reads the output and error files of a job in input order.

pub mod commit;
pub mod input;
pub mod items;
pub mod key;
pub mod manifest;
pub mod output;
pub mod planner;
pub mod results;
pub mod run;
pub mod runner;
pub mod scheduling;
pub mod segment;
pub mod status;
pub mod store;
pub mod submit;
pub mod upload;
mod view;

pub use commit::SegmentId;
pub use input::{FileMeta, FileSplitter, SplitFile};
pub use items::{Counts, FinalState, ItemSet};
pub use key::{FileId, JobId, Key, Span};
pub use manifest::{JobManifest, JobSpec, JobState};
pub use planner::{Planner, PlannerConfig, PlannerEvent};
pub use results::{ResultFile, ResultReader, ResultStep};
pub use run::{ItemOutcome, ItemRun, RunId};
pub use runner::{Phase, SegmentRunner};
pub use segment::{Owner, SegmentRecord};
pub use status::{JobStatus, StatusReader};
pub use store::{Entry, Now, Revision, StoreAction, StoreOutcome, Value};
pub use submit::{Cancellation, Submission, SubmissionAnswer};
pub use upload::FileUpload;
