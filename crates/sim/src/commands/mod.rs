//! The commands of `lifthollow-sim`.

pub mod claims_search;
