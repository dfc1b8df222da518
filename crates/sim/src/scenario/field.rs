//! The check of single fields and targets.

use std::time::Duration;

use lifthollow_state::Side;

use super::entry::{FaultEntry, TargetEntry, used_fields};
use super::{ScenarioFinding, Target};
use crate::mesh::{KindIndex, Mesh, ServiceIndex};

const LARGEST_FACTOR: f64 = 1_000.0;
const LONGEST_SECONDS: f64 = 86_400.0;

/// The check of one file; collects findings and goes on.
pub(super) struct Check<'a> {
    pub(super) mesh: &'a Mesh,
    pub(super) file_name: &'a str,
    pub(super) place: String,
    pub(super) findings: Vec<ScenarioFinding>,
}

impl Check<'_> {
    pub(super) fn finding(&mut self, message: impl Into<String>) {
        self.findings.push(ScenarioFinding {
            place: self.place.clone(),
            message: message.into(),
        });
    }

    pub(super) fn target(&mut self, entry: Option<&TargetEntry>) -> Target {
        let Some(entry) = entry else {
            return Target::default();
        };
        let service = entry.service.as_deref().and_then(|name| self.service(name));
        let side = entry.side.as_deref().and_then(|name| self.side(Some(name)));
        if entry
            .zone
            .is_some_and(|zone| zone >= self.mesh.zones_per_side)
        {
            self.finding("`zone` is beyond the mesh's zones, which count from 0");
        }
        if let (Some(service), Some(server)) = (service, entry.server)
            && server >= self.mesh.service(service).servers_per_side
        {
            self.finding("`server` is beyond the service's servers, which count from 0");
        }
        Target {
            service,
            side,
            zone: entry.zone,
            server: entry.server,
            entry: entry.entry,
        }
    }

    /// A service by name, or by its place: `deepest` is the one that most call
    /// trees end in, `first` and `last` are the ends of the mesh's list.
    pub(super) fn service(&mut self, name: &str) -> Option<ServiceIndex> {
        let found = match name {
            "first" => Some(ServiceIndex(0)),
            "last" => Some(ServiceIndex(self.mesh.services.len() - 1)),
            "deepest" => Some(self.mesh.deepest_service()),
            name => self.mesh.service_by_name(name),
        };
        if found.is_none() {
            self.finding(format!("the mesh has no service `{name}`"));
        }
        found
    }

    pub(super) fn side(&mut self, name: Option<&str>) -> Option<Side> {
        let parsed = name?.parse();
        if parsed.is_err() {
            self.finding("a side is `old` or `new`");
        }
        parsed.ok()
    }

    /// Kinds by name, or by class: `critical`, `normal`, `sheddable`.
    pub(super) fn request_kinds(&mut self, names: Option<&[String]>) -> Vec<KindIndex> {
        let mut kinds = Vec::new();
        for name in names.unwrap_or_default() {
            let found = self.mesh.kinds_by_name_or_class(name);
            if found.is_empty() {
                self.finding(format!(
                    "the mesh has no kind or class of requests `{name}`"
                ));
            }
            kinds.extend(found);
        }
        kinds
    }

    pub(super) fn factor(&mut self, field: &str, factor: Option<f64>) -> f64 {
        let factor = self.required(field, factor);
        if !(factor > 0.0 && factor <= LARGEST_FACTOR) {
            self.finding(format!(
                "`{field}` must be above 0 and at most {LARGEST_FACTOR}"
            ));
        }
        factor
    }

    /// Fields that are given but say nothing about this kind of fault.
    pub(super) fn unused_fields(&mut self, entry: &FaultEntry) {
        let used = used_fields(&entry.kind);
        for field in entry.given_fields() {
            if !used.contains(&field) {
                let kind = &entry.kind;
                self.finding(format!("`{field}` is not a field of the kind `{kind}`"));
            }
        }
    }

    pub(super) fn rate(&mut self, rate: Option<f64>) -> f64 {
        let rate = self.required("rate", rate);
        if !(0.0..=1.0).contains(&rate) {
            self.finding("`rate` must lie between 0 and 1");
        }
        rate
    }

    pub(super) fn required<T: Default>(&mut self, field: &str, value: Option<T>) -> T {
        if value.is_none() {
            self.finding(format!("`{field}` is missing"));
        }
        value.unwrap_or_default()
    }

    pub(super) fn required_seconds(&mut self, field: &str, value: Option<f64>) -> Duration {
        let seconds = self.required(field, value);
        self.seconds(field, seconds)
    }

    pub(super) fn seconds(&mut self, field: &str, seconds: f64) -> Duration {
        if !(0.0..=LONGEST_SECONDS).contains(&seconds) {
            self.finding(format!(
                "`{field}` must lie between 0 and {LONGEST_SECONDS}"
            ));
            return Duration::ZERO;
        }
        // Whole microseconds, the clock's resolution.
        Duration::from_micros((seconds * 1e6).round() as u64)
    }
}
