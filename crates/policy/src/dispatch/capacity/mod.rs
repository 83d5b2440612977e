//! What each target handles well, learned from what callers got there and from what the target reports.
//!
//! - `average`: averages whose measurements lose weight with age.
//! - `belief`: what is believed of a target, for operators.
//! - `learned`: what is known of one target.
//! - `usual`: what is usual in a service, with which a target without measurements starts.
//! - `choice`: the choice among candidates by the expected cost of one more request.

mod average;
mod belief;
mod choice;
mod learned;
mod usual;

pub use belief::Belief;
pub(super) use belief::Reported;
pub(super) use choice::{Candidate, Wish, pick};
pub(super) use learned::{Expected, Learned, Outlook, is_old};
pub(super) use usual::Usual;
