//! Tests of the stand-ins as real processes on loopback.

mod backend;
mod claim_roster;
mod load;
mod measures;
mod platform;
mod promises;
mod repeats;
mod support;
