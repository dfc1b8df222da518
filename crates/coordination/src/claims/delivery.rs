//! Releases and finishes are sent again until the replicas have stored them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_protocol::{ClaimId, ClaimMessage};
use lifthollow_state::{NodeId, Timestamp};

use super::replica::Envelope;

const FIRST_RESEND: Duration = Duration::from_millis(100);
/// Sends of one message to a silent replica. The interval doubles each time, so
/// that the last comes about 50 s after the first.
const MAX_SENDS: u32 = 10;
/// Deliveries kept at once; the oldest are given up first.
const MAX_DELIVERIES: usize = 4_096;

#[derive(Debug)]
struct PendingDelivery {
    message: ClaimMessage,
    waiting_for: BTreeSet<NodeId>,
    resend_at: Timestamp,
    sends: u32,
}

/// Messages about ended claims that some replicas have not confirmed.
#[derive(Debug, Default)]
pub struct Deliveries {
    pending: BTreeMap<ClaimId, PendingDelivery>,
}

impl Deliveries {
    /// Sends `message`, which ends `claim`, to `replicas`.
    pub fn start(
        &mut self,
        now: Timestamp,
        claim: ClaimId,
        replicas: BTreeSet<NodeId>,
        message: ClaimMessage,
    ) -> Vec<Envelope> {
        if self.pending.len() >= MAX_DELIVERIES {
            self.pending.pop_first();
        }
        let delivery = PendingDelivery {
            message,
            waiting_for: replicas,
            resend_at: now + FIRST_RESEND,
            sends: 1,
        };
        let envelopes = envelopes_of(&delivery);
        self.pending.insert(claim, delivery);
        envelopes
    }

    /// A replica confirmed.
    pub fn confirmed(&mut self, claim: ClaimId, by: NodeId) {
        let Some(delivery) = self.pending.get_mut(&claim) else {
            return;
        };
        delivery.waiting_for.remove(&by);
        if delivery.waiting_for.is_empty() {
            self.pending.remove(&claim);
        }
    }

    /// When [`Deliveries::wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.pending
            .values()
            .map(|delivery| delivery.resend_at)
            .min()
    }

    /// Sends again what has not been confirmed.
    pub fn wake(&mut self, now: Timestamp) -> Vec<Envelope> {
        let mut envelopes = Vec::new();
        for delivery in self.pending.values_mut() {
            if now >= delivery.resend_at {
                delivery.resend_at = now + FIRST_RESEND * 2_u32.pow(delivery.sends);
                delivery.sends += 1;
                envelopes.extend(envelopes_of(delivery));
            }
        }
        self.pending
            .retain(|_, delivery| delivery.sends < MAX_SENDS);
        envelopes
    }
}

fn envelopes_of(delivery: &PendingDelivery) -> Vec<Envelope> {
    let to_replica = |to: &NodeId| Envelope {
        to: *to,
        message: delivery.message.clone(),
    };
    delivery.waiting_for.iter().map(to_replica).collect()
}
