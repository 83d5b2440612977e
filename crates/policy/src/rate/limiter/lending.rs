//! The lender side of the limiter: lends tokens of its shares and takes them back when loans end.

use std::time::Duration;

use stdx::Timestamp;

use super::{Context, RateLimiter};
use crate::rate::{
    AccountId, ClosedLoan, RateMessage, RequestId,
    borrower::Borrower,
    lender::PeerIndex,
    share::Share,
    tokens::{Part, Tokens},
};

/// The time for which a lender keeps tokens for the demand of its own callers; only the rest is lent.
const RESERVE_TIME: Duration = Duration::from_millis(20);

impl RateLimiter {
    /// Answers a loan request.
    pub(super) fn on_loan_request(
        &mut self,
        cx: &mut Context,
        peer: PeerIndex,
        account: AccountId,
        request: RequestId,
        want: Tokens,
    ) {
        // The borrower ignores repeated answers, so a second loan for a repeated request would be wasted.
        if self.lender.has_answered(peer, request) {
            return;
        }
        let now = cx.now;
        let part = self.part();
        let (mut amount, mut level, mut is_busy) = (Tokens::ZERO, Tokens::ZERO, false);
        if let Some(share) = self.shares.get_mut(&account) {
            share.refill(now, part);
            let (reserve, busy) = match self.borrowers.get(&account) {
                Some(borrower) => reserve(now, share, borrower, part),
                None => (Tokens::ZERO, false),
            };
            let spare = share.level().saturating_sub(reserve);
            amount = want.min(spare);
            (level, is_busy) = (spare - amount, busy);
        }
        let message = RateMessage::LoanGrant { account, request, amount, level, is_busy };
        if !self.traffic.try_take_answer(now, message.wire_bytes()) {
            self.stats.suppressed += 1;
            return;
        }
        if amount > Tokens::ZERO
            && let Some(share) = self.shares.get_mut(&account)
        {
            share.lend(amount, part);
            self.lender.record(now, peer, request, account, amount);
        }
        let to = self.peers[peer as usize].name.clone();
        cx.send(&mut self.stats, to, message);
    }

    /// Ends loans that `peer` has closed, and takes unspent tokens back.
    pub(super) fn close_loans(
        &mut self,
        peer: PeerIndex,
        account: AccountId,
        closed: Vec<ClosedLoan>,
    ) {
        let part = self.part();
        for ClosedLoan { request, unspent } in closed {
            let Some(loan) = self.lender.close(peer, request, account) else { continue };
            if let Some(share) = self.shares.get_mut(&account) {
                share.end_loan(loan.amount, unspent.min(loan.amount), part);
            }
        }
    }

    /// Ends loans that can no longer be spent; their tokens count as spent.
    pub(super) fn expire_loans(&mut self, now: Timestamp) {
        let part = self.part();
        while let Some(loan) = self.lender.expire(now) {
            if let Some(share) = self.shares.get_mut(&loan.account) {
                share.refill(loan.ends_at(), part);
                share.end_loan(loan.amount, Tokens::ZERO, part);
            }
        }
    }
}

/// Returns the tokens that a lender keeps for its own callers, and whether their demand uses up its share of the rate.
///
/// A share that cannot hold a whole token cannot admit a request by itself and is lent entirely.
fn reserve(now: Timestamp, share: &Share, borrower: &Borrower, part: Part) -> (Tokens, bool) {
    let capacity = share.burst().part(part);
    if capacity < Tokens::ONE || borrower.is_quiet(now) {
        return (Tokens::ZERO, false);
    }
    let second = Duration::from_secs(1);
    let is_busy =
        Tokens::from_f64(borrower.demand.per_second(now)) >= share.rate().part(part).over(second);
    // Waiting callers get the whole level but do not by themselves make the lender busy: the wait may be short, for example
    // after the start of all instances.
    if !borrower.waiters.is_empty() {
        return (share.level(), is_busy);
    }
    let reserve = Tokens::from_f64(borrower.demand.expected_over(now, RESERVE_TIME));
    (reserve.min(Tokens::from_billionths(capacity.billionths() / 2)), is_busy)
}
