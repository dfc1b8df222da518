//! Which servers offer which service, as one node knows it.

use std::collections::BTreeMap;

use crate::{NodeId, ServiceName, Side, Zone};

/// Whether a server may be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// It takes new work.
    Serving,
    /// It has not been heard of for a while; used only when nothing else is left.
    Suspected,
    /// It finishes what it has and takes no new work.
    Leaving,
}

/// One server of one service: the node beside its back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The node to send attempts to.
    pub node: NodeId,
    /// Its data centre.
    pub side: Side,
    /// Its failure domain.
    pub zone: Zone,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// All servers a node knows, by service. Servers are ordered by node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    services: BTreeMap<ServiceName, Vec<Server>>,
}

impl Directory {
    /// Adds a server of `service`, or replaces what was known of that node.
    pub fn insert(&mut self, service: ServiceName, server: Server) {
        let servers = self.services.entry(service).or_default();
        match servers.binary_search_by_key(&server.node, |known| known.node) {
            Ok(index) => servers[index] = server,
            Err(index) => servers.insert(index, server),
        }
    }

    /// Forgets that `node` offers `service`.
    pub fn remove(&mut self, service: &ServiceName, node: NodeId) {
        let Some(servers) = self.services.get_mut(service) else {
            return;
        };
        servers.retain(|server| server.node != node);
        if servers.is_empty() {
            self.services.remove(service);
        }
    }

    /// What is known of `node` as a server of `service`.
    pub fn server(&self, service: &ServiceName, node: NodeId) -> Option<&Server> {
        let servers = self.services.get(service)?;
        let index = servers
            .binary_search_by_key(&node, |server| server.node)
            .ok()?;
        Some(&servers[index])
    }

    /// The servers of a service.
    pub fn servers(&self, service: &ServiceName) -> &[Server] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// All services with their servers.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Server])> {
        self.services
            .iter()
            .map(|(service, servers)| (service, servers.as_slice()))
    }
}
