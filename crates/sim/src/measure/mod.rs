//! Figures of a run: what was offered, what was useful, how long recovery took.

mod best;
mod recorder;
mod result;

pub use best::{best_possible, best_rate};
pub use recorder::{Recorder, RequestMeasure, SentAttempt};
pub use result::{RunResult, summarize};
