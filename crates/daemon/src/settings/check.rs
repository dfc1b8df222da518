//! Checks all settings and converts their texts to values.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::policy::PolicyKind;
use lifthollow_protocol::Roster;
use lifthollow_state::Findings;
use lifthollow_state::finding::{Place, bounded_number};

use super::claim_roster;
use super::raw::{RawBackend, RawSettings, RawValue};
use super::value::{
    log_level, node_address, own_address, policy, random_seed, remote_address, remote_node_address,
    service, side, yes_or_no, zone,
};
use super::{
    BUFFERED_BODY_BYTES_BOUNDS, Backend, CALL_THREADS_BOUNDS, DEFAULT_BUFFERED_BODY_BYTES,
    DEFAULT_CALL_THREADS, DEFAULT_LOG_LEVEL, DEFAULT_MAX_HEADER_BYTES,
    DEFAULT_STOP_TIMEOUT_SECONDS, Key, MAX_HEADER_BYTES_BOUNDS, STOP_TIMEOUT_SECONDS_BOUNDS,
    Settings, read_text,
};

/// A numeric setting with bounds and a default.
struct NumberSetting<T> {
    key: Key,
    bounds: RangeInclusive<T>,
    default: T,
}

const CALL_THREADS: NumberSetting<usize> = NumberSetting {
    key: Key::CallThreads,
    bounds: CALL_THREADS_BOUNDS,
    default: DEFAULT_CALL_THREADS,
};
const MAX_HEADER_BYTES: NumberSetting<usize> = NumberSetting {
    key: Key::MaxHeaderBytes,
    bounds: MAX_HEADER_BYTES_BOUNDS,
    default: DEFAULT_MAX_HEADER_BYTES,
};
const BUFFERED_BODY_BYTES: NumberSetting<usize> = NumberSetting {
    key: Key::BufferedBodyBytes,
    bounds: BUFFERED_BODY_BYTES_BOUNDS,
    default: DEFAULT_BUFFERED_BODY_BYTES,
};
const STOP_TIMEOUT_SECONDS: NumberSetting<u64> = NumberSetting {
    key: Key::StopTimeoutSeconds,
    bounds: STOP_TIMEOUT_SECONDS_BOUNDS,
    default: DEFAULT_STOP_TIMEOUT_SECONDS,
};

/// Checks all settings. Every fault is added to `findings`; the result must only be
/// used if `findings` is empty.
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
    checker.check_own_addresses();
    checker.check_table_source();
    checker.settings()
}

struct Checker<'a> {
    raw: RawSettings,
    file_name: Option<&'a str>,
    findings: &'a mut Findings,
}

impl Checker<'_> {
    fn settings(&mut self) -> Option<Settings> {
        let node = self.required(Key::Node, node_address);
        let callers = self.required(Key::Callers, own_address);
        let operators = self.required(Key::Operators, own_address);
        let side = self.required(Key::Side, side);
        let zone = self.required(Key::Zone, zone);
        Some(Settings {
            backends: self.backends(),
            platform_table: self.optional(Key::PlatformTable, remote_address),
            platform_machines: self.optional(Key::PlatformMachines, remote_address),
            seed_nodes: self.seed_nodes(),
            policy: self
                .optional(Key::Policy, policy)
                .unwrap_or(PolicyKind::Lifthollow),
            log_level: self
                .optional(Key::LogLevel, log_level)
                .unwrap_or(DEFAULT_LOG_LEVEL),
            random_seed: self.optional(Key::RandomSeed, random_seed),
            call_threads: self.number(&CALL_THREADS),
            max_header_bytes: self.number(&MAX_HEADER_BYTES),
            buffered_body_bytes: self.number(&BUFFERED_BODY_BYTES),
            stop_timeout: Duration::from_secs(self.number(&STOP_TIMEOUT_SECONDS)),
            claim_roster: self.claim_roster(),
            claim_bootstrap: self
                .optional(Key::ClaimBootstrap, yes_or_no)
                .unwrap_or(false),
            node: node?,
            callers: callers?,
            operators: operators?,
            side: side?,
            zone: zone?,
        })
    }

    /// Parses one value; a fault is reported with the place of the value.
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

    /// Parses a numeric setting; the result is the default if the setting is absent
    /// or has a fault.
    fn number<T>(&mut self, setting: &NumberSetting<T>) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let Some(value) = self.raw.values.get(&setting.key).cloned() else {
            return setting.default;
        };
        let read = |text: &str| bounded_number(text, &setting.bounds);
        self.read(setting.key.as_str(), &value, read)
            .unwrap_or(setting.default)
    }

    fn required<T>(&mut self, key: Key, read: fn(&str) -> Result<T, String>) -> Option<T> {
        if !self.is_given(key) {
            let place = self.place_of_missing_setting(key);
            let flag = key.flag();
            let message = format!("`{key}` is missing; set it in the file or by {flag}");
            self.findings.add(place, message);
        }
        self.optional(key, read)
    }

    fn is_given(&self, key: Key) -> bool {
        self.raw.values.contains_key(&key) || self.raw.unreadable.contains(&key)
    }

    fn place_of_missing_setting(&self, key: Key) -> Place {
        match self.file_name {
            Some(name) => Place::File(Arc::from(name)),
            None => Place::Argument(Arc::from(key.flag())),
        }
    }

    /// Checks that the node's own addresses differ, except for those whose port the
    /// system chooses.
    fn check_own_addresses(&mut self) {
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

    /// Checks that the node has a source for the table: the platform's service or a
    /// seed node.
    fn check_table_source(&mut self) {
        if self.is_given(Key::PlatformTable) || !self.raw.seed_nodes.is_empty() {
            return;
        }
        let place = self.place_of_missing_setting(Key::PlatformTable);
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

    /// Reads and checks the claim roster file.
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
