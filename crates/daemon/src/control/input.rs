//! What the control thread is told, and what it tells the tasks of calls.

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
    /// A caller makes a call.
    CallArrived {
        /// Its number.
        id: CallId,
        /// The call.
        description: Box<Call>,
        /// Where the effects for the call go.
        effects: flume::Sender<OutboundEffect>,
    },
    /// Another node sends an attempt.
    AttemptArrived {
        /// Its number.
        id: InboundId,
        /// The attempt.
        attempt: Box<Attempt>,
        /// Where the effects for the attempt go.
        effects: flume::Sender<AttemptEffect>,
    },
    /// Something else happened.
    Event(NodeEvent),
    /// An operator asks what the node knows of a key.
    KeyAsked {
        /// The key.
        key: IdempotencyKey,
        /// Where the answer goes; none if the node claims no keys.
        reply: flume::Sender<Option<KeyReport>>,
    },
    /// A planned stop asks whether claims are yet to be handed over.
    HandoverAsked {
        /// Where the answer goes.
        reply: flume::Sender<bool>,
    },
    /// The task of an attempt wants no more effects than those decided so far.
    AttemptReleased {
        /// The attempt.
        id: InboundId,
    },
    /// An operator wants to see all members.
    MembersAsked {
        /// Where they go.
        reply: flume::Sender<Vec<KnownMember>>,
    },
    /// A planned stop begins.
    Leave,
    /// The thread ends.
    Stop,
}

/// What the control thread wants done for an attempt of another node.
#[derive(Clone, Debug)]
pub enum AttemptEffect {
    /// Run it on the back end.
    Run {
        /// When the back end should give up.
        deadline: Timestamp,
        /// A run under a claim must not start from here on.
        start_before: Option<Timestamp>,
    },
    /// Answer the caller's node with the answer recorded when the call ran.
    Replay {
        /// The answer.
        answer: RecordedAnswer,
        /// The load of this node.
        load: LoadReport,
        /// Retries lent with the attempt that were not spent.
        unspent: RetryAllowance,
    },
    /// Answer the caller's node.
    Answer {
        /// How the attempt ended.
        result: AttemptResult,
        /// The load of this node.
        load: LoadReport,
        /// Retries lent with the attempt that were not spent.
        unspent: RetryAllowance,
    },
    /// Tell the back end to give up.
    CancelRun,
}

/// Sends messages to the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle(flume::Sender<ControlInput>);

impl ControlHandle {
    /// A handle and the channel's other end.
    pub fn channel() -> (ControlHandle, flume::Receiver<ControlInput>) {
        let (sender, receiver) = flume::unbounded();
        (ControlHandle(sender), receiver)
    }

    /// Sends one message. It is lost if the control thread has ended, which only
    /// happens when the process ends.
    pub fn send(&self, input: ControlInput) {
        let _ = self.0.send(input);
    }

    /// Asks for all members; none if the control thread doesn't answer in time.
    pub fn members(&self, timeout: Duration) -> Option<Vec<KnownMember>> {
        let (reply, answer) = flume::bounded(1);
        self.send(ControlInput::MembersAsked { reply });
        answer.recv_timeout(timeout).ok()
    }

    /// Asks what the node knows of a key; none if it claims no keys or doesn't
    /// answer in time.
    pub fn key_report(&self, key: IdempotencyKey, timeout: Duration) -> Option<KeyReport> {
        let (reply, answer) = flume::bounded(1);
        self.send(ControlInput::KeyAsked { key, reply });
        answer.recv_timeout(timeout).ok().flatten()
    }

    /// Asks whether claims are yet to be handed over.
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
