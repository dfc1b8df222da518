//! The log: JSON lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

/// Records that may wait for the writer before further ones are dropped and
/// counted.
const MAX_WAITING_RECORDS: usize = 4096;

/// A logger that writes JSON lines of at least `level`. Everything logged is
/// written when the guard is dropped.
pub fn json_lines(level: Level) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(std::io::stdout());
    let drain = Mutex::new(json).map(slog::Fuse);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_WAITING_RECORDS)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!()), guard)
}
