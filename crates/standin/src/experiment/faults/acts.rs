//! What happens in each fault, and the checks that only it allows.

use std::collections::BTreeMap;
use std::time::Duration;

use rustix::process::Signal;

use super::super::cluster::Cluster;
use super::super::interrupt::Interrupt;
use super::super::node::STOP_TIMEOUT;
use super::super::promises::Verdict;
use super::FaultKind;
use crate::backend::unix_millis;
use crate::load::{Outcome, RequestRecord};
use crate::platform::ReaderFault;

/// A table is in force everywhere after this.
const IN_FORCE: Duration = Duration::from_secs(7);
/// A leaving back end gets no new work after this.
const LEAVING_QUIET: Duration = Duration::from_secs(3);
const DEAD_TIME: Duration = Duration::from_secs(3);
const FROZEN_TIME: Duration = Duration::from_secs(5);
const STALE_TIME: Duration = Duration::from_secs(3);
/// The service whose node meets the fault.
const CRITICAL_SERVICE: &str = "topup";
/// The service whose node is stopped: it also serves streams.
const STREAMING_SERVICE: &str = "voucher";

/// One fault on one cluster.
pub struct FaultRun {
    /// The processes.
    pub cluster: Cluster,
    interrupt: Interrupt,
    verdicts: BTreeMap<&'static str, Verdict>,
    leaving: Option<Leaving>,
    planned_stop: bool,
}

/// A server that leaves.
struct Leaving {
    server: usize,
    since_ms: u64,
}

impl FaultRun {
    /// A run without a fault so far.
    pub fn new(cluster: Cluster, interrupt: Interrupt) -> Self {
        FaultRun {
            cluster,
            interrupt,
            verdicts: BTreeMap::new(),
            leaving: None,
            planned_stop: false,
        }
    }

    /// Causes the fault and ends it.
    pub fn act(&mut self, kind: FaultKind) -> anyhow::Result<()> {
        match kind {
            FaultKind::KilledNode => self.kill_node(),
            FaultKind::FrozenNode => self.freeze_node(),
            FaultKind::PlatformDown => self.platform_down(),
            FaultKind::PlatformStale => self.platform_stale(),
            FaultKind::TwoOperators => self.two_operators(),
            FaultKind::PlannedStop => self.stop_node(),
            FaultKind::LeavingServer => self.leave(),
        }
    }

    fn kill_node(&mut self) -> anyhow::Result<()> {
        let server = self.first_server(CRITICAL_SERVICE)?;
        self.replace_after(server, DEAD_TIME)?;
        self.check_table_at(server, 1, "table_after_start")
    }

    fn freeze_node(&mut self) -> anyhow::Result<()> {
        let server = self.first_server(CRITICAL_SERVICE)?;
        let process = &self.cluster.servers[server].node.process;
        process.signal(Signal::STOP)?;
        let slept = self.interrupt.sleep(FROZEN_TIME);
        process.signal(Signal::CONT)?;
        slept
    }

    fn platform_down(&mut self) -> anyhow::Result<()> {
        let down = ReaderFault {
            down: true,
            ..ReaderFault::default()
        };
        self.cluster.platform.set_fault(None, &down)?;
        let server = self.first_server(CRITICAL_SERVICE)?;
        self.replace_after(server, Duration::ZERO)?;
        self.check_table_at(server, 1, "table_after_start")?;
        self.cluster.platform.edit_table(&weight_cells(60))?;
        self.cluster.platform.publish_table()?;
        self.cluster
            .platform
            .set_fault(None, &ReaderFault::default())?;
        self.check_in_force(2)
    }

    fn platform_stale(&mut self) -> anyhow::Result<()> {
        self.cluster.platform.edit_table(&weight_cells(60))?;
        self.cluster.platform.publish_table()?;
        self.check_in_force(2)?;
        let stale = ReaderFault {
            editions_behind: 1,
            ..ReaderFault::default()
        };
        self.cluster.platform.set_fault(Some(0), &stale)?;
        let server = self.first_reader_of(0)?;
        self.replace_after(server, Duration::ZERO)?;
        self.check_table_at(server, 2, "table_after_start")?;
        self.interrupt.sleep(STALE_TIME)?;
        self.cluster.platform.edit_table(&weight_cells(70))?;
        self.cluster.platform.publish_table()?;
        self.check_in_force(3)
    }

    /// One address of the service shows the first operator's table, the other
    /// address the second operator's, both under the number 2.
    fn two_operators(&mut self) -> anyhow::Result<()> {
        let platform = &self.cluster.platform;
        let behind = ReaderFault {
            editions_behind: 1,
            ..ReaderFault::default()
        };
        platform.edit_table(&weight_cells(60))?;
        let first = platform.table_text()?;
        let second = first.replace(",60,", ",80,");
        platform.publish_text(&first)?;
        platform.publish_text(&second)?;
        platform.set_fault(Some(0), &behind)?;
        self.check_in_force(2)?;
        self.check_agreement()
    }

    fn stop_node(&mut self) -> anyhow::Result<()> {
        let server = self.first_server(STREAMING_SERVICE)?;
        self.planned_stop = true;
        self.leaving = Some(Leaving {
            server,
            since_ms: unix_millis(),
        });
        let process = &mut self.cluster.servers[server].node.process;
        process.signal(Signal::TERM)?;
        let status = process.wait(STOP_TIMEOUT);
        let stopped = self.verdicts.entry("stops_when_told").or_default();
        let ended_well = status.as_ref().is_ok_and(std::process::ExitStatus::success);
        stopped.check(ended_well, || format!("{status:?}"));
        Ok(())
    }

    fn leave(&mut self) -> anyhow::Result<()> {
        let server = self.first_server(STREAMING_SERVICE)?;
        self.cluster.servers[server].state = "leaving";
        self.leaving = Some(Leaving {
            server,
            since_ms: unix_millis(),
        });
        self.cluster.publish_machines()
    }

    fn first_server(&self, service: &str) -> anyhow::Result<usize> {
        let mut servers = self.cluster.servers.iter();
        let position = servers.position(|server| server.backend.service == service);
        position.ok_or_else(|| anyhow::anyhow!("no server of {service}"))
    }

    /// A server whose node reads the given address of the platform.
    fn first_reader_of(&self, reader: usize) -> anyhow::Result<usize> {
        let address = self.cluster.platform.address(reader);
        let mut servers = self.cluster.servers.iter();
        let position = servers.position(|server| server.node.plan.platform == address);
        position.ok_or_else(|| anyhow::anyhow!("no node reads {address}"))
    }

    fn replace_after(&mut self, server: usize, dead_time: Duration) -> anyhow::Result<()> {
        let node = &mut self.cluster.servers[server].node;
        node.process.signal(Signal::KILL)?;
        node.process.wait(STOP_TIMEOUT)?;
        self.interrupt.sleep(dead_time)?;
        node.replace()
    }

    /// The node must get a table no older than `number` soon.
    fn check_table_at(
        &mut self,
        server: usize,
        number: u64,
        name: &'static str,
    ) -> anyhow::Result<()> {
        let node = &self.cluster.servers[server].node;
        let has_table = || {
            Ok(node
                .status()
                .is_ok_and(|status| status.table_number >= number))
        };
        let waited = self.interrupt.wait_until(name, IN_FORCE, has_table);
        self.interrupt.check()?;
        let verdict = self.verdicts.entry(name).or_default();
        verdict.check(waited.is_ok(), || {
            format!("{} has no table {number}", node.plan.name)
        });
        Ok(())
    }

    fn check_in_force(&mut self, number: u64) -> anyhow::Result<()> {
        let waited = self.cluster.wait_for_table(number, IN_FORCE);
        self.interrupt.check()?;
        let verdict = self.verdicts.entry("in_force_everywhere").or_default();
        verdict.check(waited.is_ok(), || format!("{waited:?}"));
        Ok(())
    }

    fn check_agreement(&mut self) -> anyhow::Result<()> {
        let cluster = &self.cluster;
        let versions = || {
            let statuses = cluster.nodes().filter_map(|node| node.status().ok());
            let versions = statuses.map(|status| (status.table_number, status.table_digest));
            versions.collect::<std::collections::BTreeSet<_>>()
        };
        let agreed = || Ok(versions().len() == 1);
        let waited = self.interrupt.wait_until("one table", IN_FORCE, agreed);
        self.interrupt.check()?;
        let verdict = self.verdicts.entry("one_table_everywhere").or_default();
        verdict.check(waited.is_ok(), || format!("{:?}", versions()));
        Ok(())
    }

    /// The verdicts that only this fault allows.
    pub fn verdicts(
        &mut self,
        records: &[RequestRecord],
    ) -> anyhow::Result<BTreeMap<&'static str, Verdict>> {
        if let Some(leaving) = &self.leaving {
            let verdict = self.leaving_quiet(leaving)?;
            self.verdicts.insert("leaving_quiet", verdict);
        }
        if self.planned_stop {
            self.verdicts.insert("planned_stop", nothing_cut(records));
        }
        Ok(self.verdicts.clone())
    }

    /// No run starts at the leaving back end after the bound. What was sent to
    /// it before is not checked, so the server must have been in use.
    fn leaving_quiet(&self, leaving: &Leaving) -> anyhow::Result<Verdict> {
        let backend = &self.cluster.servers[leaving.server].backend;
        let last_allowed = leaving.since_ms + LEAVING_QUIET.as_millis() as u64;
        let mut verdict = Verdict::default();
        for call in &backend.ledger()?.calls {
            let start = call.times.last_start_ms;
            verdict.check(start <= last_allowed, || {
                let late = start - leaving.since_ms;
                format!("{:?} ran {late} ms after leaving began", call.name)
            });
        }
        Ok(verdict)
    }
}

/// No request may end in doubt because of a planned stop.
fn nothing_cut(records: &[RequestRecord]) -> Verdict {
    let mut verdict = Verdict::default();
    for record in records {
        let known = record.outcome != Outcome::Unknown;
        verdict.check(known, || format!("{record:?}"));
    }
    verdict
}

/// Cells that move the critical service's weight.
fn weight_cells(weight: u32) -> Vec<String> {
    ["old", "new"]
        .into_iter()
        .flat_map(|side| {
            let row = format!("{CRITICAL_SERVICE}@{side}");
            [row, "weight".to_owned(), weight.to_string()]
        })
        .collect()
}
