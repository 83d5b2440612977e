//! The loans that this instance has given.

use std::collections::{HashMap, VecDeque};

use stdx::Timestamp;

use crate::rate::{AccountId, LENDER_HOLD, RequestId, Tokens};

/// The index of a peer in the limiter.
pub type PeerIndex = u32;

type LoanKey = (PeerIndex, RequestId);

/// Open loans, each until it is closed or [`LENDER_HOLD`] after it was given.
#[derive(Debug, Default)]
pub struct Lender {
    open: HashMap<LoanKey, GivenLoan>,
    /// Keys in the order of lending; keys of closed loans are skipped.
    by_time: VecDeque<(Timestamp, LoanKey)>,
}

/// A loan as its lender records it.
#[derive(Debug, Clone, Copy)]
pub struct GivenLoan {
    /// The account whose tokens were lent.
    pub account: AccountId,
    /// The amount that was lent.
    pub amount: Tokens,
    given_at: Timestamp,
}

impl GivenLoan {
    /// Returns the latest time at which the loan ends.
    pub fn ends_at(&self) -> Timestamp {
        self.given_at + LENDER_HOLD
    }
}

impl Lender {
    /// Returns whether a request was already answered with a loan that is still open.
    pub fn has_answered(&self, peer: PeerIndex, request: RequestId) -> bool {
        self.open.contains_key(&(peer, request))
    }

    /// Records a loan.
    pub fn record(
        &mut self,
        now: Timestamp,
        peer: PeerIndex,
        request: RequestId,
        account: AccountId,
        amount: Tokens,
    ) {
        let key = (peer, request);
        let replaced = self.open.insert(key, GivenLoan { account, amount, given_at: now });
        assert!(replaced.is_none(), "a request was answered twice");
        self.by_time.push_back((now, key));
    }

    /// Removes a loan that its borrower closed, if it is open and belongs to `account`.
    pub fn close(
        &mut self,
        peer: PeerIndex,
        request: RequestId,
        account: AccountId,
    ) -> Option<GivenLoan> {
        let key = (peer, request);
        (self.open.get(&key)?.account == account).then(|| self.open.remove(&key))?
    }

    /// Removes a loan that can no longer be spent, if there is one; repeat until `None`.
    pub fn expire(&mut self, now: Timestamp) -> Option<GivenLoan> {
        while let Some(&(given_at, key)) = self.by_time.front() {
            if now.since(given_at) < LENDER_HOLD {
                return None;
            }
            self.by_time.pop_front();
            let is_same = self.open.get(&key).is_some_and(|it| it.given_at == given_at);
            if is_same {
                return self.open.remove(&key);
            }
        }
        None
    }

    /// Returns the open loans of an account in total; takes time proportional to the number of all open loans.
    pub fn lent(&self, account: AccountId) -> Tokens {
        self.open.values().filter(|it| it.account == account).map(|it| it.amount).sum()
    }
}
