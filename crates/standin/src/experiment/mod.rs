//! Experiments with real processes on loopback. This tool, not lifthollow, starts processes:
//! stand-ins and nodes of both sides, as an operator's init system would.

pub mod process;
