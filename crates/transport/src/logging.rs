//! Logging as JSON lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

/// Maximum number of log records that may be queued for the writer; further records are
/// dropped and counted.
const MAX_QUEUED_RECORDS: usize = 4096;

/// Creates a logger that writes records of at least `level` as JSON lines. Dropping the
/// guard flushes all queued records.
pub fn json_lines(level: Level) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(std::io::stdout());
    let drain = Mutex::new(json).map(slog::Fuse);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_RECORDS)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!()), guard)
}
