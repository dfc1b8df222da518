//! Bounds on retries: [`ledger`] for the tree of one request, [`budget`] for one
//! edge of the call graph, [`entry`] for the allowance that a request starts with.

pub mod budget;
pub mod entry;
pub mod ledger;

pub use budget::RetryBudget;
pub use entry::{AttemptNumber, entry_allowance};
pub use ledger::AllowanceLedger;
