//! Index of the service that each node belongs to, used to identify the service
//! that makes a call.

use std::collections::BTreeMap;
use std::sync::Arc;

use lifthollow_state::{Directory, NodeId, ServiceName};

/// The services of all nodes in a directory.
#[derive(Debug, Default)]
pub struct CallerIndex {
    directory: Arc<Directory>,
    services: BTreeMap<NodeId, ServiceName>,
}

impl CallerIndex {
    /// The service whose back end is local to `node`, if there is one.
    pub fn service_of(&mut self, directory: &Arc<Directory>, node: NodeId) -> Option<ServiceName> {
        if !Arc::ptr_eq(&self.directory, directory) {
            self.rebuild(directory);
        }
        self.services.get(&node).cloned()
    }

    fn rebuild(&mut self, directory: &Arc<Directory>) {
        self.directory = Arc::clone(directory);
        self.services = directory
            .services()
            .flat_map(|(service, servers)| {
                servers
                    .iter()
                    .map(move |server| (server.node, service.clone()))
            })
            .collect();
    }
}
