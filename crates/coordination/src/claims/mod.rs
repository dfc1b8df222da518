//! At-most-once execution: a call with an idempotency key runs only under a claim that
//! a majority of the key's replicas granted.
//!
//! [`claimant`] requests grants, [`replica`] gives them. [`roster`] chooses the replicas
//! of a key, [`record`] stores what they know of keys, and [`rejoin`] lets a replaced
//! replica recover the records of its predecessor. [`Claims`] combines claimant and
//! replica of one node, and [`gate`] places them between admission and run. The design
//! is described in `docs/design/at-most-once.md`.

pub mod claimant;
pub mod decision;
pub mod delivery;
pub mod gate;
pub mod handover;
mod page;
mod pending;
pub mod record;
pub mod rejoin;
pub mod replica;
pub mod roster;
pub mod settings;
pub mod tally;

use std::collections::VecDeque;

use lifthollow_protocol::{ClaimId, ClaimMessage, ClaimStored, ClaimVote, Roster, Verdict};
use lifthollow_state::{IdempotencyKey, NodeId, Timestamp};

pub use decision::{ClaimDecision, ClaimParameters, RunEnd};
pub use replica::{Envelope, KeyReport};
pub use settings::ClaimSettings;

use crate::inbound::InboundId;
use claimant::{Claimant, ClaimantEffect};
use replica::Replica;

/// Events that the claims of a node handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A call must be claimed before it may run.
    ClaimRequested {
        /// The call to claim.
        id: InboundId,
        /// The key, body digest and deadline of the call.
        parameters: ClaimParameters,
    },
    /// The caller of a call whose claim is not decided has disconnected or cancelled.
    Abandoned {
        /// The call that was abandoned.
        id: InboundId,
    },
    /// A call whose claim was granted has ended.
    RunEnded {
        /// The call that has ended.
        id: InboundId,
        /// Outcome of the run of the call.
        end: RunEnd,
    },
    /// A message was received.
    Received {
        /// The node that sent the message.
        from: NodeId,
        /// The received message.
        message: ClaimMessage,
    },
    /// A planned stop of this node has begun.
    Leave,
    /// The process has resumed after a pause: undecided claims are requested again.
    Resumed,
    /// The time returned by [`Claims::next_wake`] has come.
    Wake,
}

/// Actions that the caller must carry out for the claims of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Send a message to another node. It may be lost.
    Send(Envelope),
    /// Apply the decision on the claim of a call.
    Decided {
        /// The call whose claim was decided.
        id: InboundId,
        /// The decision on the claim.
        decision: ClaimDecision,
    },
}

/// The claimant and the replica of one node.
#[derive(Debug)]
pub struct Claims {
    node: NodeId,
    claimant: Claimant,
    replica: Replica,
}

impl Claims {
    /// Creates the claims of a process that starts at `now`.
    pub fn new(now: Timestamp, settings: ClaimSettings) -> Self {
        Claims {
            node: settings.node,
            replica: Replica::new(now, &settings),
            claimant: Claimant::new(settings),
        }
    }

    /// Reports the record of this node's replica for a key.
    pub fn report(&self, now: Timestamp, key: IdempotencyKey) -> KeyReport {
        self.replica.report(now, key)
    }

    /// The roster in force at this node.
    pub fn roster(&self) -> &Roster {
        self.replica.roster()
    }

    /// The replica of this node.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// When [`ClaimEvent::Wake`] must be delivered next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let claimant = self.claimant.next_wake();
        claimant.into_iter().chain(self.replica.next_wake()).min()
    }

    /// Handles one event and appends the resulting actions to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: ClaimEvent, effects: &mut Vec<ClaimEffect>) {
        let mut local = VecDeque::new();
        self.handle_event(now, event, &mut local, effects);
        while let Some(message) = local.pop_front() {
            let from = self.node;
            let event = ClaimEvent::Received { from, message };
            self.handle_event(now, event, &mut local, effects);
        }
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: ClaimEvent,
        local: &mut VecDeque<ClaimMessage>,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let mut claimant_effects = Vec::new();
        match event {
            ClaimEvent::ClaimRequested { id, parameters } => {
                let roster = self.replica.roster();
                self.claimant
                    .start_claim(now, id, parameters, roster, &mut claimant_effects);
            }
            ClaimEvent::Abandoned { id } => self.claimant.abandon(now, id, &mut claimant_effects),
            ClaimEvent::RunEnded { id, end } => {
                self.claimant.end_run(now, id, end, &mut claimant_effects);
            }
            ClaimEvent::Received { from, message } => {
                self.receive(now, from, message, &mut claimant_effects);
            }
            ClaimEvent::Leave => self.replica.start_handover(now),
            ClaimEvent::Resumed => self.restart_claims(now, &mut claimant_effects),
            ClaimEvent::Wake => self.wake(now, &mut claimant_effects),
        }
        for effect in claimant_effects {
            self.route(effect, local, effects);
        }
    }

    /// Queues messages to this node itself in `local` and passes on all other effects.
    fn route(
        &self,
        effect: ClaimantEffect,
        local: &mut VecDeque<ClaimMessage>,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match effect {
            ClaimantEffect::Send(envelope) if envelope.to == self.node => {
                local.push_back(envelope.message);
            }
            ClaimantEffect::Send(envelope) => effects.push(ClaimEffect::Send(envelope)),
            ClaimantEffect::Decided { id, decision } => {
                effects.push(ClaimEffect::Decided { id, decision });
            }
        }
    }

    fn receive(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ClaimMessage,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        match message {
            ClaimMessage::Request(request) => {
                let vote = self.replica.handle_request(now, &request);
                self.offer_roster(from, request.roster.epoch, effects);
                send(from, ClaimMessage::Vote(vote), effects);
            }
            ClaimMessage::Vote(vote) => self.handle_vote(now, from, &vote, effects),
            ClaimMessage::Release(release) => {
                if self.replica.handle_release(now, &release) {
                    send_confirmation(from, release.claim, effects);
                }
            }
            ClaimMessage::Finish(finish) => {
                if self.replica.handle_finish(now, &finish) {
                    send_confirmation(from, finish.claim, effects);
                }
            }
            ClaimMessage::Stored(stored) => self.claimant.record_stored(stored.claim, from),
            ClaimMessage::Roster(roster) => self.adopt_roster(now, roster, effects),
            ClaimMessage::RejoinRequest(request) => {
                let page = self.replica.answer_rejoin(now, from, &request);
                self.offer_roster(from, request.roster.epoch, effects);
                effects.extend(page.map(|message| send_effect(from, message)));
            }
            message @ (ClaimMessage::HandoverBegin(_)
            | ClaimMessage::HandoverReady(_)
            | ClaimMessage::HandoverPage(_)
            | ClaimMessage::HandoverStored(_)) => {
                let answer = self.replica.handle_handover(now, from, message);
                effects.extend(answer.map(|message| send_effect(from, message)));
            }
            ClaimMessage::RejoinPage(page) => {
                let request = self.replica.handle_rejoin_page(now, from, &page);
                effects.extend(request.map(|message| send_effect(from, message)));
            }
        }
    }

    fn handle_vote(
        &mut self,
        now: Timestamp,
        from: NodeId,
        vote: &ClaimVote,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        if vote.verdict == Verdict::OtherRoster {
            self.offer_roster(from, vote.roster.epoch, effects);
        }
        let roster = self.replica.roster();
        self.claimant.handle_vote(now, from, vote, roster, effects);
    }

    /// Sends this node's roster to a node whose roster has a lower epoch.
    fn offer_roster(&self, to: NodeId, epoch: u32, effects: &mut Vec<ClaimantEffect>) {
        let roster = self.replica.roster();
        if epoch < roster.epoch {
            send(to, ClaimMessage::Roster(roster.clone()), effects);
        }
    }

    fn adopt_roster(&mut self, now: Timestamp, roster: Roster, effects: &mut Vec<ClaimantEffect>) {
        if self.replica.adopt_roster(now, roster) {
            self.restart_claims(now, effects);
        }
    }

    fn restart_claims(&mut self, now: Timestamp, effects: &mut Vec<ClaimantEffect>) {
        let roster = self.replica.roster();
        self.claimant.restart_all(now, roster, effects);
    }

    fn wake(&mut self, now: Timestamp, effects: &mut Vec<ClaimantEffect>) {
        let envelopes = self.replica.wake(now);
        effects.extend(envelopes.into_iter().map(ClaimantEffect::Send));
        let roster = self.replica.roster();
        self.claimant.wake(now, roster, effects);
    }
}

fn send_confirmation(to: NodeId, claim: ClaimId, effects: &mut Vec<ClaimantEffect>) {
    send(to, ClaimMessage::Stored(ClaimStored { claim }), effects);
}

fn send(to: NodeId, message: ClaimMessage, effects: &mut Vec<ClaimantEffect>) {
    effects.push(send_effect(to, message));
}

fn send_effect(to: NodeId, message: ClaimMessage) -> ClaimantEffect {
    ClaimantEffect::Send(Envelope { to, message })
}
