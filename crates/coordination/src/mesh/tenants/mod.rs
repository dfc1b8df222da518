//! Tenants: authentication of requests and enforcement of each tenant's rate limit by all nodes
//! together.
//!
//! 1. [`authentication`]: finds the tenant that a request's key belongs to, and detects when a
//!    node's configuration view is too old for that;
//! 2. [`borrower`]: holds a node's tokens for a tenant and decides when to ask for more;
//! 3. [`lenders`]: selects the nodes that lend a tenant's tokens, and [`unresponsive_nodes`] decides
//!    how much a node may lend that stands in for another;
//! 4. [`lender`]: decides how many tokens an asking node gets;
//! 5. [`fleet_quota`]: divides among the nodes what all of them together may use.

pub mod authentication;
pub mod borrower;
pub mod fleet_quota;
pub mod lender;
pub mod lenders;
pub mod unresponsive_nodes;
