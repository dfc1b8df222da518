//! The retry allowance lent to the attempts that run beside this node.
//!
//! Each nested call is lent half of what its parent has left, rounded up, and
//! gives back what it did not spend. What was lent and never comes back, such
//! as with a lost answer, stays spent. So no interleaving of parallel calls
//! spends more than the parent was given.

use std::collections::BTreeMap;

use lifthollow_state::RetryAllowance;

use crate::inbound::InboundId;

/// Allowance left to each attempt in progress.
#[derive(Debug, Default)]
pub struct AllowanceLedger {
    left: BTreeMap<InboundId, u8>,
}

impl AllowanceLedger {
    /// An attempt arrived with an allowance.
    pub fn open(&mut self, id: InboundId, allowance: RetryAllowance) {
        self.left.insert(id, allowance.0);
    }

    /// Lends a share to a call nested below an attempt; nothing if the attempt
    /// has been answered already.
    pub fn lend(&mut self, parent: InboundId) -> RetryAllowance {
        let Some(left) = self.left.get_mut(&parent) else {
            return RetryAllowance(0);
        };
        let share = left.div_ceil(2);
        *left -= share;
        RetryAllowance(share)
    }

    /// Takes back what a nested call did not spend.
    pub fn give_back(&mut self, parent: InboundId, unspent: RetryAllowance) {
        if let Some(left) = self.left.get_mut(&parent) {
            *left = left.saturating_add(unspent.0);
        }
    }

    /// The attempt is being answered: what is left goes back with the answer.
    pub fn settle(&mut self, id: InboundId) -> RetryAllowance {
        RetryAllowance(self.left.remove(&id).unwrap_or(0))
    }
}
