//! Instructions from the control thread to a request task.

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
            /// The version of the target.
            version: Name,
            /// The number of the attempt, starting at one.
            attempt: u32,
        },
        /// Stop the attempt of a batch request and report [`Admission::yielded`](super::Admission::yielded); another
        /// dispatch follows.
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
        /// The time after which a token is expected.
        pub retry_after: Duration,
        /// The values on which the decision is based.
        pub inputs: Inputs,
    }
}
