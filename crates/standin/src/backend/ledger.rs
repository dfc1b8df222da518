//! Record of the calls that a back end received and executed.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use super::nested::NestedRefusal;
use crate::call::{CallName, CallSpecification};

/// Maximum number of distinct calls recorded by name. Later calls are only counted, in
/// `Totals::not_recorded`.
const MAX_CALLS: usize = 400_000;

/// Wall-clock times of a call's executions in milliseconds since the Unix epoch. They are
/// comparable between back ends, because all of them run on one machine with one clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimes {
    /// Start of the call's first execution.
    pub first_start_ms: u64,
    /// Start of the call's last execution.
    pub last_start_ms: u64,
}

/// What a back end recorded about one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRecord {
    /// Identity of the call.
    pub name: CallName,
    /// Idempotency key, if the call must be executed at most once.
    pub key: Option<String>,
    /// Number of times the call arrived, whether or not it was executed.
    pub arrivals: u32,
    /// Number of executions of the call that were started.
    pub runs: u32,
    /// Number of executions that ended with the whole response handed to the HTTP server.
    pub completed: u32,
    /// Distinct digests of the request bodies with which the call was executed.
    pub body_digests: Vec<u64>,
    /// Number of calls that the call's executions made to other services.
    pub nested_calls: u32,
    /// Total time for which the call's executions held a slot, in microseconds.
    pub slot_micros: u64,
    /// Start times of the call's executions.
    pub times: RunTimes,
}

/// Counts over all calls that a back end received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Number of calls that arrived.
    pub arrivals: u64,
    /// Number of executions started.
    pub runs: u64,
    /// Number of executions that ended with the whole response handed to the HTTP server.
    pub completed: u64,
    /// Number of calls shed before they were executed.
    pub shed: u64,
    /// Number of calls that were accepted and never answered.
    pub hung: u64,
    /// Total time for which executions held a slot, in microseconds.
    pub slot_micros: u64,
    /// Number of arrivals not recorded by name because the ledger was full.
    pub not_recorded: u64,
    /// Largest number of connections that were open at the same time.
    pub peak_connections: u64,
}

/// Contents of the ledger as returned by `GET /ledger` on the control port.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LedgerReport {
    /// Name of the service that the back end provides.
    pub service: String,
    /// Counts over all calls.
    pub totals: Totals,
    /// One record for each call that arrived.
    pub calls: Vec<CallRecord>,
    /// Nested calls of this back end that were answered as not executed.
    pub nested_refusals: Vec<NestedRefusal>,
}

/// Records the calls that arrive at a back end and their executions.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    totals: Totals,
    calls: BTreeMap<CallName, CallRecord>,
    nested_refusals: Vec<NestedRefusal>,
}

impl Ledger {
    /// Records that `call` arrived.
    pub fn record_arrival(&self, call: &CallSpecification) {
        let mut entries = self.lock();
        entries.totals.arrivals += 1;
        if entries.calls.len() >= MAX_CALLS && !entries.calls.contains_key(&call.name) {
            entries.totals.not_recorded += 1;
            return;
        }
        let record = entries
            .calls
            .entry(call.name.clone())
            .or_insert_with(|| CallRecord::new(call));
        record.arrivals += 1;
    }

    /// Records that the call `name` starts to execute with a request body of digest `body_digest`.
    pub fn record_start(&self, name: &CallName, body_digest: u64) {
        let mut entries = self.lock();
        entries.totals.runs += 1;
        if let Some(record) = entries.calls.get_mut(name) {
            record.start(body_digest, unix_millis());
        }
    }

    /// Records the end of an execution that held a slot for `slot_micros` microseconds.
    /// `completed` tells whether its whole response was handed to the HTTP server.
    pub fn record_end(&self, name: &CallName, slot_micros: u64, completed: bool) {
        let mut entries = self.lock();
        entries.totals.slot_micros += slot_micros;
        entries.totals.completed += u64::from(completed);
        if let Some(record) = entries.calls.get_mut(name) {
            record.slot_micros += slot_micros;
            record.completed += u32::from(completed);
        }
    }

    /// Records that an execution of the call `name` makes a call to another service.
    pub fn record_nested_call(&self, name: &CallName) {
        if let Some(record) = self.lock().calls.get_mut(name) {
            record.nested_calls += 1;
        }
    }

    /// Records a nested call that was answered as not executed.
    pub fn record_nested_refusal(&self, refusal: NestedRefusal) {
        self.lock().nested_refusals.push(refusal);
    }

    /// Counts a call that was shed before it was executed.
    pub fn record_shed(&self) {
        self.lock().totals.shed += 1;
    }

    /// Counts a call that was accepted and will never be answered.
    pub fn record_hung(&self) {
        self.lock().totals.hung += 1;
    }

    /// Updates the peak number of connections, given that `open` are open now.
    pub fn record_open_connections(&self, open: u64) {
        let mut entries = self.lock();
        entries.totals.peak_connections = entries.totals.peak_connections.max(open);
    }

    /// Returns the counts so far.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }

    /// Returns everything recorded so far, for the back end of `service`.
    pub fn report(&self, service: &str) -> LedgerReport {
        let entries = self.lock();
        LedgerReport {
            service: service.to_owned(),
            totals: entries.totals,
            calls: entries.calls.values().cloned().collect(),
            nested_refusals: entries.nested_refusals.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallRecord {
    fn new(call: &CallSpecification) -> Self {
        CallRecord {
            name: call.name.clone(),
            key: call.key.clone(),
            arrivals: 0,
            runs: 0,
            completed: 0,
            body_digests: Vec::new(),
            nested_calls: 0,
            slot_micros: 0,
            times: RunTimes::default(),
        }
    }

    fn start(&mut self, body_digest: u64, now_ms: u64) {
        if self.runs == 0 {
            self.times.first_start_ms = now_ms;
        }
        self.times.last_start_ms = now_ms;
        self.runs += 1;
        if !self.body_digests.contains(&body_digest) {
            self.body_digests.push(body_digest);
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
