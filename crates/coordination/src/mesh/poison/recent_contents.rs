//! Request contents that servers recently ran successfully.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use lifthollow_state::{ServiceName, Timestamp};

use crate::mesh::poison::content::{CallerContent, ContentFingerprint};
use crate::mesh::poison::suspicion::SUCCESS_CLEARS_CRASHES_FOR;

/// Minimum time for which a content is remembered; the maximum is twice as long.
const MIN_RETENTION: Duration = SUCCESS_CLEARS_CRASHES_FOR;
/// Maximum number of contents remembered per generation. Each content takes an estimated 150 bytes
/// with one caller: 1.2 MiB in both generations. If a server runs more different contents, the
/// frequent ones are among the first and are remembered.
const MAX_CONTENTS_PER_GENERATION: usize = 4096;

/// Time of the last successful run of a content, by calling service.
type LastRunByCaller = HashMap<ServiceName, Timestamp>;

/// Contents that ran successfully and the time of the last such run, in two generations.
#[derive(Clone, Debug, Default)]
pub struct RecentContents {
    newer: HashMap<ContentFingerprint, LastRunByCaller>,
    older: HashMap<ContentFingerprint, LastRunByCaller>,
    newer_since: Timestamp,
}

impl RecentContents {
    /// Records that a server ran `content` successfully at `now`.
    pub fn record_successful_run(&mut self, now: Timestamp, content: CallerContent) {
        self.rotate_generations(now);
        if self.newer.len() < MAX_CONTENTS_PER_GENERATION
            || self.newer.contains_key(&content.content)
        {
            let by_caller = self.newer.entry(content.content).or_default();
            by_caller.insert(content.caller, now);
        }
    }

    /// Returns when a server last ran `content` successfully, if that is still remembered.
    pub fn last_successful_run(
        &mut self,
        now: Timestamp,
        content: &CallerContent,
    ) -> Option<Timestamp> {
        self.rotate_generations(now);
        let last_of = |generation: &HashMap<_, LastRunByCaller>| {
            let by_caller: &LastRunByCaller = generation.get(&content.content)?;
            by_caller.get(&content.caller).copied()
        };
        last_of(&self.newer).or_else(|| last_of(&self.older))
    }

    /// Returns when servers last ran `content` successfully, for each calling service.
    pub fn successful_runs_by_caller(
        &mut self,
        now: Timestamp,
        content: ContentFingerprint,
    ) -> Vec<(CallerContent, Timestamp)> {
        self.rotate_generations(now);
        let generations = [&self.older, &self.newer].into_iter();
        // The newer generation comes last and overwrites entries of the older one.
        let runs =
            generations.flat_map(|generation| generation.get(&content).into_iter().flatten());
        let by_caller: BTreeMap<_, _> = runs.collect();
        let with_caller = by_caller.into_iter().map(|(caller, at)| {
            let caller = caller.clone();
            (CallerContent { content, caller }, *at)
        });
        with_caller.collect()
    }

    fn rotate_generations(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.newer_since);
        if elapsed < MIN_RETENTION {
            return;
        }
        std::mem::swap(&mut self.newer, &mut self.older);
        self.newer.clear();
        if elapsed >= MIN_RETENTION * 2 {
            self.older.clear();
        }
        self.newer_since = now;
    }
}
