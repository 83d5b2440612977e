//! The refusals of the limiter: which waiting callers cannot get a token in time, and when they should come again.

use std::time::Duration;

use stdx::Timestamp;

use super::{Context, Peer, RETRY_AFTER_WITHOUT_RATE, RateLimiter, own_part};
use crate::rate::{
    AccountId, RateAction,
    borrower::LenderShare,
    tokens::{Part, Rate, Tokens},
};

/// The retry time given to a refused caller if no instance that holds a share can be asked.
const RETRY_AFTER_WITHOUT_LENDERS: Duration = Duration::from_secs(1);
/// The time within which refills are counted for waiting callers; callers that would wait longer are refused at once.
const REFILL_LOOKAHEAD: Duration = Duration::from_millis(150);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1);
/// How long after the start of an instance its callers wait for slots whose holder is not known yet, instead of being
/// refused. It covers a few calls to a slow store; after that an outage is more likely.
const SLOT_DISCOVERY_TIME: Duration = Duration::from_secs(2);

impl RateLimiter {
    /// Refuses waiters that cannot get a token in time.
    pub(super) fn refuse_waiters(
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
        let Some(last) = borrower.waiters.back() else { return };
        let part = own_part(&self.own_slots, self.slots);
        let unknown = match now < self.started_at + SLOT_DISCOVERY_TIME {
            true => share.burst().part(unknown_part(&self.own_slots, &self.peers, self.slots)),
            false => Tokens::ZERO,
        };
        let available = share.level() + borrower.borrowed(now);
        // Lenders may lend less than estimated, so all waiters are checked again after each answer.
        let refill_time = last.deadline.since(now).min(REFILL_LOOKAHEAD);
        let refill = share.rate().part(part).over(refill_time)
            + lenders.iter().map(|it| borrower.estimated_refill(now, it, refill_time)).sum();
        let at_lenders: Tokens = lenders.iter().map(|it| borrower.estimated_level(now, it)).sum();
        let servable =
            (available + borrower.expected_before_deadline(now) + at_lenders + refill + unknown)
                .whole() as usize;
        let reachable_per_s =
            lenders.iter().fold(share.rate().part(part).over(Duration::from_secs(1)), |sum, it| {
                sum + it.rate.over(Duration::from_secs(1))
            });
        let reachable_rate = Rate::per_second(reachable_per_s.as_f64());
        let without_lenders = match share.rate().is_zero() {
            true => RETRY_AFTER_WITHOUT_RATE,
            false => RETRY_AFTER_WITHOUT_LENDERS,
        };
        let retry_after = |rank: usize| {
            let deficit = Tokens::ONE
                .times(rank as u64 + 1)
                .saturating_sub(available + borrower.expected_on_time(now) + at_lenders);
            reachable_rate.time_for(deficit).unwrap_or(without_lenders).max(RETRY_AFTER_MIN)
        };
        let mut kept = 0;
        let mut refused = Vec::new();
        for (rank, waiter) in borrower.waiters.iter().enumerate() {
            if kept < servable && waiter.deadline > now {
                kept += 1;
            } else {
                refused.push((waiter.id, retry_after(rank)));
            }
        }
        borrower.waiters.retain(|it| !refused.iter().any(|(id, _)| *id == it.id));
        self.stats.refused += refused.len() as u64;
        let refusals = refused
            .into_iter()
            .map(|(waiter, retry_after)| RateAction::Refuse { waiter, retry_after });
        cx.actions.extend(refusals);
    }
}

/// Returns the part of the slots that neither this instance nor a known peer holds.
fn unknown_part(own_slots: &[Timestamp], peers: &[Peer], of: u32) -> Part {
    let held_by_peers = peers.iter().map(|it| it.slots).sum();
    Part { held: of.saturating_sub(own_slots.len() as u32).saturating_sub(held_by_peers), of }
}
