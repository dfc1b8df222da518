//! Three strategies by which a fleet enforces a limit.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lifthollow_coordination::mesh::tenants::borrower::{Borrower, TokenDecision};
use lifthollow_coordination::mesh::tenants::fleet_quota::{FleetQuota, QuotaTolerance};
use lifthollow_coordination::mesh::tenants::lender::{Lender, Loan, TokenRequest};
use lifthollow_coordination::mesh::tenants::lenders::LenderCandidates;
use lifthollow_coordination::mesh::tenants::unresponsive_nodes::{Failure, UnresponsiveNodes};
use lifthollow_state::mesh::{InstanceId, RateLimit, ServerInstance, ServerState};

use super::{DELAY, LimitStrategy, Scenario, at};

/// Interval at which nodes report their requests to each other, in seconds.
const REPORT_INTERVAL_S: f64 = 0.25;
/// Time after which a node's report expires, in seconds.
const REPORT_EXPIRY_S: f64 = 3.0;
/// Time within which the lender, and each node that stands in for it, must answer, in seconds.
const ANSWER_TIMEOUT_S: f64 = 0.1;

#[derive(Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled: f64,
}

impl Bucket {
    fn take(&mut self, time: f64, rate: f64, burst: f64) -> bool {
        let burst = burst.max(1.0);
        self.tokens = (self.tokens + rate * (time - self.refilled)).min(burst);
        self.refilled = time;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Strategy that gives each node an equal share of the limit.
pub struct EqualShares {
    limit: RateLimit,
    buckets: Vec<Bucket>,
}

impl EqualShares {
    pub fn new(limit: RateLimit, nodes: usize) -> Self {
        let full = Bucket {
            tokens: (limit.burst as f64 / nodes as f64).max(1.0),
            refilled: 0.0,
        };
        EqualShares {
            limit,
            buckets: vec![full; nodes],
        }
    }
}

impl LimitStrategy for EqualShares {
    fn arrive(&mut self, scenario: &Scenario, time: f64, node: usize) -> Option<bool> {
        let share = 1.0 / scenario.nodes as f64;
        let (rate, burst) = (
            self.limit.per_second() * share,
            self.limit.burst as f64 * share,
        );
        Some(self.buckets[node].take(time, rate, burst))
    }

    fn advance(&mut self, _scenario: &Scenario, _time: f64) -> usize {
        0
    }

    fn messages(&self) -> usize {
        0
    }

    fn restart(&mut self, _scenario: &Scenario, time: f64, node: usize) {
        self.buckets[node] = Bucket {
            tokens: 1.0,
            refilled: time,
        };
    }
}

/// Strategy that gives each node a share of the limit in proportion to its share of all requests
/// that it knows of. Nodes report their requests in messages that are sent to all others anyway.
pub struct DemandShares {
    limit: RateLimit,
    nodes: Vec<DemandNode>,
    reported: f64,
}

#[derive(Clone)]
struct DemandNode {
    bucket: Bucket,
    counted: u32,
    demand: f64,
    others: Vec<(f64, f64)>,
}

impl DemandShares {
    pub fn new(limit: RateLimit, nodes: usize) -> Self {
        let node = DemandNode {
            bucket: Bucket {
                tokens: (limit.burst as f64 / nodes as f64).max(1.0),
                refilled: 0.0,
            },
            counted: 0,
            demand: 0.0,
            others: vec![(0.0, 0.0); nodes],
        };
        DemandShares {
            limit,
            nodes: vec![node; nodes],
            reported: 0.0,
        }
    }
}

impl LimitStrategy for DemandShares {
    fn arrive(&mut self, scenario: &Scenario, time: f64, node: usize) -> Option<bool> {
        let state = &mut self.nodes[node];
        state.counted += 1;
        let others = state.others.iter().enumerate();
        let fresh = others.filter(|(other, (_, at))| *other != node && time - at < REPORT_EXPIRY_S);
        let others: f64 = fresh.map(|(_, (demand, _))| demand).sum();
        let own = state.demand.max(1.0 / REPORT_EXPIRY_S);
        let equal = 1.0 / scenario.nodes as f64;
        let share = (own / (own + others)).max(equal / 2.0);
        let (rate, burst) = (
            self.limit.per_second() * share,
            self.limit.burst as f64 * share,
        );
        Some(state.bucket.take(time, rate, burst))
    }

    fn advance(&mut self, scenario: &Scenario, time: f64) -> usize {
        if time - self.reported < REPORT_INTERVAL_S {
            return 0;
        }
        self.reported = time;
        for node in &mut self.nodes {
            let demand = f64::from(std::mem::take(&mut node.counted)) / REPORT_INTERVAL_S;
            node.demand = node.demand * 0.75 + demand * 0.25;
        }
        let demands: Vec<f64> = self.nodes.iter().map(|node| node.demand).collect();
        for (node, state) in self.nodes.iter_mut().enumerate() {
            for (other, demand) in demands.iter().enumerate() {
                if scenario.is_connected(node, other, time) && scenario.is_running(other, 0, time) {
                    state.others[other] = (*demand, time);
                }
            }
        }
        0
    }

    fn messages(&self) -> usize {
        0
    }

    fn restart(&mut self, scenario: &Scenario, time: f64, node: usize) {
        let fresh = DemandShares::new(self.limit, scenario.nodes);
        self.nodes[node] = fresh.nodes[node].clone();
        self.nodes[node].bucket.refilled = time;
    }
}

/// Strategy in which one node lends tokens to those that ask; it is the one that is implemented.
pub struct LentTokens {
    quota: FleetQuota,
    ranked: Vec<usize>,
    borrowers: Vec<Borrower>,
    waiting: Vec<usize>,
    lenders: BTreeMap<usize, Lender>,
    unresponsive: BTreeMap<usize, UnresponsiveNodes>,
    /// Answers on their way: time of arrival, asking node, time of the token request, and the loan,
    /// if any lender answered.
    answers: Vec<(f64, usize, f64, Option<Loan>)>,
    messages_sent: usize,
}

fn address(node: usize) -> SocketAddrV4 {
    let octets = (node as u32 + 0x0a00_0001).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::from(octets), 80)
}

fn servers(nodes: usize) -> Vec<ServerInstance> {
    let server = |node: usize| ServerInstance {
        id: InstanceId::new(&format!("server-{node}")),
        service: "feeds".to_owned(),
        address: address(node),
        zone: "zone-0".to_owned(),
        slots: 16,
        state: ServerState::Ready,
        warm_up: Duration::ZERO,
    };
    (0..nodes).map(server).collect()
}

impl LentTokens {
    pub fn new(limit: RateLimit, tolerance: &QuotaTolerance, nodes: usize) -> Self {
        let quota = FleetQuota::new(limit, tolerance, nodes);
        let candidates = LenderCandidates::among(&servers(nodes));
        let ranked = candidates.lenders("tenant");
        let node_at = |wanted: SocketAddrV4| (0..nodes).find(|node| address(*node) == wanted);
        LentTokens {
            quota,
            ranked: ranked.into_iter().filter_map(node_at).collect(),
            borrowers: vec![Borrower::new(at(0.0), &quota); nodes],
            waiting: vec![0; nodes],
            lenders: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            answers: Vec::new(),
            messages_sent: 0,
        }
    }

    fn connection_failure(
        &self,
        scenario: &Scenario,
        time: f64,
        from: usize,
        to: usize,
    ) -> Option<Failure> {
        if !scenario.is_connected(from, to, time) {
            return Some(Failure::Silent);
        }
        let is_running = scenario.is_running(to, self.ranked[0], time);
        (!is_running).then_some(Failure::Refused)
    }

    fn ask(&mut self, scenario: &Scenario, time: f64, node: usize) {
        let token_request = self.borrowers[node].token_request(at(time), &self.quota);
        let mut now = time;
        let mut loan = None;
        for rank in self.ranked.clone() {
            if !self.may_ask(now, node, rank) {
                continue;
            }
            if let Some(failure) = self.connection_failure(scenario, now, node, rank) {
                self.record_failure(now, node, rank, failure);
                now += match failure {
                    Failure::Refused => DELAY.as_secs_f64() * 2.0,
                    Failure::Silent => ANSWER_TIMEOUT_S,
                };
                continue;
            }
            if rank != node {
                self.messages_sent += 2;
                now += DELAY.as_secs_f64() * 2.0;
            }
            loan = Some(self.lend(scenario, now, rank, token_request));
            break;
        }
        self.answers.push((now, node, time, loan));
    }

    fn may_ask(&mut self, time: f64, node: usize, other: usize) -> bool {
        let unresponsive = self.unresponsive.entry(node).or_default();
        unresponsive.may_ask(at(time), address(other))
    }

    fn record_failure(&mut self, time: f64, node: usize, other: usize, failure: Failure) {
        let unresponsive = self.unresponsive.entry(node).or_default();
        unresponsive.failed(at(time), address(other), failure);
    }

    fn lend(
        &mut self,
        scenario: &Scenario,
        time: f64,
        node: usize,
        token_request: TokenRequest,
    ) -> Loan {
        let before = self.ranked.iter().take_while(|other| **other != node);
        let before: Vec<usize> = before.copied().collect();
        for other in &before {
            match self.connection_failure(scenario, time, node, *other) {
                None => {
                    self.messages_sent += 2;
                    return self.lend_own(scenario, time, *other, token_request, &[]);
                }
                Some(failure) => self.record_failure(time, node, *other, failure),
            }
        }
        self.lend_own(scenario, time, node, token_request, &before)
    }

    fn lend_own(
        &mut self,
        scenario: &Scenario,
        time: f64,
        node: usize,
        token_request: TokenRequest,
        before: &[usize],
    ) -> Loan {
        let before: Vec<_> = before.iter().map(|other| address(*other)).collect();
        let view_age = Some(scenario.cut_off_for(node, time));
        let unresponsive = self.unresponsive.entry(node).or_default();
        let standing = unresponsive.standing(at(time), &before, view_age);
        let quota = self.quota.lendable_by(standing);
        let idle = match before.is_empty() {
            true => Duration::from_secs_f64(time),
            false => Duration::ZERO,
        };
        let lender = self
            .lenders
            .entry(node)
            .or_insert_with(|| Lender::after_idle(at(time), &quota, idle));
        lender.lend(at(time), &quota, token_request, 0.5)
    }

    fn start_or_wait(
        &mut self,
        scenario: &Scenario,
        time: f64,
        node: usize,
        decision: TokenDecision,
    ) -> Option<bool> {
        match decision {
            TokenDecision::Token => Some(true),
            TokenDecision::OverLimit(_) | TokenDecision::Unanswered(_) => Some(false),
            TokenDecision::AskLender => {
                self.borrowers[node].begin_waiting();
                self.waiting[node] += 1;
                if self.answers.iter().all(|(_, other, _, _)| *other != node) {
                    self.ask(scenario, time, node);
                }
                None
            }
        }
    }
}

impl LimitStrategy for LentTokens {
    fn lender(&self) -> usize {
        self.ranked[0]
    }

    fn arrive(&mut self, scenario: &Scenario, time: f64, node: usize) -> Option<bool> {
        let decision = self.borrowers[node].arrive(at(time), &self.quota);
        self.start_or_wait(scenario, time, node, decision)
    }

    fn advance(&mut self, scenario: &Scenario, time: f64) -> usize {
        let (due, later) = self.answers.drain(..).partition(|(due, ..)| *due <= time);
        self.answers = later;
        let due: Vec<(f64, usize, f64, Option<Loan>)> = due;
        let mut ran = 0;
        for (_, node, asked, loan) in due {
            match loan {
                Some(loan) => self.borrowers[node].answered(at(time), at(asked), loan),
                None => self.borrowers[node].record_no_answer(at(time)),
            }
            for _ in 0..std::mem::take(&mut self.waiting[node]) {
                self.borrowers[node].end_waiting();
                let decision = self.borrowers[node].take_token_after_answer(at(time), &self.quota);
                ran +=
                    usize::from(self.start_or_wait(scenario, time, node, decision) == Some(true));
            }
        }
        ran
    }

    fn messages(&self) -> usize {
        self.messages_sent
    }

    fn restart(&mut self, _scenario: &Scenario, time: f64, node: usize) {
        self.borrowers[node] = Borrower::new(at(time), &self.quota);
        self.waiting[node] = 0;
        self.unresponsive.remove(&node);
        let fresh = Lender::after_idle(at(time), &self.quota, Duration::ZERO);
        self.lenders.insert(node, fresh);
    }
}
