//! Settings of `lifthollowd`: a TOML file, overridden by flags, checked in full.
//!
//! [`file`] and [`flags`] collect texts with their places, [`check`] converts them
//! to values; the faults of both steps are reported together.

mod check;
mod claim_roster;
mod file;
mod flags;
mod key;
mod raw;
mod value;

use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::policy::PolicyKind;
use lifthollow_protocol::Roster;
use lifthollow_state::finding::Place;
use lifthollow_state::{Findings, ServiceName, Side, Zone};

pub use flags::Flags;
pub use key::Key;

/// Largest settings file that is read, bytes.
pub const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Default of `log_level`.
pub const DEFAULT_LOG_LEVEL: slog::Level = slog::Level::Info;

/// Default of `call_threads`.
pub const DEFAULT_CALL_THREADS: usize = 2;
/// Bounds of `call_threads`.
pub const CALL_THREADS_BOUNDS: RangeInclusive<usize> = 1..=64;

/// Default of `max_header_bytes`.
pub const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Bounds of `max_header_bytes`; the HTTP library needs at least 8 KiB.
pub const MAX_HEADER_BYTES_BOUNDS: RangeInclusive<usize> = 8 * 1024..=1024 * 1024;

/// Default of `buffered_body_bytes`.
pub const DEFAULT_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Bounds of `buffered_body_bytes`.
pub const BUFFERED_BODY_BYTES_BOUNDS: RangeInclusive<usize> = 0..=16 * 1024 * 1024;

/// Default of `stop_timeout_seconds`.
pub const DEFAULT_STOP_TIMEOUT_SECONDS: u64 = 600;
/// Bounds of `stop_timeout_seconds`, from one second to one day.
pub const STOP_TIMEOUT_SECONDS_BOUNDS: RangeInclusive<u64> = 1..=86_400;

/// A local back end of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service that the back end offers.
    pub service: ServiceName,
    /// The address at which the back end accepts HTTP.
    pub address: SocketAddr,
}

/// The checked settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address at which other nodes reach this node, over TCP and UDP. Port 0 lets
    /// the system choose the port.
    pub node: SocketAddrV4,
    /// Address at which callers reach this node over HTTP. Port 0 lets the system
    /// choose the port.
    pub callers: SocketAddr,
    /// Address at which operators reach this node over HTTP. Port 0 lets the system
    /// choose the port.
    pub operators: SocketAddr,
    /// The node's data centre.
    pub side: Side,
    /// The node's failure domain.
    pub zone: Zone,
    /// The local back ends of the node, one for each service.
    pub backends: Vec<Backend>,
    /// Address of the platform's service that answers `GET /table`.
    pub platform_table: Option<SocketAddr>,
    /// Address of the platform's service that answers `GET /machines`.
    pub platform_machines: Option<SocketAddr>,
    /// Other nodes that this node contacts first.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// The policy that makes the decisions of the node.
    pub policy: PolicyKind,
    /// The least severe level that is logged.
    pub log_level: slog::Level,
    /// Seed of the node's random choices; chosen at the start if absent.
    pub random_seed: Option<u64>,
    /// Number of worker threads for calls.
    pub call_threads: usize,
    /// Largest head of an HTTP message, bytes.
    pub max_header_bytes: usize,
    /// Largest body that is held in memory so that a retry can send it again,
    /// bytes; larger bodies are streamed.
    pub buffered_body_bytes: usize,
    /// Longest time that a planned stop waits for calls in progress.
    pub stop_timeout: Duration,
    /// The nodes that store claims on idempotency keys; without it calls
    /// with a key are refused.
    pub claim_roster: Option<Roster>,
    /// Whether no process of the roster has stored claims before: true only at the
    /// first start of a fleet.
    pub claim_bootstrap: bool,
}

/// Reads the settings file that the flags name, if any, and checks it together
/// with the flags.
pub fn load(flags: &Flags) -> Result<Settings, Findings> {
    let Some(path) = &flags.settings else {
        return parse(None, flags);
    };
    let text = read_file(path)?;
    parse(Some((path, &text)), flags)
}

/// Checks a settings file, given by its name and text, together with the flags.
pub fn parse(file: Option<(&str, &str)>, flags: &Flags) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let mut raw = match file {
        Some((name, text)) => file::read(name, text, &mut findings),
        None => raw::RawSettings::default(),
    };
    flags.override_settings(&mut raw, &mut findings);
    let settings = check::check(raw, file.map(|(name, _)| name), &mut findings);
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => {
            findings.sort();
            Err(findings)
        }
    }
}

fn read_file(path: &str) -> Result<String, Findings> {
    read_text(path).map_err(|message| {
        let mut findings = Findings::default();
        findings.add(Place::File(Arc::from(path)), message);
        findings
    })
}

/// Reads a text file of at most [`MAX_FILE_BYTES`].
fn read_text(path: &str) -> Result<String, String> {
    match std::fs::metadata(path) {
        Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
            let size = metadata.len();
            Err(format!(
                "the file has {size} bytes; at most {MAX_FILE_BYTES} are read"
            ))
        }
        _ => std::fs::read_to_string(path).map_err(|error| format!("can't be read: {error}")),
    }
}
