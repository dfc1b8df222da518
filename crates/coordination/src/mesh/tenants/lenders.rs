//! Selection of the nodes that lend a tenant's tokens.
//!
//! Every node ranks the servers' addresses for each tenant by a hash (rendezvous hashing), so all
//! nodes select the same lenders without exchanging messages. When a server is added or removed,
//! the lender changes only for the tenants for which that server ranks first. The first node lends;
//! the next ones stand in for those before them that are gone.
//!
//! Servers with many slots keep their nodes busy with attempts, so lenders are chosen only from the
//! half of the servers with the fewest slots.

use std::net::SocketAddrV4;

use lifthollow_state::mesh::ServerInstance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of nodes that may lend a tenant's tokens: the lender and those that stand in for it.
pub const LENDERS_PER_TENANT: usize = 3;

/// Addresses of the servers whose nodes may be chosen as lenders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LenderCandidates {
    addresses: Vec<SocketAddrV4>,
}

impl LenderCandidates {
    /// Selects the candidates among `servers`: the ready ones in the half with the fewest slots.
    pub fn among(servers: &[ServerInstance]) -> Self {
        let ready = servers.iter().filter(|server| server.is_ready());
        let mut by_slots: Vec<_> = ready.map(|one| (one.slots, one.address)).collect();
        by_slots.sort_unstable();
        let chosen_count = by_slots
            .len()
            .div_ceil(2)
            .max(LENDERS_PER_TENANT.min(by_slots.len()));
        let max_slots = by_slots[..chosen_count].last().map(|(slots, _)| *slots);
        let eligible = by_slots
            .into_iter()
            .filter(|(slots, _)| Some(*slots) <= max_slots);
        let mut addresses: Vec<_> = eligible.map(|(_, address)| address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        LenderCandidates { addresses }
    }

    /// Returns the candidates' addresses, sorted.
    pub fn addresses(&self) -> &[SocketAddrV4] {
        &self.addresses
    }

    /// Returns the servers whose nodes may lend the tokens of `tenant`, the first choice first.
    pub fn lenders(&self, tenant: &str) -> Vec<SocketAddrV4> {
        let rank = |address: &SocketAddrV4| {
            let seed = u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port());
            xxh3_64_with_seed(tenant.as_bytes(), seed)
        };
        let mut ranked: Vec<_> = self.addresses.iter().map(|one| (rank(one), *one)).collect();
        let count = LENDERS_PER_TENANT.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
        }
        ranked.truncate(count);
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, address)| address).collect()
    }
}
