//! What servers ran well a moment ago.

use std::collections::HashSet;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::poison::content::CallerContent;

/// A content is remembered for at least this long, and for twice as long at most.
const REMEMBERED: Duration = Duration::from_secs(1);
/// At most so many contents are remembered of each such span: 512 KiB in all. A server
/// that runs more in a second has others forgotten, which then count as not run.
const MAX_CONTENTS: usize = 4096;

/// Contents by the span of time in which they were last run well.
#[derive(Clone, Debug, Default)]
pub struct RecentContents {
    newer: HashSet<CallerContent>,
    older: HashSet<CallerContent>,
    newer_since: Timestamp,
}

impl RecentContents {
    /// A server ran `content` well.
    pub fn note(&mut self, now: Timestamp, content: CallerContent) {
        self.turn(now);
        if self.newer.len() < MAX_CONTENTS {
            self.newer.insert(content);
        }
    }

    /// Whether a server ran `content` well a moment ago.
    pub fn contains(&mut self, now: Timestamp, content: &CallerContent) -> bool {
        self.turn(now);
        self.newer.contains(content) || self.older.contains(content)
    }

    fn turn(&mut self, now: Timestamp) {
        let passed = now.saturating_since(self.newer_since);
        if passed < REMEMBERED {
            return;
        }
        std::mem::swap(&mut self.newer, &mut self.older);
        self.newer.clear();
        if passed >= REMEMBERED * 2 {
            self.older.clear();
        }
        self.newer_since = now;
    }
}
