//! All nodes of the simulated fleet, running, paused or gone.

use std::time::Duration;

use lifthollow_coordination::fleet::{Fleet, FleetSettings};
use lifthollow_state::{Incarnation, Timestamp};

use super::setup::{ScaleSetup, node_id};

/// Larger incarnations for later lives, with room for refutations between them.
const INCARNATIONS_PER_LIFE: u64 = 1_000_000;
/// The incarnation of each node's first life.
pub const FIRST_INCARNATION: u64 = INCARNATIONS_PER_LIFE;

/// One node.
#[derive(Default)]
pub struct SimulatedNode {
    /// Its fleet part; none while the process does not exist.
    pub fleet: Option<Fleet>,
    /// Which life the process is in; events of earlier lives are void.
    pub life: u32,
    /// It does not run before this time.
    pub paused_until: Timestamp,
    /// It stops as planned.
    pub leaving: bool,
}

/// All nodes, by index.
pub struct Nodes(Vec<SimulatedNode>);

impl Nodes {
    /// No process runs.
    pub fn new(count: u32) -> Self {
        Nodes((0..count).map(|_| SimulatedNode::default()).collect())
    }

    /// One node.
    pub fn get(&self, index: u32) -> &SimulatedNode {
        &self.0[index as usize]
    }

    /// One node, to be changed.
    pub fn get_mut(&mut self, index: u32) -> &mut SimulatedNode {
        &mut self.0[index as usize]
    }

    /// The fleet part of a node that runs and is not paused.
    pub fn running(&self, now: Timestamp, index: u32) -> Option<&Fleet> {
        let node = self.get(index);
        node.fleet.as_ref().filter(|_| node.paused_until <= now)
    }

    /// Indices of all nodes that run and are not paused.
    pub fn all_running(&self, now: Timestamp) -> Vec<u32> {
        let indices = 0..self.0.len() as u32;
        indices
            .filter(|index| self.running(now, *index).is_some())
            .collect()
    }

    /// A new process with nothing, or in its first life with what `settled` knows.
    pub fn start(&mut self, setup: &ScaleSetup, index: u32, settled: Option<&Fleet>) {
        let machine = setup.machine(index);
        let node = self.get_mut(index);
        node.life += 1;
        node.leaving = false;
        node.paused_until = Timestamp::ZERO;
        let settings = FleetSettings {
            node: node_id(index),
            incarnation: Incarnation(u64::from(node.life) * INCARNATIONS_PER_LIFE),
            side: machine.side,
            zone: machine.zone,
            services: vec![machine.service],
            seeds: setup.seeds(index),
            seed: setup.seed.wrapping_add(u64::from(node.life)),
        };
        node.fleet = Some(match settled.filter(|_| node.life == 1) {
            Some(settled) => Fleet::new_synchronized_with(settings, settled),
            None => Fleet::new(settings),
        });
    }

    /// The process ends without a word.
    pub fn kill(&mut self, index: u32) {
        self.get_mut(index).fleet = None;
    }

    /// The process does not run for a while.
    pub fn pause(&mut self, now: Timestamp, index: u32, duration: Duration) {
        let node = self.get_mut(index);
        node.paused_until = node.paused_until.max(now + duration);
    }

    /// 99th percentile of the bytes of state of all running nodes.
    pub fn state_bytes_p99(&self) -> usize {
        let fleets = self.0.iter().filter_map(|node| node.fleet.as_ref());
        let mut bytes: Vec<usize> = fleets.map(Fleet::state_bytes).collect();
        bytes.sort_unstable();
        let position = (bytes.len() * 99).div_ceil(100);
        position
            .checked_sub(1)
            .and_then(|position| bytes.get(position).copied())
            .unwrap_or(0)
    }
}
