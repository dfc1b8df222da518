//! The names of all settings.

use std::fmt;

/// The key of one setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// `node`
    Node,
    /// `callers`
    Callers,
    /// `operators`
    Operators,
    /// `side`
    Side,
    /// `zone`
    Zone,
    /// `backends`
    Backends,
    /// `platform_table`
    PlatformTable,
    /// `platform_machines`
    PlatformMachines,
    /// `seed_nodes`
    SeedNodes,
    /// `policy`
    Policy,
    /// `log_level`
    LogLevel,
    /// `random_seed`
    RandomSeed,
    /// `call_threads`
    CallThreads,
    /// `max_header_bytes`
    MaxHeaderBytes,
    /// `buffered_body_bytes`
    BufferedBodyBytes,
    /// `stop_timeout_seconds`
    StopTimeoutSeconds,
    /// `claim_roster`
    ClaimRoster,
    /// `claim_bootstrap`
    ClaimBootstrap,
}

impl Key {
    /// All settings, in the order of the documentation.
    pub const ALL: [Key; 18] = [
        Key::Node,
        Key::Callers,
        Key::Operators,
        Key::Side,
        Key::Zone,
        Key::Backends,
        Key::PlatformTable,
        Key::PlatformMachines,
        Key::SeedNodes,
        Key::Policy,
        Key::LogLevel,
        Key::RandomSeed,
        Key::CallThreads,
        Key::MaxHeaderBytes,
        Key::BufferedBodyBytes,
        Key::StopTimeoutSeconds,
        Key::ClaimRoster,
        Key::ClaimBootstrap,
    ];

    /// The key as it is written in the settings file.
    pub fn as_str(self) -> &'static str {
        match self {
            Key::Node => "node",
            Key::Callers => "callers",
            Key::Operators => "operators",
            Key::Side => "side",
            Key::Zone => "zone",
            Key::Backends => "backends",
            Key::PlatformTable => "platform_table",
            Key::PlatformMachines => "platform_machines",
            Key::SeedNodes => "seed_nodes",
            Key::Policy => "policy",
            Key::LogLevel => "log_level",
            Key::RandomSeed => "random_seed",
            Key::CallThreads => "call_threads",
            Key::MaxHeaderBytes => "max_header_bytes",
            Key::BufferedBodyBytes => "buffered_body_bytes",
            Key::StopTimeoutSeconds => "stop_timeout_seconds",
            Key::ClaimRoster => "claim_roster",
            Key::ClaimBootstrap => "claim_bootstrap",
        }
    }

    /// The flag that overrides the setting of the file. Flags of lists are repeated, so their
    /// names are singular.
    pub fn flag(self) -> String {
        match self {
            Key::Backends => "--backend".to_owned(),
            Key::SeedNodes => "--seed-node".to_owned(),
            _ => format!("--{}", self.as_str().replace('_', "-")),
        }
    }

    /// The setting with this key in the file.
    pub fn from_name(name: &str) -> Option<Self> {
        Key::ALL.into_iter().find(|key| key.as_str() == name)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
