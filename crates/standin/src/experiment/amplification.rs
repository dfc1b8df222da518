//! How many more calls reached back ends than clients' attempts needed.

use std::collections::{BTreeMap, BTreeSet};

use super::mesh::Mesh;
use crate::backend::LedgerReport;
use crate::load::RequestRecord;

/// Arrivals at the back ends of a service over the calls that the clients' attempts seen
/// there make when nothing is repeated. Work that was cut short lowers it.
pub fn retry_amplification(
    mesh: &Mesh,
    service: &str,
    records: &[RequestRecord],
    ledgers: &[LedgerReport],
) -> f64 {
    let called: BTreeMap<&str, &str> = records
        .iter()
        .map(|record| (record.request.as_str(), record.service.as_str()))
        .collect();
    let mut arrivals = 0;
    let mut attempts: BTreeSet<(&str, u32)> = BTreeSet::new();
    for ledger in ledgers.iter().filter(|ledger| ledger.service == service) {
        for call in &ledger.calls {
            arrivals += call.arrivals;
            attempts.insert((&call.name.request, call.name.attempt));
        }
    }
    let needed: f64 = attempts
        .iter()
        .filter_map(|(request, _)| called.get(request))
        .map(|entry| mesh.calls_to(entry, service))
        .sum();
    f64::from(arrivals) / needed.max(1.0)
}

/// Share of the back ends' slot time that was spent on requests that were not useful in the end.
pub fn wasted_work(records: &[RequestRecord], ledgers: &[LedgerReport]) -> f64 {
    let useful: BTreeSet<&str> = records
        .iter()
        .filter(|record| record.outcome == crate::load::Outcome::Useful)
        .map(|record| record.request.as_str())
        .collect();
    let mut all = 0;
    let mut wasted = 0;
    for call in ledgers.iter().flat_map(|ledger| &ledger.calls) {
        all += call.slot_micros;
        if !useful.contains(call.name.request.as_str()) {
            wasted += call.slot_micros;
        }
    }
    wasted as f64 / all.max(1) as f64
}
