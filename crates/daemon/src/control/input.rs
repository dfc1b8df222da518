//! Messages to the control thread, and effects that it sends to the tasks of
//! attempts.

use std::time::Duration;

use lifthollow_coordination::claims::KeyReport;
use lifthollow_coordination::inbound::{Attempt, InboundEvent, InboundId};
use lifthollow_coordination::outbound::{Call, CallId, OutboundEffect, OutboundEvent};
use lifthollow_coordination::{NodeEvent, fleet::FleetEvent};
use lifthollow_protocol::operators::KnownMember;
use lifthollow_protocol::{AttemptResult, LoadReport, RecordedAnswer};
use lifthollow_state::{IdempotencyKey, RetryAllowance, Timestamp};

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A local caller made a call.
    CallArrived {
        /// ID of the call.
        id: CallId,
        /// Description of the call.
        description: Box<Call>,
        /// Channel for the effects of the call.
        effects: flume::Sender<OutboundEffect>,
    },
    /// Another node sent an attempt.
    AttemptArrived {
        /// ID of the attempt on this node.
        id: InboundId,
        /// Description of the attempt.
        attempt: Box<Attempt>,
        /// Channel for the effects of the attempt.
        effects: flume::Sender<AttemptEffect>,
    },
    /// Any other event of the node.
    Event(NodeEvent),
    /// An operator asked for the claim on an idempotency key.
    KeyAsked {
        /// The idempotency key.
        key: IdempotencyKey,
        /// Channel for the answer, which is `None` if the node claims no keys.
        reply: flume::Sender<Option<KeyReport>>,
    },
    /// The shutdown routine asked whether claims remain to be handed over.
    HandoverAsked {
        /// Channel for the answer.
        reply: flume::Sender<bool>,
    },
    /// The task of an attempt needs no further effects beyond those decided so far.
    AttemptReleased {
        /// ID of the attempt on this node.
        id: InboundId,
    },
    /// An operator asked for all members.
    MembersAsked {
        /// Channel for the list of members.
        reply: flume::Sender<Vec<KnownMember>>,
    },
    /// A planned stop began.
    Leave,
    /// The control thread must end.
    Stop,
}

/// An effect that the task of an attempt from another node carries out.
#[derive(Clone, Debug)]
pub enum AttemptEffect {
    /// Run the attempt on the local back end.
    Run {
        /// Time by which the back end should stop working on the attempt.
        deadline: Timestamp,
        /// A run under a claim must start before this time; `None` without a claim.
        start_before: Option<Timestamp>,
    },
    /// Answer the caller's node with the answer recorded when the call ran.
    Replay {
        /// The recorded answer.
        answer: RecordedAnswer,
        /// The load of this node.
        load: LoadReport,
        /// Retries lent with the attempt that were not spent.
        unspent: RetryAllowance,
    },
    /// Send this result to the caller's node.
    Answer {
        /// Outcome of the attempt.
        result: AttemptResult,
        /// The load of this node.
        load: LoadReport,
        /// Retries lent with the attempt that were not spent.
        unspent: RetryAllowance,
    },
    /// Cancel the run on the back end.
    CancelRun,
}

/// Sends messages to the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle(flume::Sender<ControlInput>);

impl ControlHandle {
    /// Creates a handle and the receiving end of its channel.
    pub fn channel() -> (ControlHandle, flume::Receiver<ControlInput>) {
        let (sender, receiver) = flume::unbounded();
        (ControlHandle(sender), receiver)
    }

    /// Sends one message. It is lost if the control thread has ended, which only
    /// happens when the process ends.
    pub fn send(&self, input: ControlInput) {
        let _ = self.0.send(input);
    }

    /// Asks for all members; `None` if the control thread doesn't answer in time.
    pub fn members(&self, timeout: Duration) -> Option<Vec<KnownMember>> {
        let (reply, answer) = flume::bounded(1);
        self.send(ControlInput::MembersAsked { reply });
        answer.recv_timeout(timeout).ok()
    }

    /// Asks for the claim on an idempotency key; `None` if the node claims no keys or
    /// the control thread doesn't answer in time.
    pub fn key_report(&self, key: IdempotencyKey, timeout: Duration) -> Option<KeyReport> {
        let (reply, answer) = flume::bounded(1);
        self.send(ControlInput::KeyAsked { key, reply });
        answer.recv_timeout(timeout).ok().flatten()
    }

    /// Asks whether claims remain to be handed over.
    pub async fn is_handing_over(&self) -> bool {
        let (reply, answer) = flume::bounded(1);
        self.send(ControlInput::HandoverAsked { reply });
        answer.recv_async().await.unwrap_or(false)
    }

    /// Reports an event of the caller's side.
    pub fn outbound(&self, event: OutboundEvent) {
        self.send(ControlInput::Event(NodeEvent::Outbound(event)));
    }

    /// Reports an event of the server's side.
    pub fn inbound(&self, event: InboundEvent) {
        self.send(ControlInput::Event(NodeEvent::Inbound(event)));
    }

    /// Reports an event of the platform or of other nodes.
    pub fn fleet(&self, event: FleetEvent) {
        self.send(ControlInput::Event(NodeEvent::Fleet(event)));
    }
}
