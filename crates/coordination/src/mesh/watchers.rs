//! Which nodes watch the source for all.
//!
//! Every node ranks the servers' addresses by a hash and so finds the same few,
//! spread over the zones, without a message. Nodes with different views may choose
//! differently; then some more watch for a while, or fewer, and listeners that
//! hear nothing fresh ask the source themselves.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lifthollow_state::mesh::ServerInstance;

/// At least so many nodes watch, as far as there are any.
const LEAST_WATCHERS: usize = 3;
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
