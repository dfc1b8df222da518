//! What a node needs to bring its snapshot up to date.

use minicbor::{Decode, Encode};

use crate::mesh::configuration::Configuration;
use crate::mesh::revision::Revision;
use crate::mesh::server_instance::{InstanceId, ServerInstance};
use crate::mesh::snapshot::Snapshot;

/// One change that the source tells of.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// A new configuration.
    #[n(0)]
    Configuration(#[n(0)] Configuration),
    /// A server announced itself, or something about it changed.
    #[n(1)]
    Server(#[n(0)] ServerInstance),
    /// The announcement of all starts of a server is gone.
    #[n(2)]
    ServerGone(#[n(0)] InstanceId),
    /// A server's announcement was overwritten by something that names no server.
    #[n(3)]
    ServerOverwritten(#[n(0)] InstanceId),
}

/// A change and the revision that it was made at.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RevisedChange {
    /// The revision.
    #[n(0)]
    pub revision: Revision,
    /// The change.
    #[n(1)]
    pub change: Change,
}

/// Revisions between which a node doesn't know every change, as it read the whole: something may
/// have come and gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Gap {
    /// The last revision before it.
    #[n(0)]
    pub after: Revision,
    /// The first revision past it.
    #[n(1)]
    pub until: Revision,
}

impl Gap {
    /// Whether the changes since `revision` can't be told because of it.
    pub fn hides_changes_since(self, revision: Revision) -> bool {
        self.after < revision && revision < self.until
    }
}

/// What one node sends another that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Update {
    /// The sender doesn't know the changes since the other's revision apart.
    #[n(0)]
    Whole(#[n(0)] Snapshot),
    /// All changes since the other's revision.
    #[n(1)]
    Difference {
        /// The revision that they lead to.
        #[n(0)]
        revision: Revision,
        /// The changes, in the order of their revisions.
        #[n(1)]
        changes: Vec<RevisedChange>,
        /// Where the sender knows only what the changes led to.
        #[n(2)]
        #[cbor(default)]
        gaps: Vec<Gap>,
    },
}
