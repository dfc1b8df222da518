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

impl FaultEntry {
    /// Names of the fields that are given, besides `kind`, `at` and `for`.
    pub(super) fn given_fields(&self) -> Vec<&'static str> {
        let fields = [
            ("target", self.target.is_some()),
            ("from", self.from.is_some()),
            ("to", self.to.is_some()),
            ("factor", self.factor.is_some()),
            ("rate", self.rate.is_some()),
            ("requests", self.requests.is_some()),
            ("repeats", self.repeats.is_some()),
            ("timeout_factor", self.timeout_factor.is_some()),
            ("warm_up_seconds", self.warm_up_seconds.is_some()),
            ("healthy", self.healthy.is_some()),
            ("one_way", self.one_way.is_some()),
            ("period_seconds", self.period_seconds.is_some()),
            ("column", self.column.is_some()),
            ("value", self.value.is_some()),
            ("service", self.service.is_some()),
            ("to_side", self.to_side.is_some()),
            ("steps", self.steps.is_some()),
            ("interval_seconds", self.interval_seconds.is_some()),
            ("down_seconds", self.down_seconds.is_some()),
            ("told", self.told.is_some()),
        ];
        let given = fields.into_iter().filter(|(_, given)| *given);
        given.map(|(name, _)| name).collect()
    }
}

/// The fields of a kind of fault, besides `kind`, `at` and `for`.
pub(super) fn used_fields(kind: &str) -> &'static [&'static str] {
    match kind {
        "slow" => &["target", "factor"],
        "errors" => &["target", "rate"],
        "surge" => &["requests", "factor"],
        "hard-retry" => &["repeats", "timeout_factor"],
        "cold" => &["target", "factor", "warm_up_seconds"],
        "health" => &["target", "healthy"],
        "loss" => &["from", "to", "rate"],
        "cut" => &["from", "to", "one_way"],
        "config-flap" => &["period_seconds"],
        "cell" => &["target", "column", "value"],
        "migrate" => &["service", "to_side", "steps"],
        "rolling-stop" => &["target", "interval_seconds", "down_seconds", "told"],
        "gone" | "kill" | "silent" | "pause" => &["target"],
        _ => &[],
    }
}
