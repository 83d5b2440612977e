//! Loans of tokens.

/// Asks a peer for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// The short identity of the account.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Chosen by the borrower and repeated in the grant.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The billionths of a token asked for.
    #[prost(uint64, tag = "3")]
    pub want: u64,
    /// Earlier loans from the same donor that are spent no more.
    #[prost(message, repeated, tag = "4")]
    pub closed: Vec<ClosedLoan>,
}

/// A loan that the borrower spends no more.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClosedLoan {
    /// The request that the loan answered.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The billionths of a token that were not spent.
    #[prost(uint64, tag = "2")]
    pub unspent: u64,
}

/// Answers a loan request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanGrant {
    /// The account of the request.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The billionths of a token given, possibly fewer than asked for, or none.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// The billionths of a token that the donor could still lend.
    #[prost(uint64, tag = "4")]
    pub level: u64,
    /// Whether the donor's own callers use up its share.
    #[prost(bool, tag = "5")]
    pub is_busy: bool,
}

/// Gives up loans.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanReturn {
    /// The account of the loans.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The loans.
    #[prost(message, repeated, tag = "2")]
    pub closed: Vec<ClosedLoan>,
}
