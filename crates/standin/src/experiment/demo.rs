//! The demonstration: a weight moves from old to new, then an overload, in plain words.

use std::time::Duration;

use argh::FromArgs;

use super::arguments::{Programs, temporary_logs};
use super::cluster::{Cluster, SIDES};
use super::interrupt::Interrupt;
use super::load_process::{LoadPhase, LoadPlan, LoadProcess, LoadReport, mix_of};
use super::measures::{Disturbance, Measures};
use super::mesh::Mesh;
use super::promises::Promises;
use super::report::{percent, print_promises};

/// Show a mesh of real processes: a weight moves from the old side to the new, then an overload.
#[derive(FromArgs)]
#[argh(subcommand, name = "run-demo")]
pub struct DemoArguments {
    /// directory with the programs (default: where this program is)
    #[argh(option)]
    pub programs: Option<std::path::PathBuf>,
    /// directory for logs (default: a new one for temporary files, removed after success)
    #[argh(option)]
    pub logs: Option<std::path::PathBuf>,
    /// seed of the clients (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// The service whose weight moves.
const MOVED: &str = "balance";
/// Weights of the old and the new side, step by step.
const STEPS: [[u32; 2]; 3] = [[100, 0], [50, 50], [0, 100]];
const STEP_SECONDS: usize = 8;
const SURGE_SECONDS: usize = 8;
const AFTER_SECONDS: usize = 14;
/// Load before and after, relative to what one side can serve.
const NORMAL_LOAD: f64 = 0.5;
/// Load during the surge, relative to the same.
const SURGE_LOAD: f64 = 2.5;
const CLIENT_ATTEMPTS: u32 = 4;
const PATIENCE: Duration = Duration::from_secs(3);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
/// Largest distance between the share of calls and the share of weight.
const SHARE_TOLERANCE: f64 = 0.1;

/// Shows it all; an error if calls did not move, goodput did not come back or a promise broke.
pub fn run(arguments: DemoArguments) -> anyhow::Result<()> {
    let interrupt = Interrupt::on_signals()?;
    let programs = Programs::find(arguments.programs)?;
    let logs = temporary_logs(arguments.logs, "demo")?;
    let mesh = Mesh::sofia();
    let demo = Demo {
        capacity: mesh.capacity(1, "", 1.0),
        cluster: Cluster::start(
            mesh,
            "lifthollow",
            STEPS[0],
            &programs.workspace(&logs),
            &interrupt,
        )?,
        interrupt,
    };
    let findings = demo.play(arguments.seed)?;
    anyhow::ensure!(
        findings.is_empty(),
        "{}; logs: {}",
        findings.join("; "),
        logs.path()
    );
    logs.remove();
    Ok(())
}

struct Demo {
    cluster: Cluster,
    interrupt: Interrupt,
    capacity: f64,
}

impl Demo {
    fn play(&self, seed: u64) -> anyhow::Result<Vec<String>> {
        self.introduce();
        let mut load = self.cluster.start_load(&self.load_plan(seed))?;
        let mut findings = Vec::new();
        for (index, weights) in STEPS.into_iter().enumerate() {
            findings.extend(self.step(index, weights, &mut load)?);
        }
        let surge_start = STEPS.len() * STEP_SECONDS;
        println!(
            "\nOverload: {SURGE_LOAD} times what one side can serve, from clients that retry hard."
        );
        let end = surge_start + SURGE_SECONDS + AFTER_SECONDS;
        let timeout = Duration::from_secs(end as u64) + PATIENCE;
        let report = load.finish(timeout, &self.interrupt)?;
        findings.extend(self.tell_overload(&report, surge_start));
        let promises = Promises::check(&report.records, &self.cluster.ledgers()?);
        findings.extend(print_promises(&promises));
        Ok(findings)
    }

    fn introduce(&self) {
        let cluster = &self.cluster;
        println!(
            "Sofia's mesh on loopback: {} back ends and {} nodes in two data centres.",
            cluster.servers.len(),
            cluster.nodes().count(),
        );
        println!(
            "One side can serve about {:.0} requests a second.\n",
            self.capacity
        );
    }

    fn load_plan(&self, seed: u64) -> LoadPlan {
        let normal = self.capacity * NORMAL_LOAD;
        let surge = self.capacity * SURGE_LOAD;
        let before = STEPS.len() * STEP_SECONDS;
        LoadPlan {
            name: "demo".to_owned(),
            calls: mix_of(&self.cluster.mesh),
            phases: vec![
                LoadPhase {
                    seconds: before,
                    rate: normal,
                },
                LoadPhase {
                    seconds: SURGE_SECONDS,
                    rate: surge,
                },
                LoadPhase {
                    seconds: AFTER_SECONDS,
                    rate: normal,
                },
            ],
            attempts: CLIENT_ATTEMPTS,
            honour_retry_after: false,
            patience: PATIENCE,
            seed,
        }
    }

    /// Sets the weights, and measures for the rest of the step where calls go.
    fn step(
        &self,
        index: usize,
        weights: [u32; 2],
        load: &mut LoadProcess,
    ) -> anyhow::Result<Vec<String>> {
        if index > 0 {
            self.set_weights(weights)?;
        }
        let before = self.runs_by_side()?;
        load.wait_for_second((index + 1) * STEP_SECONDS, &self.interrupt)?;
        let after = self.runs_by_side()?;
        let moved = [0, 1].map(|side| (after[side] - before[side]) as f64);
        let share = moved[1] / (moved[0] + moved[1]);
        println!(
            "Weights of {MOVED}: old {}, new {}. Calls its back ends ran: {} on the old side, {} on the new.",
            weights[0],
            weights[1],
            percent(1.0 - share),
            percent(share),
        );
        let wanted = f64::from(weights[1]) / f64::from(weights[0] + weights[1]);
        let as_wanted = (share - wanted).abs() <= SHARE_TOLERANCE;
        let finding = format!(
            "{} of {MOVED} ran on the new side in place of {}",
            percent(share),
            percent(wanted)
        );
        Ok((!as_wanted).then_some(finding).into_iter().collect())
    }

    /// Edits the operators' table, publishes it, and waits until it is in force.
    fn set_weights(&self, weights: [u32; 2]) -> anyhow::Result<()> {
        let cells = SIDES.into_iter().zip(weights).flat_map(|(side, weight)| {
            [
                format!("{MOVED}@{side}"),
                "weight".to_owned(),
                weight.to_string(),
            ]
        });
        self.cluster
            .platform
            .edit_table(&cells.collect::<Vec<_>>())?;
        self.cluster.platform.publish_table()?;
        let number = self.cluster.platform.table_number()?;
        self.cluster.wait_for_table(number, IN_FORCE_TIMEOUT)
    }

    fn runs_by_side(&self) -> anyhow::Result<[u64; 2]> {
        let mut runs = [0; 2];
        for (sum, side) in runs.iter_mut().zip(SIDES) {
            *sum = self.cluster.totals(MOVED, side)?.runs;
        }
        Ok(runs)
    }

    fn tell_overload(&self, report: &LoadReport, surge_start: usize) -> Vec<String> {
        let disturbance = Disturbance {
            start: surge_start,
            end: surge_start + SURGE_SECONDS,
            capacity: self.capacity,
            normal_capacity: self.capacity,
        };
        let measures = Measures::of(&report.seconds, &disturbance);
        println!(
            "Goodput before {:.0}, during {:.0}, after {:.0} requests a second.",
            measures.goodput_before, measures.goodput_during, measures.goodput_after,
        );
        println!(
            "Critical requests lost from the overload's start on: {}.",
            percent(measures.critical_lost_ratio)
        );
        println!(
            "Refused for good, by reason: {:?}; unknown: {:?}.",
            report.summary.refused, report.summary.unknown
        );
        match measures.recovery_seconds {
            Some(seconds) => {
                println!("Goodput was back to normal {seconds} s after the overload.\n");
                Vec::new()
            }
            None => vec!["goodput did not come back after the overload".to_owned()],
        }
    }
}
