//! Request contents that servers recently ran successfully.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use lifthollow_state::{ServiceName, Timestamp};

use crate::mesh::poison::content::{CallerContent, ContentFingerprint};
use crate::mesh::poison::suspicion::GOOD_RUN_COVERS;

/// Minimum time for which a content is remembered; the maximum is twice as long.
const REMEMBERED: Duration = GOOD_RUN_COVERS;
/// Maximum number of contents remembered per generation. One takes an estimated 150 bytes with
/// one caller: 1.2 MiB in both generations. If a server runs more different contents, the frequent
/// ones are among the first and are remembered.
const MAX_CONTENTS: usize = 4096;

/// Time of the last successful run of a content, by calling service.
type Served = HashMap<ServiceName, Timestamp>;

/// Contents that ran successfully and the time of the last such run, in two generations.
#[derive(Clone, Debug, Default)]
pub struct RecentContents {
    newer: HashMap<ContentFingerprint, Served>,
    older: HashMap<ContentFingerprint, Served>,
    newer_since: Timestamp,
}

impl RecentContents {
    /// Records that a server ran `content` successfully at `now`.
    pub fn note(&mut self, now: Timestamp, content: CallerContent) {
        self.turn(now);
        if self.newer.len() < MAX_CONTENTS || self.newer.contains_key(&content.content) {
            let served = self.newer.entry(content.content).or_default();
            served.insert(content.caller, now);
        }
    }

    /// Returns when a server last ran `content` successfully, if that is still remembered.
    pub fn last(&mut self, now: Timestamp, content: &CallerContent) -> Option<Timestamp> {
        self.turn(now);
        let last_of = |served: &HashMap<_, Served>| {
            let by_caller: &Served = served.get(&content.content)?;
            by_caller.get(&content.caller).copied()
        };
        last_of(&self.newer).or_else(|| last_of(&self.older))
    }

    /// Returns when servers last ran `content` successfully, for each calling service.
    pub fn served(
        &mut self,
        now: Timestamp,
        content: ContentFingerprint,
    ) -> Vec<(CallerContent, Timestamp)> {
        self.turn(now);
        let spans = [&self.older, &self.newer].into_iter();
        // The newer generation comes last and overwrites entries of the older one.
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
