//! Probes members: selects which member is probed next, how often, and through which
//! other nodes.
//!
//! Every second tick starts a probe of a member in the next zone of a shuffled round,
//! so that every zone is probed within seconds and every member is probed by some
//! node. A probe without an answer is repeated in the following ticks, directly and
//! through other nodes. Pings to other members of the zone are sent with it, to tell a
//! failed member from an unreachable zone.

use lifthollow_protocol::control::{MemberStatus, ProbeSequence};
use lifthollow_state::{NodeId, Timestamp, Zone};
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::member_table::MemberTable;
use super::zones::ZoneReachability;

/// Number of ticks in which a probe is sent: with 10% loss on every path, about one
/// probe in 10 million of a healthy member gets no answer.
const ATTEMPTS: u32 = 4;
/// Number of ticks from the start of one probe to that of the next.
const TICKS_PER_PROBE: u32 = 2;
/// Number of nodes that are asked to probe on this node's behalf, in each tick.
const RELAYS: usize = 3;
/// Number of ticks for which a probe on another node's behalf is kept.
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
    /// The member that was probed.
    pub target: NodeId,
    /// The zone of the probed member.
    pub zone: Zone,
    /// When the probe was started.
    pub started: Timestamp,
    /// Whether the member answered a probe by another node.
    pub alive_by_relay: bool,
}

/// A request to a node to probe another one.
#[derive(Clone, Copy, Debug)]
pub struct RelayRequest {
    /// The node that is asked to probe.
    pub relay: NodeId,
    /// The node to be probed.
    pub target: NodeId,
    /// The sequence that the relay returns in its answer.
    pub sequence: ProbeSequence,
}

/// The pings and requests to send in one tick, and the probes that failed in it.
#[derive(Debug, Default)]
pub struct ProbeRound {
    /// Pings to send.
    pub pings: Vec<(NodeId, ProbeSequence)>,
    /// Requests to other nodes to probe a member.
    pub relay_requests: Vec<RelayRequest>,
    /// Probes that got no direct answer in all attempts.
    pub failed: Vec<FailedProbe>,
}

/// Probes in progress, of this node and on behalf of others.
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
    /// Starts without probes; `node` is this node itself.
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

    /// Discards all probes, for example because a pause makes missing answers
    /// meaningless.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relayed.clear();
    }

    /// Allocates the sequence of the next ping.
    pub fn sequence(&mut self) -> ProbeSequence {
        let sequence = ProbeSequence(self.next_sequence);
        self.next_sequence = self.next_sequence.wrapping_add(1);
        sequence
    }

    /// Repeats probes without an answer, returns failed ones and, in every
    /// `TICKS_PER_PROBE`-th tick, starts one.
    pub fn tick(
        &mut self,
        now: Timestamp,
        members: &MemberTable,
        zones: &ZoneReachability,
        random: &mut ChaCha8Rng,
    ) -> ProbeRound {
        let mut round = ProbeRound::default();
        self.expire_relayed();
        for probe in std::mem::take(&mut self.probes) {
            self.continue_probe(probe, members, zones, random, &mut round);
        }
        if self.ticks.is_multiple_of(TICKS_PER_PROBE) {
            self.start_probe(now, members, random, &mut round);
        }
        self.ticks = self.ticks.wrapping_add(1);
        round
    }

    fn expire_relayed(&mut self) {
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
        self.request_relays(&probe, members, random, round);
        let other = self.choose_in_zone(probe.zone, Some(probe.target), members, random);
        if let Some(other) = other {
            round.pings.push((other, self.sequence()));
        }
        self.probes.push(probe);
    }

    fn request_relays(
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

    fn start_probe(
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

    /// A random member of the zone that is neither removed, nor this node, nor
    /// `except`. `None` if none was found in a few tries.
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

    /// A random member with status `Alive`, from a random zone. `None` if none was
    /// found in a few tries.
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

    /// Records a probe on behalf of `requester`; returns the sequence to ping with.
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

    /// Completes the probe whose ping was answered directly. If the ping was on another
    /// node's behalf, returns that node and the sequence that it used.
    pub fn complete_probe(&mut self, sequence: ProbeSequence) -> Option<(NodeId, ProbeSequence)> {
        self.probes.retain(|probe| probe.sequence != sequence);
        let index = self
            .relayed
            .iter()
            .position(|relayed| relayed.sequence == sequence)?;
        let relayed = self.relayed.swap_remove(index);
        Some((relayed.requester, relayed.requester_sequence))
    }

    /// Records that the target of a probe answered another node.
    pub fn record_indirect_answer(&mut self, sequence: ProbeSequence) {
        let mut probes = self.probes.iter_mut();
        if let Some(probe) = probes.find(|probe| probe.sequence == sequence) {
            probe.alive_by_relay = true;
        }
    }
}

/// Number of attempts for a probe: only one for a member that is not `Alive` or is in
/// an unreachable zone, since repeating the probe would yield no new information.
fn attempts_for(probe: &Probe, members: &MemberTable, zones: &ZoneReachability) -> u32 {
    let suspected = members
        .get(probe.target)
        .is_none_or(|member| member.record.status != MemberStatus::Alive);
    match suspected || !zones.is_reachable(probe.zone) {
        true => 1,
        false => ATTEMPTS,
    }
}
