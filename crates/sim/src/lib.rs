//! Deterministic simulation of a mesh on a virtual clock.
//!
//! The simulation runs the same [`lifthollow_coordination::Node`] as the daemon,
//! one on every machine. Everything around it is modelled: [`mesh`] says what
//! exists, [`scenario`] what disturbs it, [`world`] how it all behaves,
//! [`observe`] checks what must always hold, [`measure`] computes the figures.
//! [`claims_search`] is a search of its own for keys that run twice.
//! [`scale`] simulates the control plane alone at thousands of nodes.
//! The event queue and the virtual clock are those of the `simcore` library.

pub mod claims_search;
pub mod commands;
pub mod measure;
pub mod mesh;
pub mod observe;
pub mod random;
pub mod report;
pub mod scale;
pub mod scenario;
pub mod sweep;
pub mod world;
