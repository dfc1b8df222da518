//! Choice of the servers to eject, by comparison with the others of their side.
//!
//! A server is ejected only while others do clearly better. The number of ejected
//! servers is limited, so that a wrong conclusion can't leave the service without
//! servers: for errors at most half of a side is ejected, for missing answers and
//! broken connections at most all servers that others can replace. If all servers
//! fail or stop answering at once, the cause is not the servers and none is ejected.

use std::time::Duration;

use lifthollow_state::{NodeId, Timestamp};

use super::ejection::Evidence;
use super::server_state::ServerRecord;

/// A server with an outstanding attempt counts as unresponsive only after at least
/// this long without an answer.
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_millis(200);
/// Largest mean failure rate of the other servers, relative to the failure rate of
/// the suspected server, at which the others count as clearly better.
const MAX_RELATIVE_FAILURE_RATE: f64 = 0.5;

/// The routable servers of one side of a service.
pub struct SideServers<'a> {
    /// Node and record of each routable server of the side.
    pub servers: Vec<(NodeId, &'a ServerRecord)>,
    /// Routable servers of the other side, if that side may take over; empty
    /// otherwise.
    pub other_side: Vec<(NodeId, &'a ServerRecord)>,
    /// Latency that almost every answer of the service stays under.
    pub high_latency: Duration,
}

impl SideServers<'_> {
    /// The servers of the side to eject now.
    pub fn outliers(&self, now: Timestamp) -> Vec<NodeId> {
        let mut in_use = self.count_in_use();
        let mut outliers = Vec::new();
        for (node, server) in &self.servers {
            let Some(evidence) = self.evidence(now, server) else {
                continue;
            };
            if in_use > self.min_in_use(evidence) && self.others_do_better(now, *node, evidence) {
                outliers.push(*node);
                in_use -= 1;
            }
        }
        outliers
    }

    fn count_in_use(&self) -> usize {
        self.servers
            .iter()
            .filter(|(_, server)| server.ejection.is_in_use())
            .count()
    }

    /// Number of the side's servers that stay in use for this kind of evidence.
    fn min_in_use(&self, evidence: Evidence) -> usize {
        match evidence {
            Evidence::Errors => self.servers.len().div_ceil(2),
            Evidence::Unresponsive => 0,
        }
    }

    fn evidence(&self, now: Timestamp, server: &ServerRecord) -> Option<Evidence> {
        if server.ejection.is_in_use() && self.is_unresponsive(now, server) {
            return Some(Evidence::Unresponsive);
        }
        server.ejection.evidence()
    }

    fn is_unresponsive(&self, now: Timestamp, server: &ServerRecord) -> bool {
        server.time_without_answer(now) > MIN_UNRESPONSIVE_TIME.max(self.high_latency)
    }

    fn others_do_better(&self, now: Timestamp, suspect: NodeId, evidence: Evidence) -> bool {
        let others: Vec<&ServerRecord> = self
            .servers
            .iter()
            .filter(|(node, server)| *node != suspect && server.ejection.is_in_use())
            .map(|(_, server)| *server)
            .collect();
        match evidence {
            Evidence::Unresponsive => self.others_answer(now, &others),
            Evidence::Errors => self.others_fail_less(suspect, &others),
        }
    }

    fn others_answer(&self, now: Timestamp, others: &[&ServerRecord]) -> bool {
        let other_side = self.other_side.iter().map(|(_, server)| *server);
        others
            .iter()
            .copied()
            .chain(other_side.filter(|server| server.ejection.is_in_use()))
            .any(|server| {
                !self.is_unresponsive(now, server)
                    && server.ejection.evidence() != Some(Evidence::Unresponsive)
            })
    }

    fn others_fail_less(&self, suspect: NodeId, others: &[&ServerRecord]) -> bool {
        let own_rate = self
            .servers
            .iter()
            .find(|(node, _)| *node == suspect)
            .map_or(0.0, |(_, server)| server.ejection.failure_rate());
        let total: f64 = others
            .iter()
            .map(|server| server.ejection.failure_rate())
            .sum();
        total <= own_rate * MAX_RELATIVE_FAILURE_RATE * others.len() as f64
    }
}
