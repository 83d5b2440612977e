//! One instance's token bucket of one account.

use stdx::{Timestamp, record_type};

use crate::rate::tokens::{Part, Rate, Tokens};

record_type! {
    /// A token bucket that refills lazily, so that an idle account costs no processing.
    ///
    /// Level and lent tokens together never exceed the share of the burst; tokens in transit to a borrower count as lent.
    pub struct Share {
        rate: Rate,
        burst: Tokens,
        level: Tokens,
        lent: Tokens,
        refilled_at: Timestamp,
    }
}

impl Share {
    /// Creates an empty bucket of an account with the given rate and burst over all instances, which refills from
    /// `start` on.
    pub fn new(start: Timestamp, rate: Rate, burst: Tokens, lent: Tokens) -> Self {
        Self { rate, burst, level: Tokens::ZERO, lent, refilled_at: start }
    }

    /// Adds the tokens that the share of the rate yielded up to `now`.
    pub fn refill(&mut self, now: Timestamp, part: Part) {
        if now > self.refilled_at {
            self.level += self.rate.part(part).over(now.since(self.refilled_at));
            self.refilled_at = now;
        }
        self.level = self.level.min(self.capacity(part));
    }

    /// Adds tokens after the start of an instance, up to the capacity of the share.
    pub fn fill(&mut self, now: Timestamp, amount: Tokens, part: Part) {
        self.refill(now, part);
        self.level = (self.level + amount).min(self.capacity(part));
    }

    /// Replaces the limits; never raises the level.
    pub fn set_limits(&mut self, now: Timestamp, rate: Rate, burst: Tokens, part: Part) {
        self.refill(now, part);
        (self.rate, self.burst) = (rate, burst);
        self.refill(now, part);
    }

    /// Takes up to `amount` for a caller.
    pub fn take(&mut self, amount: Tokens) -> Tokens {
        let taken = amount.min(self.level);
        self.level -= taken;
        taken
    }

    /// Moves `amount` from the level to the lent tokens.
    pub fn lend(&mut self, amount: Tokens, part: Part) {
        let before = self.level + self.lent;
        self.level -= amount;
        self.lent += amount;
        assert_eq!(before, self.level + self.lent, "a loan changed the sum");
        assert!(
            amount == Tokens::ZERO || before <= self.burst.part(part),
            "level and lent tokens exceed the share: {self:?} of {part:?}"
        );
    }

    /// Ends a loan of `amount` of which the borrower gave back `unspent`.
    pub fn end_loan(&mut self, amount: Tokens, unspent: Tokens, part: Part) {
        assert!(unspent <= amount, "more came back than was lent");
        self.lent -= amount;
        self.level = (self.level + unspent).min(self.capacity(part));
    }

    /// Asserts the invariant. With `is_reduced`, that is while loans may outlast a reduction of the share, lent tokens may
    /// exceed it if the level is zero.
    pub fn check_invariant(&self, part: Part, is_reduced: bool) {
        let share = self.burst.part(part);
        assert!(
            self.level + self.lent <= share || (is_reduced && self.level == Tokens::ZERO),
            "level and lent tokens exceed the share: {self:?} of {part:?}"
        );
    }

    /// Returns the tokens that can be spent or lent.
    pub fn level(&self) -> Tokens {
        self.level
    }

    /// Returns the tokens that borrowers may still spend.
    pub fn lent(&self) -> Tokens {
        self.lent
    }

    /// Returns the account's rate over all instances.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Returns the account's burst over all instances.
    pub fn burst(&self) -> Tokens {
        self.burst
    }

    fn capacity(&self, part: Part) -> Tokens {
        self.burst.part(part).saturating_sub(self.lent)
    }
}
