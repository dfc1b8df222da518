//! `lifthollow-sim claims-search`: searches for histories in which a key runs twice.

use std::time::Instant;

use anyhow::bail;
use argh::FromArgs;
use serde::Serialize;

use crate::claims_search::Variant;
use crate::claims_search::observer::Tallies;
use crate::claims_search::search::{Finding, SearchReport, SearchSettings, search};

/// Search random histories of calls, repeats and faults for a key that runs
/// twice. Fails if the variant `correct` breaks a promise, or if a broken
/// variant is not found out. The last line is one JSON object.
#[derive(FromArgs)]
#[argh(subcommand, name = "claims-search")]
pub struct ClaimsSearchCommand {
    /// histories to play at most (default 100000)
    #[argh(option, default = "100_000")]
    histories: u64,

    /// seed of all histories (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// what is played: `correct` (default), `no-claim`, `vouch-after-restart` or `no-fence`
    #[argh(option, default = "Variant::Correct")]
    variant: Variant,
}

#[derive(Serialize)]
struct Summary {
    variant: &'static str,
    seed: u64,
    histories: u64,
    #[serde(flatten)]
    tallies: Tallies,
    violation: Option<String>,
    histories_needed: Option<u64>,
    shrunk_steps: Option<usize>,
}

/// Carries out the command.
pub fn execute(command: &ClaimsSearchCommand) -> anyhow::Result<()> {
    let started = Instant::now();
    let report = search(SearchSettings {
        histories: command.histories,
        seed: command.seed,
        variant: command.variant,
    });
    eprintln!("searched for {:.1} s", started.elapsed().as_secs_f64());
    if let Some(finding) = &report.finding {
        print_finding(finding);
    }
    println!("{}", serde_json::to_string(&command.summary(&report))?);
    command.judge(&report)
}

impl ClaimsSearchCommand {
    fn summary(&self, report: &SearchReport) -> Summary {
        let finding = report.finding.as_ref();
        Summary {
            variant: self.variant.as_str(),
            seed: self.seed,
            histories: report.histories,
            tallies: report.tallies,
            violation: finding.map(|finding| finding.violation.to_string()),
            histories_needed: finding.map(|finding| finding.histories_needed),
            shrunk_steps: finding.map(|finding| finding.shrunk.steps.len()),
        }
    }

    fn judge(&self, report: &SearchReport) -> anyhow::Result<()> {
        match (self.variant, &report.finding) {
            (Variant::Correct, Some(finding)) => bail!("{}", finding.violation),
            (Variant::Correct, None) | (_, Some(_)) => Ok(()),
            (variant, None) => bail!("the broken variant `{variant}` was not found out"),
        }
    }
}

fn print_finding(finding: &Finding) {
    println!(
        "history {} breaks a promise; shrunk:",
        finding.histories_needed
    );
    println!(
        "  clock errors (permille): {:?}",
        finding.shrunk.drift_permille
    );
    println!("  seed: {}", finding.shrunk.seed);
    for step in &finding.shrunk.steps {
        println!("  {step:?}");
    }
    println!("  {}", finding.violation);
}
