//! Settings as texts with their places, before their values are checked.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::finding::Place;

use super::Key;

/// The text of one value and where it stands.
#[derive(Clone, Debug)]
pub(super) struct RawValue {
    /// The value as text.
    pub(super) text: String,
    /// Where it was given.
    pub(super) place: Place,
}

/// The texts of one back end.
#[derive(Clone, Debug)]
pub(super) struct RawBackend {
    /// The service's name.
    pub(super) service: RawValue,
    /// The back end's address.
    pub(super) address: RawValue,
}

/// All settings that were given.
#[derive(Clone, Debug, Default)]
pub(super) struct RawSettings {
    /// Settings that were given with a value of a wrong type, which is reported.
    pub(super) unreadable: BTreeSet<Key>,
    /// Settings of one value.
    pub(super) values: BTreeMap<Key, RawValue>,
    /// `seed_nodes`.
    pub(super) seed_nodes: Vec<RawValue>,
    /// `backends`.
    pub(super) backends: Vec<RawBackend>,
}
