//! Applies a new snapshot to the node's state: routes, servers, the nodes that watch the source, and
//! the concurrency limit of the server beside the node.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use lifthollow_coordination::mesh::route_table::RouteTable;
use lifthollow_coordination::mesh::watchers::choose_watchers;
use lifthollow_state::mesh::{Configuration, ServerInstance};

use super::{Node, TrafficState};

/// The share of a server's slots that is used: many servers slow down when nearly all of their slots
/// are occupied.
const USED_SLOT_SHARE: f64 = 0.95;

impl Node {
    /// Updates routes, servers and limits to the current snapshot.
    pub fn refresh(&self, state: &mut TrafficState) {
        let now = self.now();
        let available_since = state.view.source_available_since(now);
        state.snapshots.expire_vanished(now, available_since);
        if state.snapshots.next_expiry(available_since).is_some() {
            self.servers_vanished.notify_one();
        }
        let snapshot = state.snapshots.snapshot().clone();
        if let Some(configuration) = &snapshot.configuration {
            self.refresh_routes(state, configuration);
        }
        let servers = state.snapshots.active_servers();
        self.refresh_watchers(state, &servers);
        self.refresh_admission(state, &servers);
        state.budgets.set_nodes(servers.len());
        state.tenants.set_servers(now, &servers);
        state.servers.set_servers(now, servers);
        let revision = snapshot.revision;
        self.metrics.snapshot_era.set(revision.era as i64);
        self.metrics.snapshot_revision.set(revision.number as i64);
    }

    /// Updates which nodes watch the source. While no server is known, the previous watchers remain:
    /// otherwise all nodes would watch it.
    fn refresh_watchers(&self, state: &mut TrafficState, servers: &[ServerInstance]) {
        if servers.is_empty() {
            return;
        }
        let own = self.settings.server_address;
        let was_watcher = state.watchers.contains(&own);
        state.watchers = choose_watchers(servers);
        let in_zone = |server: &&ServerInstance| server.zone == self.settings.zone;
        let zone: HashSet<SocketAddrV4> = servers
            .iter()
            .filter(in_zone)
            .map(|server| server.address)
            .collect();
        let watchers = state.watchers.iter().copied();
        state.zone_watchers = watchers.filter(|address| zone.contains(address)).collect();
        // Done also by a node that was a watcher until now: it may be the only one that knows the
        // new servers, which are watchers now.
        if was_watcher || state.watchers.contains(&own) {
            let known = &state.servers;
            let is_new = |address: &SocketAddrV4| *address != own && !known.has_address(*address);
            state.newcomers.extend(zone.into_iter().filter(is_new));
        }
    }

    fn refresh_routes(&self, state: &mut TrafficState, configuration: &Configuration) {
        let known = state.routes.as_ref().map(|routes| routes.version());
        if known == Some(configuration.version) {
            return;
        }
        state.routes = Some(Arc::new(RouteTable::new(configuration)));
        state.tenants.set_configuration(configuration);
        let names: HashSet<&str> = configuration
            .routes
            .iter()
            .map(|route| route.name.as_str())
            .collect();
        state.split.retain(|name| names.contains(name));
        self.metrics
            .configuration_version
            .set(configuration.version as i64);
    }

    fn refresh_admission(&self, state: &mut TrafficState, servers: &[ServerInstance]) {
        let own = servers.iter().find(|server| self.is_beside(server));
        let own_id = own.map(|server| server.id.clone());
        if let Some(own_id) = own_id
            .as_ref()
            .filter(|id| state.own_server.as_ref() != Some(id))
        {
            state.admission.server_started(self.now(), own_id);
            // Connections to the server's previous process are closed; each would make a request
            // fail.
            self.server_connections
                .close_idle(self.settings.server_address);
        }
        state.own_server = own_id;
        if let Some(own) = own {
            let used = (f64::from(own.slots) * USED_SLOT_SHARE).floor() as u32;
            let limit = used.min(max_connections(state, &own.service)).max(1);
            let started = state.admission.set_limit(self.now(), limit);
            self.update_waiting(state, started);
        }
    }
}

/// The largest number of connections that a server of `service` accepts; each run needs one.
fn max_connections(state: &TrafficState, service: &str) -> u32 {
    let snapshot = state.snapshots.snapshot();
    let configuration = snapshot.configuration.as_ref();
    let settings = configuration.and_then(|known| known.services.get(service));
    settings
        .and_then(|settings| settings.max_connections)
        .unwrap_or(u32::MAX)
}
