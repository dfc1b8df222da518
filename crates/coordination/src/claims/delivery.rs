//! Resends release and finish messages until the replicas have stored them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_protocol::{ClaimId, ClaimMessage};
use lifthollow_state::{NodeId, Timestamp};

use super::replica::Envelope;

const FIRST_RESEND: Duration = Duration::from_millis(100);
/// Number of times that a message is sent to a replica that does not confirm it. The
/// interval doubles each time, so the last is sent about 50 s after the first.
const MAX_SENDS: u32 = 10;
/// Maximum number of unconfirmed deliveries. When it is reached, the oldest is dropped
/// for a new one.
const MAX_DELIVERIES: usize = 4_096;

#[derive(Debug)]
struct PendingDelivery {
    message: ClaimMessage,
    unconfirmed: BTreeSet<NodeId>,
    resend_at: Timestamp,
    sends: u32,
}

/// Messages about ended claims that not all replicas have confirmed.
#[derive(Debug, Default)]
pub struct Deliveries {
    pending: BTreeMap<ClaimId, PendingDelivery>,
}

impl Deliveries {
    /// Starts the delivery of `message`, which ends `claim`, to `replicas`, and returns
    /// the first sends.
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
            unconfirmed: replicas,
            resend_at: now + FIRST_RESEND,
            sends: 1,
        };
        let envelopes = envelopes_of(&delivery);
        self.pending.insert(claim, delivery);
        envelopes
    }

    /// Records that replica `by` has stored the message that ends `claim`.
    pub fn confirm(&mut self, claim: ClaimId, by: NodeId) {
        let Some(delivery) = self.pending.get_mut(&claim) else {
            return;
        };
        delivery.unconfirmed.remove(&by);
        if delivery.unconfirmed.is_empty() {
            self.pending.remove(&claim);
        }
    }

    /// When [`Deliveries::wake`] must be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.pending
            .values()
            .map(|delivery| delivery.resend_at)
            .min()
    }

    /// Returns the due resends of unconfirmed messages, and drops deliveries that were
    /// sent `MAX_SENDS` times.
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
    delivery.unconfirmed.iter().map(to_replica).collect()
}
