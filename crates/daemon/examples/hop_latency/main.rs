//! Measures the latency and the CPU time that one hop through two real
//! `lifthollowd` processes adds to a direct call on loopback.
//!
//! The same client makes direct calls and calls through the hop to the same back
//! end, alternating in rounds. Prints one JSON object a line; the last
//! one is the summary. It is a benchmark, not a test.

mod arguments;
mod client;
mod nodes;
mod report;
mod surroundings;

use std::time::Duration;

use anyhow::Result;
use hdrhistogram::Histogram;

use arguments::Arguments;
use client::{Load, Target, run_load};
use nodes::NodePair;
use report::{PhaseReport, Slopes, Summary, print};
use surroundings::Surroundings;

/// Calls a second in the phase in which the nodes count as unloaded.
const LOW_RATE: u32 = 50;
/// Body sizes, in bytes, from whose CPU times the slope over size is fitted.
const BODY_SIZES: [usize; 4] = [0, 4 * 1024, 16 * 1024, 64 * 1024];
/// Numbers of callers' connections from whose CPU times the slope over connections
/// is fitted.
const CONNECTION_COUNTS: [usize; 3] = [8, 64, 256];
/// Calls a second while slopes are measured.
const SLOPE_RATE: u32 = 400;
/// Number of callers' connections where it is not varied.
const DEFAULT_CONNECTIONS: usize = 32;

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure(&arguments))
}

async fn measure(arguments: &Arguments) -> Result<()> {
    let surroundings = Surroundings::start().await?;
    let nodes = NodePair::start(arguments, &surroundings).await?;
    let bench = Bench {
        seconds: Duration::from_secs(arguments.seconds),
        rounds: arguments.rounds,
        surroundings,
        nodes,
    };
    bench.warm_up().await?;
    let unloaded = bench.compare("unloaded", LOW_RATE).await?;
    let loaded = bench.compare("loaded", arguments.rate).await?;
    let slopes = match arguments.slopes {
        true => Some(bench.slopes().await?),
        false => None,
    };
    print(&Summary {
        what: "summary",
        unloaded,
        loaded,
        slopes,
    });
    bench.nodes.stop().await
}

struct Bench {
    seconds: Duration,
    rounds: u32,
    surroundings: Surroundings,
    nodes: NodePair,
}

impl Bench {
    fn direct(&self) -> Target {
        Target::direct(self.surroundings.backend)
    }

    fn hop(&self) -> Target {
        Target::through_nodes(self.nodes.callers)
    }

    fn load(&self, rate: u32, seconds: Duration) -> Load {
        Load {
            rate,
            seconds,
            connections: DEFAULT_CONNECTIONS,
            body_bytes: 0,
        }
    }

    async fn warm_up(&self) -> Result<()> {
        let load = self.load(SLOPE_RATE, Duration::from_secs(2));
        run_load(&self.direct(), &load).await?;
        run_load(&self.hop(), &load).await?;
        Ok(())
    }

    /// Measures direct calls and calls through the hop, alternating, at one rate.
    async fn compare(&self, phase: &'static str, rate: u32) -> Result<PhaseReport> {
        let load = self.load(rate, self.seconds);
        let mut direct = new_histogram()?;
        let mut hop = new_histogram()?;
        let mut processor_time = Duration::ZERO;
        for _ in 0..self.rounds {
            direct.add(run_load(&self.direct(), &load).await?)?;
            let before = self.nodes.processor_time()?;
            hop.add(run_load(&self.hop(), &load).await?)?;
            processor_time += self.nodes.processor_time()? - before;
        }
        let report = PhaseReport::new(phase, rate, &direct, &hop, processor_time);
        print(&report);
        Ok(report)
    }

    async fn slopes(&self) -> Result<Slopes> {
        let mut by_size = Vec::new();
        for body_bytes in BODY_SIZES {
            let mut load = self.load(SLOPE_RATE, self.seconds);
            load.body_bytes = body_bytes;
            by_size.push((
                body_bytes as f64,
                self.processor_time_per_call(&load).await?,
            ));
        }
        let mut by_connections = Vec::new();
        for connections in CONNECTION_COUNTS {
            let mut load = self.load(SLOPE_RATE, self.seconds);
            load.connections = connections;
            by_connections.push((
                connections as f64,
                self.processor_time_per_call(&load).await?,
            ));
        }
        Ok(Slopes::new(by_size, by_connections))
    }

    /// CPU time that both nodes together spend on one call, microseconds.
    async fn processor_time_per_call(&self, load: &Load) -> Result<f64> {
        let before = self.nodes.processor_time()?;
        let latencies = run_load(&self.hop(), load).await?;
        let spent = self.nodes.processor_time()? - before;
        Ok(spent.as_secs_f64() * 1e6 / latencies.len() as f64)
    }
}

fn new_histogram() -> Result<Histogram<u64>> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Ok(Histogram::new(SIGNIFICANT_DIGITS)?)
}
