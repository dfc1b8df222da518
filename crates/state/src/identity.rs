//! Names of nodes, services, sides and zones.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::sync::Arc;

/// A node, identified by the IPv4 address and port on which it communicates with
/// other nodes (the same port number for TCP and UDP).
///
/// A process that replaces another at the same address has the same `NodeId` and
/// a different [`Incarnation`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(u64);

const PORT_BITS: u32 = 16;

impl NodeId {
    /// The node that listens at `address`.
    pub fn from_address(address: SocketAddrV4) -> Self {
        let ip = u64::from(u32::from(*address.ip()));
        NodeId(ip << PORT_BITS | u64::from(address.port()))
    }

    /// The address at which the node listens for other nodes.
    pub fn address(self) -> SocketAddrV4 {
        let ip = Ipv4Addr::from((self.0 >> PORT_BITS) as u32);
        SocketAddrV4::new(ip, self.0 as u16)
    }

    /// The packed form: IPv4 address in bits 16 to 47, port in bits 0 to 15.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// The inverse of [`NodeId::as_u64`].
    pub const fn from_u64(packed: u64) -> Self {
        NodeId(packed)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.address().fmt(formatter)
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "NodeId({self})")
    }
}

/// Incarnation number of a node: larger for every process started later at the
/// same address (the daemon uses its start time, in microseconds of wall-clock
/// time), and raised by a running node that refutes a false report of its failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Longest name of a service, characters.
pub const MAX_SERVICE_NAME_LENGTH: usize = 64;

/// The name of a service as operators write it in the table.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceName(Arc<str>);

impl ServiceName {
    /// Creates a name without validating it. Untrusted text is parsed with
    /// [`FromStr`] instead.
    pub fn new(name: &str) -> Self {
        ServiceName(Arc::from(name))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for ServiceName {
    type Err = InvalidServiceName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_letter_or_digit = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
        let starts_well = text.bytes().next().is_some_and(is_letter_or_digit);
        let is_plain = text
            .bytes()
            .all(|byte| is_letter_or_digit(byte) || matches!(byte, b'-' | b'_' | b'.'));
        if starts_well && is_plain && text.len() <= MAX_SERVICE_NAME_LENGTH {
            return Ok(ServiceName::new(text));
        }
        Err(InvalidServiceName)
    }
}

/// The text is not a valid service name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a service name is 1 to {MAX_SERVICE_NAME_LENGTH} of a-z, 0-9, `-`, `_` and `.`, \
     beginning with a letter or digit"
)]
pub struct InvalidServiceName;

impl fmt::Display for ServiceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for ServiceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ServiceName({})", self.0)
    }
}

/// One of the two data centres between which services move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The data centre that services leave.
    Old,
    /// The data centre that services move to.
    New,
}

impl Side {
    /// Both sides, [`Side::Old`] first.
    pub const ALL: [Side; 2] = [Side::Old, Side::New];

    /// Returns the opposite side.
    pub fn other(self) -> Side {
        match self {
            Side::Old => Side::New,
            Side::New => Side::Old,
        }
    }

    /// `old` or `new`, as written in the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Side::Old => "old",
            Side::New => "new",
        }
    }
}

impl fmt::Display for Side {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Side {
    type Err = UnknownSide;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "old" => Ok(Side::Old),
            "new" => Ok(Side::New),
            _ => Err(UnknownSide),
        }
    }
}

/// The text is neither `old` nor `new`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a side is `old` or `new`")]
pub struct UnknownSide;

/// A failure domain inside a side (a hall or an availability zone), by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub u16);
