//! Monitors which table every node has in force, including across restarts of its process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::super::cluster::Cluster;
use super::super::promises::Verdict;
use super::super::status::NodeStatus;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Background thread that polls the status of all nodes.
pub struct ConfigWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Verdict>,
}

struct MonitoredNode {
    name: String,
    operators: SocketAddr,
    newest: (u64, String),
}

impl ConfigWatch {
    /// Starts to monitor all nodes of `cluster`.
    pub fn start(cluster: &Cluster) -> Self {
        let nodes = cluster.nodes().map(|node| MonitoredNode {
            name: node.plan.name.clone(),
            operators: node.addresses.operators,
            newest: (0, String::new()),
        });
        let nodes: Vec<MonitoredNode> = nodes.collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || watch(nodes, &stopped));
        ConfigWatch { stop, thread }
    }

    /// Stops monitoring and returns how often a node had an older table after a newer one.
    pub fn finish(self) -> Verdict {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn watch(mut nodes: Vec<MonitoredNode>, stopped: &AtomicBool) -> Verdict {
    let mut verdict = Verdict::default();
    while !stopped.load(Ordering::Relaxed) {
        for node in &mut nodes {
            if let Ok(status) = NodeStatus::read(node.operators) {
                node.check(status, &mut verdict);
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    verdict
}

impl MonitoredNode {
    /// Checks that the node's table is not older than one it had before. A node that has just
    /// started may have no table.
    fn check(&mut self, status: NodeStatus, verdict: &mut Verdict) {
        if status.table_number == 0 {
            return;
        }
        let version = (status.table_number, status.table_digest);
        verdict.check(version >= self.newest, || {
            format!("{} went from {:?} to {version:?}", self.name, self.newest)
        });
        self.newest = self.newest.clone().max(version);
    }
}
