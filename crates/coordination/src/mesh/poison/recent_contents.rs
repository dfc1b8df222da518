//! What servers ran well lately.

use std::collections::HashMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::poison::content::CallerContent;
use crate::mesh::poison::suspicion::GOOD_RUN_COVERS;

/// A content is remembered for at least this long, and for twice as long at most.
const REMEMBERED: Duration = GOOD_RUN_COVERS;
/// At most so many contents are remembered of each such span, some 60 bytes each: 512 KiB in
/// all. Of a server that runs more different ones, those that come often are among the first.
const MAX_CONTENTS: usize = 4096;

/// Contents, and when each was last run well.
#[derive(Clone, Debug, Default)]
pub struct RecentContents {
    newer: HashMap<CallerContent, Timestamp>,
    older: HashMap<CallerContent, Timestamp>,
    newer_since: Timestamp,
}

impl RecentContents {
    /// A server ran `content` well.
    pub fn note(&mut self, now: Timestamp, content: CallerContent) {
        self.turn(now);
        if self.newer.len() < MAX_CONTENTS || self.newer.contains_key(&content) {
            self.newer.insert(content, now);
        }
    }

    /// When a server last ran `content` well, if that was lately.
    pub fn last(&mut self, now: Timestamp, content: &CallerContent) -> Option<Timestamp> {
        self.turn(now);
        let known = self.newer.get(content).or_else(|| self.older.get(content));
        known.copied()
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
