//! Deterministic simulation of lifthollow on a virtual clock.

pub mod claims_search;
