//! The state of a transfer of table rows from peers to this node.

use std::time::Duration;

use lifthollow_protocol::control::{RowKey, TablePage, TableRequest};
use lifthollow_state::{Table, TableRow, TableVersion, Timestamp};

/// If a request yields no page for this long, it is sent to another peer.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// A transfer that received no page for this long is dropped; the next message from
/// a node that has a newer version starts another.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time between requests that are repeated because of missing pages.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of out-of-order pages that are buffered while an earlier one is
/// missing.
const MAX_BUFFERED_PAGES: usize = 8;
/// Number of pages that answer one request; further pages need another request.
const PAGES_PER_REQUEST: u32 = 4;

/// Action required of the caller after a received page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PullProgress {
    /// Nothing: more pages of the same answer are in transit, or the page was not
    /// usable.
    Waiting,
    /// Request the next pages.
    RequestMore,
    /// Build the table, because all rows have arrived.
    Complete,
}

/// Rows collected so far for the version that is transferred.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    have: TableVersion,
    want: TableVersion,
    base: Option<TableVersion>,
    after: Option<RowKey>,
    rows: Vec<TableRow>,
    removed: Vec<RowKey>,
    /// Pages that arrived before an earlier page of the sequence.
    buffered: Vec<TablePage>,
    pages_since_request: u32,
    requested_at: Timestamp,
    progressed_at: Timestamp,
}

impl Pull {
    /// Starts a transfer from version `have` to version `want` without any rows.
    pub fn new(have: TableVersion, want: TableVersion, now: Timestamp) -> Self {
        Pull {
            have,
            want,
            base: None,
            after: None,
            rows: Vec::new(),
            removed: Vec::new(),
            buffered: Vec::new(),
            pages_since_request: 0,
            requested_at: now,
            progressed_at: now,
        }
    }

    /// The version that is being transferred.
    pub fn target(&self) -> TableVersion {
        self.want
    }

    /// Whether the transferred rows are changes to a base version and not all rows.
    pub fn is_incremental(&self) -> bool {
        self.base.is_some()
    }

    /// The request for the pages that follow the rows received so far.
    pub fn request(&self) -> TableRequest {
        TableRequest {
            have: self.have,
            want: self.want,
            after: self.after.clone(),
        }
    }

    /// Whether no page arrived for `STALL_TIMEOUT`, so that the request is repeated.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        now - self.requested_at.max(self.progressed_at) >= STALL_TIMEOUT
    }

    /// Whether no page arrived for `ABANDON_TIMEOUT`, so that the transfer is dropped.
    pub fn is_abandoned(&self, now: Timestamp) -> bool {
        now - self.progressed_at >= ABANDON_TIMEOUT
    }

    /// Records that a request is sent now.
    pub fn record_request(&mut self, now: Timestamp) {
        self.requested_at = now;
        self.pages_since_request = 0;
    }

    /// Appends the rows of a page if it follows the rows received so far. A later
    /// page is buffered; a page of a newer version restarts the transfer.
    pub fn add_page(&mut self, now: Timestamp, page: TablePage) -> PullProgress {
        let base_differs = page.target == self.want && page.base != self.base;
        if page.target > self.want || self.is_empty() && base_differs {
            self.restart(now, &page);
        }
        if page.target != self.want || page.base != self.base || page.after < self.after {
            return PullProgress::Waiting;
        }
        self.pages_since_request += 1;
        if page.after > self.after {
            self.buffer_page(page);
            return self.repeat_if_gap(now);
        }
        let mut last = self.append(now, page);
        while let Some(next) = self.take_next_buffered() {
            last = self.append(now, next);
        }
        match last {
            true => PullProgress::Complete,
            false if self.pages_since_request >= PAGES_PER_REQUEST => {
                self.record_request(now);
                PullProgress::RequestMore
            }
            false => PullProgress::Waiting,
        }
    }

    fn buffer_page(&mut self, page: TablePage) {
        let is_buffered = self
            .buffered
            .iter()
            .any(|buffered| buffered.after == page.after);
        if !is_buffered && self.buffered.len() < MAX_BUFFERED_PAGES {
            self.buffered.push(page);
        }
    }

    fn take_next_buffered(&mut self) -> Option<TablePage> {
        let after = &self.after;
        let next = self.buffered.iter().position(|page| page.after == *after)?;
        Some(self.buffered.swap_remove(next))
    }

    /// Requests the missing pages again if a whole answer has arrived with a gap
    /// and the last request is not too recent.
    fn repeat_if_gap(&mut self, now: Timestamp) -> PullProgress {
        let answer_complete = self.pages_since_request >= PAGES_PER_REQUEST;
        if !answer_complete || now - self.requested_at < MIN_REPEAT_INTERVAL {
            return PullProgress::Waiting;
        }
        self.record_request(now);
        PullProgress::RequestMore
    }

    fn is_empty(&self) -> bool {
        self.after.is_none()
    }

    /// Discards all rows and starts again for the version and base of `page`. The
    /// time of the last request is kept.
    fn restart(&mut self, now: Timestamp, page: &TablePage) {
        let requested_at = self.requested_at;
        *self = Pull::new(self.have, page.target, now);
        self.requested_at = requested_at;
        self.base = page.base;
    }

    /// Appends the page's rows; returns whether it was the last page.
    fn append(&mut self, now: Timestamp, page: TablePage) -> bool {
        self.rows.extend(page.rows());
        self.after = page.last_key().or(self.after.take());
        self.removed.extend(page.removed);
        self.progressed_at = now;
        page.last
    }

    /// Builds the resulting table, whose version the caller must compare with the
    /// target. Returns `None` if the base version is no longer in force.
    pub fn build(self, in_force: &Table) -> Option<Table> {
        let number = self.want.number;
        if self.base.is_none() {
            return Some(Table::new(number, self.rows));
        }
        if self.base != Some(in_force.version()) {
            return None;
        }
        let removed = self.removed.into_iter().map(|key| (key.service, key.side));
        Some(in_force.with_changes(number, self.rows, removed))
    }
}
