//! Steps of each fault scenario, and the checks that are specific to it.

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

/// Maximum time until a published table is in force on every node.
const TABLE_IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
/// Maximum time after the start of leaving in which a leaving back end may still start calls.
const LEAVING_GRACE_PERIOD: Duration = Duration::from_secs(3);
const KILLED_DURATION: Duration = Duration::from_secs(3);
const FROZEN_DURATION: Duration = Duration::from_secs(5);
const STALE_DURATION: Duration = Duration::from_secs(3);
/// Service whose node is killed, frozen or replaced, and whose weight in the table is edited.
const CRITICAL_SERVICE: &str = "topup";
/// Service whose server is stopped or leaves; it also serves streams.
const STREAMING_SERVICE: &str = "voucher";

/// Execution of one fault scenario on one cluster.
pub struct FaultRun {
    /// Cluster whose processes the scenario affects.
    pub cluster: Cluster,
    interrupt: Interrupt,
    verdicts: BTreeMap<&'static str, Verdict>,
    leaving: Option<Leaving>,
    planned_stop: bool,
}

/// A leaving server and the wall-clock time at which leaving began.
struct Leaving {
    server: usize,
    since_ms: u64,
}

impl FaultRun {
    /// Creates the execution of a scenario on `cluster`, without causing the fault yet.
    pub fn new(cluster: Cluster, interrupt: Interrupt) -> Self {
        FaultRun {
            cluster,
            interrupt,
            verdicts: BTreeMap::new(),
            leaving: None,
            planned_stop: false,
        }
    }

    /// Causes the fault `kind`, ends it and performs the checks during it.
    pub fn execute(&mut self, kind: FaultKind) -> anyhow::Result<()> {
        match kind {
            FaultKind::KilledNode => self.kill_node(),
            FaultKind::FrozenNode => self.freeze_node(),
            FaultKind::PlatformDown => self.platform_down(),
            FaultKind::PlatformStale => self.platform_stale(),
            FaultKind::TwoOperators => self.two_operators(),
            FaultKind::PlannedStop => self.stop_node(),
            FaultKind::LeavingServer => self.mark_server_leaving(),
        }
    }

    fn kill_node(&mut self) -> anyhow::Result<()> {
        let server = self.first_server(CRITICAL_SERVICE)?;
        self.kill_and_replace_node(server, KILLED_DURATION)?;
        self.check_table_at(server, 1, "table_after_start")
    }

    fn freeze_node(&mut self) -> anyhow::Result<()> {
        let server = self.first_server(CRITICAL_SERVICE)?;
        let process = &self.cluster.servers[server].node.process;
        process.signal(Signal::STOP)?;
        let slept = self.interrupt.sleep(FROZEN_DURATION);
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
        self.kill_and_replace_node(server, Duration::ZERO)?;
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
        self.kill_and_replace_node(server, Duration::ZERO)?;
        self.check_table_at(server, 2, "table_after_start")?;
        self.interrupt.sleep(STALE_DURATION)?;
        self.cluster.platform.edit_table(&weight_cells(70))?;
        self.cluster.platform.publish_table()?;
        self.check_in_force(3)
    }

    /// Publishes two different tables with the number 2: one address of the configuration service
    /// serves the first operator's table, the other address the second operator's.
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
        let exited_successfully = status.as_ref().is_ok_and(std::process::ExitStatus::success);
        stopped.check(exited_successfully, || format!("{status:?}"));
        Ok(())
    }

    fn mark_server_leaving(&mut self) -> anyhow::Result<()> {
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

    /// Returns the index of the first server whose node reads the given address of the platform.
    fn first_reader_of(&self, reader: usize) -> anyhow::Result<usize> {
        let address = self.cluster.platform.address(reader);
        let mut servers = self.cluster.servers.iter();
        let position = servers.position(|server| server.node.plan.platform == address);
        position.ok_or_else(|| anyhow::anyhow!("no node reads {address}"))
    }

    fn kill_and_replace_node(&mut self, server: usize, dead_time: Duration) -> anyhow::Result<()> {
        let node = &mut self.cluster.servers[server].node;
        node.process.signal(Signal::KILL)?;
        node.process.wait(STOP_TIMEOUT)?;
        self.interrupt.sleep(dead_time)?;
        node.replace()
    }

    /// Checks that the node of `server` gets a table with at least the given number within the
    /// maximum time until a table is in force.
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
        let waited = self
            .interrupt
            .wait_until(name, TABLE_IN_FORCE_TIMEOUT, has_table);
        self.interrupt.check()?;
        let verdict = self.verdicts.entry(name).or_default();
        verdict.check(waited.is_ok(), || {
            format!("{} has no table {number}", node.plan.name)
        });
        Ok(())
    }

    fn check_in_force(&mut self, number: u64) -> anyhow::Result<()> {
        let waited = self.cluster.wait_for_table(number, TABLE_IN_FORCE_TIMEOUT);
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
        let waited = self
            .interrupt
            .wait_until("one table", TABLE_IN_FORCE_TIMEOUT, agreed);
        self.interrupt.check()?;
        let verdict = self.verdicts.entry("one_table_everywhere").or_default();
        verdict.check(waited.is_ok(), || format!("{:?}", versions()));
        Ok(())
    }

    /// Returns the verdicts of the checks that are specific to the fault.
    pub fn verdicts(
        &mut self,
        records: &[RequestRecord],
    ) -> anyhow::Result<BTreeMap<&'static str, Verdict>> {
        if let Some(leaving) = &self.leaving {
            let verdict = self.check_leaving_server(leaving)?;
            self.verdicts.insert("leaving_quiet", verdict);
        }
        if self.planned_stop {
            self.verdicts
                .insert("planned_stop", check_no_unknown_outcomes(records));
        }
        Ok(self.verdicts.clone())
    }

    /// Checks that the leaving back end starts no execution after the time limit. Calls sent to it
    /// before the limit are not checked, so the server must have been in use.
    fn check_leaving_server(&self, leaving: &Leaving) -> anyhow::Result<Verdict> {
        let backend = &self.cluster.servers[leaving.server].backend;
        let last_allowed = leaving.since_ms + LEAVING_GRACE_PERIOD.as_millis() as u64;
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

/// Checks that no request has an unknown outcome because of a planned stop.
fn check_no_unknown_outcomes(records: &[RequestRecord]) -> Verdict {
    let mut verdict = Verdict::default();
    for record in records {
        let known = record.outcome != Outcome::Unknown;
        verdict.check(known, || format!("{record:?}"));
    }
    verdict
}

/// Returns the table cells that set the critical service's weight on both sides.
fn weight_cells(weight: u32) -> Vec<String> {
    ["old", "new"]
        .into_iter()
        .flat_map(|side| {
            let row = format!("{CRITICAL_SERVICE}@{side}");
            [row, "weight".to_owned(), weight.to_string()]
        })
        .collect()
}
