//! Experiments with real processes on loopback. This tool, not lifthollow, starts processes:
//! stand-ins and nodes of both sides, as an operator's init system would.

pub mod amplification;
pub mod arguments;
pub mod backend_process;
pub mod bench;
pub mod claim_roster;
pub mod cluster;
pub mod control_port;
pub mod demo;
pub mod faults;
pub mod interrupt;
pub mod load_process;
pub mod measures;
pub mod mesh;
pub mod node;
pub mod overload;
pub mod platform_process;
pub mod process;
pub mod promises;
pub mod report;
pub mod status;
