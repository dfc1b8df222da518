//! Typed messages between lifthollow processes and their minicbor encoding.
//!
//! - [`answer`]: how an attempt ended;
//! - [`load`]: the load that a server reports with every answer;
//! - [`control`]: datagrams between control threads;
//! - [`frame`]: frames that carry calls between nodes;
//! - [`claim`]: claims on idempotency keys;
//! - [`roster`]: the nodes that store the claims;
//! - [`suspects`]: reports of requests that may crash servers;
//! - [`quota`]: how nodes share the rate limit of a tenant;
//! - [`operators`]: responses of the operators' port.

pub mod answer;
pub mod claim;
pub mod control;
pub mod frame;
pub mod load;
pub mod operators;
pub mod quota;
pub mod roster;
pub mod suspects;

pub use answer::{AttemptResult, RefusalReason};
pub use claim::{
    ClaimFinish, ClaimId, ClaimMessage, ClaimRelease, ClaimRequest, ClaimStored, ClaimVote,
    HandoverBegin, HandoverPage, HandoverReady, HandoverStored, KnownClaim, NextPage,
    RecordedAnswer, RecordedHeader, RecordedOutcome, RejoinPage, RejoinRequest, Verdict,
};
pub use control::{ControlError, ControlMessage};
pub use load::{AdmissionLevel, LoadReport};
pub use roster::{Roster, RosterMember, RosterVersion};
