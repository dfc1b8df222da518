//! The command line of `lifthollowd`.

use std::sync::Arc;

use argh::FromArgs;
use lifthollow_state::Findings;
use lifthollow_state::finding::{Place, quoted};

use super::Key;
use super::raw::{RawBackend, RawSettings, RawValue};

/// One lifthollow node: accepts calls from local callers, sends them to the
/// servers of both data centres, and admits, queues or refuses attempts that
/// arrive for its local back ends.
///
/// Settings come from a TOML file (--settings) and from flags; a flag overrides
/// the file, and a repeated flag replaces the file's whole list. Addresses are
/// written IP:PORT; port 0 lets the system choose one for the node's own ports.
#[derive(FromArgs, Clone, Debug, Default)]
#[argh(
    example = "Check a settings file and exit:\n  {command_name} --settings node.toml --check",
    example = "Run without a file:\n  {command_name} --node 10.0.1.5:7000 --callers 127.0.0.1:7100 \
               --operators 10.0.1.5:7200 --side old --zone 1 --backend feeds=127.0.0.1:9000 \
               --platform-table 10.0.0.2:8080 --platform-machines 10.0.0.2:8080",
    note = "SIGTERM begins a planned stop: the node accepts no new work, finishes calls and \
            attempts in progress and exits, at the latest after stop_timeout_seconds.",
    error_code(0, "the node stopped as planned, or --check found no fault"),
    error_code(
        1,
        "the settings have faults (each is printed with its place), or the node failed"
    )
)]
pub struct Flags {
    /// settings file (TOML)
    #[argh(option, arg_name = "file")]
    pub settings: Option<String>,
    /// check the settings, print every fault, and exit
    #[argh(switch)]
    pub check: bool,
    /// where other nodes reach this node, over TCP and UDP (IPv4)
    #[argh(option, arg_name = "ip:port")]
    pub node: Option<String>,
    /// where callers reach this node over HTTP
    #[argh(option, arg_name = "ip:port")]
    pub callers: Option<String>,
    /// where operators reach this node over HTTP
    #[argh(option, arg_name = "ip:port")]
    pub operators: Option<String>,
    /// the node's data centre: old or new
    #[argh(option)]
    pub side: Option<String>,
    /// the node's failure domain inside the side, 0 to 65535
    #[argh(option)]
    pub zone: Option<String>,
    /// a local back end of the node; repeat for further services
    #[argh(option, arg_name = "service=ip:port")]
    pub backend: Vec<String>,
    /// the platform's service that answers GET /table
    #[argh(option, arg_name = "ip:port")]
    pub platform_table: Option<String>,
    /// the platform's service that answers GET /machines
    #[argh(option, arg_name = "ip:port")]
    pub platform_machines: Option<String>,
    /// another node to ask first; repeat for further nodes
    #[argh(option, arg_name = "ip:port")]
    pub seed_node: Vec<String>,
    /// lifthollow (default), static-limits or passthrough
    #[argh(option)]
    pub policy: Option<String>,
    /// critical, error, warning, info (default) or debug
    #[argh(option, arg_name = "level")]
    pub log_level: Option<String>,
    /// seed of the node's random choices (default: chosen at the start)
    #[argh(option, arg_name = "number")]
    pub random_seed: Option<String>,
    /// worker threads for calls, 1 to 64 (default 2)
    #[argh(option, arg_name = "count")]
    pub call_threads: Option<String>,
    /// largest head of an HTTP message, 8192 to 1048576 (default 16384)
    #[argh(option, arg_name = "bytes")]
    pub max_header_bytes: Option<String>,
    /// largest body that is held in memory so that a retry can send it again,
    /// 0 to 16777216 (default 65536)
    #[argh(option, arg_name = "bytes")]
    pub buffered_body_bytes: Option<String>,
    /// longest time of a planned stop, 1 to 86400 (default 600)
    #[argh(option, arg_name = "seconds")]
    pub stop_timeout_seconds: Option<String>,
    /// file (CSV) of the nodes that store claims on idempotency keys; without it
    /// calls with a key are refused
    #[argh(option, arg_name = "file")]
    pub claim_roster: Option<String>,
    /// yes only at the very first start of a fleet, when no process of the roster
    /// has stored claims before (default: no)
    #[argh(option, arg_name = "yes|no")]
    pub claim_bootstrap: Option<String>,
}

impl Flags {
    /// Replaces settings of the file by those given as flags.
    pub(super) fn override_settings(&self, raw: &mut RawSettings, findings: &mut Findings) {
        for (key, text) in self.values() {
            if let Some(text) = text {
                raw.values.insert(key, value_of(key, text));
            }
        }
        if !self.seed_node.is_empty() {
            raw.seed_nodes = self
                .seed_node
                .iter()
                .map(|text| value_of(Key::SeedNodes, text))
                .collect();
        }
        if !self.backend.is_empty() {
            raw.backends = self
                .backend
                .iter()
                .filter_map(|text| backend_of(text, findings))
                .collect();
        }
    }

    fn values(&self) -> [(Key, &Option<String>); 16] {
        [
            (Key::Node, &self.node),
            (Key::Callers, &self.callers),
            (Key::Operators, &self.operators),
            (Key::Side, &self.side),
            (Key::Zone, &self.zone),
            (Key::PlatformTable, &self.platform_table),
            (Key::PlatformMachines, &self.platform_machines),
            (Key::Policy, &self.policy),
            (Key::LogLevel, &self.log_level),
            (Key::RandomSeed, &self.random_seed),
            (Key::CallThreads, &self.call_threads),
            (Key::MaxHeaderBytes, &self.max_header_bytes),
            (Key::BufferedBodyBytes, &self.buffered_body_bytes),
            (Key::StopTimeoutSeconds, &self.stop_timeout_seconds),
            (Key::ClaimRoster, &self.claim_roster),
            (Key::ClaimBootstrap, &self.claim_bootstrap),
        ]
    }
}

fn value_of(key: Key, text: &str) -> RawValue {
    RawValue {
        text: text.to_owned(),
        place: Place::Argument(Arc::from(key.flag())),
    }
}

fn backend_of(text: &str, findings: &mut Findings) -> Option<RawBackend> {
    let Some((service, address)) = text.split_once('=') else {
        let place = value_of(Key::Backends, text).place;
        findings.add(place, format!("{} is not SERVICE=IP:PORT", quoted(text)));
        return None;
    };
    Some(RawBackend {
        service: value_of(Key::Backends, service),
        address: value_of(Key::Backends, address),
    })
}
