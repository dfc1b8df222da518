//! Counters and latency histograms, served as Prometheus text.

use anyhow::Result;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the buckets of duration histograms, in seconds.
const DURATION_BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];
/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Requests of local callers, by the outcome that the caller was answered with.
    pub requests: IntCounterVec,
    /// Time from a request's arrival to its answer.
    pub request_duration: Histogram,
    /// Attempts for the local server, by how they ended.
    pub attempts: IntCounterVec,
    /// Time that the local server took to answer.
    pub server_duration: Histogram,
    /// Requests that reached the local server.
    pub server_requests: IntCounter,
    /// What the local server reports about itself in its answers.
    pub server_notice: ServerNoticeMetrics,
    /// Attempts that were retries.
    pub retries: IntCounter,
    /// Crashes of the local server.
    pub server_crashes: IntCounter,
    /// Number of request contents that are suspected or proven to crash servers.
    pub suspects: IntGaugeVec,
    /// Number of tenants that recently sent requests through this node, that are at their rate limit
    /// here, and whose tokens this node lends.
    pub tenants: IntGaugeVec,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Era of the revision of this node's snapshot.
    pub snapshot_era: IntGauge,
    /// Number of the snapshot's revision within its era.
    pub snapshot_revision: IntGauge,
    /// Changes of the snapshot, by where they came from.
    pub changes: IntCounterVec,
    /// Calls to the source, by what they are for.
    pub source_calls: IntCounterVec,
    /// Requests running at and waiting for the local server, and its concurrency limit.
    pub load: IntGaugeVec,
    /// Number of connections opened, to the local server and to other nodes.
    pub connections: IntGaugeVec,
    /// Number of requests that were sent on a second connection because the first had ended before
    /// any byte of them was sent, to the local server and to other nodes.
    pub resent_requests: IntGaugeVec,
    /// Tasks of the process that panicked and were started anew, by task.
    pub task_restarts: IntCounterVec,
    /// Log lines left out by the rate limit of the log.
    pub log_lines_left_out: IntCounter,
}

/// Metrics of what the local server reports about itself in its answers.
pub struct ServerNoticeMetrics {
    /// Rate limit that the server announces, in requests a second; [`NO_LIMIT`] if it announces none.
    pub limit: Gauge,
    /// Since when the server has announced a rate limit, in Unix seconds; 0 if it announces none.
    pub limited_since: Gauge,
    /// Whether the server is leaving: 1 if so, else 0.
    pub is_leaving: IntGauge,
}

/// Value of the limit gauge for a server that announces no limit.
pub const NO_LIMIT: f64 = -1.0;

impl ServerNoticeMetrics {
    fn new(registry: &Registry) -> Result<Self> {
        let limit = gauge(
            registry,
            "lifthollow_server_limit",
            "Requests a second that the server takes from all nodes together; -1 if it names no limit.",
        )?;
        limit.set(NO_LIMIT);
        let limited_since = gauge(
            registry,
            "lifthollow_server_limited_since_seconds",
            "Unix time since when the server has named a limit; 0 if it names none.",
        )?;
        let is_leaving = IntGauge::new(
            "lifthollow_server_leaving",
            "Whether the server says in its answers that it leaves.",
        )?;
        registry.register(Box::new(is_leaving.clone()))?;
        Ok(ServerNoticeMetrics {
            limit,
            limited_since,
            is_leaving,
        })
    }
}

impl Metrics {
    /// Creates and registers all metrics, at their initial values.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let metrics = Metrics {
            requests: counters(
                &registry,
                "lifthollow_requests_total",
                "Requests of local callers, by what the caller was told.",
                "outcome",
            )?,
            request_duration: histogram(
                &registry,
                "lifthollow_request_duration_seconds",
                "Time from a request's arrival to its answer.",
            )?,
            attempts: counters(
                &registry,
                "lifthollow_attempts_total",
                "Attempts for the server beside this node, by how they ended.",
                "outcome",
            )?,
            server_duration: histogram(
                &registry,
                "lifthollow_server_duration_seconds",
                "Time that the server beside this node took to answer.",
            )?,
            server_requests: counter(
                &registry,
                "lifthollow_server_requests_total",
                "Requests that reached the server beside this node.",
            )?,
            server_notice: ServerNoticeMetrics::new(&registry)?,
            retries: IntCounter::new("lifthollow_repeats_total", "Attempts that were repeats.")?,
            server_crashes: IntCounter::new(
                "lifthollow_server_crashes_total",
                "Crashes of the server beside this node.",
            )?,
            configuration_version: IntGauge::new(
                "lifthollow_configuration_version",
                "Version of the configuration in force.",
            )?,
            snapshot_era: IntGauge::new(
                "lifthollow_snapshot_era",
                "How often the source has come back from an older copy, as of the snapshot.",
            )?,
            snapshot_revision: IntGauge::new(
                "lifthollow_snapshot_revision",
                "Revision of the snapshot in force.",
            )?,
            changes: counters(
                &registry,
                "lifthollow_changes_total",
                "Changes of the snapshot, by where they came from.",
                "source",
            )?,
            source_calls: counters(
                &registry,
                "lifthollow_source_calls_total",
                "Calls to the source of configuration and servers, by what they are for.",
                "kind",
            )?,
            load: gauges(
                &registry,
                "lifthollow_load",
                "Load at the server beside this node.",
                "what",
            )?,
            suspects: gauges(
                &registry,
                "lifthollow_suspects",
                "Contents of requests that may crash servers, by what is known.",
                "standing",
            )?,
            tenants: gauges(
                &registry,
                "lifthollow_tenants",
                "Tenants: with requests at this node lately, at their limit here, lent here.",
                "what",
            )?,
            connections: gauges(
                &registry,
                "lifthollow_connections_opened",
                "Connections opened.",
                "to",
            )?,
            resent_requests: gauges(
                &registry,
                "lifthollow_requests_resent",
                "Requests sent on a second connection, since the first had ended before any byte of them was sent.",
                "to",
            )?,
            task_restarts: counters(
                &registry,
                "lifthollow_task_restarts_total",
                "Tasks of the process that panicked and were started anew.",
                "task",
            )?,
            log_lines_left_out: IntCounter::new(
                "lifthollow_log_lines_left_out_total",
                "Log lines left out to bound their number.",
            )?,
            registry,
        };
        metrics
            .registry
            .register(Box::new(metrics.retries.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.server_crashes.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.configuration_version.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.snapshot_era.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.snapshot_revision.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.log_lines_left_out.clone()))?;
        Ok(metrics)
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<Gauge> {
    let gauge = Gauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> Result<IntGaugeVec> {
    let gauges = IntGaugeVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram> {
    let options = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
