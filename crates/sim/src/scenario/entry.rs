//! The scenario file as written.

use serde::Deserialize;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ScenarioFile {
    pub(super) duration_seconds: Option<f64>,
    pub(super) load: Option<f64>,
    pub(super) weights: Option<[u32; 2]>,
    #[serde(default)]
    pub(super) fault: Vec<toml::Spanned<FaultEntry>>,
}

/// One `[[fault]]`, of whatever kind.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultEntry {
    pub(super) kind: String,
    pub(super) at: f64,
    #[serde(rename = "for")]
    pub(super) lasts: Option<f64>,
    pub(super) target: Option<TargetEntry>,
    pub(super) from: Option<TargetEntry>,
    pub(super) to: Option<TargetEntry>,
    pub(super) factor: Option<f64>,
    pub(super) rate: Option<f64>,
    pub(super) requests: Option<Vec<String>>,
    pub(super) repeats: Option<u32>,
    pub(super) timeout_factor: Option<f64>,
    pub(super) warm_up_seconds: Option<f64>,
    pub(super) healthy: Option<bool>,
    pub(super) one_way: Option<bool>,
    pub(super) period_seconds: Option<f64>,
    pub(super) column: Option<String>,
    pub(super) value: Option<u32>,
    pub(super) service: Option<String>,
    pub(super) to_side: Option<String>,
    pub(super) steps: Option<u32>,
    pub(super) interval_seconds: Option<f64>,
    pub(super) down_seconds: Option<f64>,
    pub(super) told: Option<String>,
}

/// A target.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TargetEntry {
    pub(super) service: Option<String>,
    pub(super) side: Option<String>,
    pub(super) zone: Option<u16>,
    pub(super) server: Option<u16>,
    #[serde(default)]
    pub(super) entry: bool,
}
