//! The shares and loans that keep an account within its rate and burst over all instances.
//!
//! Every instance refills its own share of an account: the part of rate and burst that its slots stand for (see
//! [`crate::slots`]). Where the share is too small, the instance borrows tokens from peers.
//!
//! - [`action`]: what the limiter answers, and what it is told about slots.
//! - [`limiter`]: decides on requests, lends to peers and borrows from them.
//! - [`message`]: what instances tell each other.
//! - [`tokens`]: amounts of tokens and rates.
//! - `share`: one instance's bucket of one account, with its invariant.
//! - `borrower`: loans, requests and waiting callers of an account in use.
//! - `lender`: the loans that the instance has given.
//! - `demand`: how many requests an account makes here.
//! - `traffic`: the bound on control traffic.

pub mod action;
pub mod limiter;
pub mod message;
pub mod tokens;

mod borrower;
mod demand;
mod lender;
mod share;
mod traffic;

use std::time::Duration;

use fleet::QualifiedName;
use stdx::value_type;
use twox_hash::XxHash64;

pub use action::{AcquireOutcome, Holdings, Inputs, RateAction, Stats, WaiterId};
pub use limiter::RateLimiter;
pub use message::{ClosedLoan, RateMessage, RequestId};
pub use tokens::Tokens;
pub use traffic::LOAN_BYTES_PER_S;

/// How long a borrower may spend a loan, on its own clock, after it sent the request.
pub const LOAN_VALIDITY: Duration = Duration::from_millis(500);

/// How long a donor's capacity stays reduced after it gave a loan: the validity, 1% of clock drift on it, and 100 ms.
pub const DONOR_HOLD: Duration = Duration::from_millis(605);

/// After which time without an answer other donors are asked, and the peer only where no other is left.
pub const LATE_AFTER: Duration = Duration::from_millis(30);

/// The longest time that a request waits for a token; a donor that is short of processor time answers late, and a refusal
/// of an account within its rate costs its callers more than this part of the 480 ms to the first token.
pub const MAX_WAIT: Duration = Duration::from_millis(200);

value_type! {
    /// The short identity of an account, equal on all instances and in all revisions.
    ///
    /// It is a 64-bit hash: of 29,000 accounts, two collide with a probability of 2e-11, and would share one bucket.
    #[derive(Copy)]
    pub struct AccountId(pub u64);
}

impl AccountId {
    /// Returns the identity of the account `name`.
    pub fn of(name: &QualifiedName) -> Self {
        const SEED: u64 = 0;
        Self(XxHash64::oneshot(SEED, name.to_string().as_bytes()))
    }
}
