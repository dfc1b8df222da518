//! The parts of `lifthollowd`, one lifthollow node.

pub mod settings;
