//! Queues, routing, target health, retries and poison requests.
//!
//! - [`dispatcher`]: [`Dispatcher`], which takes requests and events and returns actions.
//! - [`event`]: the events that the dispatcher handles.
//! - [`request`]: requests, actions and refusals.
//! - [`settings`]: limits and intervals.
//! - `allowance`: the requests that this instance may send to a target that limits them.
//! - `budget`: the retry budget.
//! - `capacity`: what each target handles well, learned from what callers got there.
//! - `claims`: claims that make the run of a suspect exclusive across instances.
//! - `index_set`: a set of positions in a list.
//! - `learning`: passes on what answers show of targets to `capacity`, and chooses targets by it.
//! - `leaving`: the targets that announced their shutdown.
//! - [`evacuation`]: the failure domains whose targets get no new work.
//! - [`cold_start`]: the requests that cold targets get.
//! - `fair`: the weighted fair queue.
//! - `health`: target health, interpreted from a state chart.
//! - `invariants`: invariant checks over the whole state.
//! - `limits`: the limits that targets name, and which instances share them.
//! - `outcome`: how the end of an attempt is handled.
//! - `pace`: the streaming speed of targets, relative to the others of their service.
//! - `target_subset`: the targets that an instance prefers where many instances share them.
//! - `placement`: assigns waiting requests to targets and stops batch requests for online requests.
//! - `part_evidence`: crashes and output as evidence about prompt parts, shared with peers.
//! - `poison`: suspicion and verdicts by fingerprint.
//! - `prompt_parts`: suspicion and verdicts by the parts of a prompt that requests share.
//! - `service`: the state of one service.
//! - `target`: load and limits of one target.
//! - `targets`: the targets of a service, with an index over them.
//! - `target_list`: changes of the target list.
//! - `suspects`: the messages about suspects between this instance and its peers.
//! - `periodic`: the periodic work of `tick`.

pub mod cold_start;
pub mod dispatcher;
pub mod evacuation;
pub mod event;
pub mod request;
pub mod settings;

mod allowance;
mod budget;
mod capacity;
mod claims;
mod fair;
mod health;
mod index_set;
mod invariants;
mod learning;
mod leaving;
mod limits;
mod outcome;
mod pace;
mod part_evidence;
mod periodic;
mod placement;
mod poison;
mod prompt_parts;
mod service;
mod suspects;
mod target;
mod target_list;
mod target_subset;
mod targets;

pub use allowance::TargetLimit;
pub use capacity::Belief;
pub use cold_start::{ColdBound, ColdPlan};
pub use dispatcher::{Dispatcher, Snapshot};
pub use evacuation::{Access, ClockGap, Evacuation, EvacuationChange};
pub use event::{Event, FailureCause, NotRunCause, PeerLoad, TargetInfo, TargetLoad, target_infos};
pub use health::HealthState;
pub use limits::{Instances, LimitNews};
pub use prompt_parts::{MAX_LIFETIME_FACTOR, PartId};
pub use request::{
    Action, Claim, ClaimState, Class, Execution, Fingerprint, Reason, Refusal, Request, Suspicion,
};
pub use settings::{LearnedCapacity, Settings};
