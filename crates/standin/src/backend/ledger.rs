//! The account of what a back end really ran.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use super::nested::NestedRefusal;
use crate::call::{CallName, CallSpecification};

/// Calls kept by name; later ones are only counted, and the report says so.
const MAX_CALLS: usize = 400_000;

/// Wall-clock times of runs in milliseconds; one machine, one clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimes {
    /// Start of the first run.
    pub first_start_ms: u64,
    /// Start of the last run.
    pub last_start_ms: u64,
}

/// What the back end saw of one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call.
    pub name: CallName,
    /// The operation's name if it must run at most once.
    pub key: Option<String>,
    /// How often it arrived, whether it ran or not.
    pub arrivals: u32,
    /// How often it started to run.
    pub runs: u32,
    /// How often it ran to the end and its whole answer was handed over.
    pub completed: u32,
    /// Distinct digests of the bodies with which it ran.
    pub body_digests: Vec<u64>,
    /// Calls that its runs made to other services.
    pub nested_calls: u32,
    /// Time for which its runs held a slot, in microseconds.
    pub slot_micros: u64,
    /// When it ran.
    pub times: RunTimes,
}

/// Sums over all calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Calls that arrived.
    pub arrivals: u64,
    /// Runs started.
    pub runs: u64,
    /// Runs that ended with their whole answer handed over.
    pub completed: u64,
    /// Calls shed before they ran.
    pub shed: u64,
    /// Calls accepted and never answered.
    pub hung: u64,
    /// Slot time of runs in microseconds.
    pub slot_micros: u64,
    /// Calls that no longer fit into the ledger.
    pub not_recorded: u64,
    /// Largest number of connections at once.
    pub peak_connections: u64,
}

/// The whole ledger, as the control port shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LedgerReport {
    /// The service.
    pub service: String,
    /// Sums.
    pub totals: Totals,
    /// Every call that arrived.
    pub calls: Vec<CallRecord>,
    /// Nested calls that this back end was told had not run.
    pub nested_refusals: Vec<NestedRefusal>,
}

/// Records what arrives and runs.
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
    /// A call has arrived.
    pub fn arrived(&self, call: &CallSpecification) {
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

    /// A call starts to run.
    pub fn started(&self, name: &CallName, body_digest: u64) {
        let mut entries = self.lock();
        entries.totals.runs += 1;
        if let Some(record) = entries.calls.get_mut(name) {
            record.start(body_digest, unix_millis());
        }
    }

    /// A run ended after `slot_micros`; `completed` if its whole answer was handed over.
    pub fn ended(&self, name: &CallName, slot_micros: u64, completed: bool) {
        let mut entries = self.lock();
        entries.totals.slot_micros += slot_micros;
        entries.totals.completed += u64::from(completed);
        if let Some(record) = entries.calls.get_mut(name) {
            record.slot_micros += slot_micros;
            record.completed += u32::from(completed);
        }
    }

    /// A run makes a call to another service.
    pub fn nested_call(&self, name: &CallName) {
        if let Some(record) = self.lock().calls.get_mut(name) {
            record.nested_calls += 1;
        }
    }

    /// A nested call was answered as not run.
    pub fn nested_refused(&self, refusal: NestedRefusal) {
        self.lock().nested_refusals.push(refusal);
    }

    /// A call was shed before it ran.
    pub fn shed(&self) {
        self.lock().totals.shed += 1;
    }

    /// A call was accepted and will never be answered.
    pub fn hung(&self) {
        self.lock().totals.hung += 1;
    }

    /// So many connections are open now.
    pub fn connections(&self, open: u64) {
        let mut entries = self.lock();
        entries.totals.peak_connections = entries.totals.peak_connections.max(open);
    }

    /// Sums so far.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }

    /// Everything recorded so far.
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

/// Milliseconds since the epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
