//! One instance's bucket of one account.

use stdx::{Timestamp, record_type};

use crate::rate::tokens::{Part, Rate, Tokens};

record_type! {
    /// A bucket that refills lazily, so that an idle account costs no work.
    ///
    /// Level and lent tokens together never exceed the share of the burst; tokens under way to a borrower are lent ones.
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

    /// Adds what the share of the rate yielded up to `now`.
    pub fn refill(&mut self, now: Timestamp, part: Part) {
        if now > self.refilled_at {
            self.level += self.rate.part(part).over(now.since(self.refilled_at));
            self.refilled_at = now;
        }
        self.level = self.level.min(self.capacity(part));
    }

    /// Adds tokens at the start of a run, as far as the share holds them.
    pub fn fill(&mut self, now: Timestamp, amount: Tokens, part: Part) {
        self.refill(now, part);
        self.level = (self.level + amount).min(self.capacity(part));
    }

    /// Replaces the limits; the level never grows by it.
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

    /// Takes `amount` out of the level for a borrower.
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

    /// Checks the invariant, except while loans outlast a reduction of the share.
    pub fn check_invariant(&self, part: Part, is_reduced: bool) {
        let share = self.burst.part(part);
        assert!(
            self.level + self.lent <= share || (is_reduced && self.level == Tokens::ZERO),
            "level and lent tokens exceed the share: {self:?} of {part:?}"
        );
    }

    /// Returns the tokens at hand.
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
