//! Fault experiments: causes the users' fault scenarios on real processes and checks the promises
//! under each.

mod acts;
mod config_watch;
mod kind;

use std::collections::BTreeMap;
use std::time::Duration;

use argh::FromArgs;
use serde::Serialize;

pub use kind::FaultKind;

use super::arguments::{Logs, Programs, temporary_logs};
use super::cluster::Cluster;
use super::interrupt::Interrupt;
use super::load_process::{LoadPhase, LoadPlan, LoadProcess, LoadReport, mix_of};
use super::mesh::Mesh;
use super::promises::{Promises, Verdict};
use crate::json_lines;
use crate::load::{Counts, RequestRecord};
use acts::FaultRun;
use config_watch::ConfigWatch;

/// Cause faults on real processes and check the promises: one JSON line a fault, then a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "run-faults")]
pub struct FaultsArguments {
    /// directory with the programs (default: where this program is)
    #[argh(option)]
    pub programs: Option<std::path::PathBuf>,
    /// directory for logs (default: a new one for temporary files, removed after success)
    #[argh(option)]
    pub logs: Option<std::path::PathBuf>,
    /// fault to cause; may be given several times (default: all)
    #[argh(option)]
    pub fault: Vec<FaultKind>,
    /// seed of the clients (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

const WEIGHTS: [u32; 2] = [50, 50];
const LOAD_SECONDS: usize = 16;
/// Duration of the load before the fault is caused, in seconds.
const SECONDS_BEFORE_FAULT: usize = 4;
/// Request rate as a fraction of the capacity of both sides.
const LOAD_FRACTION: f64 = 0.25;
const CLIENT_ATTEMPTS: u32 = 3;
const PATIENCE: Duration = Duration::from_secs(3);
/// Rate at which clients start streams in the background of a fault, in streams per second.
const STREAMS_PER_SECOND: f64 = 2.0;
const STREAM_CALL: &str =
    "service=voucher,class=normal,keyed=no,answer=400000,pace_ms=100,timeout_ms=9000";
const STREAM_PATIENCE: Duration = Duration::from_secs(10);

/// Results of one fault experiment.
#[derive(Serialize)]
struct FaultReport {
    fault: FaultKind,
    seed: u64,
    calls: Counts,
    streams: Counts,
    verdicts: BTreeMap<&'static str, Verdict>,
}

impl FaultReport {
    fn broken(&self) -> u64 {
        self.verdicts.values().map(|verdict| verdict.broken).sum()
    }
}

/// Causes the selected faults one after the other. Returns an error if a promise was broken.
pub fn run(arguments: FaultsArguments) -> anyhow::Result<()> {
    let interrupt = Interrupt::on_signals()?;
    let programs = Programs::find(arguments.programs)?;
    let logs = temporary_logs(arguments.logs, "faults")?;
    let kinds = if arguments.fault.is_empty() {
        FaultKind::ALL.into()
    } else {
        arguments.fault
    };
    let mut reports = Vec::new();
    for kind in kinds {
        let fault_logs = logs.inside(kind.as_str());
        let report = run_experiment(kind, arguments.seed, &programs, &fault_logs, &interrupt)?;
        json_lines::print(&report)?;
        reports.push(report);
    }
    print_table(&reports);
    let broken: u64 = reports.iter().map(FaultReport::broken).sum();
    anyhow::ensure!(
        broken == 0,
        "{broken} breaches of promises; logs: {}",
        logs.path()
    );
    logs.remove();
    Ok(())
}

fn run_experiment(
    kind: FaultKind,
    seed: u64,
    programs: &Programs,
    logs: &Logs,
    interrupt: &Interrupt,
) -> anyhow::Result<FaultReport> {
    let workspace = programs.workspace(logs);
    let cluster = Cluster::start(Mesh::sofia(), "lifthollow", WEIGHTS, &workspace, interrupt)?;
    let watch = ConfigWatch::start(&cluster);
    let mut calls = cluster.start_load(&calls_plan(&cluster.mesh, seed))?;
    let streams = cluster.start_load(&streams_plan(seed))?;
    calls.wait_for_second(SECONDS_BEFORE_FAULT, interrupt)?;
    let mut run = FaultRun::new(cluster, interrupt.clone());
    run.execute(kind)?;
    let calls = finish_load(calls, PATIENCE, interrupt)?;
    let streams = finish_load(streams, STREAM_PATIENCE, interrupt)?;
    let records: Vec<RequestRecord> = [calls.records, streams.records].concat();
    let mut verdicts = run.verdicts(&records)?;
    verdicts.insert("config_forward", watch.finish());
    for (name, verdict) in Promises::check(&records, &run.cluster.ledgers()?).verdicts() {
        verdicts.insert(name, verdict.clone());
    }
    Ok(FaultReport {
        fault: kind,
        seed,
        calls: calls.summary,
        streams: streams.summary,
        verdicts,
    })
}

fn finish_load(
    load: LoadProcess,
    patience: Duration,
    interrupt: &Interrupt,
) -> anyhow::Result<LoadReport> {
    let timeout = Duration::from_secs(LOAD_SECONDS as u64) + 2 * patience;
    load.finish(timeout, interrupt)
}

fn calls_plan(mesh: &Mesh, seed: u64) -> LoadPlan {
    let rate = mesh.capacity(WEIGHTS.len(), "", 1.0) * LOAD_FRACTION;
    LoadPlan {
        name: "calls".to_owned(),
        calls: mix_of(mesh),
        phases: vec![LoadPhase {
            seconds: LOAD_SECONDS,
            rate,
        }],
        attempts: CLIENT_ATTEMPTS,
        honour_retry_after: true,
        patience: PATIENCE,
        seed,
    }
}

fn streams_plan(seed: u64) -> LoadPlan {
    LoadPlan {
        name: "streams".to_owned(),
        calls: vec![STREAM_CALL.to_owned()],
        phases: vec![LoadPhase {
            seconds: LOAD_SECONDS,
            rate: STREAMS_PER_SECOND,
        }],
        attempts: 1,
        honour_retry_after: true,
        patience: STREAM_PATIENCE,
        seed,
    }
}

fn print_table(reports: &[FaultReport]) {
    println!();
    for report in reports {
        let fault = report.fault.as_str();
        let outcome = if report.broken() == 0 {
            "kept"
        } else {
            "BROKEN"
        };
        println!(
            "{fault}: promises {outcome}; goodput {} of {} calls, {} of {} streams",
            report.calls.goodput,
            report.calls.offered,
            report.streams.goodput,
            report.streams.offered,
        );
        for (name, verdict) in &report.verdicts {
            println!(
                "  {name}: {} checked, {} broken",
                verdict.checked, verdict.broken
            );
            for example in &verdict.examples {
                println!("    {example}");
            }
        }
    }
}
