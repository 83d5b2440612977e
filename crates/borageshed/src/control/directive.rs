//! What the control thread tells a traffic task.

use std::time::Duration;

use policy::{dispatch::Refusal, rate::Inputs};
use stdx::{Name, record_type};

record_type! {
    /// The next step of a request.
    pub enum Directive {
        /// Send the request to a target.
        Dispatch {
            /// The name of the target within the service.
            target: Name,
            /// One for the first attempt.
            attempt: u32,
        },
        /// Stop the attempt of a batch request and report that it yielded; another dispatch follows.
        Yield,
        /// Stop the attempt; a refusal follows.
        Cancel,
        /// Give the final answer.
        Refuse(Refusal),
        /// Give the final answer: the account is over its rate.
        OverRate(RateRefusal),
    }
}

record_type! {
    /// A refusal because of the account's rate.
    pub struct RateRefusal {
        /// After which time a token is expected.
        pub retry_after: Duration,
        /// What the decision went by.
        pub inputs: Inputs,
    }
}
