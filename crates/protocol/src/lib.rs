//! Typed messages between lifthollow processes and their minicbor encoding.
//!
//! [`answer`] says how an attempt ended, [`load`] what a server reports about
//! its own load with every answer, [`control`] the datagrams between control
//! threads, [`frame`] how calls cross between nodes.

pub mod answer;
pub mod control;
pub mod frame;
pub mod load;
pub mod operators;

pub use answer::{AttemptResult, RefusalReason};
pub use control::{ControlError, ControlMessage};
pub use load::{AdmissionLevel, LoadReport};
