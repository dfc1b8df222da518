//! Directory of the servers of each service, as known to one node.

use std::collections::BTreeMap;

use crate::{NodeId, ServiceName, Side, Zone};

/// Whether a server may be sent new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// The server accepts new calls.
    Serving,
    /// The server has not responded for a while; it is used only if no other server is left.
    Suspected,
    /// The server finishes the calls that it has and accepts no new ones.
    Leaving,
}

/// One server of one service, identified by the node on the back end's machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The node that receives attempts for this server.
    pub node: NodeId,
    /// The server's data centre.
    pub side: Side,
    /// The server's failure domain.
    pub zone: Zone,
    /// Whether the server accepts new calls.
    pub state: ServerState,
}

/// All servers known to a node, by service. The servers of a service are ordered by node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    services: BTreeMap<ServiceName, Vec<Server>>,
}

impl Directory {
    /// Adds a server of `service`, or replaces the entry of the same node.
    pub fn insert(&mut self, service: ServiceName, server: Server) {
        let servers = self.services.entry(service).or_default();
        match servers.binary_search_by_key(&server.node, |known| known.node) {
            Ok(index) => servers[index] = server,
            Err(index) => servers.insert(index, server),
        }
    }

    /// Removes `node` from the servers of `service`.
    pub fn remove(&mut self, service: &ServiceName, node: NodeId) {
        let Some(servers) = self.services.get_mut(service) else {
            return;
        };
        servers.retain(|server| server.node != node);
        if servers.is_empty() {
            self.services.remove(service);
        }
    }

    /// Returns the entry of `node` as a server of `service`.
    pub fn server(&self, service: &ServiceName, node: NodeId) -> Option<&Server> {
        let servers = self.services.get(service)?;
        let index = servers
            .binary_search_by_key(&node, |server| server.node)
            .ok()?;
        Some(&servers[index])
    }

    /// Returns the servers of a service, ordered by node.
    pub fn servers(&self, service: &ServiceName) -> &[Server] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all services with their servers.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Server])> {
        self.services
            .iter()
            .map(|(service, servers)| (service, servers.as_slice()))
    }
}
