//! Typed messages between lifthollow processes and their minicbor encoding.
//!
//! [`answer`] says how an attempt ended, [`load`] what a server reports about
//! its own load with every answer, [`control`] the datagrams between control
//! threads, [`frame`] how calls cross between nodes,
//! [`claim`] how a node claims an idempotency key and [`roster`] at which nodes,
//! [`suspects`] which requests may crash servers, [`quota`] how nodes lend each other what
//! a tenant may send.

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
