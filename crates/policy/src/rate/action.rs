//! What the limiter answers, and what it is told about slots.

use std::{collections::BTreeMap, time::Duration};

use stdx::{Name, Timestamp, record_type, value_type};

use crate::rate::{RateMessage, Tokens};

value_type! {
    /// The caller's name for a request that waits for a token.
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
            /// After which time a token is expected.
            retry_after: Duration,
        },
    }
}

record_type! {
    /// A step that the caller performs.
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
            /// After which time a token is expected.
            retry_after: Duration,
        },
    }
}

record_type! {
    /// Which instances hold how many slots, see [`crate::slots::SlotManager::holdings`].
    #[derive(Default)]
    pub struct Holdings {
        /// Until when each slot of this instance may be used.
        pub own: Vec<Timestamp>,
        /// The number of slots of each reachable peer; others are not asked for loans.
        pub peers: BTreeMap<Name, u32>,
    }
}

record_type! {
    /// Totals since the start.
    #[derive(Copy, Default)]
    pub struct Stats {
        /// Messages sent.
        pub messages: u64,
        /// Bytes sent, with packet headers.
        pub bytes: u64,
        /// Messages that the bound on control traffic kept back.
        pub suppressed: u64,
        /// Requests admitted.
        pub granted: u64,
        /// Requests refused.
        pub refused: u64,
    }
}

record_type! {
    /// What a decision on a request goes by, for the log.
    #[derive(Copy)]
    pub struct Inputs {
        /// The slots that this instance holds.
        pub slots: u32,
        /// The account's tokens at hand.
        pub level: Tokens,
        /// The account's borrowed tokens at hand.
        pub borrowed: Tokens,
        /// The tokens that peers were asked for and may still lend in time.
        pub requested: Tokens,
        /// The reachable peers that hold slots.
        pub donors: u32,
        /// Those of them that did not answer in time lately.
        pub late_donors: u32,
    }
}
