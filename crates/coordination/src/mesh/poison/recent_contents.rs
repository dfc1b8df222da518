//! What servers ran well lately.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use lifthollow_state::{ServiceName, Timestamp};

use crate::mesh::poison::content::{CallerContent, ContentFingerprint};
use crate::mesh::poison::suspicion::GOOD_RUN_COVERS;

/// A content is remembered for at least this long, and for twice as long at most.
const REMEMBERED: Duration = GOOD_RUN_COVERS;
/// At most so many contents are remembered of each such span, some 150 bytes each with one
/// caller (reckoned): 1.2 MiB in all. Of a server that runs more different ones, those that
/// come often are among the first.
const MAX_CONTENTS: usize = 4096;

/// When a content was last run well, by the service of its callers.
type Served = HashMap<ServiceName, Timestamp>;

/// Contents, and when each was last run well.
#[derive(Clone, Debug, Default)]
pub struct RecentContents {
    newer: HashMap<ContentFingerprint, Served>,
    older: HashMap<ContentFingerprint, Served>,
    newer_since: Timestamp,
}

impl RecentContents {
    /// A server ran `content` well.
    pub fn note(&mut self, now: Timestamp, content: CallerContent) {
        self.turn(now);
        if self.newer.len() < MAX_CONTENTS || self.newer.contains_key(&content.content) {
            let served = self.newer.entry(content.content).or_default();
            served.insert(content.caller, now);
        }
    }

    /// When a server last ran `content` well, if that was lately.
    pub fn last(&mut self, now: Timestamp, content: &CallerContent) -> Option<Timestamp> {
        self.turn(now);
        let last_of = |served: &HashMap<_, Served>| {
            let by_caller: &Served = served.get(&content.content)?;
            by_caller.get(&content.caller).copied()
        };
        last_of(&self.newer).or_else(|| last_of(&self.older))
    }

    /// When servers last ran `content` well, for each service that called.
    pub fn served(
        &mut self,
        now: Timestamp,
        content: ContentFingerprint,
    ) -> Vec<(CallerContent, Timestamp)> {
        self.turn(now);
        let spans = [&self.older, &self.newer].into_iter();
        // What is newer comes last, and stays.
        let served = spans.flat_map(|span| span.get(&content).into_iter().flatten());
        let by_caller: BTreeMap<_, _> = served.collect();
        let known = by_caller.into_iter().map(|(caller, at)| {
            let caller = caller.clone();
            (CallerContent { content, caller }, *at)
        });
        known.collect()
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
