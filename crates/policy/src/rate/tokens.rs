//! Amounts of tokens and rates in integer billionths, so that sums are exact.

use std::{
    iter::Sum,
    ops::{Add, AddAssign, Sub, SubAssign},
    time::Duration,
};

use stdx::value_type;

const BILLIONTHS: u64 = 1_000_000_000;

value_type! {
    /// An amount of tokens; one token admits one request.
    #[derive(Copy, Default)]
    pub struct Tokens(u64);
}

value_type! {
    /// Tokens per second.
    #[derive(Copy, Default)]
    pub struct Rate(Tokens);
}

value_type! {
    /// A fraction of all slots.
    #[derive(Copy)]
    pub struct Part {
        /// The number of slots in the fraction.
        pub held: u32,
        /// The number of all slots; not zero.
        pub of: u32,
    }
}

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// One token, the cost of one request.
    pub const ONE: Self = Self(BILLIONTHS);

    /// Converts an amount, rounded down; negative amounts and NaN become zero.
    pub fn from_f64(amount: f64) -> Self {
        Self((amount * BILLIONTHS as f64) as u64)
    }

    /// Creates an amount from billionths of a token.
    pub const fn from_billionths(amount: u64) -> Self {
        Self(amount)
    }

    /// Returns the amount in billionths of a token.
    pub const fn billionths(self) -> u64 {
        self.0
    }

    /// Returns the amount as a number of tokens.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / BILLIONTHS as f64
    }

    /// Returns the number of requests that the amount admits.
    pub const fn whole(self) -> u64 {
        self.0 / BILLIONTHS
    }

    /// Subtracts and returns zero instead of a negative result.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Multiplies the amount by `count`, saturating at the maximum.
    pub const fn times(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count))
    }

    /// Returns a fraction of the amount, rounded down, so that the sum of disjoint parts never exceeds the whole.
    pub fn part(self, part: Part) -> Self {
        Self(scale(self.0, u64::from(part.held), u64::from(part.of)))
    }
}

impl Rate {
    /// Converts requests per second.
    pub fn per_second(amount: f64) -> Self {
        Self(Tokens::from_f64(amount))
    }

    /// Returns whether the rate yields nothing.
    pub fn is_zero(self) -> bool {
        self.0 == Tokens::ZERO
    }

    /// Returns a fraction of the rate, rounded down.
    pub fn part(self, part: Part) -> Self {
        Self(self.0.part(part))
    }

    /// Returns the tokens that the rate yields in `time`, rounded down.
    pub fn over(self, time: Duration) -> Tokens {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Tokens(scale(self.0.0, micros, 1_000_000))
    }

    /// Returns the time in which the rate yields `amount`, or `None` if it never does.
    pub fn time_for(self, amount: Tokens) -> Option<Duration> {
        (self.0 > Tokens::ZERO)
            .then(|| Duration::from_micros(scale(amount.0, 1_000_000, self.0.0).saturating_add(1)))
    }
}

/// Returns `amount * numerator / denominator`, rounded down, without overflow in between.
fn scale(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Tokens {
    type Output = Self;

    /// Subtracts an amount that is not larger.
    ///
    /// # Panics
    ///
    /// Panics if `other` is larger, which means that tokens were spent twice.
    fn sub(self, other: Self) -> Self {
        assert!(other <= self, "cannot subtract {other:?} from {self:?}");
        Self(self.0 - other.0)
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Add::add)
    }
}
