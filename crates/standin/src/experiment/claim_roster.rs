//! The nodes that store claims on idempotency keys.
//!
//! A roster names its members by address before they start, so their ports are chosen ahead of
//! time and left free again for the nodes. They are not ones that the system hands out: any socket
//! that is opened meanwhile could get them.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::ops::Range;
use std::path::{Path, PathBuf};

use anyhow::Context;
use rand::RngExt;

/// How often another port is tried when one is taken.
const PORT_TRIES: usize = 100;
/// Ports below those that systems hand out by themselves (from 32,768 on, or 49,152).
const PORTS: Range<u16> = 12_000..32_000;

/// One member.
#[derive(Clone, Debug)]
pub struct RosterMember {
    /// The node's name.
    pub name: String,
    /// Its data centre.
    pub side: &'static str,
    /// Its failure domain.
    pub zone: usize,
}

/// The roster's file and its members' addresses.
#[derive(Clone, Debug)]
pub struct ClaimRoster {
    /// The file that every node is given.
    pub file: PathBuf,
    addresses: BTreeMap<String, SocketAddrV4>,
}

impl ClaimRoster {
    /// Chooses an address for each member and writes the file.
    pub fn write(directory: &Path, members: &[RosterMember]) -> anyhow::Result<Self> {
        let ports = members.iter().map(|_| ReservedPort::choose());
        let ports: Vec<ReservedPort> = ports.collect::<anyhow::Result<_>>()?;
        let mut text = String::from("lifthollow-roster,1\naddress,side,zone,standing\n");
        let mut addresses = BTreeMap::new();
        for (member, port) in members.iter().zip(&ports) {
            let address = port.address;
            text.push_str(&format!(
                "{address},{},{},member\n",
                member.side, member.zone
            ));
            addresses.insert(member.name.clone(), address);
        }
        let file = directory.join("roster.csv");
        std::fs::write(&file, text)?;
        Ok(ClaimRoster { file, addresses })
    }

    /// The address of a node if it is a member.
    pub fn address_of(&self, name: &str) -> Option<SocketAddrV4> {
        self.addresses.get(name).copied()
    }
}

/// A port that is free for TCP and UDP, held until dropped.
struct ReservedPort {
    address: SocketAddrV4,
    _tcp: TcpListener,
    _udp: UdpSocket,
}

impl ReservedPort {
    fn choose() -> anyhow::Result<Self> {
        let mut random = rand::rng();
        for _ in 0..PORT_TRIES {
            let port = random.random_range(PORTS);
            let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
            let tcp = TcpListener::bind(address);
            let udp = UdpSocket::bind(address);
            if let (Ok(tcp), Ok(udp)) = (tcp, udp) {
                return Ok(ReservedPort {
                    address,
                    _tcp: tcp,
                    _udp: udp,
                });
            }
        }
        Err(anyhow::anyhow!("no port is free for TCP and UDP")).context("claim roster")
    }
}
