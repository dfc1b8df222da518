//! The network of the search: delays, losses, doublings and cuts from a seed.

use std::time::Duration;

use lifthollow_state::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::node_index;

const MIN_DELAY_MICROS: u64 = 150;
const MAX_DELAY_MICROS: u64 = 2_500;
const MAX_START_DELAY_MICROS: u64 = 20_000;
const MAX_LATE_DELAY_MICROS: u64 = 30_000_000;
/// One lost message in this many comes with a late one and a doubled one.
const LOSS_PER_DISTURBANCE: u32 = 10;
const PERMILLE: u32 = 1_000;

/// Which messages are lost.
#[derive(Clone, Copy, Debug)]
struct Cut {
    nodes: u8,
    one_way: bool,
}

/// Decides when and how often a message arrives.
#[derive(Debug)]
pub struct Network {
    random: ChaCha8Rng,
    cut: Option<Cut>,
    loss_percent: u8,
}

impl Network {
    /// A network without faults.
    pub fn new(seed: u64) -> Self {
        Network {
            random: ChaCha8Rng::seed_from_u64(seed),
            cut: None,
            loss_percent: 0,
        }
    }

    /// Cuts the nodes in the mask off from all others.
    pub fn cut(&mut self, nodes: u8, one_way: bool) {
        self.cut = Some(Cut { nodes, one_way });
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cut = None;
        self.loss_percent = 0;
    }

    /// Loses, delays and doubles messages from now on.
    pub fn disturb(&mut self, percent: u8) {
        self.loss_percent = percent;
    }

    /// The delays after which a message arrives, once for each arrival.
    pub fn deliveries(&mut self, from: NodeId, to: NodeId) -> Vec<Duration> {
        if self.is_cut(from, to) || self.happens(u32::from(self.loss_percent) * 10) {
            return Vec::new();
        }
        let disturbed = u32::from(self.loss_percent) * 10 / LOSS_PER_DISTURBANCE;
        let mut delays = vec![self.delay(MAX_DELAY_MICROS)];
        if self.happens(disturbed) {
            delays[0] = self.delay(MAX_LATE_DELAY_MICROS);
        }
        if self.happens(disturbed) {
            delays.push(self.delay(MAX_LATE_DELAY_MICROS));
        }
        delays
    }

    /// The delay from a decision of a control thread to the start of the run by a
    /// traffic thread.
    pub fn start_delay(&mut self) -> Duration {
        self.delay(MAX_START_DELAY_MICROS)
    }

    fn is_cut(&self, from: NodeId, to: NodeId) -> bool {
        let Some(cut) = self.cut else {
            return false;
        };
        let is_inside = |node| cut.nodes & (1 << node_index(node)) != 0;
        if cut.one_way {
            return is_inside(from) && !is_inside(to);
        }
        is_inside(from) != is_inside(to)
    }

    fn happens(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..PERMILLE) < permille
    }

    fn delay(&mut self, max_micros: u64) -> Duration {
        Duration::from_micros(self.random.random_range(MIN_DELAY_MICROS..=max_micros))
    }
}
