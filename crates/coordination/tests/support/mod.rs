//! Values and drivers shared by the tests of the outbound and inbound policies.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::View;
use lifthollow_coordination::inbound::{AdmissionControl, InboundPolicy};
use lifthollow_coordination::inbound::{Attempt, InboundEffect, InboundEvent, InboundId};
use lifthollow_coordination::outbound::{AttemptAnswer, AttemptId, Call, CallAnswer, CallId};
use lifthollow_coordination::outbound::{OutboundEffect, OutboundEvent, OutboundPolicy, Routing};
use lifthollow_protocol::{AdmissionLevel, AttemptResult, LoadReport, RefusalReason};
use lifthollow_state::{
    Directory, NodeId, Priority, PriorityClass, RequestContext, RequestId, RetryAllowance, Server,
    ServerState, ServiceName, Side, Table, TableRow, Timestamp, Zone,
};

pub const SERVICE: &str = "orders";
pub const LIMIT: u32 = 4;
pub const MAX_QUEUE: u32 = 3;

pub fn service() -> ServiceName {
    ServiceName::new(SERVICE)
}

pub fn node(number: u16) -> NodeId {
    NodeId::from_address(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), number))
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

pub fn row(service: ServiceName, side: Side, weight: u32) -> TableRow {
    TableRow {
        service,
        side,
        weight,
        max_in_flight: LIMIT,
        max_queue: MAX_QUEUE,
        max_connections: 100,
        class: PriorityClass::Normal,
        repeatable: true,
        deadline: Duration::from_secs(1),
    }
}

/// A view with `old` servers on the old side (nodes 1..) and `new` servers on the new
/// side (nodes 101..), each in a zone of its own.
pub fn view(weights: (u32, u32), old: u16, new: u16) -> View {
    let rows = [
        row(service(), Side::Old, weights.0),
        row(service(), Side::New, weights.1),
    ];
    let mut directory = Directory::default();
    let numbers = (1..=old)
        .map(|number| (Side::Old, number))
        .chain((101..101 + new).map(|number| (Side::New, number)));
    for (side, number) in numbers {
        let server = Server {
            node: node(number),
            side,
            zone: Zone(number),
            state: ServerState::Serving,
        };
        directory.insert(service(), server);
    }
    View {
        table: Arc::new(Table::new(1, rows)),
        directory: Arc::new(directory),
    }
}

pub fn context(class: PriorityClass, user: u8, deadline: Timestamp) -> RequestContext {
    RequestContext {
        request: RequestId(1),
        deadline,
        priority: Priority { class, user },
        idempotency_key: None,
        allowance: RetryAllowance(3),
    }
}

/// Passes events to an inbound policy and returns the actions it requests.
pub struct InboundDriver {
    pub policy: AdmissionControl,
    pub view: View,
    next_id: u64,
}

impl InboundDriver {
    pub fn new() -> Self {
        InboundDriver {
            policy: AdmissionControl::new(Side::Old, 1),
            view: view((1, 0), 1, 0),
            next_id: 0,
        }
    }

    pub fn event(&mut self, now: Timestamp, event: InboundEvent) -> Vec<InboundEffect> {
        let mut effects = Vec::new();
        self.policy.handle(now, &self.view, event, &mut effects);
        effects
    }

    pub fn arrive(
        &mut self,
        now: Timestamp,
        context: RequestContext,
    ) -> (InboundId, Vec<InboundEffect>) {
        self.next_id += 1;
        let id = InboundId(self.next_id);
        let attempt = Attempt {
            service: service(),
            context,
            from: node(9),
            body_digest: 0,
        };
        let effects = self.event(now, InboundEvent::AttemptArrived { id, attempt });
        (id, effects)
    }
}

/// Passes events to an outbound policy and returns the actions it requests.
pub struct OutboundDriver {
    pub policy: Routing,
    pub view: View,
    next_call: u64,
}

/// An attempt that the policy sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub call: CallId,
    pub attempt: AttemptId,
    pub server: NodeId,
}

impl OutboundDriver {
    pub fn new(view: View) -> Self {
        OutboundDriver {
            policy: Routing::new(Zone(0), 7),
            view,
            next_call: 0,
        }
    }

    pub fn event(&mut self, now: Timestamp, event: OutboundEvent) -> Vec<OutboundEffect> {
        let mut effects = Vec::new();
        self.policy.handle(now, &self.view, event, &mut effects);
        effects
    }

    pub fn call(
        &mut self,
        now: Timestamp,
        context: RequestContext,
        repeatable: bool,
    ) -> Vec<OutboundEffect> {
        self.next_call += 1;
        let description = Call {
            service: service(),
            context,
            parent: None,
            repeatable,
            replayable: true,
        };
        let call = CallId(self.next_call);
        self.event(now, OutboundEvent::CallArrived { call, description })
    }

    pub fn answer(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        result: AttemptResult,
        load: Option<LoadReport>,
    ) -> Vec<OutboundEffect> {
        let answer = AttemptAnswer {
            result,
            load,
            unspent: RetryAllowance(0),
        };
        let mut effects = self.event(now, OutboundEvent::AttemptAnswered { attempt, answer });
        let complete = true;
        effects.extend(self.event(now, OutboundEvent::AttemptClosed { attempt, complete }));
        effects
    }

    /// Makes a normal, repeatable call, which must be sent to some server.
    pub fn send(&mut self, now: Timestamp) -> SentAttempt {
        let deadline = now + Duration::from_secs(1);
        let effects = self.call(now, context(PriorityClass::Normal, 64, deadline), true);
        sent_attempt(&effects).expect("the call was not sent to any server")
    }
}

pub fn sent_attempt(effects: &[OutboundEffect]) -> Option<SentAttempt> {
    effects.iter().find_map(|effect| match effect {
        OutboundEffect::Dispatch {
            call,
            attempt,
            server,
            ..
        } => Some(SentAttempt {
            call: *call,
            attempt: *attempt,
            server: *server,
        }),
        _ => None,
    })
}

pub fn call_answer(effects: &[OutboundEffect]) -> Option<CallAnswer> {
    effects.iter().find_map(|effect| match effect {
        OutboundEffect::Answer { answer, .. } => Some(*answer),
        _ => None,
    })
}

pub const SUCCESS: AttemptResult = AttemptResult::Completed { success: true };

pub fn refused(reason: RefusalReason) -> AttemptResult {
    AttemptResult::NotRun {
        reason,
        retry_after: Duration::from_millis(100),
    }
}

pub fn load(level: AdmissionLevel) -> LoadReport {
    LoadReport {
        in_flight: 1,
        queued: 0,
        limit: LIMIT,
        admission_level: level,
        leaving: false,
    }
}

/// The reason for which attempt `wanted` was refused, if it was.
pub fn refusal_reason(effects: &[InboundEffect], wanted: InboundId) -> Option<RefusalReason> {
    effects.iter().find_map(|effect| match effect {
        InboundEffect::Answer {
            id,
            result: AttemptResult::NotRun { reason, .. },
        } if *id == wanted => Some(*reason),
        _ => None,
    })
}

pub fn is_run(effects: &[InboundEffect], wanted: InboundId) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, InboundEffect::Run { id, .. } if *id == wanted))
}
