//! Parsers for the text of one setting. Faults are returned as the second half of
//! a finding's message, which begins with the key.

use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::str::FromStr;

use lifthollow_coordination::policy::PolicyKind;
use lifthollow_state::finding::{bounded_number, unknown};
use lifthollow_state::{ServiceName, Side, Zone};

const ANY_ZONE: RangeInclusive<u16> = 0..=u16::MAX;
const ANY_SEED: RangeInclusive<u64> = 0..=u64::MAX;

pub(super) fn service(text: &str) -> Result<ServiceName, String> {
    ServiceName::from_str(text).map_err(|fault| unknown(text, fault))
}

pub(super) fn side(text: &str) -> Result<Side, String> {
    Side::from_str(text).map_err(|fault| unknown(text, fault))
}

pub(super) fn zone(text: &str) -> Result<Zone, String> {
    bounded_number(text, &ANY_ZONE).map(Zone)
}

pub(super) fn random_seed(text: &str) -> Result<u64, String> {
    bounded_number(text, &ANY_SEED)
}

pub(super) fn yes_or_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(unknown(text, "it is `yes` or `no`")),
    }
}

pub(super) fn policy(text: &str) -> Result<PolicyKind, String> {
    PolicyKind::from_str(text).map_err(|fault| unknown(text, fault))
}

pub(super) fn log_level(text: &str) -> Result<slog::Level, String> {
    slog::Level::from_str(text).map_err(|()| {
        unknown(
            text,
            "a log level is `critical`, `error`, `warning`, `info` or `debug`",
        )
    })
}

pub(super) fn own_address(text: &str) -> Result<SocketAddr, String> {
    SocketAddr::from_str(text).map_err(|_| unknown(text, "an address is IP:PORT"))
}

pub(super) fn remote_address(text: &str) -> Result<SocketAddr, String> {
    let address = own_address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(unknown(text, "it is not a specific address to connect to"));
    }
    Ok(address)
}

/// Parses a node's address. Other nodes identify the node by it, so it must be one
/// specific IP.
pub(super) fn node_address(text: &str) -> Result<SocketAddrV4, String> {
    let address =
        SocketAddrV4::from_str(text).map_err(|_| unknown(text, "a node's address is IPv4:PORT"))?;
    if address.ip().is_unspecified() {
        return Err(unknown(
            text,
            "other nodes need a specific IP to connect to",
        ));
    }
    Ok(address)
}

pub(super) fn remote_node_address(text: &str) -> Result<SocketAddrV4, String> {
    let address = node_address(text)?;
    if address.port() == 0 {
        return Err(unknown(text, "it has no port to connect to"));
    }
    Ok(address)
}
