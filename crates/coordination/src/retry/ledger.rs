//! Accounts of the retry allowance of the attempts that run on this node's local
//! back ends.
//!
//! Each nested call is lent half of its parent's remaining allowance, rounded up,
//! and returns what it did not spend. An allowance that is never returned, for
//! example because the answer was lost, counts as spent. So no interleaving of
//! parallel calls spends more than the parent was given.

use std::collections::BTreeMap;

use lifthollow_state::RetryAllowance;

use crate::inbound::InboundId;

/// Remaining retry allowance of each attempt in progress.
#[derive(Debug, Default)]
pub struct AllowanceLedger {
    remaining: BTreeMap<InboundId, u8>,
}

impl AllowanceLedger {
    /// Records the allowance with which an attempt arrived.
    pub fn open(&mut self, id: InboundId, allowance: RetryAllowance) {
        self.remaining.insert(id, allowance.0);
    }

    /// Lends a share of an attempt's remaining allowance to a call nested below it;
    /// zero if the attempt has been answered already.
    pub fn lend(&mut self, parent: InboundId) -> RetryAllowance {
        let Some(remaining) = self.remaining.get_mut(&parent) else {
            return RetryAllowance(0);
        };
        let share = remaining.div_ceil(2);
        *remaining -= share;
        RetryAllowance(share)
    }

    /// Adds back the allowance that a nested call did not spend; it is dropped if the
    /// attempt has been answered already.
    pub fn return_unspent(&mut self, parent: InboundId, unspent: RetryAllowance) {
        if let Some(remaining) = self.remaining.get_mut(&parent) {
            *remaining = remaining.saturating_add(unspent.0);
        }
    }

    /// Closes the account of an attempt that is being answered, and returns its
    /// remaining allowance, which is sent back with the answer.
    pub fn settle(&mut self, id: InboundId) -> RetryAllowance {
        RetryAllowance(self.remaining.remove(&id).unwrap_or(0))
    }
}
