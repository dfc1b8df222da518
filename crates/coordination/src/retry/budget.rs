//! Retry budget of one edge of the call graph, which limits retries to a share of
//! the edge's first attempts.

/// Number of retries that each first attempt adds to the budget.
const DEPOSIT_PER_ATTEMPT: f64 = 0.1;
/// Number of retries in a new budget.
const INITIAL_BALANCE: f64 = 2.0;
/// Largest number of retries that the budget can hold.
const MAX_BALANCE: f64 = 10.0;

/// A token bucket filled by first attempts and emptied by retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            balance: INITIAL_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Adds the share of a first attempt that was sent.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false and takes nothing if less than
    /// one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
