//! Decisions as JSON lines on standard output, bounded in number.

use std::cell::RefCell;
use std::time::Duration;

use lifthollow_state::Timestamp;
use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

/// Records that may wait for the writer before further ones are dropped and
/// counted.
const MAX_WAITING_RECORDS: usize = 1024;
/// Lines about requests that may be written at once.
const BURST: f64 = 100.0;
/// Lines about requests that may be written in a second on the long run.
const PER_SECOND: f64 = 20.0;

/// A logger that writes JSON lines of at least `level`. Everything logged is
/// written when the guard is dropped.
pub fn json_lines(level: Level) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(std::io::stdout());
    let drain = std::sync::Mutex::new(json).map(slog::Fuse);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_WAITING_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!()), guard)
}

/// Bounds the lines about requests; what is left out is counted.
#[derive(Debug, Default)]
pub struct LineLimit(RefCell<LimitState>);

#[derive(Debug)]
struct LimitState {
    tokens: f64,
    refilled: Timestamp,
    left_out: u64,
}

impl Default for LimitState {
    fn default() -> Self {
        LimitState {
            tokens: BURST,
            refilled: Timestamp::ZERO,
            left_out: 0,
        }
    }
}

impl LineLimit {
    /// Whether another line may be written now.
    pub fn allows(&self, now: Timestamp) -> bool {
        let mut state = self.0.borrow_mut();
        let passed: Duration = now.saturating_since(state.refilled);
        state.tokens = (state.tokens + passed.as_secs_f64() * PER_SECOND).min(BURST);
        state.refilled = now;
        if state.tokens < 1.0 {
            state.left_out += 1;
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    /// The lines left out since this was last asked.
    pub fn take_left_out(&self) -> u64 {
        std::mem::take(&mut self.0.borrow_mut().left_out)
    }
}
