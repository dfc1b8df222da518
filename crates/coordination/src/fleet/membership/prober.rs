//! Probes: which member is asked next, how often, and through whom.
//!
//! Every second tick begins a probe of a member in the next zone of a shuffled round,
//! so that every zone is tried within seconds and every member is tried by
//! somebody. A probe without an answer is repeated in the following ticks,
//! directly, through other nodes, and beside pings to other members of the zone
//! that tell a silent member from a silent zone.

use lifthollow_protocol::control::{MemberStatus, ProbeSequence};
use lifthollow_state::{NodeId, Timestamp, Zone};
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::member_table::MemberTable;
use super::zones::ZoneReachability;

/// Ticks in which a probe is tried: with 10% loss on every path a healthy member
/// stays without any answer in about one probe of 10 million.
const ATTEMPTS: u32 = 4;
/// A new probe is begun in one tick of so many.
const TICKS_PER_PROBE: u32 = 2;
/// Nodes asked to probe on this node's behalf, each time.
const RELAYS: usize = 3;
/// Ticks for which a probe on another node's behalf is remembered.
const RELAY_TICKS: u32 = 2;

/// A probe in progress.
#[derive(Debug)]
struct Probe {
    sequence: ProbeSequence,
    target: NodeId,
    zone: Zone,
    started: Timestamp,
    attempts: u32,
    alive_by_relay: bool,
}

/// A probe on another node's behalf.
#[derive(Debug)]
struct RelayedProbe {
    sequence: ProbeSequence,
    requester: NodeId,
    requester_sequence: ProbeSequence,
    ticks: u32,
}

/// A probe that got no direct answer.
#[derive(Clone, Copy, Debug)]
pub struct FailedProbe {
    /// The member probed.
    pub target: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// When the probe began.
    pub started: Timestamp,
    /// Whether the member answered through other nodes.
    pub alive_by_relay: bool,
}

/// A request to a node to probe another one.
#[derive(Clone, Copy, Debug)]
pub struct RelayRequest {
    /// The node asked.
    pub relay: NodeId,
    /// The node to be probed.
    pub target: NodeId,
    /// Returned in the answer.
    pub sequence: ProbeSequence,
}

/// What is to be sent and concluded in one tick.
#[derive(Debug, Default)]
pub struct ProbeRound {
    /// Pings to send.
    pub pings: Vec<(NodeId, ProbeSequence)>,
    /// Probes to ask others for.
    pub relay_requests: Vec<RelayRequest>,
    /// Probes that have failed.
    pub failed: Vec<FailedProbe>,
}

/// Probes in progress.
#[derive(Debug)]
pub struct Prober {
    node: NodeId,
    next_sequence: u32,
    ticks: u32,
    zone_round: Vec<Zone>,
    probes: Vec<Probe>,
    relayed: Vec<RelayedProbe>,
}

impl Prober {
    /// No probes; `node` is this node itself.
    pub fn new(node: NodeId) -> Self {
        Prober {
            node,
            next_sequence: 1,
            ticks: 0,
            zone_round: Vec::new(),
            probes: Vec::new(),
            relayed: Vec::new(),
        }
    }

    /// Forgets all probes, whose answers can no longer be judged.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relayed.clear();
    }

    /// A sequence that no other ping of this node has.
    pub fn sequence(&mut self) -> ProbeSequence {
        let sequence = ProbeSequence(self.next_sequence);
        self.next_sequence = self.next_sequence.wrapping_add(1);
        sequence
    }

    /// Repeats probes without an answer, concludes failed ones and begins one.
    pub fn tick(
        &mut self,
        now: Timestamp,
        members: &MemberTable,
        zones: &ZoneReachability,
        random: &mut ChaCha8Rng,
    ) -> ProbeRound {
        let mut round = ProbeRound::default();
        self.forget_relayed();
        for probe in std::mem::take(&mut self.probes) {
            self.continue_probe(probe, members, zones, random, &mut round);
        }
        if self.ticks.is_multiple_of(TICKS_PER_PROBE) {
            self.begin_probe(now, members, random, &mut round);
        }
        self.ticks = self.ticks.wrapping_add(1);
        round
    }

    fn forget_relayed(&mut self) {
        for relayed in &mut self.relayed {
            relayed.ticks += 1;
        }
        self.relayed.retain(|relayed| relayed.ticks <= RELAY_TICKS);
    }

    fn continue_probe(
        &mut self,
        mut probe: Probe,
        members: &MemberTable,
        zones: &ZoneReachability,
        random: &mut ChaCha8Rng,
        round: &mut ProbeRound,
    ) {
        if probe.attempts >= attempts_for(&probe, members, zones) {
            round.failed.push(FailedProbe {
                target: probe.target,
                zone: probe.zone,
                started: probe.started,
                alive_by_relay: probe.alive_by_relay,
            });
            return;
        }
        probe.attempts += 1;
        round.pings.push((probe.target, probe.sequence));
        self.ask_relays(&probe, members, random, round);
        let other = self.choose_in_zone(probe.zone, Some(probe.target), members, random);
        if let Some(other) = other {
            round.pings.push((other, self.sequence()));
        }
        self.probes.push(probe);
    }

    fn ask_relays(
        &mut self,
        probe: &Probe,
        members: &MemberTable,
        random: &mut ChaCha8Rng,
        round: &mut ProbeRound,
    ) {
        for _ in 0..RELAYS {
            let Some(relay) = self.choose_any(members, random) else {
                continue;
            };
            if relay != probe.target {
                round.relay_requests.push(RelayRequest {
                    relay,
                    target: probe.target,
                    sequence: probe.sequence,
                });
            }
        }
    }

    fn begin_probe(
        &mut self,
        now: Timestamp,
        members: &MemberTable,
        random: &mut ChaCha8Rng,
        round: &mut ProbeRound,
    ) {
        let Some(zone) = self.next_zone(members, random) else {
            return;
        };
        let Some(target) = self.choose_in_zone(zone, None, members, random) else {
            return;
        };
        if self.probes.iter().any(|probe| probe.target == target) {
            return;
        }
        let sequence = self.sequence();
        self.probes.push(Probe {
            sequence,
            target,
            zone,
            started: now,
            attempts: 1,
            alive_by_relay: false,
        });
        round.pings.push((target, sequence));
    }

    fn next_zone(&mut self, members: &MemberTable, random: &mut ChaCha8Rng) -> Option<Zone> {
        if self.zone_round.is_empty() {
            self.zone_round = members.zones().collect();
            self.zone_round.shuffle(random);
        }
        self.zone_round.pop()
    }

    /// A random member of the zone that is not gone.
    pub fn choose_in_zone(
        &self,
        zone: Zone,
        except: Option<NodeId>,
        members: &MemberTable,
        random: &mut ChaCha8Rng,
    ) -> Option<NodeId> {
        const TRIES: usize = 4;
        let nodes = members.in_zone(zone);
        if nodes.is_empty() {
            return None;
        }
        let usable = |node: &NodeId| {
            let present = members
                .get(*node)
                .is_some_and(|member| !member.is_removed());
            present && *node != self.node && Some(*node) != except
        };
        let mut candidates = (0..TRIES).map(|_| nodes[random.random_range(0..nodes.len())]);
        candidates.find(usable)
    }

    /// A random member that answers as far as is known.
    pub fn choose_any(&self, members: &MemberTable, random: &mut ChaCha8Rng) -> Option<NodeId> {
        const TRIES: usize = 4;
        let zones: Vec<Zone> = members.zones().collect();
        if zones.is_empty() {
            return None;
        }
        (0..TRIES).find_map(|_| {
            let zone = zones[random.random_range(0..zones.len())];
            let node = self.choose_in_zone(zone, None, members, random)?;
            let alive = members.get(node)?.record.status == MemberStatus::Alive;
            alive.then_some(node)
        })
    }

    /// A node asks for a probe on its behalf; returns the sequence to probe with.
    pub fn relay(&mut self, requester: NodeId, theirs: ProbeSequence) -> ProbeSequence {
        let sequence = self.sequence();
        self.relayed.push(RelayedProbe {
            sequence,
            requester,
            requester_sequence: theirs,
            ticks: 0,
        });
        sequence
    }

    /// A ping was answered directly; returns whom to tell, if the ping was on
    /// another node's behalf.
    pub fn answered(&mut self, sequence: ProbeSequence) -> Option<(NodeId, ProbeSequence)> {
        self.probes.retain(|probe| probe.sequence != sequence);
        let index = self
            .relayed
            .iter()
            .position(|relayed| relayed.sequence == sequence)?;
        let relayed = self.relayed.swap_remove(index);
        Some((relayed.requester, relayed.requester_sequence))
    }

    /// A member answered through another node.
    pub fn answered_by_relay(&mut self, sequence: ProbeSequence) {
        let mut probes = self.probes.iter_mut();
        if let Some(probe) = probes.find(|probe| probe.sequence == sequence) {
            probe.alive_by_relay = true;
        }
    }
}

/// Nothing new is learned from repeating a probe of a member that is suspected
/// already, or in a zone that is unreachable.
fn attempts_for(probe: &Probe, members: &MemberTable, zones: &ZoneReachability) -> u32 {
    let suspected = members
        .get(probe.target)
        .is_none_or(|member| member.record.status != MemberStatus::Alive);
    match suspected || !zones.is_reachable(probe.zone) {
        true => 1,
        false => ATTEMPTS,
    }
}
