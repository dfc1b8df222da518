//! One `lifthollowd` process.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;

use super::claim_roster::ClaimRoster;
use super::process::{Process, READY_TIMEOUT};
use super::status::NodeStatus;

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Name in logs.
    pub name: String,
    /// The service of the back end beside it, with the back end's address.
    pub backend: Option<(String, SocketAddr)>,
    /// Its data centre.
    pub side: &'static str,
    /// Its failure domain.
    pub zone: usize,
    /// Where it reads the table and the list of machines.
    pub platform: SocketAddr,
    /// Nodes to ask first.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Which decisions it runs.
    pub policy: String,
    /// Which nodes store claims.
    pub claim_roster: ClaimRoster,
}

/// Where a node listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct NodeAddresses {
    /// Other nodes.
    pub node: SocketAddrV4,
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
}

/// A node that has said where it listens.
pub struct NodeProcess {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub addresses: NodeAddresses,
    /// How it was started.
    pub plan: NodePlan,
    program: PathBuf,
    log: PathBuf,
    lives: u32,
}

impl NodeProcess {
    /// Starts a node on ports chosen by the system.
    pub fn start(program: &Path, directory: &Path, plan: NodePlan) -> anyhow::Result<Self> {
        let log = directory.join(format!("{}.log", plan.name));
        let arguments = arguments(&plan, None);
        let process = Process::start(&plan.name, program, &arguments, &log)?;
        let addresses = wait_until_listening(&process)?;
        Ok(NodeProcess {
            process,
            addresses,
            plan,
            program: program.to_owned(),
            log,
            lives: 1,
        })
    }

    /// Starts another process at the same addresses after this one has ended.
    pub fn replace(&mut self) -> anyhow::Result<()> {
        self.lives += 1;
        let log = self.log.with_extension(format!("{}.log", self.lives));
        let arguments = arguments(&self.plan, Some(self.addresses));
        self.process = Process::start(&self.plan.name, &self.program, &arguments, &log)?;
        self.addresses = wait_until_listening(&self.process)?;
        Ok(())
    }

    /// What the node says of itself.
    pub fn status(&self) -> anyhow::Result<NodeStatus> {
        NodeStatus::read(self.addresses.operators)
    }
}

fn arguments(plan: &NodePlan, addresses: Option<NodeAddresses>) -> Vec<String> {
    let chosen = "127.0.0.1:0".to_owned();
    let member = plan.claim_roster.address_of(&plan.name);
    let node = member.map_or(chosen.clone(), |address| address.to_string());
    let own = addresses.map_or([node, chosen.clone(), chosen], |addresses| {
        [
            addresses.node.to_string(),
            addresses.callers.to_string(),
            addresses.operators.to_string(),
        ]
    });
    let [node, callers, operators] = own;
    let mut flags = vec![
        ("--node", node),
        ("--callers", callers),
        ("--operators", operators),
        ("--side", plan.side.to_owned()),
        ("--zone", plan.zone.to_string()),
        ("--platform-table", plan.platform.to_string()),
        ("--platform-machines", plan.platform.to_string()),
        ("--policy", plan.policy.clone()),
        (
            "--claim-roster",
            plan.claim_roster.file.display().to_string(),
        ),
    ];
    if addresses.is_none() {
        flags.push(("--claim-bootstrap", "yes".to_owned()));
    }
    if let Some((service, address)) = &plan.backend {
        flags.push(("--backend", format!("{service}={address}")));
    }
    for seed in &plan.seed_nodes {
        flags.push(("--seed-node", seed.to_string()));
    }
    flags
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect()
}

/// Reads the node's log until it names its addresses.
fn wait_until_listening(process: &Process) -> anyhow::Result<NodeAddresses> {
    let mut last = String::new();
    for _ in 0..MAX_LINES_BEFORE_LISTENING {
        last = process
            .next_line(READY_TIMEOUT)
            .with_context(|| format!("its last line was `{last}`"))?;
        if let Ok(addresses) = serde_json::from_str(&last) {
            return Ok(addresses);
        }
    }
    anyhow::bail!("{} does not say where it listens", process.name())
}

const MAX_LINES_BEFORE_LISTENING: usize = 100;
/// How long a planned stop of a node without long streams may take.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(20);
