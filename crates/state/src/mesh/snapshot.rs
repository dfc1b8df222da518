//! Configuration and servers that a node received from the source, as of one revision.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use crate::mesh::configuration::Configuration;
use crate::mesh::revision::{Revision, SnapshotVersion};
use crate::mesh::server_instance::{InstanceId, ServerInstance};

/// A server's announcement and the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownServer {
    /// The server as it announced itself.
    #[n(0)]
    pub instance: ServerInstance,
    /// The revision at which the announcement was written.
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
    /// The newest valid configuration; none before the first one arrives.
    #[n(1)]
    pub configuration: Option<Configuration>,
    /// The servers whose announcements exist, by server id.
    #[n(2)]
    pub servers: BTreeMap<InstanceId, KnownServer>,
}

impl Snapshot {
    /// Returns the version that a node with this snapshot reports to other nodes.
    pub fn version(&self) -> SnapshotVersion {
        let configuration = self.configuration.as_ref();
        SnapshotVersion {
            revision: self.revision,
            configuration: configuration.map_or(0, |known| known.version),
        }
    }

    /// Returns the server with the identity of `id`, whatever its start time.
    pub fn server(&self, id: &InstanceId) -> Option<&KnownServer> {
        let starts = self.servers.range(InstanceId::new(id.as_str())..);
        let mut starts = starts.take_while(|(known, _)| known.is_same_server(id));
        starts.next().map(|(_, known)| known)
    }
}
