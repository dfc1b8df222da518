//! Chooses the nodes that watch the source on behalf of all.
//!
//! Every node ranks the servers' addresses by a hash and so chooses the same few, spread over the
//! zones, without exchanging messages. Nodes with different views may choose differently. Then more
//! or fewer nodes watch for a while, and listeners that get no fresh view ask the source
//! themselves.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lifthollow_state::mesh::ServerInstance;
use rand::Rng;
use rand::seq::IteratorRandom;

/// Minimum number of nodes that watch, if the fleet has that many.
const MIN_WATCHERS: usize = 3;
/// Number of watchers of other zones that a starting node asks, after those of its own zone.
const ASKED_IN_OTHER_ZONES: usize = 2;
/// Number of further nodes of its own zone that a starting node asks: another node that has started
/// may know what the watchers don't.
const ASKED_AT_RANDOM: usize = 2;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the addresses of the servers whose nodes watch: the same number in each zone, at least
/// one, and enough to have [`MIN_WATCHERS`] in total.
pub fn choose_watchers(servers: &[ServerInstance]) -> Vec<SocketAddrV4> {
    let mut zones: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
    for server in servers {
        zones.entry(&server.zone).or_default().push(server.address);
    }
    let per_zone = MIN_WATCHERS.div_ceil(zones.len().max(1));
    let mut chosen = Vec::new();
    for mut addresses in zones.into_values() {
        addresses.sort_by_key(|address| (rank(*address), *address));
        addresses.dedup();
        chosen.extend(addresses.into_iter().take(per_zone));
    }
    chosen
}

/// The location of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeLocation<'a> {
    /// The zone of the node.
    pub zone: &'a str,
    /// The address of the server beside the node.
    pub address: SocketAddrV4,
}

/// Returns which nodes a starting node that knows `servers` asks for a snapshot, as the addresses
/// of the servers beside them. The watchers of its own zone come first, so that neither few nodes
/// nor the links between zones bear the load when a whole fleet starts.
pub fn choose_nodes_to_ask(
    servers: &[ServerInstance],
    own: NodeLocation<'_>,
    random: &mut impl Rng,
) -> Vec<SocketAddrV4> {
    let chosen = choose_watchers(servers);
    let others = |server: &&ServerInstance| server.address != own.address;
    let zone_servers = servers
        .iter()
        .filter(others)
        .filter(|server| server.zone == own.zone);
    let zone: Vec<SocketAddrV4> = zone_servers.map(|server| server.address).collect();
    let (own_zone_watchers, other_watchers): (Vec<_>, Vec<_>) = chosen
        .into_iter()
        .filter(|address| *address != own.address)
        .partition(|address| zone.contains(address));
    let mut asked = own_zone_watchers;
    asked.extend(
        other_watchers
            .into_iter()
            .sample(random, ASKED_IN_OTHER_ZONES),
    );
    let rest = zone.into_iter().filter(|address| !asked.contains(address));
    let rest = rest.sample(random, ASKED_AT_RANDOM);
    asked.extend(rest);
    asked
}

/// Hashes an address by FNV-1a: the rank is the same at every node, and independent of the order of
/// addresses.
fn rank(address: SocketAddrV4) -> u64 {
    let octets = address.ip().octets();
    let port = address.port().to_be_bytes();
    let bytes = octets.into_iter().chain(port);
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // The last bytes have changed only the low bits of the hash, so mix in the high ones.
    hash ^ (hash >> 32)
}
