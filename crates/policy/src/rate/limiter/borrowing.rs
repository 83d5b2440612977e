//! The borrower side of the limiter: requests loans for waiting callers and expected demand, and returns what is not needed.

use std::time::Duration;

use rand::seq::SliceRandom;
use stdx::Timestamp;

use super::{Context, RateLimiter, own_part};
use crate::rate::{
    AccountId, RateMessage, RequestId,
    borrower::{Borrower, LenderShare},
    share::Share,
    tokens::{Part, Tokens},
};

/// The demand from which on tokens are prefetched; below it, one loan per request costs fewer messages.
const PREFETCH_DEMAND_PER_S: f64 = 10.0;
/// How far ahead expected demand is covered by loans; a longer time would let the tokens lapse or keep them from other
/// instances.
const PREFETCH_LOOKAHEAD: Duration = Duration::from_millis(200);
/// With a smaller burst, loans are requested so that the levels of lenders become even: the shares often run empty, so
/// tokens that overflow at one lender would soon be missing.
const EQUALIZE_BELOW_BURST: Tokens = Tokens::ONE.times(100);
/// With a smaller burst, spent loans are closed at once: a loan reduces the capacity of its lender, which cannot refill
/// beyond it.
const PROMPT_CLOSE_BELOW_BURST: Tokens = Tokens::ONE.times(5);

impl RateLimiter {
    /// Requests loans for waiters and for expected demand, if lenders are estimated to have enough.
    pub(super) fn request_loans(
        &mut self,
        cx: &mut Context,
        account: AccountId,
        lenders: &[LenderShare],
    ) {
        let now = cx.now;
        let (Some(share), Some(borrower)) =
            (self.shares.get(&account), self.borrowers.get_mut(&account))
        else {
            return;
        };
        let available = share.level() + borrower.borrowed(now) + borrower.expected_on_time(now);
        let waiting = Tokens::ONE.times(borrower.waiters.len() as u64);
        let ahead = prefetch_amount(now, share, borrower, own_part(&self.own_slots, self.slots));
        let is_urgent = available < waiting;
        if !is_urgent && available.times(2) >= ahead {
            return;
        }
        let obtainable: Tokens = lenders
            .iter()
            .filter(|it| borrower.may_ask(now, it))
            .map(|it| borrower.estimated_level(now, it))
            .sum();
        let first = Tokens::ONE.min(waiting).saturating_sub(available);
        if obtainable < first {
            return;
        }
        let need = (waiting + ahead).saturating_sub(available);
        let plan = borrower.plan_requests(now, lenders, need, share.burst() < EQUALIZE_BELOW_BURST);
        for planned in plan {
            let request = RequestId(self.next_request);
            let closed = borrower.take_closed(planned.peer);
            let message = RateMessage::LoanRequest { account, request, want: planned.want, closed };
            if !self.traffic.try_take_request(now, message.wire_bytes()) {
                self.stats.suppressed += 1;
                continue;
            }
            self.next_request = self.next_request.wrapping_add(1);
            borrower.record_sent(now, planned, request);
            let to = self.peers[planned.peer as usize].name.clone();
            cx.send(&mut self.stats, to, message);
        }
    }

    /// Returns unspent loans that are not needed on this instance.
    pub(super) fn return_loans(&mut self, cx: &mut Context, account: AccountId) {
        let now = cx.now;
        let Some(borrower) = self.borrowers.get_mut(&account) else { return };
        let is_in_demand =
            borrower.demand.per_second(now) >= PREFETCH_DEMAND_PER_S && !borrower.is_quiet(now);
        if borrower.waiters.is_empty() && !borrower.awaits_answer(now) && !is_in_demand {
            borrower.close_all_loans();
        }
        let burst = self.shares.get(&account).map_or(Tokens::ZERO, Share::burst);
        for peer in borrower.returns_due(burst < PROMPT_CLOSE_BELOW_BURST) {
            let message = RateMessage::LoanReturn { account, closed: borrower.take_closed(peer) };
            if self.traffic.try_take_answer(now, message.wire_bytes()) {
                let to = self.peers[peer as usize].name.clone();
                cx.send(&mut self.stats, to, message);
            }
        }
        if borrower.is_idle(now) {
            self.borrowers.remove(&account);
        }
    }

    /// Returns the shares of the peers that may be asked, in random order, so that borrowers do not all choose alike.
    ///
    /// Peers that were late are left out as long as another peer with slots was not. If all were late, all are included: a
    /// slow answer is better for a caller than a refusal without one.
    pub(super) fn lender_shares(&mut self, now: Timestamp, account: AccountId) -> Vec<LenderShare> {
        let Some(share) = self.shares.get(&account) else { return Vec::new() };
        let of = self.slots;
        let all_late = self.peers.iter().all(|it| it.slots == 0 || it.backoff_until > now);
        let mut lenders: Vec<_> = (0..)
            .zip(&self.peers)
            .filter(|(_, it)| it.slots > 0 && (all_late || it.backoff_until <= now))
            .map(|(peer, it)| {
                let part = Part { held: it.slots, of };
                LenderShare { peer, rate: share.rate().part(part), burst: share.burst().part(part) }
            })
            .collect();
        lenders.shuffle(&mut self.rng);
        lenders
    }
}

/// Returns the tokens that the account is expected to need on this instance within [`PREFETCH_LOOKAHEAD`] beyond the
/// refill of its share.
fn prefetch_amount(now: Timestamp, share: &Share, borrower: &Borrower, part: Part) -> Tokens {
    if borrower.demand.per_second(now) < PREFETCH_DEMAND_PER_S || borrower.is_quiet(now) {
        return Tokens::ZERO;
    }
    let demand = Tokens::from_f64(borrower.demand.expected_over(now, PREFETCH_LOOKAHEAD));
    let admissible = demand.min(share.rate().over(PREFETCH_LOOKAHEAD));
    admissible.saturating_sub(share.rate().part(part).over(PREFETCH_LOOKAHEAD))
}
