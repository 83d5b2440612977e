//! Batch jobs: their input files, acceptance, segments, exactly-once commit, order of work and results.
//!
//! All code is pure. Every state machine has `poll(now)`, which returns the next [`StoreAction`] if one is due, and
//! `on_outcome(now, outcome)`, which takes the answer. A machine has at most one action outstanding.
//!
//! The daemon must keep three rules:
//!
//! - `Unavailable` is reported only for calls that have no effect and will have none; otherwise the outcome is `Unknown`.
//! - An instance claims only while its live key exists, and each life has an incarnation that was never used before.
//! - After its lease has lapsed it calls `abandon` on its runners and begins a new life with a new planner.
//!
//! A daemon drives a planner and its runners like this; `call` performs an action on the service:
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
//!     let want = capacity.saturating_sub(runners.len());
//!     if let Some(action) = planner.poll(now, want) {
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
//!         // In a daemon items and calls run concurrently, and their outcomes come later.
//!         while let Some(item) = runner.take_item(now) {
//!             let id = item.id;
//!             runner.on_item(now, id, run(item));
//!         }
//!         if let Some(action) = runner.poll(now) {
//!             runner.on_outcome(now, call(action));
//!         }
//!         for _stopped in runner.take_cancelled() { /* Cancel the stream of this dispatch. */ }
//!     }
//!     for finished in runners.extract_if(.., |it| it.is_finished()) {
//!         planner.on_runner_finished(&finished);
//!     }
//! }
//! ```
//!
//! - [`key`]: typed keys and ranges of the key-value service.
//! - [`store`]: actions, outcomes, time, and the retry pace that the machines share.
//! - [`input`]: splits input files into checked chunks of whole lines.
//! - [`upload`]: stores the chunks and the meta record of a file.
//! - [`manifest`]: what a job is, its identity and its state.
//! - [`submit`]: accepts a job, and cancels one.
//! - [`items`]: sets of items within a segment, and counts of ends.
//! - [`segment`]: the record of a segment and its legal transitions.
//! - [`output`]: the lines of output and error files, and result chunks.
//! - [`commit`]: writes result chunks and then the segment record that names them.
//! - [`run`]: dispatches of items, their outcomes, and the bounds of a runner.
//! - [`runner`]: owns one claimed segment and commits its results.
//! - [`scheduling`]: deadline slack and fairness between accounts.
//! - `view`: what a planner knows about one job.
//! - [`planner`]: finds, claims and ends work.
//! - [`status`]: a job's state and counts.
//! - [`results`]: a job's output and error files in input order.

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
