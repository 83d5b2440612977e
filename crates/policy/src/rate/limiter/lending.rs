//! The limiter as a donor: what it lends of its shares, and when lent tokens count as its own again.

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

/// How long the share of a donor with own callers must serve them before it lends.
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
        // A second loan for a repeated request would only be wasted.
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

/// Returns what a donor keeps for its own callers, and whether they use up its share.
///
/// A share that cannot hold a whole token is of no use by itself and is lent wholly.
fn reserve(now: Timestamp, share: &Share, borrower: &Borrower, part: Part) -> (Tokens, bool) {
    let capacity = share.burst().part(part);
    if capacity < Tokens::ONE || borrower.is_quiet(now) {
        return (Tokens::ZERO, false);
    }
    let second = Duration::from_secs(1);
    let is_busy =
        Tokens::from_f64(borrower.demand.per_second(now)) >= share.rate().part(part).over(second);
    // Callers may wait for a moment only, as after the start of all instances.
    if !borrower.waiters.is_empty() {
        return (share.level(), is_busy);
    }
    let reserve = Tokens::from_f64(borrower.demand.expected_over(now, RESERVE_TIME));
    (reserve.min(Tokens::from_billionths(capacity.billionths() / 2)), is_busy)
}
