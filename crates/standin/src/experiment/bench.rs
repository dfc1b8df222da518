//! The same overloads on real processes for each policy.

use std::time::Duration;

use argh::FromArgs;
use serde::Serialize;

use super::amplification::{retry_amplification, wasted_work};
use super::arguments::{Logs, Programs, temporary_logs};
use super::cluster::{Cluster, SIDES};
use super::interrupt::Interrupt;
use super::load_process::{LoadPhase, LoadPlan, LoadReport, mix_of};
use super::measures::{Disturbance, Measures};
use super::mesh::Mesh;
use super::overload::OverloadKind;
use super::promises::Promises;
use crate::backend::BackendFault;
use crate::json_lines;

/// Measure overloads on real processes: one JSON line a cell, then a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "run-bench")]
pub struct BenchArguments {
    /// directory with the programs (default: where this program is)
    #[argh(option)]
    pub programs: Option<std::path::PathBuf>,
    /// directory for logs (default: a new one for temporary files, removed at the end)
    #[argh(option)]
    pub logs: Option<std::path::PathBuf>,
    /// midlands or sofia; may be given several times (default: both)
    #[argh(option)]
    pub mesh: Vec<Mesh>,
    /// lifthollow, static-limits or passthrough; may be given several times (default: all)
    #[argh(option)]
    pub policy: Vec<String>,
    /// surge or slow-service; may be given several times (default: both)
    #[argh(option)]
    pub overload: Vec<OverloadKind>,
    /// seed of the clients (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

const POLICIES: [&str; 3] = ["lifthollow", "static-limits", "passthrough"];
const WEIGHTS: [u32; 2] = [50, 50];
/// Slots of each server: few, so that slots and not processors are scarce.
const SLOTS: usize = 3;
const BEFORE_SECONDS: usize = 4;
const OVERLOAD_SECONDS: usize = 5;
const AFTER_SECONDS: usize = 11;
const NORMAL_LOAD: f64 = 0.6;
const CLIENT_ATTEMPTS: u32 = 4;
const PATIENCE: Duration = Duration::from_secs(3);

/// One cell's figures.
#[derive(Serialize)]
struct Cell {
    mesh: &'static str,
    overload: OverloadKind,
    policy: String,
    seed: u64,
    #[serde(flatten)]
    measures: Measures,
    retry_amplification: f64,
    wasted_work_ratio: f64,
    latency_p50_ms: f64,
    latency_p99_ms: f64,
    not_sent: u64,
    promises: Promises,
}

/// Measures every cell in turn; promises are printed for each policy and break nothing here.
pub fn run(arguments: BenchArguments) -> anyhow::Result<()> {
    let interrupt = Interrupt::on_signals()?;
    let programs = Programs::find(arguments.programs)?;
    let logs = temporary_logs(arguments.logs, "bench")?;
    let meshes = or_all(arguments.mesh, [Mesh::midlands(), Mesh::sofia()]);
    let policies = or_all(arguments.policy, POLICIES.map(str::to_owned));
    let overloads = or_all(arguments.overload, OverloadKind::ALL);
    let mut cells = Vec::new();
    for mesh in &meshes {
        for &overload in &overloads {
            for policy in &policies {
                let name = format!("{}-{}-{policy}", mesh.name, overload.as_str());
                let bench = Bench {
                    mesh: mesh.clone(),
                    overload,
                    policy: policy.clone(),
                    seed: arguments.seed,
                };
                let cell = bench.measure(&programs, &logs.inside(&name), &interrupt)?;
                json_lines::print(&cell)?;
                cells.push(cell);
            }
        }
    }
    print_table(&cells);
    logs.remove();
    Ok(())
}

fn or_all<T, const N: usize>(given: Vec<T>, all: [T; N]) -> Vec<T> {
    if given.is_empty() { all.into() } else { given }
}

struct Bench {
    mesh: Mesh,
    overload: OverloadKind,
    policy: String,
    seed: u64,
}

impl Bench {
    fn measure(
        &self,
        programs: &Programs,
        logs: &Logs,
        interrupt: &Interrupt,
    ) -> anyhow::Result<Cell> {
        let mut mesh = self.mesh.clone();
        mesh.slots = SLOTS;
        let workspace = programs.workspace(logs);
        let cluster = Cluster::start(mesh, &self.policy, WEIGHTS, &workspace, interrupt)?;
        let report = self.overload(&cluster, interrupt)?;
        let ledgers = cluster.ledgers()?;
        let most_loaded = cluster.mesh.most_loaded();
        Ok(Cell {
            mesh: cluster.mesh.name,
            overload: self.overload,
            policy: self.policy.clone(),
            seed: self.seed,
            measures: Measures::of(&report.seconds, &self.disturbance(&cluster.mesh)),
            retry_amplification: retry_amplification(
                &cluster.mesh,
                most_loaded,
                &report.records,
                &ledgers,
            ),
            wasted_work_ratio: wasted_work(&report.records, &ledgers),
            latency_p50_ms: report.latencies.p50_ms,
            latency_p99_ms: report.latencies.p99_ms,
            not_sent: report.summary.not_sent,
            promises: Promises::check(&report.records, &ledgers),
        })
    }

    fn disturbance(&self, mesh: &Mesh) -> Disturbance {
        let slowed = self.overload.slowed_service(mesh).unwrap_or_default();
        Disturbance {
            start: BEFORE_SECONDS,
            end: BEFORE_SECONDS + OVERLOAD_SECONDS,
            capacity: mesh.capacity(SIDES.len(), slowed, self.overload.slow_factor()),
            normal_capacity: mesh.capacity(SIDES.len(), "", 1.0),
        }
    }

    fn overload(&self, cluster: &Cluster, interrupt: &Interrupt) -> anyhow::Result<LoadReport> {
        let mut load = cluster.start_load(&self.load_plan(&cluster.mesh))?;
        load.wait_for_second(BEFORE_SECONDS, interrupt)?;
        self.set_slow_factor(cluster, self.overload.slow_factor())?;
        load.wait_for_second(BEFORE_SECONDS + OVERLOAD_SECONDS, interrupt)?;
        self.set_slow_factor(cluster, 1.0)?;
        let timeout = Duration::from_secs(AFTER_SECONDS as u64) + 2 * PATIENCE;
        load.finish(timeout, interrupt)
    }

    fn load_plan(&self, mesh: &Mesh) -> LoadPlan {
        let normal = mesh.capacity(SIDES.len(), "", 1.0) * NORMAL_LOAD;
        let overload = normal * self.overload.load_factor();
        LoadPlan {
            name: "bench".to_owned(),
            calls: mix_of(mesh),
            phases: vec![
                LoadPhase {
                    seconds: BEFORE_SECONDS,
                    rate: normal,
                },
                LoadPhase {
                    seconds: OVERLOAD_SECONDS,
                    rate: overload,
                },
                LoadPhase {
                    seconds: AFTER_SECONDS,
                    rate: normal,
                },
            ],
            attempts: CLIENT_ATTEMPTS,
            honour_retry_after: false,
            patience: PATIENCE,
            seed: self.seed,
        }
    }

    fn set_slow_factor(&self, cluster: &Cluster, slow_factor: f64) -> anyhow::Result<()> {
        let Some(service) = self.overload.slowed_service(&cluster.mesh) else {
            return Ok(());
        };
        let fault = BackendFault {
            slow_factor,
            ..BackendFault::default()
        };
        let backends = cluster.servers.iter().map(|server| &server.backend);
        for backend in backends.filter(|backend| backend.service == service) {
            backend.set_fault(&fault)?;
        }
        Ok(())
    }
}

fn print_table(cells: &[Cell]) {
    println!(
        "\n{:<9} {:<13} {:<14} {:>8} {:>9} {:>8} {:>9} {:>7} {:>7}",
        "mesh",
        "overload",
        "policy",
        "goodput",
        "recovery",
        "retry",
        "critical",
        "wasted",
        "broken"
    );
    println!(
        "{:<9} {:<13} {:<14} {:>8} {:>9} {:>8} {:>9} {:>7} {:>7}",
        "", "", "", "ratio", "seconds", "amplif.", "lost", "work", "prom."
    );
    for cell in cells {
        let recovery = cell.measures.recovery_seconds;
        println!(
            "{:<9} {:<13} {:<14} {:>8.3} {:>9} {:>8.2} {:>9.3} {:>7.3} {:>7}",
            cell.mesh,
            cell.overload.as_str(),
            cell.policy,
            cell.measures.goodput_ratio,
            recovery.map_or("never".to_owned(), |seconds| seconds.to_string()),
            cell.retry_amplification,
            cell.measures.critical_lost_ratio,
            cell.wasted_work_ratio,
            cell.promises.broken(),
        );
    }
}
