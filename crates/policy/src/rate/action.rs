//! The input and output types of the limiter.

use std::{collections::BTreeMap, time::Duration};

use stdx::{Name, Timestamp, record_type, value_type};

use crate::rate::{RateMessage, Tokens};

value_type! {
    /// The caller's identifier of a request that waits for a token.
    #[derive(Copy)]
    pub struct WaiterId(pub u64);
}

value_type! {
    /// The immediate answer to a request.
    #[derive(Copy)]
    pub enum AcquireOutcome {
        /// The request may run.
        Granted,
        /// A [`RateAction::Grant`] or [`RateAction::Refuse`] follows within [`MAX_WAIT`].
        Waiting,
        /// The request must not run.
        Refused {
            /// The time after which a token is expected.
            retry_after: Duration,
        },
    }
}

record_type! {
    /// An action that the caller performs.
    pub enum RateAction {
        /// Send a message to a peer.
        Send {
            /// The peer.
            to: Name,
            /// The message.
            message: RateMessage,
        },
        /// Let a waiting request run.
        Grant {
            /// The request.
            waiter: WaiterId,
        },
        /// Refuse a waiting request.
        Refuse {
            /// The request.
            waiter: WaiterId,
            /// The time after which a token is expected.
            retry_after: Duration,
        },
    }
}

record_type! {
    /// The slots that each instance holds, see [`crate::slots::SlotManager::holdings`].
    #[derive(Default)]
    pub struct Holdings {
        /// The time until which each slot of this instance may be used.
        pub own: Vec<Timestamp>,
        /// The number of slots of each reachable peer; unreachable peers are not asked for loans.
        pub peers: BTreeMap<Name, u32>,
    }
}

record_type! {
    /// Totals since the start.
    #[derive(Copy, Default)]
    pub struct Stats {
        /// Messages sent.
        pub messages: u64,
        /// Bytes sent, including packet headers.
        pub bytes: u64,
        /// Messages that were not sent because of the limit on control traffic.
        pub suppressed: u64,
        /// Requests admitted.
        pub granted: u64,
        /// Requests refused.
        pub refused: u64,
    }
}

record_type! {
    /// The values on which a decision on a request is based, for the log.
    #[derive(Copy)]
    pub struct Inputs {
        /// The slots that this instance holds.
        pub slots: u32,
        /// The account's tokens in this instance's share.
        pub level: Tokens,
        /// The borrowed tokens of the account that may be spent.
        pub borrowed: Tokens,
        /// The tokens that were requested from peers and may still arrive in time.
        pub requested: Tokens,
        /// The reachable peers that hold slots.
        pub lenders: u32,
        /// The lenders that recently failed to answer in time.
        pub late_lenders: u32,
    }
}
