//! The watch of one of the few nodes that watch the source for all.

use std::pin::pin;
use std::time::Duration;

use lifthollow_coordination::mesh::view_freshness;
use lifthollow_state::mesh::Revision;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::snapshots::asking;

use super::{Changes, Source, SourceError, SourceFollower};

/// How long a watch waits at least and at most, milliseconds. Every node draws its
/// own time, so that after a silence of the source some node soon hears of changes.
const WATCH_WAIT: std::ops::Range<u64> = 5_000..12_000;
/// How long a watch waits after the source was lost, until it has answered again.
const TRIAL_WAIT: Duration = Duration::from_millis(200);
/// A watch that has not told of a change for this long is lost.
const WATCH_DELAY: Duration = Duration::from_millis(200);
/// Changes that come in quick succession are taken in together.
const GATHER: Duration = Duration::from_millis(250);
/// The longest time between looks at how fresh the view is.
const FRESHNESS_POLL: Duration = Duration::from_millis(250);

impl<S: Source> SourceFollower<S> {
    /// Watches for changes after the snapshot, and checks the view meanwhile if no other
    /// node confirms it.
    pub(super) async fn watch(&mut self) -> Result<(), SourceError> {
        let after = self.node.revision();
        let wait = self.watch_wait();
        let asked = self.node.now();
        let Some(answer) = self.watch_answer(after, wait).await? else {
            self.fall_behind("a watch did not tell of changes");
            return Ok(());
        };
        if !self.take_changes(answer, after, asked)? {
            return Ok(());
        }
        if !self.node.is_watcher() {
            // This node watched because it knew of nobody, and those that are to don't know yet.
            asking::tell_watchers(&self.node);
        }
        sleep(GATHER).await;
        Ok(())
    }

    fn watch_wait(&self) -> Duration {
        if self.is_lost {
            return TRIAL_WAIT;
        }
        let random = &mut self.node.state.borrow_mut().random;
        Duration::from_millis(random.random_range(WATCH_WAIT))
    }

    /// Waits for the answer of a watch, and makes sure meanwhile that it is not
    /// waited for in vain: the source may have fallen silent, or forgotten the watch. None if it
    /// has something newer and the watch doesn't tell.
    async fn watch_answer(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Result<Changes, SourceError>>, SourceError> {
        let mut watching = pin!(self.source.changes(after, wait));
        loop {
            tokio::select! {
                biased;
                answer = watching.as_mut() => return Ok(Some(answer)),
                () = self.check_due() => {}
            }
            if asking::ask_another_watcher(&self.node).await {
                continue;
            }
            if !self.is_newest(after).await? {
                return Ok(timeout(WATCH_DELAY, watching.as_mut()).await.ok());
            }
        }
    }

    /// Asks the source whether `revision` is its newest.
    async fn is_newest(&self, revision: Revision) -> Result<bool, SourceError> {
        let asked = self.node.now();
        let newest = self.source.newest_revision().await?;
        self.confirm(newest, asked);
        Ok(newest <= revision)
    }

    /// Waits until the view is so old that it must be checked, or this node no longer
    /// is one of those that watch.
    async fn check_due(&self) {
        let drawn = self.node.state.borrow_mut().random.random();
        while self.node.is_watcher() {
            let role = self.known().role();
            let limit = view_freshness::age_limit(role, drawn);
            let age = self.node.view_age().unwrap_or(Duration::MAX);
            let left = limit.saturating_sub(age);
            if left.is_zero() {
                return;
            }
            sleep(left.min(FRESHNESS_POLL)).await;
        }
    }
}
