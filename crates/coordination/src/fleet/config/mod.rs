//! The configuration table in force on this node, and how tables spread between
//! nodes.
//!
//! - A table is replaced only by one with a higher [`TableVersion`].
//! - Every message carries the sender's table version; a node that sees a newer
//!   one pulls the rows that changed ([`pull`], [`pages`]).
//! - A node that accepts a table immediately pushes the change to a few others.
//! - A started or resumed node asks peers for newer versions before it acts
//!   ([`confirmation`]).

mod confirmation;
mod history;
mod pages;
mod pull;

use std::sync::Arc;
use std::time::Duration;

use lifthollow_protocol::control::{FleetBody, TablePage, TableRequest};
use lifthollow_state::{NodeId, Table, TableVersion, Timestamp};

use super::outbox::Outbox;
use super::report::{FleetReport, TableSource};
use super::token_bucket::TokenBucket;

pub(super) use confirmation::Confirmation;
use history::History;
use pull::{Pull, PullProgress};

/// Maximum number of pages that a node sends in answer to one request.
const PAGES_PER_REQUEST: u32 = 4;
/// Long-term limit on the pages per second that a node sends to others.
const PAGES_PER_SECOND: u32 = 6;
/// Maximum number of pages that a node may send at once after an idle time: a whole
/// table of the size that the system is designed for.
const PAGE_BURST: u32 = 32;
/// Minimum time between the starts of two transfers of all rows, so that the first
/// receiver soon has all of them and can pass them on.
const FULL_TRANSFER_INTERVAL: Duration = Duration::from_millis(500);

/// The table in force, its change history and the transfer in progress.
#[derive(Clone, Debug)]
pub(super) struct Configuration {
    table: Arc<Table>,
    /// Version of `table`, stored so that it need not be read from the table.
    version: TableVersion,
    /// The newest table that the platform offered while the table was not
    /// confirmed; it is accepted on confirmation.
    offered: Option<Arc<Table>>,
    history: History,
    pull: Option<Pull>,
    confirmation: Confirmation,
    page_budget: TokenBucket,
    /// When the next transfer of all rows to another node may start.
    next_full_transfer: Timestamp,
    /// Versions that were last reported to operators, so that each is reported
    /// once.
    reported: Reported,
}

#[derive(Clone, Debug, Default)]
struct Reported {
    conflicting: Option<TableVersion>,
    stale: Option<TableVersion>,
}

impl Configuration {
    /// Starts with the empty table, unconfirmed.
    pub fn new() -> Self {
        Configuration {
            table: Arc::default(),
            version: TableVersion::default(),
            offered: None,
            history: History::default(),
            pull: None,
            confirmation: Confirmation::new(Timestamp::ZERO),
            page_budget: TokenBucket::new(PAGES_PER_SECOND, PAGE_BURST),
            next_full_transfer: Timestamp::ZERO,
            reported: Reported::default(),
        }
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The version of the table in force.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Whether the table was confirmed since the start or the last pause.
    pub fn is_confirmed(&self) -> bool {
        self.confirmation.is_confirmed()
    }

    /// Withdraws the confirmation after a start or a pause of the process: peers
    /// must be asked again. A transfer in progress is dropped.
    pub fn reset_confirmation(&mut self, now: Timestamp) {
        self.confirmation = Confirmation::new(now);
        self.pull = None;
    }

    /// Handles a table read from the platform. While the table is not confirmed,
    /// the offered one is only stored. Returns whether it came into force.
    pub fn offer_from_platform(&mut self, table: Arc<Table>, outbox: &mut Outbox) -> bool {
        if !self.is_confirmed() {
            let newest = self.offered.as_ref().map(|offered| offered.version());
            if newest < Some(table.version()) {
                self.offered = Some(table);
            }
            return false;
        }
        self.report_version_conflict(table.version(), outbox);
        self.report_stale_platform(table.version(), outbox);
        self.accept(table, TableSource::Platform, outbox)
    }

    fn report_stale_platform(&mut self, offered: TableVersion, outbox: &mut Outbox) {
        let in_force = self.version;
        let already_reported = self.reported.stale == Some(offered);
        if offered.number < in_force.number && !already_reported {
            self.reported.stale = Some(offered);
            outbox.report(FleetReport::StalePlatformTable { offered, in_force });
        }
    }

    /// Reports two different tables with the same number, which is an operator's
    /// mistake.
    fn report_version_conflict(&mut self, other: TableVersion, outbox: &mut Outbox) {
        let ours = self.version;
        let conflicting = other.number == ours.number && other.digest != ours.digest;
        let already_reported = self.reported.conflicting == Some(other);
        if conflicting && ours.number > 0 && !already_reported {
            self.reported.conflicting = Some(other);
            outbox.report(FleetReport::ConflictingVersion {
                kept: ours.max(other),
                discarded: ours.min(other),
            });
        }
    }

    /// Puts a table in force if it is newer than the current one. Returns whether
    /// it was.
    fn accept(&mut self, table: Arc<Table>, source: TableSource, outbox: &mut Outbox) -> bool {
        let version = table.version();
        if version <= self.version {
            return false;
        }
        self.history.record(&self.table, &table);
        self.table = table;
        self.version = version;
        self.pull = self.pull.take().filter(|pull| pull.target() > version);
        outbox.report(FleetReport::TableAccepted { version, source });
        true
    }

    /// Handles the table version that a peer's message carries: starts or repeats
    /// a pull if that version is newer.
    pub fn handle_peer_version(
        &mut self,
        now: Timestamp,
        from: NodeId,
        version: TableVersion,
        outbox: &mut Outbox,
    ) {
        if version.number == self.version.number {
            self.report_version_conflict(version, outbox);
        }
        if version <= self.version {
            return;
        }
        if self.pull.as_ref().is_none_or(|pull| pull.is_abandoned(now)) {
            self.start_pull(now, from, version, outbox);
            return;
        }
        self.repeat_stalled_pull(now, Some(from), outbox);
    }

    /// The version that is being pulled, if any.
    pub fn pull_target(&self) -> Option<TableVersion> {
        self.pull.as_ref().map(Pull::target)
    }

    fn start_pull(
        &mut self,
        now: Timestamp,
        from: NodeId,
        want: TableVersion,
        outbox: &mut Outbox,
    ) {
        let pull = Pull::new(self.version, want, now);
        outbox.send(from, FleetBody::TableRequest(pull.request()));
        self.pull = Some(pull);
    }

    /// Records a peer's answer to a probe that was sent since the confirmation was
    /// withdrawn.
    pub fn record_peer_answer(&mut self, from: NodeId, version: TableVersion) {
        self.confirmation.record_answer(from, version);
    }

    /// Repeats the request of a stalled pull and tries to confirm the table. `peer`
    /// is the node to ask next, `known_peers` the number of nodes that could
    /// answer. Returns whether a table came into force.
    pub fn tick(
        &mut self,
        now: Timestamp,
        peer: Option<NodeId>,
        known_peers: usize,
        outbox: &mut Outbox,
    ) -> bool {
        self.repeat_stalled_pull(now, peer, outbox);
        self.try_confirm(now, known_peers, outbox)
    }

    fn repeat_stalled_pull(&mut self, now: Timestamp, peer: Option<NodeId>, outbox: &mut Outbox) {
        let Some(pull) = &mut self.pull else { return };
        if pull.is_abandoned(now) {
            self.pull = None;
            return;
        }
        if let Some(peer) = peer.filter(|_| pull.is_stalled(now)) {
            pull.record_request(now);
            outbox.send(peer, FleetBody::TableRequest(pull.request()));
        }
    }

    /// Confirms the table once enough peers answered or a time limit has passed,
    /// and then accepts the table that the platform offered. Returns whether that
    /// came into force.
    pub fn try_confirm(&mut self, now: Timestamp, known_peers: usize, outbox: &mut Outbox) -> bool {
        let offered = self.offered.as_ref().map(|offered| offered.version());
        let newest_available = offered.unwrap_or_default().max(self.version);
        let result = self
            .confirmation
            .try_confirm(now, newest_available, known_peers);
        let Some(answered) = result else { return false };
        let Some(table) = self.offered.take() else {
            return false;
        };
        if !answered {
            outbox.report(FleetReport::StartedWithoutPeers);
        }
        self.accept(table, TableSource::Platform, outbox)
    }

    /// Answers a peer's request for rows with as many pages as the budget allows.
    pub fn answer_request(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: &TableRequest,
        outbox: &mut Outbox,
    ) {
        if self.version < request.want {
            return;
        }
        let starts_full_transfer = request.after.is_none() && !self.history.covers(request.have);
        if starts_full_transfer && !self.try_start_full_transfer(now) {
            return;
        }
        let wanted_pages = pages::pages(&self.table, &self.history, request);
        let granted = self.page_budget.take(now, PAGES_PER_REQUEST);
        for page in wanted_pages.take(granted as usize) {
            outbox.send(from, FleetBody::TablePage(page));
        }
    }

    fn try_start_full_transfer(&mut self, now: Timestamp) -> bool {
        let allowed = now >= self.next_full_transfer;
        if allowed {
            self.next_full_transfer = now + FULL_TRANSFER_INTERVAL;
        }
        allowed
    }

    /// Handles a received page, which was pushed or answers a request. Returns
    /// whether it brought a table into force.
    pub fn handle_page(
        &mut self,
        now: Timestamp,
        from: NodeId,
        page: TablePage,
        outbox: &mut Outbox,
    ) -> bool {
        if page.target <= self.version {
            return false;
        }
        let have = self.version;
        let pull = self
            .pull
            .get_or_insert_with(|| Pull::new(have, page.target, now));
        match pull.add_page(now, page) {
            PullProgress::Waiting => false,
            PullProgress::RequestMore => {
                let request = pull.request();
                outbox.send(from, FleetBody::TableRequest(request));
                false
            }
            PullProgress::Complete => self.complete_pull(now, from, outbox),
        }
    }

    fn complete_pull(&mut self, now: Timestamp, from: NodeId, outbox: &mut Outbox) -> bool {
        let Some(pull) = self.pull.take() else {
            return false;
        };
        let expected = pull.target();
        let incremental = pull.is_incremental();
        let Some(table) = pull.build(&self.table) else {
            self.start_pull(now, from, expected, outbox);
            return false;
        };
        let found = table.version();
        if found == expected {
            return self.accept(Arc::new(table), TableSource::Peer(from), outbox);
        }
        outbox.report(FleetReport::TableDigestMismatch {
            from,
            expected,
            found,
        });
        if incremental {
            self.request_all_rows(now, from, expected, outbox);
        }
        false
    }

    fn request_all_rows(
        &mut self,
        now: Timestamp,
        from: NodeId,
        want: TableVersion,
        outbox: &mut Outbox,
    ) {
        let pull = Pull::new(TableVersion::default(), want, now);
        outbox.send(from, FleetBody::TableRequest(pull.request()));
        self.pull = Some(pull);
    }

    /// The change from the previous table to the one in force, if it fits into one
    /// datagram.
    pub fn latest_change(&self) -> Option<TablePage> {
        let request = TableRequest {
            have: self.history.latest_base()?,
            want: self.version,
            after: None,
        };
        let mut pages = pages::pages(&self.table, &self.history, &request);
        pages.next().filter(|page| page.last && page.base.is_some())
    }

    /// Memory used by the table and its history, in bytes.
    pub fn state_bytes(&self) -> usize {
        pages::table_bytes(&self.table) + self.history.state_bytes()
    }
}
