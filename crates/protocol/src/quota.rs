//! How a node asks for tokens of a tenant, and what it is lent.

use minicbor::{Decode, Encode};

/// A node asks the lender of a tenant's tokens.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaQuestion {
    /// The tenant's name.
    #[n(0)]
    pub tenant: String,
    /// Requests that wait for a token.
    #[n(1)]
    pub wanted: u32,
    /// Requests that came since the node asked last.
    #[n(2)]
    pub arrived: u32,
    /// Requests that the node expects soon after.
    #[n(3)]
    pub expected: u32,
    /// Whether another node was asked first and passes this on; it is not passed on again.
    #[n(4)]
    pub is_passed_on: bool,
}

/// What it gets.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum QuotaAnswer {
    /// Tokens.
    #[n(0)]
    Lent {
        /// How many.
        #[n(0)]
        tokens: u32,
        /// How long not to ask again, milliseconds; zero if there was enough.
        #[n(1)]
        pause_ms: u64,
        /// Tokens that the node may expect while its tenant is at its limit, thousandths a
        /// second.
        #[n(2)]
        rate_thousandths: u64,
    },
    /// The node that was asked does not lend this tenant's tokens.
    #[n(1)]
    NotLender,
}
