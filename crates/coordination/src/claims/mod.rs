//! At most once: a call with an idempotency key runs only under a claim that a
//! majority of the key's replicas granted.
//!
//! [`claimant`] gets the grants, [`replica`] gives them. [`roster`] chooses a
//! key's replicas, [`record`] is what they remember and [`rejoin`] how a
//! replaced replica learns what it has forgotten. [`Claims`] is both parts of
//! one node, and [`gate`] puts them between admission and run. The design is described in `docs/design/at-most-once.md`.

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

pub use decision::{ClaimDecision, ClaimWanted, RunEnd};
pub use replica::{Envelope, KeyReport};
pub use settings::ClaimSettings;

use crate::inbound::InboundId;
use claimant::{Claimant, ClaimantEffect};
use replica::Replica;

/// What the claims of a node are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A call is to be run under a claim.
    Wanted {
        /// The call.
        id: InboundId,
        /// What is to be claimed.
        wanted: ClaimWanted,
    },
    /// The caller of a call whose claim is not decided went away.
    Abandoned {
        /// The call.
        id: InboundId,
    },
    /// A call whose claim was granted has ended.
    RunEnded {
        /// The call.
        id: InboundId,
        /// How it ended.
        end: RunEnd,
    },
    /// A message arrived.
    Received {
        /// The sender.
        from: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// A planned stop has begun.
    Leave,
    /// The process was paused: claims that are not decided are asked for again.
    Resumed,
    /// The time asked for with [`Claims::next_wake`] has come.
    Wake,
}

/// What the claims of a node want done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Send a message to another node. It may be lost.
    Send(Envelope),
    /// A call's claim is decided.
    Decided {
        /// The call.
        id: InboundId,
        /// The decision.
        decision: ClaimDecision,
    },
}

/// Claimant and replica of one node.
#[derive(Debug)]
pub struct Claims {
    node: NodeId,
    claimant: Claimant,
    replica: Replica,
}

impl Claims {
    /// Claims of a process that starts at `now`.
    pub fn new(now: Timestamp, settings: ClaimSettings) -> Self {
        Claims {
            node: settings.node,
            replica: Replica::new(now, &settings),
            claimant: Claimant::new(settings),
        }
    }

    /// What this node's replica knows of a key.
    pub fn report(&self, now: Timestamp, key: IdempotencyKey) -> KeyReport {
        self.replica.report(now, key)
    }

    /// The roster in force at this node.
    pub fn roster(&self) -> &Roster {
        self.replica.roster()
    }

    /// The node's replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// When [`ClaimEvent::Wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let claimant = self.claimant.next_wake();
        claimant.into_iter().chain(self.replica.next_wake()).min()
    }

    /// Takes in one event and appends what is to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: ClaimEvent, effects: &mut Vec<ClaimEffect>) {
        let mut local = VecDeque::new();
        self.handle_one(now, event, &mut local, effects);
        while let Some(message) = local.pop_front() {
            let from = self.node;
            let event = ClaimEvent::Received { from, message };
            self.handle_one(now, event, &mut local, effects);
        }
    }

    fn handle_one(
        &mut self,
        now: Timestamp,
        event: ClaimEvent,
        local: &mut VecDeque<ClaimMessage>,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let mut produced = Vec::new();
        match event {
            ClaimEvent::Wanted { id, wanted } => {
                let roster = self.replica.roster();
                self.claimant.claim(now, id, wanted, roster, &mut produced);
            }
            ClaimEvent::Abandoned { id } => self.claimant.abandon(now, id, &mut produced),
            ClaimEvent::RunEnded { id, end } => {
                self.claimant.run_ended(now, id, end, &mut produced);
            }
            ClaimEvent::Received { from, message } => {
                self.receive(now, from, message, &mut produced);
            }
            ClaimEvent::Leave => self.replica.leave(now),
            ClaimEvent::Resumed => self.restart_claims(now, &mut produced),
            ClaimEvent::Wake => self.wake(now, &mut produced),
        }
        for effect in produced {
            self.route(effect, local, effects);
        }
    }

    /// Messages to this node itself do not leave it.
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
                let vote = self.replica.request(now, &request);
                self.offer_roster(from, request.roster.epoch, effects);
                send(from, ClaimMessage::Vote(vote), effects);
            }
            ClaimMessage::Vote(vote) => self.vote(now, from, &vote, effects),
            ClaimMessage::Release(release) => {
                if self.replica.release(now, &release) {
                    confirm(from, release.claim, effects);
                }
            }
            ClaimMessage::Finish(finish) => {
                if self.replica.finish(now, &finish) {
                    confirm(from, finish.claim, effects);
                }
            }
            ClaimMessage::Stored(stored) => self.claimant.stored(stored.claim, from),
            ClaimMessage::Roster(roster) => self.adopt(now, roster, effects),
            ClaimMessage::RejoinRequest(request) => {
                let page = self.replica.rejoin_request(now, from, &request);
                self.offer_roster(from, request.roster.epoch, effects);
                effects.extend(page.map(|message| sending(from, message)));
            }
            message @ (ClaimMessage::HandoverBegin(_)
            | ClaimMessage::HandoverReady(_)
            | ClaimMessage::HandoverPage(_)
            | ClaimMessage::HandoverStored(_)) => {
                let answer = self.replica.handover_message(now, from, message);
                effects.extend(answer.map(|message| sending(from, message)));
            }
            ClaimMessage::RejoinPage(page) => {
                let request = self.replica.rejoin_page(now, from, &page);
                effects.extend(request.map(|message| sending(from, message)));
            }
        }
    }

    fn vote(
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
        self.claimant.vote(now, from, vote, roster, effects);
    }

    /// Sends the roster to a node whose roster is older.
    fn offer_roster(&self, to: NodeId, epoch: u32, effects: &mut Vec<ClaimantEffect>) {
        let roster = self.replica.roster();
        if epoch < roster.epoch {
            send(to, ClaimMessage::Roster(roster.clone()), effects);
        }
    }

    fn adopt(&mut self, now: Timestamp, roster: Roster, effects: &mut Vec<ClaimantEffect>) {
        if self.replica.adopt(now, roster) {
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

fn confirm(to: NodeId, claim: ClaimId, effects: &mut Vec<ClaimantEffect>) {
    send(to, ClaimMessage::Stored(ClaimStored { claim }), effects);
}

fn send(to: NodeId, message: ClaimMessage, effects: &mut Vec<ClaimantEffect>) {
    effects.push(sending(to, message));
}

fn sending(to: NodeId, message: ClaimMessage) -> ClaimantEffect {
    ClaimantEffect::Send(Envelope { to, message })
}
