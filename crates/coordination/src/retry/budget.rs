//! Retries of one edge of the call graph, as a share of its traffic.

/// What each first attempt adds.
const DEPOSIT: f64 = 0.1;
/// What is there at the start.
const INITIAL: f64 = 2.0;
/// The most that can be saved up.
const MAX_BALANCE: f64 = 10.0;

/// A token bucket filled by first attempts and emptied by retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { balance: INITIAL }
    }
}

impl RetryBudget {
    /// A first attempt was sent.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Pays for one retry; says whether there was enough.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
