//! The control thread. It alone owns the rate limiter, the queues, routing and the rate slots, and makes every decision
//! about a request.
//!
//! A request task is the asynchronous task that handles a request of a caller or a batch item.
//!
//! - [`event`]: the input of the thread.
//! - [`handle`]: the interface of request tasks and other tasks to the thread.
//! - [`directive`]: instructions to a request task.
//! - [`effect`]: I/O that the thread leaves to other tasks.
//! - `state`: the decision logic, independent of threads.
//! - `thread`: the event loop.

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
