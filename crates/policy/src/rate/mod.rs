//! Distributed rate limiting: keeps each account within its rate and burst over all instances.
//!
//! Every instance refills its own share of an account: the part of rate and burst that corresponds to its slots (see
//! [`crate::slots`]). If its share runs short, the instance borrows tokens from peers.
//!
//! - [`action`]: the input and output types of the limiter.
//! - [`limiter`]: decides on requests, lends to peers and borrows from them.
//! - [`message`]: the loan messages between instances.
//! - [`tokens`]: amounts of tokens and rates.
//! - `share`: one instance's token bucket of one account, with its invariant.
//! - `borrower`: the borrower side of an account in use: loans, pending requests and waiting callers.
//! - `lender`: the loans that this instance has given.
//! - `demand`: the request rate of an account on this instance.
//! - `traffic`: the limit on control traffic.

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

/// How long a lender's capacity stays reduced after it gave a loan: [`LOAN_VALIDITY`], 1% of it for clock drift, and 100 ms.
pub const LENDER_HOLD: Duration = Duration::from_millis(605);

/// The time without an answer after which other lenders are asked, and the late one only if no other is left.
pub const LATE_AFTER: Duration = Duration::from_millis(30);

/// The maximum time that a request waits for a token. A lender that is short of processor time answers late, and a refusal
/// of an account within its rate costs its callers more than a wait of this part of the 480 ms to the first token.
pub const MAX_WAIT: Duration = Duration::from_millis(200);

value_type! {
    /// A compact identifier of an account, equal on all instances and in all revisions.
    ///
    /// It is a 64-bit hash. Among 29,000 accounts, two collide with a probability of 2e-11; they would share one bucket.
    #[derive(Copy)]
    pub struct AccountId(pub u64);
}

impl AccountId {
    /// Returns the identifier of the account `name`.
    pub fn of(name: &QualifiedName) -> Self {
        const SEED: u64 = 0;
        Self(XxHash64::oneshot(SEED, name.to_string().as_bytes()))
    }
}
