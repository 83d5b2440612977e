//! The borrower side of an account in use: loans, pending requests and waiting callers.

use std::{cmp::Reverse, collections::VecDeque, time::Duration};

use stdx::Timestamp;

use crate::rate::{
    ClosedLoan, LATE_AFTER, LOAN_VALIDITY, MAX_WAIT, RequestId, WaiterId,
    demand::Demand,
    lender::PeerIndex,
    tokens::{Rate, Tokens},
};

/// The age at which an unspent loan is returned: the return must arrive before the lender expires the loan.
const UNSPENT_RETURN_AGE: Duration = Duration::from_millis(300);
/// The minimum time between two requests for one account to a lender with few tokens.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// A lender that holds this much refill of its share may be asked again before [`MIN_REQUEST_INTERVAL`] has passed.
const EARLY_REQUEST_REFILL: Duration = Duration::from_millis(200);
/// How long a lender that reported itself busy is assumed not to refill.
const BUSY_TIME: Duration = Duration::from_millis(200);
/// How long an account keeps its state after its last request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of an account that was used recently on this instance.
#[derive(Debug, Default)]
pub struct Borrower {
    /// The request rate of the account on this instance.
    pub demand: Demand,
    /// The callers that wait for a token, in order of arrival.
    pub waiters: VecDeque<Waiter>,
    used_at: Timestamp,
    loans: Vec<Loan>,
    pending: Vec<PendingRequest>,
    lenders: Vec<LenderState>,
    /// Loans that were closed, spent or not, and whose lender has not been told yet.
    closed: Vec<ClosedEntry>,
}

/// A caller that waits for a token.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// The caller.
    pub id: WaiterId,
    /// The time by which it must be answered.
    pub deadline: Timestamp,
}

/// A loan request without an answer so far.
#[derive(Debug, Clone, Copy)]
pub struct PendingRequest {
    /// The peer that was asked.
    pub peer: PeerIndex,
    /// The request.
    pub request: RequestId,
    sent_at: Timestamp,
    expected: Tokens,
    /// Whether [`Borrower::mark_newly_late`] has returned the peer for this request.
    is_reported_late: bool,
}

/// A peer's share of an account's limits.
#[derive(Debug, Clone, Copy)]
pub struct LenderShare {
    /// The peer.
    pub peer: PeerIndex,
    /// Its share of the rate.
    pub rate: Rate,
    /// Its share of the burst.
    pub burst: Tokens,
}

/// A loan request to send.
#[derive(Debug, Clone, Copy)]
pub struct PlannedRequest {
    /// The peer to ask.
    pub peer: PeerIndex,
    /// The amount to ask for.
    pub want: Tokens,
}

#[derive(Debug)]
struct Loan {
    peer: PeerIndex,
    request: RequestId,
    sent_at: Timestamp,
    left: Tokens,
}

#[derive(Debug)]
struct ClosedEntry {
    peer: PeerIndex,
    sent_at: Timestamp,
    loan: ClosedLoan,
}

#[derive(Debug)]
struct LenderState {
    peer: PeerIndex,
    level: Tokens,
    updated_at: Timestamp,
    last_request_at: Option<Timestamp>,
    busy_until: Timestamp,
}

impl Borrower {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Timestamp) {
        self.demand.record(now);
        self.used_at = now;
    }

    /// Returns whether the state of the account can be dropped.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.waiters.is_empty()
            && self.loans.is_empty()
            && self.pending.is_empty()
            && now.since(self.used_at) >= IDLE_TIMEOUT
    }

    /// Returns the borrowed tokens that may be spent.
    pub fn borrowed(&self, now: Timestamp) -> Tokens {
        self.loans.iter().filter(|it| it.is_valid(now)).map(|it| it.left).sum()
    }

    /// Returns the tokens expected from pending requests that are not late.
    pub fn expected_on_time(&self, now: Timestamp) -> Tokens {
        self.pending.iter().filter(|it| !it.is_late(now)).map(|it| it.expected).sum()
    }

    /// Returns the tokens expected from all pending requests, late ones included, whose answer may still arrive within
    /// [`MAX_WAIT`] of sending.
    pub fn expected_before_deadline(&self, now: Timestamp) -> Tokens {
        self.pending.iter().filter(|it| !it.is_past_max_wait(now)).map(|it| it.expected).sum()
    }

    /// Spends borrowed tokens, those that lapse first before others, and returns how much of `amount` they covered.
    pub fn spend(&mut self, now: Timestamp, amount: Tokens) -> Tokens {
        let mut missing = amount;
        for loan in self.loans.iter_mut().filter(|it| it.is_valid(now)) {
            let spent = missing.min(loan.left);
            if spent > Tokens::ZERO {
                assert!(
                    now.since(loan.sent_at) < LOAN_VALIDITY && now >= loan.sent_at,
                    "a lapsed loan was spent: {loan:?} at {now:?}"
                );
            }
            loan.left -= spent;
            missing -= spent;
        }
        self.close_loans(|it| it.left == Tokens::ZERO);
        amount - missing
    }

    /// Drops lapsed loans and requests, and closes loans that are older than [`UNSPENT_RETURN_AGE`].
    pub fn expire(&mut self, now: Timestamp) {
        self.loans.retain(|it| it.is_valid(now));
        self.pending.retain(|it| now.since(it.sent_at) < LOAN_VALIDITY);
        self.closed.retain(|it| now.since(it.sent_at) < LOAN_VALIDITY);
        self.close_loans(|it| now.since(it.sent_at) >= UNSPENT_RETURN_AGE);
    }

    /// Closes every loan, so that its unspent tokens are returned.
    pub fn close_all_loans(&mut self) {
        self.close_loans(|_| true);
    }

    /// Returns the lenders to which a return is due: those of closed loans with unspent tokens, and with `include_spent`
    /// also those of spent loans.
    pub fn returns_due(&self, include_spent: bool) -> Vec<PeerIndex> {
        let is_due = |it: &&ClosedEntry| include_spent || it.loan.unspent > Tokens::ZERO;
        let mut peers: Vec<_> = self.closed.iter().filter(is_due).map(|it| it.peer).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Removes and returns the closed loans from `peer`.
    pub fn take_closed(&mut self, peer: PeerIndex) -> Vec<ClosedLoan> {
        let closed: Vec<_> =
            self.closed.extract_if(.., |it| it.peer == peer).map(|it| it.loan).collect();
        if let Some(lender) = self.lenders.iter_mut().find(|it| it.peer == peer) {
            lender.level += closed.iter().map(|it| it.unspent).sum();
        }
        closed
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Timestamp, planned: PlannedRequest, request: RequestId) {
        let PlannedRequest { peer, want } = planned;
        self.pending.push(PendingRequest {
            peer,
            request,
            sent_at: now,
            expected: want,
            is_reported_late: false,
        });
    }

    /// Applies an answer; a repeated one, or one to a request that was dropped, has no effect.
    pub fn on_grant(
        &mut self,
        now: Timestamp,
        peer: PeerIndex,
        request: RequestId,
        amount: Tokens,
        level: Tokens,
        is_busy: bool,
    ) {
        let is_answer = |it: &PendingRequest| it.request == request && it.peer == peer;
        let Some(at) = self.pending.iter().position(is_answer) else { return };
        let PendingRequest { sent_at, .. } = self.pending.swap_remove(at);
        let lender = self.lender_mut(peer);
        lender.level = level;
        lender.updated_at = now;
        lender.busy_until = if is_busy { now + BUSY_TIME } else { Timestamp::ZERO };
        let loan = Loan { peer, request, sent_at, left: amount };
        if amount > Tokens::ZERO && loan.is_valid(now) {
            let later = self.loans.iter().position(|it| it.sent_at > sent_at);
            self.loans.insert(later.unwrap_or(self.loans.len()), loan);
        }
    }

    /// Returns the peers that failed to answer within [`LATE_AFTER`], once for each request.
    pub fn mark_newly_late(&mut self, now: Timestamp) -> Vec<PeerIndex> {
        let late = self.pending.iter_mut().filter(|it| it.is_late(now) && !it.is_reported_late);
        late.map(|it| {
            it.is_reported_late = true;
            it.peer
        })
        .collect()
    }

    /// Returns whether a request is pending and not late.
    pub fn awaits_answer(&self, now: Timestamp) -> bool {
        self.pending.iter().any(|it| !it.is_late(now))
    }

    /// Returns the estimated level of `share`.
    pub fn estimated_level(&self, now: Timestamp, share: &LenderShare) -> Tokens {
        let Some(lender) = self.lenders.iter().find(|it| it.peer == share.peer) else {
            return share.burst;
        };
        let refill = self.estimated_refill(now, share, now.since(lender.updated_at));
        share.burst.min(lender.level + refill)
    }

    /// Returns the estimated refill of `share` in `time`; zero for a busy lender, whose own callers use it up.
    pub fn estimated_refill(&self, now: Timestamp, share: &LenderShare, time: Duration) -> Tokens {
        let lender = self.lenders.iter().find(|it| it.peer == share.peer);
        match lender.is_some_and(|it| now < it.busy_until) {
            true => Tokens::ZERO,
            false => share.rate.over(time),
        }
    }

    /// Returns whether the lender of `share` may be asked now.
    pub fn may_ask(&self, now: Timestamp, share: &LenderShare) -> bool {
        let estimate = self.estimated_level(now, share);
        let Some(lender) = self.lenders.iter().find(|it| it.peer == share.peer) else {
            return estimate > Tokens::ZERO;
        };
        let early_level = share.rate.over(EARLY_REQUEST_REFILL).min(share.burst);
        let has_interval_passed =
            lender.last_request_at.is_none_or(|at| now.since(at) >= MIN_REQUEST_INTERVAL);
        estimate > Tokens::ZERO && (has_interval_passed || estimate >= early_level)
    }

    /// Chooses which lenders to ask for `need` tokens in total, and deducts the amounts from their estimated levels.
    ///
    /// With `equalize`, the remaining levels become as even as possible, so that no lender overflows while others are
    /// empty; otherwise as few lenders as possible are asked, starting with the highest level.
    pub fn plan_requests(
        &mut self,
        now: Timestamp,
        shares: &[LenderShare],
        need: Tokens,
        equalize: bool,
    ) -> Vec<PlannedRequest> {
        let mut lenders: Vec<_> = shares
            .iter()
            .filter(|it| self.may_ask(now, it))
            .map(|it| (self.estimated_level(now, it), it.peer))
            .collect();
        lenders.sort_by_key(|it| Reverse(it.0));
        let kept = if equalize { equalized_level(&lenders, need) } else { Tokens::ZERO };
        let mut missing = need;
        let mut planned = Vec::new();
        for (estimate, peer) in lenders {
            let want = missing.min(estimate.saturating_sub(kept));
            if want == Tokens::ZERO {
                break;
            }
            missing -= want;
            planned.push(PlannedRequest { peer, want });
            let lender = self.lender_mut(peer);
            lender.level = estimate - want;
            lender.updated_at = now;
            lender.last_request_at = Some(now);
        }
        planned
    }

    /// Returns whether callers seem to have left: the account has made no request for several times the mean gap.
    pub fn is_quiet(&self, now: Timestamp) -> bool {
        now >= self.quiet_at()
    }

    fn quiet_at(&self) -> Timestamp {
        // A gap of five times the mean occurs by chance after 0.7% of requests.
        const GAPS: f64 = 5.0;
        const GAP_MAX_S: f64 = 1.0;
        let per_s = self.demand.per_second(self.used_at);
        self.used_at + Duration::from_secs_f64((GAPS / per_s.max(GAPS)).min(GAP_MAX_S))
    }

    /// Returns when the account must be processed next if no message arrives before.
    pub fn next_wakeup(&self) -> Timestamp {
        let waiters = self.waiters.front().map(|it| it.deadline);
        let loans = self.loans.first().map(|it| it.sent_at + UNSPENT_RETURN_AGE);
        let late =
            self.pending.iter().filter(|it| !it.is_reported_late).map(|it| it.sent_at + LATE_AFTER);
        let dropped = self.pending.iter().map(|it| it.sent_at + LOAN_VALIDITY);
        let idle = self.used_at + IDLE_TIMEOUT;
        let quiet = (!self.loans.is_empty()).then(|| self.quiet_at());
        waiters
            .into_iter()
            .chain(loans)
            .chain(quiet)
            .chain(late)
            .chain(dropped)
            .fold(idle, Timestamp::min)
    }

    fn lender_mut(&mut self, peer: PeerIndex) -> &mut LenderState {
        let at = self.lenders.iter().position(|it| it.peer == peer).unwrap_or_else(|| {
            self.lenders.push(LenderState {
                peer,
                level: Tokens::ZERO,
                updated_at: Timestamp::ZERO,
                last_request_at: None,
                busy_until: Timestamp::ZERO,
            });
            self.lenders.len() - 1
        });
        &mut self.lenders[at]
    }

    fn close_loans(&mut self, is_closed: impl Fn(&Loan) -> bool) {
        for loan in self.loans.extract_if(.., |it| is_closed(it)) {
            let Loan { peer, request, sent_at, left } = loan;
            let loan = ClosedLoan { request, unspent: left };
            self.closed.push(ClosedEntry { peer, sent_at, loan });
        }
    }
}

/// Returns the common level to which the fullest lenders are drawn down to yield `need`.
fn equalized_level(lenders_by_level: &[(Tokens, PeerIndex)], need: Tokens) -> Tokens {
    let mut sum = Tokens::ZERO;
    for (count, (level, _)) in (1..).zip(lenders_by_level) {
        sum += *level;
        let next = lenders_by_level.get(count as usize).map_or(Tokens::ZERO, |it| it.0);
        if sum.saturating_sub(next.times(count)) >= need {
            return Tokens::from_billionths(sum.saturating_sub(need).billionths() / count);
        }
    }
    Tokens::ZERO
}

impl Loan {
    fn is_valid(&self, now: Timestamp) -> bool {
        now.since(self.sent_at) < LOAN_VALIDITY
    }
}

impl PendingRequest {
    fn is_late(&self, now: Timestamp) -> bool {
        now.since(self.sent_at) >= LATE_AFTER
    }

    fn is_past_max_wait(&self, now: Timestamp) -> bool {
        now.since(self.sent_at) >= MAX_WAIT
    }
}
