//! Watches the source for changes, on the few nodes that do so for all nodes.

use std::pin::pin;
use std::time::Duration;

use lifthollow_coordination::mesh::view_freshness;
use lifthollow_state::mesh::Revision;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::snapshots::peer_queries;

use super::{Changes, Source, SourceError, SourceFollower};

/// Range from which the wait time of each watch is drawn, in milliseconds. The times differ between
/// nodes, so that some node soon receives changes after the source was unresponsive.
const WATCH_WAIT_MS: std::ops::Range<u64> = 5_000..12_000;
/// Wait time of a watch after the source was lost and until it has answered again.
const RETRY_WATCH_WAIT: Duration = Duration::from_millis(200);
/// How long a watch may take to report a change that the source already has; after that it counts
/// as lost.
const WATCH_GRACE: Duration = Duration::from_millis(200);
/// Pause after a change before the next watch, so that changes in quick succession are applied
/// together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
/// The longest pause between two checks of the view's age.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl<S: Source> SourceFollower<S> {
    /// Watches for changes after this node's revision. Meanwhile checks with the source that the
    /// revision is still the newest, unless another node confirms that.
    pub(super) async fn watch(&mut self) -> Result<(), SourceError> {
        let after = self.node.revision();
        let wait = self.watch_wait();
        let asked = self.node.now();
        let Some(answer) = self.await_watch_answer(after, wait).await? else {
            self.handle_missing_changes("a watch did not report the changes");
            return Ok(());
        };
        if !self.apply_changes(answer, after, asked)? {
            return Ok(());
        }
        if !self.node.is_watcher() {
            // This node watched because it knew no other node; the nodes that are to watch may not have
            // these changes yet.
            peer_queries::notify_watchers(&self.node);
        }
        sleep(CHANGE_BATCH_DELAY).await;
        Ok(())
    }

    fn watch_wait(&self) -> Duration {
        if self.is_source_lost {
            return RETRY_WATCH_WAIT;
        }
        let random = &mut self.node.state.borrow_mut().random;
        Duration::from_millis(random.random_range(WATCH_WAIT_MS))
    }

    /// Waits for the answer of a watch, and meanwhile checks that the source still answers and has not
    /// lost the watch. Returns none if the source has a newer revision that the watch does not report.
    async fn await_watch_answer(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Result<Changes, SourceError>>, SourceError> {
        let mut watching = pin!(self.source.changes(after, wait));
        loop {
            tokio::select! {
                biased;
                answer = watching.as_mut() => return Ok(Some(answer)),
                () = self.wait_until_check_due() => {}
            }
            let max_age = view_freshness::max_accepted_age(self.status().role());
            if peer_queries::query_first_watchers(&self.node, max_age).await {
                continue;
            }
            if !self.is_newest(after).await? {
                return Ok(timeout(WATCH_GRACE, watching.as_mut()).await.ok());
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

    fn draw_random_share(&self) -> f64 {
        let own = self.node.settings.server_address;
        let mut state = self.node.state.borrow_mut();
        let place = state.watchers.iter().position(|address| *address == own);
        let (place, watchers) = (place.unwrap_or_default(), state.watchers.len());
        view_freshness::share_by_place(place, watchers, state.random.random())
    }

    /// Waits until the view is so old that it must be checked, or this node is no longer one of those
    /// that watch the source.
    async fn wait_until_check_due(&self) {
        let random_share = self.draw_random_share();
        while self.node.is_watcher() {
            let role = self.status().role();
            let limit = view_freshness::age_limit(role, random_share);
            let age = self.node.view_age().unwrap_or(Duration::MAX);
            let left = limit.saturating_sub(age);
            if left.is_zero() {
                return;
            }
            sleep(left.min(VIEW_CHECK_INTERVAL)).await;
        }
    }
}
