//! A transfer of rows from peers in progress.

use std::time::Duration;

use lifthollow_protocol::control::{RowKey, TablePage, TableRequest};
use lifthollow_state::{Table, TableRow, TableVersion, Timestamp};

/// A request without an answer for this long is repeated to another peer.
const STALLED_AFTER: Duration = Duration::from_millis(400);
/// A transfer that nobody serves any more is dropped; the next contact with a
/// node that has a newer version begins another.
const ABANDONED_AFTER: Duration = Duration::from_secs(30);
/// Requests that follow from pages of an unexpected kind are this far apart.
const REQUEST_SPACING: Duration = Duration::from_millis(100);
/// Pages that are kept while one before them is missing.
const EARLY_PAGES_KEPT: usize = 8;
/// Pages that answer one request.
const PAGES_PER_REQUEST: u32 = 4;

/// What is to be done after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PullProgress {
    /// More pages of the same answer are under way, or the page was of no use.
    Waiting,
    /// The next pages are to be asked for.
    RequestMore,
    /// All rows are there.
    Complete,
}

/// Rows collected on the way to a version.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    have: TableVersion,
    want: TableVersion,
    base: Option<TableVersion>,
    after: Option<RowKey>,
    rows: Vec<TableRow>,
    removed: Vec<RowKey>,
    /// Pages that overtook others.
    early: Vec<TablePage>,
    pages_since_request: u32,
    requested: Timestamp,
    progressed: Timestamp,
}

impl Pull {
    /// A transfer that has not received anything.
    pub fn new(have: TableVersion, want: TableVersion, now: Timestamp) -> Self {
        Pull {
            have,
            want,
            base: None,
            after: None,
            rows: Vec::new(),
            removed: Vec::new(),
            early: Vec::new(),
            pages_since_request: 0,
            requested: now,
            progressed: now,
        }
    }

    /// The version that is being transferred.
    pub fn target(&self) -> TableVersion {
        self.want
    }

    /// Whether the rows are changes to a base, not all rows.
    pub fn is_incremental(&self) -> bool {
        self.base.is_some()
    }

    /// What is to be asked for next.
    pub fn request(&self) -> TableRequest {
        TableRequest {
            have: self.have,
            want: self.want,
            after: self.after.clone(),
        }
    }

    /// Whether the request should be repeated.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        now - self.requested.max(self.progressed) >= STALLED_AFTER
    }

    /// Whether nothing has come for so long that the transfer is given up.
    pub fn is_abandoned(&self, now: Timestamp) -> bool {
        now - self.progressed >= ABANDONED_AFTER
    }

    /// The request is being repeated.
    pub fn repeat(&mut self, now: Timestamp) {
        self.requested = now;
        self.pages_since_request = 0;
    }

    /// Takes in a page if it continues what is there.
    pub fn take_page(&mut self, now: Timestamp, page: TablePage) -> PullProgress {
        let other_base = page.target == self.want && page.base != self.base;
        if page.target > self.want || self.is_empty() && other_base {
            self.restart(now, &page);
        }
        if page.target != self.want || page.base != self.base || page.after < self.after {
            return PullProgress::Waiting;
        }
        self.pages_since_request += 1;
        if page.after > self.after {
            self.keep_early(page);
            return self.repeat_if_gap(now);
        }
        let mut last = self.append(now, page);
        while let Some(next) = self.next_early() {
            last = self.append(now, next);
        }
        match last {
            true => PullProgress::Complete,
            false if self.pages_since_request >= PAGES_PER_REQUEST => {
                self.repeat(now);
                PullProgress::RequestMore
            }
            false => PullProgress::Waiting,
        }
    }

    fn keep_early(&mut self, page: TablePage) {
        let known = self.early.iter().any(|early| early.after == page.after);
        if !known && self.early.len() < EARLY_PAGES_KEPT {
            self.early.push(page);
        }
    }

    fn next_early(&mut self) -> Option<TablePage> {
        let after = &self.after;
        let next = self.early.iter().position(|page| page.after == *after)?;
        Some(self.early.swap_remove(next))
    }

    /// A page before this one is late or lost.
    fn repeat_if_gap(&mut self, now: Timestamp) -> PullProgress {
        let whole_answer = self.pages_since_request >= PAGES_PER_REQUEST;
        if !whole_answer || now - self.requested < REQUEST_SPACING {
            return PullProgress::Waiting;
        }
        self.repeat(now);
        PullProgress::RequestMore
    }

    fn is_empty(&self) -> bool {
        self.after.is_none()
    }

    /// Begins anew for the version and base of `page`.
    fn restart(&mut self, now: Timestamp, page: &TablePage) {
        let requested = self.requested;
        *self = Pull::new(self.have, page.target, now);
        self.requested = requested;
        self.base = page.base;
    }

    /// Takes over the page's rows; says whether it was the last one.
    fn append(&mut self, now: Timestamp, page: TablePage) -> bool {
        self.rows.extend(page.rows());
        self.after = page.last_key().or(self.after.take());
        self.removed.extend(page.removed);
        self.progressed = now;
        page.last
    }

    /// The resulting table, whose version the caller compares with the target;
    /// none if the base is no longer in force.
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
