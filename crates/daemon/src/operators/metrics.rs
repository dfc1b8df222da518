//! Prometheus metrics of a node.

use std::time::Duration;

use anyhow::Result;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use lifthollow_protocol::RefusalReason;
use lifthollow_protocol::operators::{EdgeStatus, NodeStatus};
use lifthollow_state::ServiceName;

/// Upper bounds of the buckets of the call duration histogram, seconds.
const DURATION_BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    call_duration: HistogramVec,
    refusals: IntCounterVec,
    datagrams: IntCounterVec,
    fetches: IntCounterVec,
    table_number: IntGauge,
    in_progress: IntGaugeVec,
    local_load: IntGaugeVec,
    edges: IntGaugeVec,
    buffered_body_bytes: IntGauge,
}

impl Metrics {
    /// Registers all metrics, with the value zero.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let metrics = Metrics {
            calls: counter(
                "lifthollow_calls_total",
                "Calls of local callers, by what the caller was told.",
                &["service", "outcome"],
            )?,
            call_duration: HistogramVec::new(
                HistogramOpts::new(
                    "lifthollow_call_duration_seconds",
                    "Time from a call's arrival to the head of its answer.",
                )
                .buckets(DURATION_BUCKETS.to_vec()),
                &["service"],
            )?,
            refusals: counter(
                "lifthollow_refusals_total",
                "Refusals, by the side of the node that decided and the reason.",
                &["service", "place", "reason"],
            )?,
            datagrams: counter(
                "lifthollow_datagrams_total",
                "Control datagrams, by direction and fate.",
                &["direction", "fate"],
            )?,
            fetches: counter(
                "lifthollow_platform_fetches_total",
                "Reads of the platform's service.",
                &["what", "fate"],
            )?,
            table_number: IntGauge::new(
                "lifthollow_table_number",
                "Number of the table in force.",
            )?,
            in_progress: gauge(
                "lifthollow_in_progress",
                "Calls and attempts in progress.",
                &["kind"],
            )?,
            local_load: gauge(
                "lifthollow_local_load",
                "Load beside this node: in_flight, queued, limit, admission_level.",
                &["service", "what"],
            )?,
            edges: gauge(
                "lifthollow_edge",
                "Calls from this node to a side of a service: given, spilled, retries (since \
                 the start), servers_in_use, servers_left_out, admission_level.",
                &["service", "side", "what"],
            )?,
            buffered_body_bytes: IntGauge::new(
                "lifthollow_buffered_body_bytes",
                "Body bytes received from other nodes and not yet passed on.",
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.calls.clone()))?;
        registry.register(Box::new(self.call_duration.clone()))?;
        registry.register(Box::new(self.refusals.clone()))?;
        registry.register(Box::new(self.datagrams.clone()))?;
        registry.register(Box::new(self.fetches.clone()))?;
        registry.register(Box::new(self.table_number.clone()))?;
        registry.register(Box::new(self.in_progress.clone()))?;
        registry.register(Box::new(self.local_load.clone()))?;
        registry.register(Box::new(self.edges.clone()))?;
        registry.register(Box::new(self.buffered_body_bytes.clone()))?;
        Ok(())
    }

    /// Counts a call that was answered, and records its duration.
    pub fn answered(&self, service: &ServiceName, outcome: &str, duration: Duration) {
        self.calls
            .with_label_values(&[service.as_str(), outcome])
            .inc();
        self.call_duration
            .with_label_values(&[service.as_str()])
            .observe(duration.as_secs_f64());
    }

    /// Counts a call or an attempt that the node refused.
    pub fn refused(&self, service: &ServiceName, place: &str, reason: RefusalReason) {
        self.refusals
            .with_label_values(&[service.as_str(), place, reason.as_str()])
            .inc();
    }

    /// Counts a control datagram that was sent or failed to be sent.
    pub fn datagram_sent(&self, sent: bool) {
        let fate = if sent { "ok" } else { "failed" };
        self.datagrams.with_label_values(&["out", fate]).inc();
    }

    /// Counts a received control datagram.
    pub fn datagram_received(&self, well_formed: bool) {
        let fate = if well_formed { "ok" } else { "malformed" };
        self.datagrams.with_label_values(&["in", fate]).inc();
    }

    /// Counts a read of the platform's service.
    pub fn fetched(&self, what: &str, succeeded: bool) {
        let fate = if succeeded { "ok" } else { "failed" };
        self.fetches.with_label_values(&[what, fate]).inc();
    }

    /// Renders the metrics as Prometheus text; gauges are set from `status` and
    /// `buffered_bytes`.
    pub fn render(&self, status: &NodeStatus, buffered_bytes: usize) -> Result<String> {
        self.table_number.set(status.table_number as i64);
        self.buffered_body_bytes.set(buffered_bytes as i64);
        self.set_in_progress("calls", status.calls_in_progress);
        self.set_in_progress("attempts", status.attempts_in_progress);
        for load in &status.services {
            let service = &load.service;
            self.set_load(service, "in_flight", load.in_flight);
            self.set_load(service, "queued", load.queued);
            self.set_load(service, "limit", load.limit);
            self.set_load(service, "admission_level", u32::from(load.admission_level));
        }
        for edge in &status.edges {
            self.set_edge(edge, "given", edge.given as i64);
            self.set_edge(edge, "spilled", edge.spilled as i64);
            self.set_edge(edge, "retries", edge.retries as i64);
            self.set_edge(edge, "servers_in_use", edge.servers_in_use as i64);
            self.set_edge(edge, "servers_left_out", edge.servers_left_out as i64);
            self.set_edge(edge, "admission_level", i64::from(edge.admission_level));
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }

    fn set_in_progress(&self, kind: &str, count: usize) {
        self.in_progress
            .with_label_values(&[kind])
            .set(count as i64);
    }

    fn set_edge(&self, edge: &EdgeStatus, what: &str, value: i64) {
        self.edges
            .with_label_values(&[edge.service.as_str(), edge.side.as_str(), what])
            .set(value);
    }

    fn set_load(&self, service: &str, what: &str, value: u32) {
        self.local_load
            .with_label_values(&[service, what])
            .set(i64::from(value));
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
    Ok(IntCounterVec::new(Opts::new(name, help), labels)?)
}

fn gauge(name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
    Ok(IntGaugeVec::new(Opts::new(name, help), labels)?)
}
