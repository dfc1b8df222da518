//! Which nodes watch the source for all.
//!
//! Every node ranks the servers' addresses by a hash and so finds the same few,
//! spread over the zones, without a message. Nodes with different views may choose
//! differently; then some more watch for a while, or fewer, and listeners that
//! hear nothing fresh ask the source themselves.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lifthollow_state::mesh::ServerInstance;
use rand::Rng;
use rand::seq::IteratorRandom;

/// At least so many nodes watch, as far as there are any.
const LEAST_WATCHERS: usize = 3;
/// How many nodes that watch for other zones a node asks, after that of its own zone.
const ASKED_ELSEWHERE: usize = 2;
/// How many nodes of its own zone a node that starts asks besides: another that has started
/// may know what those that watch don't.
const ASKED_AT_RANDOM: usize = 2;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The addresses of the servers whose nodes watch: in each zone as many as it
/// takes to have [`LEAST_WATCHERS`], and at least one.
pub fn watchers(servers: &[ServerInstance]) -> Vec<SocketAddrV4> {
    let mut zones: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
    for server in servers {
        zones.entry(&server.zone).or_default().push(server.address);
    }
    let for_each_zone = LEAST_WATCHERS.div_ceil(zones.len().max(1));
    let mut chosen = Vec::new();
    for mut addresses in zones.into_values() {
        addresses.sort_by_key(|address| (rank(*address), *address));
        addresses.dedup();
        chosen.extend(addresses.into_iter().take(for_each_zone));
    }
    chosen
}

/// Where a node stands.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// The address of the server beside it.
    pub address: SocketAddrV4,
}

/// Whom a node that starts asks for a snapshot, by the addresses of the servers beside them, if
/// it knows of `servers`: first the nodes that watch in its own zone, so that neither few nodes nor
/// links between zones bear the starts of a whole fleet.
pub fn nodes_to_ask(
    servers: &[ServerInstance],
    own: Place<'_>,
    random: &mut impl Rng,
) -> Vec<SocketAddrV4> {
    let chosen = watchers(servers);
    let others = |server: &&ServerInstance| server.address != own.address;
    let zone = servers
        .iter()
        .filter(others)
        .filter(|server| server.zone == own.zone);
    let zone: Vec<SocketAddrV4> = zone.map(|server| server.address).collect();
    let (near, far): (Vec<_>, Vec<_>) = chosen
        .into_iter()
        .filter(|address| *address != own.address)
        .partition(|address| zone.contains(address));
    let mut asked = near;
    asked.extend(far.into_iter().sample(random, ASKED_ELSEWHERE));
    let rest = zone.into_iter().filter(|address| !asked.contains(address));
    let rest = rest.sample(random, ASKED_AT_RANDOM);
    asked.extend(rest);
    asked
}

/// FNV-1a of an address: the same at every node, and unlike its order.
fn rank(address: SocketAddrV4) -> u64 {
    let octets = address.ip().octets();
    let port = address.port().to_be_bytes();
    let bytes = octets.into_iter().chain(port);
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // The last bytes have moved the low bits only.
    hash ^ (hash >> 32)
}
