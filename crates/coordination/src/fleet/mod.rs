//! The fleet as this node knows it: the configuration table in force and the directory
//! of servers.
//!
//! - [`config`]: the table, which is only replaced by a newer version;
//! - [`membership`]: which nodes exist and whether they answer;
//! - [`leaving`]: announces that this node leaves;
//! - [`poll`]: schedules the reads of the platform's service.
//!
//! Nodes exchange datagrams, any of which may be lost. The platform's service may be
//! down or lag; it is read, but peers are asked first.

mod config;
mod directory;
mod event;
mod leaving;
mod membership;
mod outbox;
mod poll;
mod report;
mod token_bucket;

use std::sync::Arc;
use std::time::Duration;

use lifthollow_protocol::ControlMessage;
use lifthollow_protocol::control::{FleetBody, FleetHeader, FleetMessage};
use lifthollow_state::{Incarnation, NodeId, Table, TableVersion, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::View;
use config::Configuration;
use leaving::Leaving;
use membership::Membership;
use outbox::Outbox;
use poll::{Poll, ReadRate};

pub use event::{FetchFailed, FleetEffect, FleetEvent, FleetSettings, Machine};
pub use membership::member::{Listing, Member};
pub use report::{FleetReport, TableSource};

/// Time between two ticks. A probe without an answer is repeated in each tick, a new
/// one is started in every second tick.
const TICK: Duration = Duration::from_millis(500);
/// Fraction by which the time between ticks is varied at random, so that nodes do not
/// tick simultaneously.
const TICK_JITTER: f64 = 0.1;
/// An event that is handled this long after the scheduled tick means that the process
/// was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time between two rounds of asking peers while the table is not confirmed.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of nodes to which each node that accepts a table pushes the change.
const TABLE_FANOUT: usize = 6;

const TABLE_READS: ReadRate = ReadRate {
    with_changes: 360,
    without_changes: 60,
};
const LIST_READS: ReadRate = ReadRate {
    with_changes: 120,
    without_changes: 12,
};

/// State machine that keeps the table in force and the directory of servers up to
/// date.
#[derive(Debug)]
pub struct Fleet {
    node: NodeId,
    configuration: Configuration,
    membership: Membership,
    leaving: Leaving,
    view: View,
    next_tick: Option<Timestamp>,
    /// When peers are asked again while the table is not confirmed.
    next_ask_at: Timestamp,
    table_poll: Poll,
    list_poll: Poll,
    random: ChaCha8Rng,
}

impl Fleet {
    /// Starts a node that knows nothing of the fleet except its own settings.
    pub fn new(settings: FleetSettings) -> Self {
        let seed = settings.seed ^ settings.node.as_u64().rotate_left(u32::BITS);
        Fleet {
            node: settings.node,
            configuration: Configuration::new(),
            membership: Membership::new(&settings),
            leaving: Leaving::default(),
            view: View::default(),
            next_tick: None,
            next_ask_at: Timestamp::ZERO,
            table_poll: Poll::new(TABLE_READS),
            list_poll: Poll::new(LIST_READS),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a node that knows the members and the table that `other` knows, as if it
    /// had synchronized with it. Simulations use this to begin with a fleet whose nodes
    /// already know each other.
    pub fn new_synchronized_with(settings: FleetSettings, other: &Fleet) -> Self {
        let mut fleet = Fleet::new(settings);
        fleet.membership.copy_members_from(&other.membership);
        fleet.configuration = other.configuration.clone();
        fleet.view = other.view.clone();
        fleet
    }

    /// The current table and directory, on which decisions are based.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The version of the table in force.
    pub fn table_version(&self) -> TableVersion {
        self.configuration.version()
    }

    /// The current incarnation of this node; it grows when the node refutes that it is
    /// suspected or removed.
    pub fn incarnation(&self) -> Incarnation {
        self.membership.incarnation()
    }

    /// Whether this node may act on the table in force. False after the start and after
    /// a pause, until peers were asked whether they have a newer one.
    pub fn is_confirmed(&self) -> bool {
        self.configuration.is_confirmed()
    }

    /// Whether this node takes new work; false while it leaves.
    pub fn takes_new_work(&self) -> bool {
        self.membership.takes_new_work()
    }

    /// All known members, including this node, ordered by node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// When [`FleetEvent::Wake`] must be delivered next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let mut next = self.next_tick.unwrap_or_default();
        if !self.is_confirmed() {
            next = next.min(self.next_ask_at);
        }
        Some(next.min(self.table_poll.next()).min(self.list_poll.next()))
    }

    /// Estimated memory used for the table and the members, in bytes.
    pub fn state_bytes(&self) -> usize {
        self.configuration.state_bytes() + self.membership.state_bytes()
    }

    /// Handles one event and appends the resulting actions to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: FleetEvent, effects: &mut Vec<FleetEffect>) {
        let mut outbox = Outbox::default();
        self.detect_pause(now, &mut outbox);
        match event {
            FleetEvent::TableFetched(Ok(table)) => self.table_fetched(table, &mut outbox),
            FleetEvent::MachinesFetched(Ok(machines)) => {
                self.machines_fetched(now, &machines, &mut outbox);
            }
            FleetEvent::TableFetched(Err(FetchFailed)) => {}
            FleetEvent::MachinesFetched(Err(FetchFailed)) => {}
            FleetEvent::Message { from, message } => {
                self.receive(now, from, message, &mut outbox);
            }
            FleetEvent::Leave => self
                .leaving
                .begin_stop(now, &mut self.membership, &mut outbox),
            FleetEvent::Wake => self.wake(now, &mut outbox, effects),
        }
        self.refresh_directory();
        self.emit(outbox, effects);
    }

    /// Detects the start and pauses of the process. At the start, the time limit for
    /// peers' answers begins with the first event, whatever the local clock shows. After
    /// a pause, probes in progress say nothing about other nodes and peers may have a
    /// newer table, so the probes are discarded and the table must be confirmed again.
    fn detect_pause(&mut self, now: Timestamp, outbox: &mut Outbox) {
        let Some(expected) = self.next_tick else {
            self.next_tick = Some(now);
            self.configuration.reset_confirmation(now);
            return;
        };
        let paused_for = now - expected;
        if paused_for <= PAUSE_THRESHOLD {
            return;
        }
        outbox.report(FleetReport::Paused { paused_for });
        self.next_tick = Some(now);
        self.membership.reset_probes(now);
        self.configuration.reset_confirmation(now);
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox, effects: &mut Vec<FleetEffect>) {
        if self.next_tick.is_none_or(|next| next <= now) {
            self.tick(now, outbox);
        }
        if !self.is_confirmed() && self.next_ask_at <= now {
            self.next_ask_at = now + ASK_INTERVAL;
            self.membership.ask_peers(outbox);
        }
        let members = self.membership.known_peers();
        if self.table_poll.is_due(now, members, &mut self.random) {
            effects.push(FleetEffect::FetchTable);
        }
        if self.list_poll.is_due(now, members, &mut self.random) {
            effects.push(FleetEffect::FetchMachines);
        }
    }

    fn tick(&mut self, now: Timestamp, outbox: &mut Outbox) {
        let jitter = self
            .random
            .random_range(1.0 - TICK_JITTER..1.0 + TICK_JITTER);
        self.next_tick = Some(now + TICK.mul_f64(jitter));
        self.membership.tick(now, outbox);
        let peer = match self.configuration.pull_target() {
            Some(version) => self.membership.peer_with_table(version),
            None => None,
        };
        let known_peers = self.membership.known_peers();
        let accepted = self.configuration.tick(now, peer, known_peers, outbox);
        self.publish_table(accepted, outbox);
    }

    fn table_fetched(&mut self, table: Arc<Table>, outbox: &mut Outbox) {
        let unconfirmed = !self.is_confirmed();
        let accepted = self.configuration.offer_from_platform(table, outbox);
        let members = self.membership.known_peers();
        self.table_poll
            .record_success(accepted || unconfirmed, members);
        self.publish_table(accepted, outbox);
    }

    fn machines_fetched(&mut self, now: Timestamp, machines: &[Machine], outbox: &mut Outbox) {
        let known_before = self.membership.known_peers();
        let change = self.membership.apply_list(now, machines, outbox);
        let members = self.membership.known_peers();
        self.list_poll.record_success(change.changed, members);
        if let Some(own) = change.own {
            self.leaving
                .handle_own_listing(now, own, &mut self.membership, outbox);
        }
        if !self.is_confirmed() && known_before == 0 {
            self.membership.ask_peers(outbox);
        }
    }

    fn receive(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ControlMessage,
        outbox: &mut Outbox,
    ) {
        let ControlMessage::Fleet(FleetMessage { header, body }) = message else {
            return;
        };
        if from == self.node {
            return;
        }
        self.membership.handle_header(now, from, &header, outbox);
        self.receive_body(now, from, &header, body, outbox);
        self.configuration
            .handle_peer_version(now, from, header.table, outbox);
    }

    fn receive_body(
        &mut self,
        now: Timestamp,
        from: NodeId,
        header: &FleetHeader,
        body: FleetBody,
        outbox: &mut Outbox,
    ) {
        let membership = &mut self.membership;
        match body {
            FleetBody::Ping { sequence, updates } => {
                membership.answer_ping(now, from, sequence, updates, outbox);
            }
            FleetBody::Ack { sequence, updates } => {
                let trusted = membership.handle_ack(now, from, sequence, updates, outbox);
                self.handle_peer_answer(now, from, header, trusted, outbox);
            }
            FleetBody::IndirectPing { sequence, target } => {
                membership.relay_ping(from, sequence, target, outbox);
            }
            FleetBody::IndirectAck { sequence } => membership.handle_indirect_ack(sequence),
            FleetBody::Updates { updates } => {
                membership.apply_all(now, updates, outbox);
            }
            FleetBody::MemberDigests { digests } => {
                membership.answer_digests(now, from, &digests, outbox);
            }
            FleetBody::MemberBuckets { complete, members } => {
                membership.handle_buckets(now, from, &complete, members, outbox);
            }
            FleetBody::TableRequest(request) => {
                self.configuration
                    .answer_request(now, from, &request, outbox);
            }
            FleetBody::TablePage(page) => {
                let accepted = self.configuration.handle_page(now, from, page, outbox);
                self.publish_table(accepted, outbox);
            }
        }
    }

    fn handle_peer_answer(
        &mut self,
        now: Timestamp,
        from: NodeId,
        header: &FleetHeader,
        trusted: bool,
        outbox: &mut Outbox,
    ) {
        if !trusted || self.is_confirmed() {
            return;
        }
        self.configuration.record_peer_answer(from, header.table);
        let known_peers = self.membership.known_peers();
        let accepted = self.configuration.try_confirm(now, known_peers, outbox);
        self.publish_table(accepted, outbox);
    }

    /// If a table came into force, updates the view that decisions use and pushes the
    /// change to a few other nodes.
    fn publish_table(&mut self, accepted: bool, outbox: &mut Outbox) {
        if !accepted {
            return;
        }
        self.view.table = self.configuration.table().clone();
        let change = self.configuration.latest_change();
        for peer in self.membership.random_peers(TABLE_FANOUT) {
            let body = match &change {
                Some(page) => FleetBody::TablePage(page.clone()),
                None => FleetBody::Updates {
                    updates: Vec::new(),
                },
            };
            outbox.send(peer, body);
        }
    }

    fn refresh_directory(&mut self) {
        let outdated = self.membership.take_outdated_entries();
        if outdated.is_empty() {
            return;
        }
        let directory = Arc::make_mut(&mut self.view.directory);
        for (node, services_before) in outdated {
            directory::refresh(directory, &self.membership, node, &services_before);
        }
    }

    fn emit(&self, outbox: Outbox, effects: &mut Vec<FleetEffect>) {
        let header = FleetHeader {
            incarnation: self.membership.incarnation(),
            table: self.table_version(),
            members: self.membership.digest(),
        };
        effects.extend(outbox.reports.into_iter().map(FleetEffect::Report));
        for (to, body) in outbox.messages {
            let message = ControlMessage::Fleet(FleetMessage { header, body });
            effects.push(FleetEffect::Send { to, message });
        }
    }
}
