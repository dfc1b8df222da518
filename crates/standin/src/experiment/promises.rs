//! Checks of the users' promises from what clients were told and what back ends ran.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::backend::{CallRecord, LedgerReport};
use crate::call::CallName;
use crate::load::{Outcome, RequestRecord};

/// Retries that the entry node grants to one request.
pub const RETRY_ALLOWANCE: u64 = 3;
/// How many examples of a broken promise are kept.
const MAX_EXAMPLES: usize = 3;

/// What a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Things checked; a check of nothing proves nothing.
    pub checked: u64,
    /// Breaches found.
    pub broken: u64,
    /// Some of the breaches.
    pub examples: Vec<String>,
}

impl Verdict {
    /// Counts one thing checked.
    pub fn check(&mut self, holds: bool, example: impl FnOnce() -> String) {
        self.checked += 1;
        if holds {
            return;
        }
        self.broken += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example());
        }
    }
}

/// Verdicts on promises by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Promises {
    /// A keyed operation runs at most once, with one body.
    pub at_most_once: Verdict,
    /// What was told "not run" did not run.
    pub not_run_truth: Verdict,
    /// Every complete answer is the caller's own and did run.
    pub complete_answer: Verdict,
    /// Attempts over a whole request's tree are bounded.
    pub retry_bound: Verdict,
}

impl Promises {
    /// Checks everything that clients and ledgers allow.
    pub fn check(records: &[RequestRecord], ledgers: &[LedgerReport]) -> Self {
        let index = Index::of(ledgers);
        Promises {
            at_most_once: at_most_once(ledgers),
            not_run_truth: not_run_truth(records, ledgers, &index),
            complete_answer: complete_answer(records, &index),
            retry_bound: retry_bound(records, &index),
        }
    }

    /// Breaches of all promises.
    pub fn broken(&self) -> u64 {
        let verdicts = self.verdicts();
        verdicts.iter().map(|(_, verdict)| verdict.broken).sum()
    }

    /// All verdicts with their names.
    pub fn verdicts(&self) -> [(&'static str, &Verdict); 4] {
        [
            ("at_most_once", &self.at_most_once),
            ("not_run_truth", &self.not_run_truth),
            ("complete_answer", &self.complete_answer),
            ("retry_bound", &self.retry_bound),
        ]
    }
}

/// Sums over the ledgers of all servers of a service.
#[derive(Default)]
struct Index<'a> {
    runs: BTreeMap<(&'a str, &'a CallName), u64>,
    arrivals: BTreeMap<&'a str, u64>,
    nested_calls: BTreeMap<&'a str, u64>,
}

impl<'a> Index<'a> {
    fn of(ledgers: &'a [LedgerReport]) -> Self {
        let mut index = Index::default();
        for ledger in ledgers {
            for call in &ledger.calls {
                index.add(&ledger.service, call);
            }
        }
        index
    }

    fn add(&mut self, service: &'a str, call: &'a CallRecord) {
        let request = call.name.request.as_str();
        *self.runs.entry((service, &call.name)).or_default() += u64::from(call.runs);
        *self.arrivals.entry(request).or_default() += u64::from(call.arrivals);
        *self.nested_calls.entry(request).or_default() += u64::from(call.nested_calls);
    }

    fn runs(&self, service: &str, name: &CallName) -> u64 {
        self.runs.get(&(service, name)).copied().unwrap_or(0)
    }
}

fn at_most_once(ledgers: &[LedgerReport]) -> Verdict {
    let mut operations: BTreeMap<(&str, &str), (u64, Vec<u64>)> = BTreeMap::new();
    for ledger in ledgers {
        for call in &ledger.calls {
            let Some(key) = &call.key else { continue };
            let operation = operations.entry((&ledger.service, key)).or_default();
            operation.0 += u64::from(call.runs);
            operation.1.extend(&call.body_digests);
        }
    }
    let mut verdict = Verdict::default();
    for ((service, key), (runs, digests)) in operations {
        let one_body = digests.windows(2).all(|pair| pair[0] == pair[1]);
        verdict.check(runs <= 1 && one_body, || {
            format!("{service} ran {key} {runs} times, bodies {digests:x?}")
        });
    }
    verdict
}

fn not_run_truth(
    records: &[RequestRecord],
    ledgers: &[LedgerReport],
    index: &Index<'_>,
) -> Verdict {
    let mut verdict = Verdict::default();
    for record in records {
        for &attempt in &record.not_run_attempts {
            let name = client_call(record, attempt);
            let runs = index.runs(&record.service, &name);
            verdict.check(runs == 0, || {
                format!("{} ran {name:?} {runs} times", record.service)
            });
        }
    }
    let refusals = ledgers.iter().flat_map(|ledger| &ledger.nested_refusals);
    for refusal in refusals {
        let runs = index.runs(&refusal.service, &refusal.name);
        verdict.check(runs == 0, || {
            format!("{} ran {:?} {runs} times", refusal.service, refusal.name)
        });
    }
    verdict
}

fn client_call(record: &RequestRecord, attempt: u32) -> CallName {
    CallName {
        request: record.request.clone(),
        attempt,
        caller: String::new(),
    }
}

/// A keyed answer may come from the run of an earlier attempt.
fn complete_answer(records: &[RequestRecord], index: &Index<'_>) -> Verdict {
    let mut verdict = Verdict::default();
    for record in records {
        let mut attempts = 1..=record.attempts;
        let ran = |attempt| index.runs(&record.service, &client_call(record, attempt)) > 0;
        let complete = !record.complete_attempts.is_empty();
        let holds = record.outcome != Outcome::Corrupt && (!complete || attempts.any(ran));
        verdict.check(holds, || format!("{record:?}"));
    }
    verdict
}

fn retry_bound(records: &[RequestRecord], index: &Index<'_>) -> Verdict {
    let mut verdict = Verdict::default();
    for record in records {
        let request = record.request.as_str();
        let arrivals = index.arrivals.get(request).copied().unwrap_or(0);
        let nested = index.nested_calls.get(request).copied().unwrap_or(0);
        let bound = u64::from(record.attempts) + nested + RETRY_ALLOWANCE;
        verdict.check(arrivals <= bound, || {
            format!("{request}: {arrivals} arrivals, at most {bound} granted")
        });
    }
    verdict
}
