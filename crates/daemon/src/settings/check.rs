//! The full check of the settings: texts to values.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::policy::PolicyKind;
use lifthollow_protocol::Roster;
use lifthollow_state::finding::{Place, bounded_number, unknown};
use lifthollow_state::{Findings, ServiceName, Side, Zone};

use super::claim_roster;
use super::raw::{RawBackend, RawSettings, RawValue};
use super::{
    BUFFERED_BODY_BYTES_BOUNDS, Backend, CALL_THREADS_BOUNDS, DEFAULT_BUFFERED_BODY_BYTES,
    DEFAULT_CALL_THREADS, DEFAULT_LOG_LEVEL, DEFAULT_MAX_HEADER_BYTES,
    DEFAULT_STOP_TIMEOUT_SECONDS, Key, MAX_HEADER_BYTES_BOUNDS, STOP_TIMEOUT_SECONDS_BOUNDS,
    Settings, read_text,
};

const ANY_ZONE: RangeInclusive<u16> = 0..=u16::MAX;
const ANY_SEED: RangeInclusive<u64> = 0..=u64::MAX;

/// Checks all settings. Every fault is added to `findings`; the result is only
/// to be used if there is none.
pub(super) fn check(
    raw: RawSettings,
    file_name: Option<&str>,
    findings: &mut Findings,
) -> Option<Settings> {
    let mut checker = Checker {
        raw,
        file_name,
        findings,
    };
    checker.own_addresses();
    checker.has_source();
    let node = checker.required(Key::Node, node_address);
    let callers = checker.required(Key::Callers, own_address);
    let operators = checker.required(Key::Operators, own_address);
    let side = checker.required(Key::Side, side);
    let zone = checker.required(Key::Zone, zone);
    Some(Settings {
        backends: checker.backends(),
        platform_table: checker.optional(Key::PlatformTable, remote_address),
        platform_machines: checker.optional(Key::PlatformMachines, remote_address),
        seed_nodes: checker.seed_nodes(),
        policy: checker
            .optional(Key::Policy, policy)
            .unwrap_or(PolicyKind::Lifthollow),
        log_level: checker
            .optional(Key::LogLevel, log_level)
            .unwrap_or(DEFAULT_LOG_LEVEL),
        random_seed: checker.number(Key::RandomSeed, &ANY_SEED),
        call_threads: checker
            .number(Key::CallThreads, &CALL_THREADS_BOUNDS)
            .unwrap_or(DEFAULT_CALL_THREADS),
        max_header_bytes: checker
            .number(Key::MaxHeaderBytes, &MAX_HEADER_BYTES_BOUNDS)
            .unwrap_or(DEFAULT_MAX_HEADER_BYTES),
        buffered_body_bytes: checker
            .number(Key::BufferedBodyBytes, &BUFFERED_BODY_BYTES_BOUNDS)
            .unwrap_or(DEFAULT_BUFFERED_BODY_BYTES),
        stop_timeout: Duration::from_secs(
            checker
                .number(Key::StopTimeoutSeconds, &STOP_TIMEOUT_SECONDS_BOUNDS)
                .unwrap_or(DEFAULT_STOP_TIMEOUT_SECONDS),
        ),
        claim_roster: checker.claim_roster(),
        claim_bootstrap: checker
            .optional(Key::ClaimBootstrap, yes_or_no)
            .unwrap_or(false),
        node: node?,
        callers: callers?,
        operators: operators?,
        side: side?,
        zone: zone?,
    })
}

struct Checker<'a> {
    raw: RawSettings,
    file_name: Option<&'a str>,
    findings: &'a mut Findings,
}

impl Checker<'_> {
    /// Reads one text; a fault is reported at its place.
    fn read<T>(
        &mut self,
        name: &str,
        value: &RawValue,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        match read(value.text.trim()) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.findings
                    .add(value.place.clone(), format!("`{name}`: {fault}"));
                None
            }
        }
    }

    fn optional<T>(&mut self, key: Key, read: fn(&str) -> Result<T, String>) -> Option<T> {
        let value = self.raw.values.get(&key).cloned()?;
        self.read(key.as_str(), &value, read)
    }

    fn number<T>(&mut self, key: Key, bounds: &RangeInclusive<T>) -> Option<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let value = self.raw.values.get(&key).cloned()?;
        self.read(key.as_str(), &value, |text| bounded_number(text, bounds))
    }

    fn required<T>(&mut self, key: Key, read: fn(&str) -> Result<T, String>) -> Option<T> {
        if !self.is_given(key) {
            let place = self.place_of_missing(key);
            let flag = key.flag();
            let message = format!("`{key}` is missing; set it in the file or by {flag}");
            self.findings.add(place, message);
        }
        self.optional(key, read)
    }

    fn is_given(&self, key: Key) -> bool {
        self.raw.values.contains_key(&key) || self.raw.unreadable.contains(&key)
    }

    fn place_of_missing(&self, key: Key) -> Place {
        match self.file_name {
            Some(name) => Place::File(Arc::from(name)),
            None => Place::Argument(Arc::from(key.flag())),
        }
    }

    /// The node's own ports must be apart, unless the system chooses them.
    fn own_addresses(&mut self) {
        let mut taken: BTreeMap<SocketAddr, Key> = BTreeMap::new();
        for key in [Key::Node, Key::Callers, Key::Operators] {
            let Some(value) = self.raw.values.get(&key) else {
                continue;
            };
            let Ok(address) = SocketAddr::from_str(value.text.trim()) else {
                continue;
            };
            if address.port() == 0 {
                continue;
            }
            match taken.get(&address) {
                Some(first) => {
                    let message = format!("`{key}`: {address} is also the address of `{first}`");
                    self.findings.add(value.place.clone(), message);
                }
                None => {
                    taken.insert(address, key);
                }
            }
        }
    }

    /// A node needs someone to learn the table from.
    fn has_source(&mut self) {
        if self.is_given(Key::PlatformTable) || !self.raw.seed_nodes.is_empty() {
            return;
        }
        let place = self.place_of_missing(Key::PlatformTable);
        let message = "neither `platform_table` nor `seed_nodes` is set; \
                       the node has no one to learn the table from";
        self.findings.add(place, message);
    }

    fn seed_nodes(&mut self) -> Vec<SocketAddrV4> {
        let values = std::mem::take(&mut self.raw.seed_nodes);
        values
            .iter()
            .filter_map(|value| self.read(Key::SeedNodes.as_str(), value, remote_node_address))
            .collect()
    }

    /// Reads and checks the roster file.
    fn claim_roster(&mut self) -> Option<Roster> {
        let value = self.raw.values.get(&Key::ClaimRoster).cloned()?;
        let name = value.text.trim();
        match read_text(name) {
            Ok(text) => claim_roster::read(name, &text, self.findings),
            Err(fault) => {
                let message = format!("`{}`: {name}: {fault}", Key::ClaimRoster);
                self.findings.add(value.place, message);
                None
            }
        }
    }

    fn backends(&mut self) -> Vec<Backend> {
        let raw_backends = std::mem::take(&mut self.raw.backends);
        let mut backends: Vec<Backend> = Vec::new();
        for raw in &raw_backends {
            let Some(backend) = self.backend(raw) else {
                continue;
            };
            let is_taken = |known: &Backend| known.service == backend.service;
            if backends.iter().any(is_taken) {
                let place = raw.service.place.clone();
                let message = format!("`{}` already has a back end", backend.service);
                self.findings.add(place, message);
                continue;
            }
            backends.push(backend);
        }
        backends
    }

    fn backend(&mut self, raw: &RawBackend) -> Option<Backend> {
        let service = self.read("service", &raw.service, service);
        let address = self.read("address", &raw.address, remote_address);
        Some(Backend {
            service: service?,
            address: address?,
        })
    }
}

fn service(text: &str) -> Result<ServiceName, String> {
    ServiceName::from_str(text).map_err(|fault| unknown(text, fault))
}

fn side(text: &str) -> Result<Side, String> {
    Side::from_str(text).map_err(|fault| unknown(text, fault))
}

fn zone(text: &str) -> Result<Zone, String> {
    bounded_number(text, &ANY_ZONE).map(Zone)
}

fn yes_or_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(unknown(text, "it is `yes` or `no`")),
    }
}

fn policy(text: &str) -> Result<PolicyKind, String> {
    PolicyKind::from_str(text).map_err(|fault| unknown(text, fault))
}

fn log_level(text: &str) -> Result<slog::Level, String> {
    slog::Level::from_str(text).map_err(|()| {
        unknown(
            text,
            "a log level is `critical`, `error`, `warning`, `info` or `debug`",
        )
    })
}

fn own_address(text: &str) -> Result<SocketAddr, String> {
    SocketAddr::from_str(text).map_err(|_| unknown(text, "an address is IP:PORT"))
}

fn remote_address(text: &str) -> Result<SocketAddr, String> {
    let address = own_address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(unknown(text, "it names no one place to connect to"));
    }
    Ok(address)
}

/// The node's address is its name for other nodes, so it must be one IP.
fn node_address(text: &str) -> Result<SocketAddrV4, String> {
    let address =
        SocketAddrV4::from_str(text).map_err(|_| unknown(text, "a node's address is IPv4:PORT"))?;
    if address.ip().is_unspecified() {
        return Err(unknown(text, "other nodes need one IP to connect to"));
    }
    Ok(address)
}

fn remote_node_address(text: &str) -> Result<SocketAddrV4, String> {
    let address = node_address(text)?;
    if address.port() == 0 {
        return Err(unknown(text, "it names no port to connect to"));
    }
    Ok(address)
}
