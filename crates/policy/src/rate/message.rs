//! The loan messages between instances.

use stdx::{record_type, value_type};

use crate::rate::{AccountId, Tokens};

/// The length prefix and the tags of the enclosing message.
const FRAME_BYTES: usize = 8;
/// IP and TCP headers with timestamps; counted for each message, as if each were sent in a packet of its own.
const PACKET_BYTES: usize = 52;
const FIXED64_FIELD_BYTES: usize = 9;
/// A tag and a varint of an amount of up to 2^42 billionths of a token.
const AMOUNT_FIELD_BYTES: usize = 7;
const NESTED_FIELD_BYTES: usize = 2;

value_type! {
    /// Identifies a loan request of one borrower; never reused, not even after a restart.
    #[derive(Copy)]
    pub struct RequestId(pub u64);
}

record_type! {
    /// A message between two instances.
    pub enum RateMessage {
        /// Asks for a loan.
        LoanRequest {
            /// The account to borrow for.
            account: AccountId,
            /// The borrower's identifier of the request.
            request: RequestId,
            /// The maximum amount that the borrower can use.
            want: Tokens,
            /// Earlier loans from the same lender that the borrower no longer spends.
            closed: Vec<ClosedLoan>,
        },
        /// Answers a request.
        LoanGrant {
            /// The account of the request.
            account: AccountId,
            /// The request that is answered.
            request: RequestId,
            /// The loan, possibly zero.
            amount: Tokens,
            /// The amount that the lender could still lend.
            level: Tokens,
            /// Whether the lender's own callers use up its share, so that its level will not grow.
            is_busy: bool,
        },
        /// Returns loans that the borrower closed.
        LoanReturn {
            /// The account of the loans.
            account: AccountId,
            /// The loans.
            closed: Vec<ClosedLoan>,
        },
    }
}

record_type! {
    /// A loan that the borrower no longer spends.
    pub struct ClosedLoan {
        /// The request that the loan answered.
        pub request: RequestId,
        /// The amount that was not spent.
        pub unspent: Tokens,
    }
}

impl RateMessage {
    /// Returns the account that the message is about.
    pub fn account(&self) -> AccountId {
        match self {
            Self::LoanRequest { account, .. }
            | Self::LoanGrant { account, .. }
            | Self::LoanReturn { account, .. } => *account,
        }
    }

    /// Returns the estimated size of the message on the network, including packet headers.
    pub fn wire_bytes(&self) -> usize {
        const CLOSED_BYTES: usize = NESTED_FIELD_BYTES + FIXED64_FIELD_BYTES + AMOUNT_FIELD_BYTES;
        const FLAG_BYTES: usize = 2;
        let body = match self {
            Self::LoanRequest { closed, .. } => {
                2 * FIXED64_FIELD_BYTES + AMOUNT_FIELD_BYTES + closed.len() * CLOSED_BYTES
            }
            Self::LoanGrant { .. } => 2 * FIXED64_FIELD_BYTES + 2 * AMOUNT_FIELD_BYTES + FLAG_BYTES,
            Self::LoanReturn { closed, .. } => FIXED64_FIELD_BYTES + closed.len() * CLOSED_BYTES,
        };
        PACKET_BYTES + FRAME_BYTES + body
    }
}
