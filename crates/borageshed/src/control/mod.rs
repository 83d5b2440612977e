//! The control thread: it alone owns rate, queues, routing and slots, and takes every decision about a request.
//!
//! - [`event`]: what traffic tasks and peers tell the thread.
//! - [`handle`]: how traffic tasks talk to the thread.
//! - [`directive`]: what the thread tells a traffic task.
//! - `state`: the decisions, without threads.
//! - `thread`: the loop around the state.

pub mod directive;
pub mod effect;
pub mod event;
pub mod handle;

mod state;
mod thread;

pub use directive::{Directive, RateRefusal};
pub use effect::Effect;
pub use event::{AdmittingInstance, ControlEvent, SubmittedRequest};
pub use handle::{Admission, ControlHandle};
pub use thread::{ControlConfig, start};
