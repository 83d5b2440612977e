//! Queues, routing, target health, retries and poison requests.
//!
//! - [`dispatcher`]: [`Dispatcher`], which takes requests and events and returns actions.
//! - [`event`]: what the dispatcher is told.
//! - [`request`]: requests, actions and refusals.
//! - [`settings`]: limits and intervals.
//! - `budget`: the retry budget.
//! - `claims`: exclusive runs of suspects over instances.
//! - `departures`: the targets that said that they shut down.
//! - `fair`: the weighted fair queue.
//! - `health`: target health, interpreted from a state chart.
//! - `invariants`: checks over the whole state.
//! - `outcome`: what the end of an attempt does to a request.
//! - `pace`: how fast targets stream, compared with the others of their service.
//! - `part`: which targets an instance goes to first, where many instances share them.
//! - `placement`: which waiting request goes where, and which batch requests yield.
//! - `poison`: suspicion and verdicts by fingerprint.
//! - `service`: the state of one service.
//! - `target`: load and limits of one target.
//! - `suspects`: what this instance and its peers tell each other about suspects.
//! - `upkeep`: the work of `tick`.

pub mod dispatcher;
pub mod event;
pub mod request;
pub mod settings;

mod budget;
mod claims;
mod departures;
mod fair;
mod health;
mod invariants;
mod outcome;
mod pace;
mod part;
mod placement;
mod poison;
mod service;
mod suspects;
mod target;
mod upkeep;

pub use dispatcher::{Dispatcher, Snapshot};
pub use event::{Event, FailureCause, NotRunCause, PeerLoad, TargetInfo, target_infos};
pub use health::HealthState;
pub use request::{
    Action, Claim, ClaimState, Class, Execution, Fingerprint, Reason, Refusal, Request, Suspicion,
};
pub use settings::Settings;
