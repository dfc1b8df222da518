//! Changes and updates that bring a node's snapshot up to date.

use minicbor::{Decode, Encode};

use crate::mesh::configuration::Configuration;
use crate::mesh::revision::Revision;
use crate::mesh::server_instance::{InstanceId, ServerInstance};
use crate::mesh::snapshot::Snapshot;

/// One change reported by the source.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// The configuration was replaced by this one.
    #[n(0)]
    Configuration(#[n(0)] Configuration),
    /// A server announced itself, or something about it changed.
    #[n(1)]
    Server(#[n(0)] ServerInstance),
    /// A server's announcement was removed; the id applies to all starts of the server.
    #[n(2)]
    ServerGone(#[n(0)] InstanceId),
    /// A server's announcement was overwritten by a value that is not a valid announcement.
    #[n(3)]
    ServerOverwritten(#[n(0)] InstanceId),
}

/// A change and the revision at which it was made.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RevisedChange {
    /// The revision at which the change was made.
    #[n(0)]
    pub revision: Revision,
    /// The change that was made.
    #[n(1)]
    pub change: Change,
}

/// A range of revisions in which a node may have missed changes, because it read the whole state
/// rather than each change: something may have been added and removed again in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Gap {
    /// The last revision before the gap.
    #[n(0)]
    pub after: Revision,
    /// The first revision after the gap.
    #[n(1)]
    pub until: Revision,
}

impl Gap {
    /// Returns whether the gap makes the changes since `revision` incomplete.
    pub fn hides_changes_since(self, revision: Revision) -> bool {
        self.after < revision && revision < self.until
    }
}

/// Data that a node sends to another node whose snapshot is older.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Update {
    /// The whole snapshot, because the sender doesn't know the individual changes since the
    /// receiver's revision.
    #[n(0)]
    Whole(#[n(0)] Snapshot),
    /// All changes since the receiver's revision.
    #[n(1)]
    Difference {
        /// The revision that the changes lead to.
        #[n(0)]
        revision: Revision,
        /// The changes, in the order of their revisions.
        #[n(1)]
        changes: Vec<RevisedChange>,
        /// Ranges of revisions for which the sender knows the result but not every change.
        #[n(2)]
        #[cbor(default)]
        gaps: Vec<Gap>,
    },
}
