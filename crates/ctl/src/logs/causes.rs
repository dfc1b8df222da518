//! Counts the causes of requests that were not served, over the logs of many nodes.

use std::collections::BTreeMap;

use super::line::LogLine;
use crate::columns::Columns;

/// Length of the part of a time down to its second: `2026-12-02T14:05:46`.
const SECOND_LENGTH: usize = 19;

/// The fields in which log lines must agree to be counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cause {
    kind: &'static str,
    service: String,
    outcome: String,
    why: String,
}

/// How often a cause occurred, in total and by second.
#[derive(Clone, Debug, Default)]
struct Occurrences {
    count: u64,
    by_second: BTreeMap<String, u64>,
}

impl Occurrences {
    fn add(&mut self, time: &str) {
        let second = time.get(..SECOND_LENGTH).unwrap_or(time);
        self.count += 1;
        *self.by_second.entry(second.to_owned()).or_default() += 1;
    }

    fn first(&self) -> &str {
        let first = self.by_second.keys().next();
        first.map_or("", String::as_str)
    }

    fn last(&self) -> &str {
        let last = self.by_second.keys().next_back();
        last.map_or("", String::as_str)
    }

    fn busiest(&self) -> String {
        let busiest = self.by_second.iter().max_by_key(|(_, count)| **count);
        busiest.map_or(String::new(), |(second, count)| {
            format!("{second} ({count})")
        })
    }
}

/// The causes found so far.
#[derive(Clone, Debug, Default)]
pub struct Causes {
    found: BTreeMap<Cause, Occurrences>,
    left_out: u64,
}

impl Causes {
    /// Counts a log line.
    pub fn add(&mut self, line: LogLine) {
        match line {
            LogLine::NotServed(line) => {
                let kind = if line.nested {
                    "nested call"
                } else {
                    "request"
                };
                self.count(kind, line.service, line.outcome, line.why, &line.ts);
            }
            LogLine::NotAnswered(line) => {
                self.count("attempt", line.service, line.outcome, line.why, &line.ts);
            }
            LogLine::LeftOut { count } => self.left_out += count,
        }
    }

    fn count(
        &mut self,
        kind: &'static str,
        service: String,
        outcome: String,
        why: String,
        time: &str,
    ) {
        let cause = Cause {
            kind,
            service,
            outcome,
            why,
        };
        self.found.entry(cause).or_default().add(time);
    }

    /// Formats the causes as a table, the most frequent first, with the number of lines
    /// that the nodes left out.
    pub fn render(&self) -> String {
        let headings = [
            "count",
            "what",
            "service",
            "outcome",
            "why",
            "first",
            "last",
            "busiest second",
        ];
        let mut columns = Columns::new(&headings);
        let mut sorted: Vec<_> = self.found.iter().collect();
        sorted.sort_by_key(|(_, occurrences)| std::cmp::Reverse(occurrences.count));
        for (cause, occurrences) in sorted {
            columns.add(vec![
                occurrences.count.to_string(),
                cause.kind.to_owned(),
                cause.service.clone(),
                cause.outcome.clone(),
                cause.why.clone(),
                occurrences.first().to_owned(),
                occurrences.last().to_owned(),
                occurrences.busiest(),
            ]);
        }
        let table = columns.render();
        match self.left_out {
            0 => table,
            left_out => {
                format!(
                    "{table}\n{left_out} lines were left out by the nodes: counts are lower bounds"
                )
            }
        }
    }
}
