//! Tests that the retries of one whole request never exceed the allowance granted
//! at its entry, whatever the shape of its tree, the order of events and the
//! failures.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::fleet::{FleetEvent, Machine};
use lifthollow_coordination::inbound::{
    Attempt, InboundEffect, InboundEvent, InboundId, RunResult,
};
use lifthollow_coordination::outbound::{AttemptAnswer, AttemptId, Call, CallId};
use lifthollow_coordination::outbound::{OutboundEffect, OutboundEvent};
use lifthollow_coordination::retry::{AttemptNumber, entry_allowance};
use lifthollow_coordination::{Node, NodeEffect, NodeEvent, NodeSettings, PolicyKind};
use lifthollow_protocol::{AttemptResult, RefusalReason};
use lifthollow_state::{
    Incarnation, NodeId, PriorityClass, RetryAllowance, ServiceName, Side, Table, Zone,
};
use quickcheck::quickcheck;
use support::{at, context, node, row};

/// Number of services in the chain; each calls the next.
const DEPTH: usize = 5;
/// Number of servers of each service.
const SERVERS: u16 = 3;
/// Largest number of parallel calls made by one run.
const MAX_FAN_OUT: usize = 3;
/// Index of the node at which requests enter.
const ENTRY_NODE: usize = 0;
/// When calls begin: by then a node without contact to a peer applies the platform's
/// table.
const START_MILLIS: u64 = 3_000;
const WAKE_INTERVAL_MILLIS: usize = 100;

/// An event that can still happen; indexes of nodes are those of
/// [`ServiceChain::nodes`].
enum Pending {
    AttemptArrives {
        to: usize,
        from: usize,
        attempt: AttemptId,
        message: Attempt,
    },
    StartRun {
        at: usize,
        id: InboundId,
    },
    FinishRun {
        at: usize,
        id: InboundId,
    },
    Answer {
        to: usize,
        attempt: AttemptId,
        answer: AttemptAnswer,
    },
}

/// All nodes of the chain and the events between them; every choice is taken from a
/// list of bytes.
struct ServiceChain {
    nodes: Vec<Node>,
    choices: Vec<u8>,
    cursor: usize,
    pending: Vec<Pending>,
    callers: BTreeMap<(usize, InboundId), (usize, AttemptId)>,
    next_id: u64,
    attempted: BTreeSet<CallId>,
    retries: u32,
}

fn service_at(depth: usize) -> ServiceName {
    ServiceName::new(&format!("service-{depth}"))
}

/// The index of a server's node: the entry node comes first, then the servers of
/// each service in order.
fn index_of(server: NodeId) -> usize {
    usize::from(server.address().port()) - 1
}

fn depth_of(index: usize) -> usize {
    (index - 1) / usize::from(SERVERS)
}

fn make_nodes() -> Vec<Node> {
    let rows = (0..DEPTH).map(|depth| row(service_at(depth), Side::Old, 1));
    let table = Arc::new(Table::new(1, rows));
    let count = 1 + DEPTH as u16 * SERVERS;
    let machines: Vec<Machine> = (1..count)
        .map(|index| Machine {
            node: node(index + 1),
            service: service_at(depth_of(usize::from(index))),
            side: Side::Old,
            zone: Zone(0),
            leaving: false,
        })
        .collect();
    (0..count)
        .map(|index| make_node(index, &table, &machines))
        .collect()
}

fn make_node(index: u16, table: &Arc<Table>, machines: &[Machine]) -> Node {
    let mut made = Node::new(NodeSettings {
        node: node(index + 1),
        side: Side::Old,
        zone: Zone(0),
        services: Vec::new(),
        policy: PolicyKind::Lifthollow,
        seed: u64::from(index),
        incarnation: Incarnation(1),
        seeds: Vec::new(),
    });
    let mut effects = Vec::new();
    let fetched = FleetEvent::TableFetched(Ok(Arc::clone(table)));
    made.handle(at(0), NodeEvent::Fleet(fetched), &mut effects);
    let listed = FleetEvent::MachinesFetched(Ok(machines.to_vec()));
    made.handle(at(0), NodeEvent::Fleet(listed), &mut effects);
    for millis in (0..START_MILLIS).step_by(WAKE_INTERVAL_MILLIS) {
        made.handle(at(millis), NodeEvent::Wake, &mut effects);
    }
    made
}

impl ServiceChain {
    fn new(choices: Vec<u8>) -> Self {
        ServiceChain {
            nodes: make_nodes(),
            choices,
            cursor: 0,
            pending: Vec::new(),
            callers: BTreeMap::new(),
            next_id: 0,
            attempted: BTreeSet::new(),
            retries: 0,
        }
    }

    /// The next choice, below `bound`; zero once the list is used up.
    fn choose(&mut self, bound: usize) -> usize {
        let choice = self.choices.get(self.cursor).copied().unwrap_or(0);
        self.cursor += 1;
        usize::from(choice) % bound
    }

    fn make_call(
        &mut self,
        from: usize,
        depth: usize,
        parent: Option<InboundId>,
        allowance: RetryAllowance,
    ) {
        self.next_id += 1;
        let mut context = context(PriorityClass::Normal, 64, at(START_MILLIS + 1000));
        context.allowance = allowance;
        let description = Call {
            service: service_at(depth),
            context,
            parent,
            repeatable: true,
            replayable: true,
        };
        let call = CallId(self.next_id);
        let event = OutboundEvent::CallArrived { call, description };
        self.handle(from, NodeEvent::Outbound(event));
    }

    fn handle(&mut self, index: usize, event: NodeEvent) {
        let mut effects = Vec::new();
        self.nodes[index].handle(at(START_MILLIS), event, &mut effects);
        for effect in effects {
            match effect {
                NodeEffect::Outbound(effect) => self.carry_out_outbound(index, effect),
                NodeEffect::Inbound(effect) => self.carry_out_inbound(index, effect),
                NodeEffect::Fleet(_) => {}
            }
        }
    }

    fn carry_out_outbound(&mut self, from: usize, effect: OutboundEffect) {
        if let OutboundEffect::Dispatch {
            call,
            attempt,
            server,
            context,
            ..
        } = effect
        {
            if !self.attempted.insert(call) {
                self.retries += 1;
            }
            let to = index_of(server);
            let message = Attempt {
                service: service_at(depth_of(to)),
                context,
                from: node(from as u16 + 1),
                body_digest: 0,
            };
            self.pending.push(Pending::AttemptArrives {
                to,
                from,
                attempt,
                message,
            });
        }
    }

    fn carry_out_inbound(&mut self, at: usize, effect: InboundEffect) {
        match effect {
            InboundEffect::Run { id, .. } | InboundEffect::RunClaimed { id, .. } => {
                self.pending.push(Pending::StartRun { at, id });
            }
            InboundEffect::Answer { id, result } => self.send_answer(at, id, result),
            InboundEffect::CancelRun { .. } | InboundEffect::Replay { .. } => {}
        }
    }

    /// Sends the answer back with the unspent allowance, or loses both.
    fn send_answer(&mut self, at: usize, id: InboundId, result: AttemptResult) {
        let Some((to, attempt)) = self.callers.remove(&(at, id)) else {
            return;
        };
        let unspent = self.nodes[at].close_allowance(id);
        let lost = self.choose(4) == 0;
        let (result, unspent) = if lost {
            let reason = RefusalReason::AnswerLost;
            (AttemptResult::Unknown { reason }, RetryAllowance(0))
        } else {
            (result, unspent)
        };
        let answer = AttemptAnswer {
            result,
            load: None,
            unspent,
        };
        self.pending.push(Pending::Answer {
            to,
            attempt,
            answer,
        });
    }

    fn handle_next(&mut self) {
        let next = self.choose(self.pending.len());
        match self.pending.swap_remove(next) {
            Pending::AttemptArrives {
                to,
                from,
                attempt,
                message,
            } => self.arrive(to, from, attempt, message),
            Pending::StartRun { at, id } => self.start_run(at, id),
            Pending::FinishRun { at, id } => self.finish_run(at, id),
            Pending::Answer {
                to,
                attempt,
                answer,
            } => {
                let event = OutboundEvent::AttemptAnswered { attempt, answer };
                self.handle(to, NodeEvent::Outbound(event));
            }
        }
    }

    fn arrive(&mut self, to: usize, from: usize, attempt: AttemptId, message: Attempt) {
        self.next_id += 1;
        let id = InboundId(self.next_id);
        self.callers.insert((to, id), (from, attempt));
        let event = InboundEvent::AttemptArrived {
            id,
            attempt: message,
        };
        self.handle(to, NodeEvent::Inbound(event));
    }

    /// Starts a run, which makes its calls in parallel and may end before they do.
    fn start_run(&mut self, at: usize, id: InboundId) {
        let depth = depth_of(at) + 1;
        self.pending.push(Pending::FinishRun { at, id });
        if depth < DEPTH {
            for _ in 0..self.choose(MAX_FAN_OUT + 1) {
                self.make_call(at, depth, Some(id), RetryAllowance(9));
            }
        }
    }

    fn finish_run(&mut self, at: usize, id: InboundId) {
        let result = match self.choose(4) {
            0 => RunResult::Lost,
            1 => RunResult::Refused {
                retry_after: Duration::from_millis(1),
            },
            2 => RunResult::Completed { success: false },
            _ => RunResult::Completed { success: true },
        };
        let answered = InboundEvent::RunAnswered { id, result };
        self.handle(at, NodeEvent::Inbound(answered));
        self.handle(at, NodeEvent::Inbound(InboundEvent::RunClosed { id }));
    }

    /// Runs one request and its client's repeats; returns the number of retries made.
    fn run_request(&mut self, client_attempts: u32) -> u32 {
        for attempt in 1..=client_attempts {
            self.make_call(ENTRY_NODE, 0, None, entry_allowance(AttemptNumber(attempt)));
        }
        let mut steps = 0;
        while !self.pending.is_empty() && steps < 5000 {
            self.handle_next();
            steps += 1;
        }
        self.retries
    }
}

quickcheck! {
    fn retries_never_exceed_the_entry_allowance(choices: Vec<u8>, client_attempts: u8) -> bool {
        let mut chain = ServiceChain::new(choices);
        chain.run_request(1 + u32::from(client_attempts % 3)) <= 3
    }
}

#[test]
fn failures_are_retried_up_to_the_entry_allowance() {
    let retries_by_seed = (0..200_u32).map(|seed| {
        let choices = (0..200_u32)
            .map(|step| ((seed * 7919 + step * 104_729) >> 3) as u8)
            .collect();
        ServiceChain::new(choices).run_request(1)
    });
    assert_eq!(retries_by_seed.max(), Some(3));
}
