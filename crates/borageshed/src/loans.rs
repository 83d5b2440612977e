//! Converts loan messages between the types of the rate limiter and the wire format.

use peer::{ClosedLoan, LoanGrant, LoanRequest, LoanReturn, Message};
use policy::rate::{self, AccountId, RateMessage, RequestId, Tokens};

/// Encodes a loan message as a wire message.
pub fn to_wire(message: RateMessage) -> Message {
    match message {
        RateMessage::LoanRequest { account, request, want, closed } => {
            Message::LoanRequest(LoanRequest {
                account: account.0,
                request: request.0,
                want: want.billionths(),
                closed: closed.into_iter().map(closed_to_wire).collect(),
            })
        }
        RateMessage::LoanGrant { account, request, amount, level, is_busy } => {
            Message::LoanGrant(LoanGrant {
                account: account.0,
                request: request.0,
                amount: amount.billionths(),
                level: level.billionths(),
                is_busy,
            })
        }
        RateMessage::LoanReturn { account, closed } => Message::LoanReturn(LoanReturn {
            account: account.0,
            closed: closed.into_iter().map(closed_to_wire).collect(),
        }),
    }
}

/// Decodes a loan message; returns `None` for a wire message of another kind.
pub fn from_wire(message: Message) -> Option<RateMessage> {
    let message = match message {
        Message::LoanRequest(it) => RateMessage::LoanRequest {
            account: AccountId(it.account),
            request: RequestId(it.request),
            want: Tokens::from_billionths(it.want),
            closed: it.closed.into_iter().map(closed_from_wire).collect(),
        },
        Message::LoanGrant(it) => RateMessage::LoanGrant {
            account: AccountId(it.account),
            request: RequestId(it.request),
            amount: Tokens::from_billionths(it.amount),
            level: Tokens::from_billionths(it.level),
            is_busy: it.is_busy,
        },
        Message::LoanReturn(it) => RateMessage::LoanReturn {
            account: AccountId(it.account),
            closed: it.closed.into_iter().map(closed_from_wire).collect(),
        },
        _ => return None,
    };
    Some(message)
}

fn closed_to_wire(loan: rate::ClosedLoan) -> ClosedLoan {
    ClosedLoan { request: loan.request.0, unspent: loan.unspent.billionths() }
}

fn closed_from_wire(loan: ClosedLoan) -> rate::ClosedLoan {
    rate::ClosedLoan {
        request: RequestId(loan.request),
        unspent: Tokens::from_billionths(loan.unspent),
    }
}
