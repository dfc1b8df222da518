//! A load process of an experiment, and what it reports.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;

use super::interrupt::Interrupt;
use super::mesh::{Mesh, ServiceShape};
use super::process::Process;
use crate::load::{Counts, Latencies, RequestRecord, SecondLine, Summary};

/// A stretch of whole seconds with one rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// Its length.
    pub seconds: usize,
    /// Requests a second.
    pub rate: f64,
}

/// What clients do.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Beginning of every request's name, unlike that of any other load.
    pub name: String,
    /// Kinds of calls, as flags of the load; see [`mix_of`].
    pub calls: Vec<String>,
    /// Rates over time.
    pub phases: Vec<LoadPhase>,
    /// Attempts of one request.
    pub attempts: u32,
    /// Whether clients wait as long as a refusal says.
    pub honour_retry_after: bool,
    /// Time after which an answer is no longer useful.
    pub patience: Duration,
    /// Seed of arrivals.
    pub seed: u64,
}

impl LoadPlan {
    /// Length of all phases.
    pub fn seconds(&self) -> usize {
        self.phases.iter().map(|phase| phase.seconds).sum()
    }

    /// The phases as the load's flag takes them.
    fn profile(&self) -> String {
        let phases = self.phases.iter();
        let texts = phases.map(|phase| format!("{}:{}", phase.seconds, phase.rate));
        texts.collect::<Vec<_>>().join(",")
    }
}

/// A running load.
pub struct LoadProcess {
    planned_seconds: usize,
    process: Process,
    records: PathBuf,
    lines: Vec<String>,
}

/// All that a load reported.
pub struct LoadReport {
    /// Its planned seconds, without those in which it only waited for the last answers.
    pub seconds: Vec<SecondLine>,
    /// Its sums.
    pub summary: Counts,
    /// Latencies of useful requests.
    pub latencies: Latencies,
    /// How every request ended.
    pub records: Vec<RequestRecord>,
}

impl LoadProcess {
    /// Starts a load through the given nodes.
    pub fn start(
        program: &Path,
        directory: &Path,
        entries: &[SocketAddr],
        plan: &LoadPlan,
    ) -> anyhow::Result<Self> {
        let records = directory.join(format!("{}.jsonl", plan.name));
        let mut arguments = plan_arguments(plan);
        arguments.extend(["--record".to_owned(), records.display().to_string()]);
        for entry in entries {
            arguments.extend(["--entry".to_owned(), entry.to_string()]);
        }
        for call in &plan.calls {
            arguments.extend(["--call".to_owned(), call.clone()]);
        }
        let log = directory.join(format!("{}.log", plan.name));
        Ok(LoadProcess {
            planned_seconds: plan.seconds(),
            process: Process::start("load", program, &arguments, &log)?,
            records,
            lines: Vec::new(),
        })
    }

    /// Waits until the load has reported `count` whole seconds.
    pub fn wait_for_second(&mut self, count: usize, interrupt: &Interrupt) -> anyhow::Result<()> {
        let timeout = Duration::from_secs(count as u64 + LOAD_SLACK_SECONDS);
        interrupt.wait_until("the load's next second", timeout, || {
            self.lines.extend(self.process.lines());
            Ok(self.lines.len() >= count)
        })
    }

    /// Waits for the load's end.
    pub fn finish(
        mut self,
        timeout: Duration,
        interrupt: &Interrupt,
    ) -> anyhow::Result<LoadReport> {
        interrupt.wait_until("the load's end", timeout, || {
            Ok(self.process.exit_status()?.is_some())
        })?;
        let status = self.process.wait(Duration::ZERO)?;
        anyhow::ensure!(status.success(), "the load ended with {status}");
        while let Ok(line) = self.process.next_line(LAST_LINE_TIMEOUT) {
            self.lines.push(line);
        }
        let last = self.lines.pop().context("the load printed nothing")?;
        let planned = self.lines.iter().take(self.planned_seconds);
        let seconds = planned.map(|line| serde_json::from_str(line));
        let seconds = seconds.collect::<Result<_, _>>()?;
        let last: Summary = serde_json::from_str(&last).context("the load's summary")?;
        Ok(LoadReport {
            seconds,
            summary: last.summary,
            latencies: last.latencies,
            records: read_records(&self.records)?,
        })
    }
}

const LOAD_SLACK_SECONDS: u64 = 30;
const LAST_LINE_TIMEOUT: Duration = Duration::from_millis(500);

fn plan_arguments(plan: &LoadPlan) -> Vec<String> {
    let mut arguments = vec![
        "load".to_owned(),
        "--name".to_owned(),
        plan.name.clone(),
        "--profile".to_owned(),
        plan.profile(),
        "--attempts".to_owned(),
        plan.attempts.to_string(),
        "--patience-ms".to_owned(),
        plan.patience.as_millis().to_string(),
        "--seed".to_owned(),
        plan.seed.to_string(),
    ];
    if plan.honour_retry_after {
        arguments.push("--honour-retry-after".to_owned());
    }
    arguments
}

/// The clients' mix of a mesh.
pub fn mix_of(mesh: &Mesh) -> Vec<String> {
    let called = mesh.services.iter().filter(|service| service.share > 0.0);
    called.map(|service| call_kind(mesh, service)).collect()
}

fn call_kind(mesh: &Mesh, service: &ServiceShape) -> String {
    format!(
        "service={},class={},share={},keyed={},answer={},timeout_ms={}",
        service.name,
        service.class,
        service.share,
        if service.keyed { "yes" } else { "no" },
        service.answer_bytes,
        mesh.deadline.as_millis(),
    )
}

fn read_records(path: &Path) -> anyhow::Result<Vec<RequestRecord>> {
    let text = std::fs::read_to_string(path).context("the load's records")?;
    let records = text.lines().map(serde_json::from_str);
    Ok(records.collect::<Result<_, _>>()?)
}
