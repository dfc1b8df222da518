//! Which table is in force, and how it reaches this node.
//!
//! - The table only goes forward in the order of [`TableVersion`].
//! - Every message shows the sender's version; a node that sees a newer one
//!   pulls the rows that changed ([`pull`], [`pages`]).
//! - A node that accepts a table pushes the change to a few others at once.
//! - A fresh or resumed node asks peers before it acts ([`confirmation`]).

mod confirmation;
mod history;
mod pages;
mod pull;

use std::sync::Arc;
use std::time::Duration;

use lifthollow_protocol::control::{FleetBody, TablePage, TableRequest};
use lifthollow_state::{NodeId, Table, TableVersion, Timestamp};

use super::budget::Budget;
use super::outbox::Outbox;
use super::report::{FleetReport, TableSource};

pub(super) use confirmation::Confirmation;
use history::History;
use pull::{Pull, PullProgress};

/// Pages a node sends in answer to one request.
const PAGES_PER_REQUEST: u32 = 4;
/// Pages a second that a node sends to others in the long run.
const PAGES_PER_SECOND: u32 = 6;
/// Pages that it may send at once after a quiet time: a whole table of the size
/// designed for.
const PAGE_BURST: u32 = 32;
/// All rows are begun for one node in this time, so that it soon has them all and
/// can pass them on.
const FULL_TRANSFER_INTERVAL: Duration = Duration::from_millis(500);

/// The table in force and the transfer in progress.
#[derive(Clone, Debug)]
pub(super) struct Configuration {
    table: Arc<Table>,
    /// That of `table`, at hand without a look at it.
    version: TableVersion,
    /// The newest table that the platform offered, until this node may start.
    offered: Option<Arc<Table>>,
    history: History,
    pull: Option<Pull>,
    confirmation: Confirmation,
    page_budget: Budget,
    /// When all rows may be begun for another node.
    next_full_transfer: Timestamp,
    /// Versions that operators were told about last, so that they are told once.
    reported: Reported,
}

#[derive(Clone, Debug, Default)]
struct Reported {
    conflicting: Option<TableVersion>,
    stale: Option<TableVersion>,
}

impl Configuration {
    /// Nothing is in force.
    pub fn new() -> Self {
        Configuration {
            table: Arc::default(),
            version: TableVersion::default(),
            offered: None,
            history: History::default(),
            pull: None,
            confirmation: Confirmation::new(Timestamp::ZERO),
            page_budget: Budget::new(PAGES_PER_SECOND, PAGE_BURST),
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

    /// Whether peers were asked since the start or the last pause.
    pub fn is_confirmed(&self) -> bool {
        self.confirmation.is_confirmed()
    }

    /// The process starts, or was paused: peers must be asked again.
    pub fn doubt(&mut self, now: Timestamp) {
        self.confirmation = Confirmation::new(now);
        self.pull = None;
    }

    /// The platform's answer. Before peers were asked it is only kept.
    pub fn offer_from_platform(&mut self, table: Arc<Table>, outbox: &mut Outbox) -> bool {
        if !self.is_confirmed() {
            let newest = self.offered.as_ref().map(|offered| offered.version());
            if newest < Some(table.version()) {
                self.offered = Some(table);
            }
            return false;
        }
        self.compare(table.version(), outbox);
        self.report_stale_platform(table.version(), outbox);
        self.accept(table, TableSource::Platform, outbox)
    }

    fn report_stale_platform(&mut self, offered: TableVersion, outbox: &mut Outbox) {
        let in_force = self.version;
        let told = self.reported.stale == Some(offered);
        if offered.number < in_force.number && !told {
            self.reported.stale = Some(offered);
            outbox.report(FleetReport::StalePlatformTable { offered, in_force });
        }
    }

    /// Two tables under one number are an operators' mistake to be shown.
    fn compare(&mut self, other: TableVersion, outbox: &mut Outbox) {
        let ours = self.version;
        let conflicting = other.number == ours.number && other.digest != ours.digest;
        let told = self.reported.conflicting == Some(other);
        if conflicting && ours.number > 0 && !told {
            self.reported.conflicting = Some(other);
            outbox.report(FleetReport::ConflictingVersion {
                kept: ours.max(other),
                discarded: ours.min(other),
            });
        }
    }

    /// A table comes into force only if it is newer than the one in force.
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

    /// A peer's message shows the version in force there.
    pub fn saw_version(
        &mut self,
        now: Timestamp,
        from: NodeId,
        version: TableVersion,
        outbox: &mut Outbox,
    ) {
        if version.number == self.version.number {
            self.compare(version, outbox);
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

    /// The version that is being transferred.
    pub fn wanted(&self) -> Option<TableVersion> {
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

    /// A peer has answered a probe that was sent since the node began to doubt.
    pub fn peer_answered(&mut self, from: NodeId, version: TableVersion) {
        self.confirmation.peer_answered(from, version);
    }

    /// Looks after a transfer that stalls, and after the start. `peer` is one to
    /// ask next, `known_peers` the count of nodes that could answer.
    pub fn tick(
        &mut self,
        now: Timestamp,
        peer: Option<NodeId>,
        known_peers: usize,
        outbox: &mut Outbox,
    ) -> bool {
        self.repeat_stalled_pull(now, peer, outbox);
        self.settle(now, known_peers, outbox)
    }

    fn repeat_stalled_pull(&mut self, now: Timestamp, peer: Option<NodeId>, outbox: &mut Outbox) {
        let Some(pull) = &mut self.pull else { return };
        if pull.is_abandoned(now) {
            self.pull = None;
            return;
        }
        if let Some(peer) = peer.filter(|_| pull.is_stalled(now)) {
            pull.repeat(now);
            outbox.send(peer, FleetBody::TableRequest(pull.request()));
        }
    }

    /// Begins to act once enough peers were asked.
    pub fn settle(&mut self, now: Timestamp, known_peers: usize, outbox: &mut Outbox) -> bool {
        let offered = self.offered.as_ref().map(|offered| offered.version());
        let at_hand = offered.unwrap_or_default().max(self.version);
        let settled = self.confirmation.settle(now, at_hand, known_peers);
        let Some(asked) = settled else { return false };
        let Some(table) = self.offered.take() else {
            return false;
        };
        if !asked {
            outbox.report(FleetReport::StartedWithoutPeers);
        }
        self.accept(table, TableSource::Platform, outbox)
    }

    /// A peer asks for rows.
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
        let begins_all_rows = request.after.is_none() && !self.history.covers(request.have);
        if begins_all_rows && !self.may_serve_all_rows(now) {
            return;
        }
        let wanted = pages::pages(&self.table, &self.history, request);
        let granted = self.page_budget.take(now, PAGES_PER_REQUEST);
        for page in wanted.take(granted as usize) {
            outbox.send(from, FleetBody::TablePage(page));
        }
    }

    fn may_serve_all_rows(&mut self, now: Timestamp) -> bool {
        let may = now >= self.next_full_transfer;
        if may {
            self.next_full_transfer = now + FULL_TRANSFER_INTERVAL;
        }
        may
    }

    /// A page came in: pushed, or in answer to a request. True if a table came
    /// into force by it.
    pub fn take_page(
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
        match pull.take_page(now, page) {
            PullProgress::Waiting => false,
            PullProgress::RequestMore => {
                let request = pull.request();
                outbox.send(from, FleetBody::TableRequest(request));
                false
            }
            PullProgress::Complete => self.finish_pull(now, from, outbox),
        }
    }

    fn finish_pull(&mut self, now: Timestamp, from: NodeId, outbox: &mut Outbox) -> bool {
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

    /// The change that brought the table in force, if it fits into one datagram.
    pub fn latest_change(&self) -> Option<TablePage> {
        let request = TableRequest {
            have: self.history.latest_base()?,
            want: self.version,
            after: None,
        };
        let mut pages = pages::pages(&self.table, &self.history, &request);
        pages.next().filter(|page| page.last && page.base.is_some())
    }

    /// Bytes of the table and its history.
    pub fn state_bytes(&self) -> usize {
        pages::table_bytes(&self.table) + self.history.state_bytes()
    }
}
