//! Tests of the stand-ins as real processes on loopback.

mod backend;
mod load;
mod platform;
mod support;
