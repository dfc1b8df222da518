//! A whole mesh of processes: the platform, back ends, the nodes beside them, and entry nodes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::backend_process::BackendProcess;
use super::claim_roster::{ClaimRoster, RosterMember};
use super::interrupt::Interrupt;
use super::load_process::{LoadPlan, LoadProcess};
use super::mesh::Mesh;
use super::node::{NodePlan, NodeProcess};
use super::platform_process::PlatformProcess;
use super::status::NodeStatus;
use crate::backend::{LedgerReport, Totals};

/// The two data centres.
pub const SIDES: [&str; 2] = ["old", "new"];
/// How long a mesh may take until every node has the table and knows all servers.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Where the programs are and where logs go.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Directory with `lifthollowd`, `lifthollowctl` and `lifthollow-standin`.
    pub programs: PathBuf,
    /// Directory for logs and records.
    pub logs: PathBuf,
}

impl Workspace {
    fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    fn standin(&self) -> PathBuf {
        self.program("lifthollow-standin")
    }
}

/// A server: a back end and the node beside it.
pub struct Server {
    /// The back end.
    pub backend: BackendProcess,
    /// The node.
    pub node: NodeProcess,
    /// What the platform's list says of it: `live` or `leaving`.
    pub state: &'static str,
}

/// All processes of one mesh; dropping it stops them.
pub struct Cluster {
    /// Servers of all services.
    pub servers: Vec<Server>,
    /// Nodes that take the clients' calls, one on each side.
    pub entries: Vec<NodeProcess>,
    /// The platform's service.
    pub platform: PlatformProcess,
    /// The mesh.
    pub mesh: Mesh,
    workspace: Workspace,
    interrupt: Interrupt,
    claim_roster: ClaimRoster,
}

impl Cluster {
    /// Starts everything and waits until every node has the table and knows all servers.
    pub fn start(
        mesh: Mesh,
        policy: &str,
        weights: [u32; 2],
        workspace: &Workspace,
        interrupt: &Interrupt,
    ) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&workspace.logs)?;
        let platform = PlatformProcess::start(
            &workspace.standin(),
            &workspace.program("lifthollowctl"),
            &workspace.logs,
        )?;
        platform.publish_first_table(&mesh, weights)?;
        let members = roster_members(&mesh);
        let mut cluster = Cluster {
            claim_roster: ClaimRoster::write(&workspace.logs, &members)?,
            servers: Vec::new(),
            entries: Vec::new(),
            platform,
            mesh,
            workspace: workspace.clone(),
            interrupt: interrupt.clone(),
        };
        cluster.start_servers(policy)?;
        cluster.publish_machines()?;
        for side in SIDES {
            let plan = cluster.node_plan(format!("entry-{side}"), side, 0, None, policy);
            cluster.entries.push(cluster.start_node(plan)?);
        }
        cluster.wait_until_settled()?;
        Ok(cluster)
    }

    fn start_servers(&mut self, policy: &str) -> anyhow::Result<()> {
        let mesh = self.mesh.clone();
        for service in &mesh.services {
            for side in SIDES {
                for number in 0..mesh.servers_per_side {
                    self.interrupt.check()?;
                    let backend = BackendProcess::start(
                        &self.workspace.standin(),
                        &self.workspace.logs,
                        &mesh,
                        service,
                        side,
                        number,
                    )?;
                    let name = format!("node-{}-{side}-{number}", service.name);
                    let beside = Some((service.name.to_owned(), backend.address()));
                    let plan = self.node_plan(name, side, number, beside, policy);
                    let node = self.start_node(plan)?;
                    backend.set_node(node.addresses.callers)?;
                    self.servers.push(Server {
                        backend,
                        node,
                        state: "live",
                    });
                }
            }
        }
        Ok(())
    }

    fn node_plan(
        &self,
        name: String,
        side: &'static str,
        zone: usize,
        backend: Option<(String, SocketAddr)>,
        policy: &str,
    ) -> NodePlan {
        let seeds = self.servers.iter().take(1);
        NodePlan {
            name,
            backend,
            side,
            zone,
            platform: self
                .platform
                .address(self.servers.len() + self.entries.len()),
            seed_nodes: seeds.map(|server| server.node.addresses.node).collect(),
            policy: policy.to_owned(),
            claim_roster: self.claim_roster.clone(),
        }
    }

    fn start_node(&self, plan: NodePlan) -> anyhow::Result<NodeProcess> {
        let program = self.workspace.program("lifthollowd");
        NodeProcess::start(&program, &self.workspace.logs, plan)
    }

    /// Publishes the list of machines as `servers` say it.
    pub fn publish_machines(&self) -> anyhow::Result<()> {
        let mut text = String::from("address,service,side,zone,state\n");
        for server in &self.servers {
            text.push_str(&format!(
                "{},{},{},{},{}\n",
                server.node.addresses.node,
                server.backend.service,
                server.backend.side,
                server.node.plan.zone,
                server.state,
            ));
        }
        self.platform.publish_machines(&text)
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeProcess> {
        let servers = self.servers.iter().map(|server| &server.node);
        servers.chain(&self.entries)
    }

    fn wait_until_settled(&self) -> anyhow::Result<()> {
        let servers = self.servers.len();
        let settled =
            |status: NodeStatus| status.table_number > 0 && status.members_known >= servers;
        let what = "every node has the table and knows all servers";
        self.interrupt.wait_until(what, SETTLE_TIMEOUT, || {
            Ok(self.nodes().all(|node| node.status().is_ok_and(settled)))
        })
    }

    /// Waits until every node has the table of this number in force.
    pub fn wait_for_table(&self, number: u64, timeout: Duration) -> anyhow::Result<()> {
        let what = format!("table {number} is in force everywhere");
        self.interrupt.wait_until(&what, timeout, || {
            let in_force = |status: NodeStatus| status.table_number >= number;
            Ok(self.nodes().all(|node| node.status().is_ok_and(in_force)))
        })
    }

    /// Starts clients that call both entry nodes.
    pub fn start_load(&self, plan: &LoadPlan) -> anyhow::Result<LoadProcess> {
        let entries: Vec<SocketAddr> = self
            .entries
            .iter()
            .map(|node| node.addresses.callers)
            .collect();
        let logs: &Path = &self.workspace.logs;
        LoadProcess::start(&self.workspace.standin(), logs, &entries, plan)
    }

    /// Everything that back ends ran.
    pub fn ledgers(&self) -> anyhow::Result<Vec<LedgerReport>> {
        let servers = self.servers.iter();
        servers.map(|server| server.backend.ledger()).collect()
    }

    /// Sums of the back ends of a service on a side.
    pub fn totals(&self, service: &str, side: &str) -> anyhow::Result<Totals> {
        let mut sum = Totals::default();
        let servers = self.servers.iter();
        let wanted = servers
            .filter(|server| server.backend.service == service && server.backend.side == side);
        for server in wanted {
            let totals = server.backend.totals()?;
            sum.arrivals += totals.arrivals;
            sum.runs += totals.runs;
            sum.completed += totals.completed;
            sum.shed += totals.shed;
            sum.slot_micros += totals.slot_micros;
        }
        Ok(sum)
    }
}

/// Five members on both sides, so that two may be away.
fn roster_members(mesh: &Mesh) -> Vec<RosterMember> {
    let deepest = mesh.services.last().map_or("", |service| service.name);
    let member = |name, side, zone| RosterMember { name, side, zone };
    let servers = SIDES.into_iter().flat_map(|side| {
        (0..mesh.servers_per_side)
            .map(move |number| member(format!("node-{deepest}-{side}-{number}"), side, number))
    });
    let entry = member(format!("entry-{}", SIDES[0]), SIDES[0], 0);
    servers.chain([entry]).collect()
}
