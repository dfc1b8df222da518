//! Settings as texts with their places, before their values are checked.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::finding::Place;

use super::Key;

/// The text of one value and its place in the file or command line.
#[derive(Clone, Debug)]
pub(super) struct RawValue {
    /// The value as text.
    pub(super) text: String,
    /// The place where the value was given.
    pub(super) place: Place,
}

/// The texts of one back end setting.
#[derive(Clone, Debug)]
pub(super) struct RawBackend {
    /// Name of the service.
    pub(super) service: RawValue,
    /// Address of the back end.
    pub(super) address: RawValue,
}

/// All settings that were given.
#[derive(Clone, Debug, Default)]
pub(super) struct RawSettings {
    /// Settings whose value has a wrong type; the fault is already reported.
    pub(super) unreadable: BTreeSet<Key>,
    /// Settings that have a single value.
    pub(super) values: BTreeMap<Key, RawValue>,
    /// The elements of `seed_nodes`.
    pub(super) seed_nodes: Vec<RawValue>,
    /// The elements of `backends`.
    pub(super) backends: Vec<RawBackend>,
}
