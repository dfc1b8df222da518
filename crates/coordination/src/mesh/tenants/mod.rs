//! Tenants: whose request it is, and whether its tenant may send one more.
//!
//! 1. [`authentication`]: which tenant a request's key belongs to, and when a node's view is
//!    too old to tell;
//! 2. [`borrower`]: whether a node has a token for the tenant, or must ask for some;
//! 3. [`lenders`]: which nodes lend a tenant's tokens, and [`missing_nodes`] when one stands in
//!    for another;
//! 4. [`lender`]: how many a node gets that asks;
//! 5. [`fleet_quota`]: what all nodes together may use, and how that is divided.

pub mod authentication;
pub mod borrower;
pub mod fleet_quota;
pub mod lender;
pub mod lenders;
pub mod missing_nodes;
