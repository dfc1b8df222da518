//! Reading a scenario file and checking it against a mesh.

use std::time::Duration;

use lifthollow_state::Side;

use super::entry::{FaultEntry, ScenarioFile};
use super::field::Check;
use super::{Fault, FaultKind, LeaveNotice, Scenario, ScenarioFinding, TableColumn, Target};
use crate::mesh::Mesh;

const DEFAULT_DURATION_SECONDS: f64 = 60.0;
const DEFAULT_LOAD: f64 = 0.5;
pub(super) const DEFAULT_WEIGHTS: [u32; 2] = [50, 50];

/// Reads and checks a scenario for a mesh. All findings come back together.
pub fn parse_scenario(
    file_name: &str,
    name: &str,
    text: &str,
    mesh: &Mesh,
) -> Result<Scenario, Vec<ScenarioFinding>> {
    let file: ScenarioFile = toml::from_str(text).map_err(|error| {
        vec![ScenarioFinding {
            place: place(file_name, text, error.span().map(|span| span.start)),
            message: error.message().to_owned(),
        }]
    })?;
    let mut check = Check {
        mesh,
        file_name,
        place: file_name.to_owned(),
        findings: Vec::new(),
    };
    let scenario = check.scenario(name, text, &file);
    if check.findings.is_empty() {
        Ok(scenario)
    } else {
        Err(check.findings)
    }
}

fn place(file_name: &str, text: &str, offset: Option<usize>) -> String {
    let offset = offset.unwrap_or(0).min(text.len());
    let line = text[..offset].matches('\n').count() + 1;
    format!("{file_name}:{line}")
}

impl Check<'_> {
    fn scenario(&mut self, name: &str, text: &str, file: &ScenarioFile) -> Scenario {
        let seconds = file.duration_seconds.unwrap_or(DEFAULT_DURATION_SECONDS);
        let duration = self.seconds("duration_seconds", seconds);
        let load = file.load.unwrap_or(DEFAULT_LOAD);
        if !(load > 0.0 && load <= 10.0) {
            self.finding("`load` must be above 0 and at most 10");
        }
        let weights = file.weights.unwrap_or(DEFAULT_WEIGHTS);
        if weights == [0, 0] {
            self.finding("`weights` must not both be 0");
        }
        let mut faults = Vec::new();
        for entry in &file.fault {
            self.place = place(self.file_name, text, Some(entry.span().start));
            faults.extend(self.fault(duration, entry.get_ref()));
        }
        Scenario {
            name: name.to_owned(),
            duration,
            load,
            weights,
            faults,
        }
    }

    fn fault(&mut self, duration: Duration, entry: &FaultEntry) -> Option<Fault> {
        let at = self.seconds("at", entry.at);
        if at >= duration {
            self.finding("`at` lies after the scenario's end");
        }
        let lasts = entry.lasts.map(|seconds| self.seconds("for", seconds));
        let kind = self.kind(entry)?;
        self.unused_fields(entry);
        Some(Fault { at, lasts, kind })
    }

    fn kind(&mut self, entry: &FaultEntry) -> Option<FaultKind> {
        let target = self.target(entry.target.as_ref());
        let kind = match entry.kind.as_str() {
            "slow" => FaultKind::Slow {
                target,
                factor: self.factor("factor", entry.factor),
            },
            "errors" => FaultKind::Errors {
                target,
                rate: self.rate(entry.rate),
            },
            "surge" => FaultKind::Surge {
                kinds: self.request_kinds(entry.requests.as_deref()),
                factor: self.factor("factor", entry.factor),
            },
            "hard-retry" => FaultKind::HardRetry {
                repeats: self.required("repeats", entry.repeats),
                timeout_factor: self.factor("timeout_factor", entry.timeout_factor.or(Some(1.0))),
            },
            "cold" => FaultKind::Cold {
                target,
                factor: self.factor("factor", entry.factor),
                warm_up: self.required_seconds("warm_up_seconds", entry.warm_up_seconds),
            },
            "gone" => FaultKind::Gone { target },
            "kill" => FaultKind::Kill { target },
            "silent" => FaultKind::Silent { target },
            "health" => FaultKind::Health {
                target,
                healthy: self.required("healthy", entry.healthy),
            },
            "pause" => FaultKind::Pause { target },
            "loss" => FaultKind::Loss {
                from: self.target(entry.from.as_ref()),
                to: self.target(entry.to.as_ref()),
                rate: self.rate(entry.rate),
            },
            "cut" => FaultKind::Cut {
                from: self.target(entry.from.as_ref()),
                to: self.target(entry.to.as_ref()),
                one_way: entry.one_way.unwrap_or(false),
            },
            "config-down" => FaultKind::ConfigDown,
            "config-stale" => FaultKind::ConfigStale,
            "config-flap" => FaultKind::ConfigFlap {
                period: self.required_seconds("period_seconds", entry.period_seconds),
            },
            "cell" => self.cell(entry, target),
            "migrate" => self.migrate(entry),
            "rolling-stop" => self.rolling_stop(entry, target),
            unknown => {
                self.finding(format!("`kind` is unknown: `{unknown}`"));
                return None;
            }
        };
        Some(kind)
    }

    fn cell(&mut self, entry: &FaultEntry, target: Target) -> FaultKind {
        let column = match entry.column.as_deref() {
            Some("weight") => TableColumn::Weight,
            Some("max_in_flight") => TableColumn::MaxInFlight,
            Some("max_queue") => TableColumn::MaxQueue,
            _ => {
                self.finding("`column` must be `weight`, `max_in_flight` or `max_queue`");
                TableColumn::Weight
            }
        };
        FaultKind::Cell {
            target,
            column,
            value: self.required("value", entry.value),
        }
    }

    fn migrate(&mut self, entry: &FaultEntry) -> FaultKind {
        FaultKind::Migrate {
            service: entry.service.as_deref().and_then(|name| self.service(name)),
            to: self.side(entry.to_side.as_deref()).unwrap_or(Side::New),
            steps: self.required("steps", entry.steps).max(1),
        }
    }

    fn rolling_stop(&mut self, entry: &FaultEntry, target: Target) -> FaultKind {
        let told = match entry.told.as_deref() {
            None | Some("node") => LeaveNotice::Node,
            Some("list") => LeaveNotice::List,
            Some(_) => {
                self.finding("`told` must be `node` or `list`");
                LeaveNotice::Node
            }
        };
        FaultKind::RollingStop {
            target,
            interval: self.required_seconds("interval_seconds", entry.interval_seconds),
            down: self.required_seconds("down_seconds", entry.down_seconds),
            told,
        }
    }
}
