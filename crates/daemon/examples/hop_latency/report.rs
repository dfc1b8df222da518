//! The results that the benchmark prints.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Latency percentiles in microseconds.
#[derive(Clone, Copy, Serialize)]
pub struct Latencies {
    pub p50: f64,
    pub p99: f64,
}

/// The results of one phase: direct calls and calls through the hop at one rate.
#[derive(Serialize)]
pub struct PhaseReport {
    pub what: &'static str,
    pub calls_per_second: u32,
    pub calls: u64,
    pub direct_micros: Latencies,
    pub hop_micros: Latencies,
    pub added_micros: Latencies,
    /// CPU time of both nodes together for one call.
    pub processor_micros_per_call: f64,
}

/// How the CPU time of a call grows with body size and with connections.
#[derive(Serialize)]
pub struct Slopes {
    /// Pairs of body bytes (sent and returned) and CPU microseconds for a call.
    pub by_body_bytes: Vec<(f64, f64)>,
    pub micros_per_kibibyte: f64,
    /// Pairs of callers' connections and CPU microseconds for a call.
    pub by_connections: Vec<(f64, f64)>,
    pub micros_per_connection: f64,
}

#[derive(Serialize)]
pub struct Summary {
    pub what: &'static str,
    pub unloaded: PhaseReport,
    pub loaded: PhaseReport,
    pub slopes: Option<Slopes>,
}

pub fn print(report: &impl Serialize) {
    let line = serde_json::to_string(report).expect("a report is plain data");
    println!("{line}");
}

impl PhaseReport {
    pub fn new(
        what: &'static str,
        rate: u32,
        direct: &Histogram<u64>,
        hop: &Histogram<u64>,
        processor_time: Duration,
    ) -> Self {
        let direct_micros = Latencies::of(direct);
        let hop_micros = Latencies::of(hop);
        PhaseReport {
            what,
            calls_per_second: rate,
            calls: hop.len(),
            direct_micros,
            hop_micros,
            added_micros: Latencies {
                p50: hop_micros.p50 - direct_micros.p50,
                p99: hop_micros.p99 - direct_micros.p99,
            },
            processor_micros_per_call: processor_time.as_secs_f64() * 1e6 / hop.len() as f64,
        }
    }
}

impl Latencies {
    fn of(nanoseconds: &Histogram<u64>) -> Self {
        let micros = |quantile| nanoseconds.value_at_quantile(quantile) as f64 / 1e3;
        Latencies {
            p50: micros(0.5),
            p99: micros(0.99),
        }
    }
}

impl Slopes {
    pub fn new(by_body_bytes: Vec<(f64, f64)>, by_connections: Vec<(f64, f64)>) -> Self {
        Slopes {
            micros_per_kibibyte: slope(&by_body_bytes) * 1024.0,
            micros_per_connection: slope(&by_connections),
            by_body_bytes,
            by_connections,
        }
    }
}

/// The slope of the least-squares line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}
