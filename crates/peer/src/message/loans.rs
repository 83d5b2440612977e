//! Messages about loans of rate-limit tokens.

/// Asks a peer for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// The short identity of the account.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Chosen by the borrower and repeated in the grant.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The requested amount, in billionths of a token.
    #[prost(uint64, tag = "3")]
    pub want: u64,
    /// Earlier loans from the same lender from which the borrower spends no more.
    #[prost(message, repeated, tag = "4")]
    pub closed: Vec<ClosedLoan>,
}

/// A loan from which the borrower spends no more.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClosedLoan {
    /// The id of the request that the loan answered.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The amount that was not spent, in billionths of a token.
    #[prost(uint64, tag = "2")]
    pub unspent: u64,
}

/// Answers a loan request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanGrant {
    /// The account of the request.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The id of the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// The amount lent, in billionths of a token; possibly less than requested, or 0.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// The amount that the lender could still lend, in billionths of a token.
    #[prost(uint64, tag = "4")]
    pub level: u64,
    /// Whether the lender's own callers use up its share.
    #[prost(bool, tag = "5")]
    pub is_busy: bool,
}

/// Returns loans.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanReturn {
    /// The account of the loans.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The loans.
    #[prost(message, repeated, tag = "2")]
    pub closed: Vec<ClosedLoan>,
}
