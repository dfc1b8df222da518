//! Delays, losses and cuts between machines and clients.

use std::time::Duration;

use super::ids::{FaultIndex, MachineIndex};
use super::machine::MachineSpec;
use crate::mesh::Mesh;
use crate::random::RandomStream;

/// Delay that a lost packet adds to a TCP stream, doubling with each loss.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Losses in a row after which a TCP stream is as good as cut.
const MAX_RETRANSMISSIONS: u32 = 5;

/// Packets from some machines to others are lost at a rate.
#[derive(Clone, Debug)]
pub struct LinkFault {
    /// The fault in the scenario.
    pub fault: FaultIndex,
    /// Which machines send.
    pub from: Vec<bool>,
    /// Which machines receive.
    pub to: Vec<bool>,
    /// Share of packets lost.
    pub rate: f64,
    /// Whether only this direction suffers.
    pub one_way: bool,
}

/// The network between all machines.
pub struct Network {
    local_delay: Duration,
    zone_delay: Duration,
    client_delay: Duration,
    zones: Vec<u16>,
    faults: Vec<LinkFault>,
    random: RandomStream,
}

impl Network {
    /// A network without faults.
    pub fn new(mesh: &Mesh, specs: &[MachineSpec], random: RandomStream) -> Self {
        let zones = specs
            .iter()
            .map(|spec| spec.global_zone(mesh.zones_per_side).0);
        Network {
            local_delay: mesh.local_delay,
            zone_delay: mesh.zone_delay,
            client_delay: mesh.client_delay,
            zones: zones.collect(),
            faults: Vec::new(),
            random,
        }
    }

    /// Delay of a message on a TCP connection; none if it does not arrive.
    pub fn stream_delay(&mut self, from: MachineIndex, to: MachineIndex) -> Option<Duration> {
        let rate = self.loss_rate(from, to);
        let mut delay = self.packet_delay(from, to);
        let mut losses = 0;
        while self.random.chance(rate) {
            delay += RETRANSMISSION_TIMEOUT * 2_u32.pow(losses);
            losses += 1;
            if losses > MAX_RETRANSMISSIONS {
                return None;
            }
        }
        Some(delay)
    }

    /// Delay of a UDP datagram; none if it is lost.
    pub fn datagram_delay(&mut self, from: MachineIndex, to: MachineIndex) -> Option<Duration> {
        let rate = self.loss_rate(from, to);
        if self.random.chance(rate) {
            return None;
        }
        Some(self.packet_delay(from, to))
    }

    /// Delay between a client and an entry node.
    pub fn client_delay(&mut self) -> Duration {
        self.random.delay(self.client_delay)
    }

    /// Puts a fault of a link in force.
    pub fn add_fault(&mut self, fault: LinkFault) {
        self.faults.push(fault);
    }

    /// Ends a fault.
    pub fn remove_fault(&mut self, fault: FaultIndex) {
        self.faults.retain(|known| known.fault != fault);
    }

    /// Whether packets between two machines can arrive in both directions.
    pub fn is_connected(&self, from: MachineIndex, to: MachineIndex) -> bool {
        self.loss_rate(from, to) < 1.0 && self.loss_rate(to, from) < 1.0
    }

    fn packet_delay(&mut self, from: MachineIndex, to: MachineIndex) -> Duration {
        let mean = if self.zones[from.0] == self.zones[to.0] {
            self.local_delay
        } else {
            self.zone_delay
        };
        self.random.delay(mean)
    }

    fn loss_rate(&self, from: MachineIndex, to: MachineIndex) -> f64 {
        let passing = self.faults.iter().filter(|fault| fault.concerns(from, to));
        let arriving: f64 = passing.map(|fault| 1.0 - fault.rate).product();
        1.0 - arriving
    }
}

impl LinkFault {
    fn concerns(&self, from: MachineIndex, to: MachineIndex) -> bool {
        if from == to {
            return false;
        }
        let forward = self.from[from.0] && self.to[to.0];
        let backward = self.from[to.0] && self.to[from.0];
        forward || backward && !self.one_way
    }
}
