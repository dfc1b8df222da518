//! Watches which table every node has in force, across the lives of its process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::super::cluster::Cluster;
use super::super::promises::Verdict;
use super::super::status::NodeStatus;

const INTERVAL: Duration = Duration::from_millis(100);

/// A thread that asks all nodes again and again.
pub struct ConfigWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Verdict>,
}

struct Watched {
    name: String,
    operators: SocketAddr,
    newest: (u64, String),
}

impl ConfigWatch {
    /// Watches all nodes of the cluster.
    pub fn start(cluster: &Cluster) -> Self {
        let nodes = cluster.nodes().map(|node| Watched {
            name: node.plan.name.clone(),
            operators: node.addresses.operators,
            newest: (0, String::new()),
        });
        let nodes: Vec<Watched> = nodes.collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || watch(nodes, &stopped));
        ConfigWatch { stop, thread }
    }

    /// Stops watching; says how often a node had an older table after a newer one.
    pub fn finish(self) -> Verdict {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn watch(mut nodes: Vec<Watched>, stopped: &AtomicBool) -> Verdict {
    let mut verdict = Verdict::default();
    while !stopped.load(Ordering::Relaxed) {
        for node in &mut nodes {
            if let Ok(status) = NodeStatus::read(node.operators) {
                node.check(status, &mut verdict);
            }
        }
        std::thread::sleep(INTERVAL);
    }
    verdict
}

impl Watched {
    /// A node that has just started may have no table, but never an older one.
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
