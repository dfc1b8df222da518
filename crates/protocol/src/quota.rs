//! Messages by which a node requests rate-limit tokens of a tenant from the node that allots them.

use minicbor::{Decode, Encode};

/// A node's request to the lender, which is the node that allots a tenant's tokens.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaQuestion {
    /// The tenant's name.
    #[n(0)]
    pub tenant: String,
    /// Number of requests that wait for a token.
    #[n(1)]
    pub wanted: u32,
    /// Number of requests that arrived since the node's last question.
    #[n(2)]
    pub arrived: u32,
    /// Number of further requests that the node expects shortly.
    #[n(3)]
    pub expected: u32,
    /// Whether the question was forwarded by another node that was asked first; a forwarded
    /// question is not forwarded again.
    #[n(4)]
    pub is_passed_on: bool,
}

/// The answer to a [`QuotaQuestion`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum QuotaAnswer {
    /// The lender grants tokens, possibly none.
    #[n(0)]
    Lent {
        /// Number of tokens granted.
        #[n(0)]
        tokens: u32,
        /// Time to wait before asking again, milliseconds; zero if there were enough tokens.
        #[n(1)]
        pause_ms: u64,
        /// Rate at which the node may expect tokens while its tenant is at its limit, in
        /// thousandths of a token per second.
        #[n(2)]
        rate_thousandths: u64,
    },
    /// The node that was asked is not the lender of this tenant's tokens.
    #[n(1)]
    NotLender,
}
