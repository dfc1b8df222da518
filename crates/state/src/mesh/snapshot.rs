//! All that a node was told from outside, as of one revision.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use crate::mesh::configuration::Configuration;
use crate::mesh::revision::{Revision, SnapshotVersion};
use crate::mesh::server_instance::{InstanceId, ServerInstance};

/// A server's announcement and the revision that it was written at.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownServer {
    /// The announcement.
    #[n(0)]
    pub instance: ServerInstance,
    /// The revision of the announcement.
    #[n(1)]
    pub revision: Revision,
}

/// Configuration and servers as of one revision of the source. Of two snapshots
/// the one with the higher revision is newer in every part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// The revision up to which the source's changes are included.
    #[n(0)]
    pub revision: Revision,
    /// The newest usable configuration; none before the first arrived.
    #[n(1)]
    pub configuration: Option<Configuration>,
    /// The servers that have announced themselves and not left.
    #[n(2)]
    pub servers: BTreeMap<InstanceId, KnownServer>,
}

impl Snapshot {
    /// What a node with this snapshot says of it to others.
    pub fn version(&self) -> SnapshotVersion {
        let configuration = self.configuration.as_ref();
        SnapshotVersion {
            revision: self.revision,
            configuration: configuration.map_or(0, |known| known.version),
        }
    }

    /// The server that announces itself as `id`, whenever it started.
    pub fn server(&self, id: &InstanceId) -> Option<&KnownServer> {
        let starts = self.servers.range(InstanceId::new(id.as_str())..);
        let mut starts = starts.take_while(|(known, _)| known.is_same_server(id));
        starts.next().map(|(_, known)| known)
    }
}
