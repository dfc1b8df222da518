//! Bounds on retries: [`ledger`] for one whole request, [`budget`] for one edge
//! of the call graph, [`entry`] for what a request starts with.

pub mod budget;
pub mod entry;
pub mod ledger;

pub use budget::RetryBudget;
pub use entry::{AttemptNumber, entry_allowance};
pub use ledger::AllowanceLedger;
