//! What a node knows of the fleet: the table in force and the servers.
//!
//! - [`config`]: the table, which only goes forward;
//! - [`membership`]: which nodes exist and how they stand;
//! - [`leaving`]: this node's own planned stop;
//! - [`poll`]: when the platform's service is read.
//!
//! Nodes tell each other by datagrams, any of which may be lost. The platform's
//! service may be down or lag; it is read, but peers are asked first.

mod budget;
mod config;
mod directory;
mod event;
mod leaving;
mod membership;
mod outbox;
mod poll;
mod report;

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

/// Between two ticks: a probe without an answer is repeated in each, a new one
/// is begun in every second.
const TICK: Duration = Duration::from_millis(500);
/// Share by which a tick is varied, so that nodes do not tick together.
const TICK_JITTER: f64 = 0.1;
/// A tick this late means that the process did not run meanwhile.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Between two rounds of asking peers while this node is in doubt.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Nodes to which a change of the table is pushed by each that accepts it.
const TABLE_FANOUT: usize = 6;

const TABLE_READS: ReadRate = ReadRate {
    with_news: 360,
    without_news: 60,
};
const LIST_READS: ReadRate = ReadRate {
    with_news: 120,
    without_news: 12,
};

/// Keeps the table in force and the directory of servers.
#[derive(Debug)]
pub struct Fleet {
    node: NodeId,
    configuration: Configuration,
    membership: Membership,
    leaving: Leaving,
    view: View,
    next_tick: Option<Timestamp>,
    /// When peers are asked again, while this node is in doubt.
    next_ask: Timestamp,
    table_poll: Poll,
    list_poll: Poll,
    random: ChaCha8Rng,
}

impl Fleet {
    /// A fleet of which nothing is known yet but this node's own settings.
    pub fn new(settings: FleetSettings) -> Self {
        let seed = settings.seed ^ settings.node.as_u64().rotate_left(u32::BITS);
        Fleet {
            node: settings.node,
            configuration: Configuration::new(),
            membership: Membership::new(&settings),
            leaving: Leaving::default(),
            view: View::default(),
            next_tick: None,
            next_ask: Timestamp::ZERO,
            table_poll: Poll::new(TABLE_READS),
            list_poll: Poll::new(LIST_READS),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A node that knows the members and the table that `other` knows, as if it
    /// had compared all with it. Simulations begin with a settled fleet by it.
    pub fn new_informed(settings: FleetSettings, other: &Fleet) -> Self {
        let mut fleet = Fleet::new(settings);
        fleet.membership.copy_members_from(&other.membership);
        fleet.configuration = other.configuration.clone();
        fleet.view = other.view.clone();
        fleet
    }

    /// What is known now.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The version of the table in force.
    pub fn table_version(&self) -> TableVersion {
        self.configuration.version()
    }

    /// This life of the node; it grows when the node refutes that it is gone.
    pub fn incarnation(&self) -> Incarnation {
        self.membership.incarnation()
    }

    /// Whether the table in force may be acted on: false from the start, and
    /// after a pause, until peers were asked whether they have a newer one.
    pub fn is_confirmed(&self) -> bool {
        self.configuration.is_confirmed()
    }

    /// Whether this node takes new work: false once it leaves.
    pub fn takes_new_work(&self) -> bool {
        self.membership.takes_new_work()
    }

    /// All members known, this node included, ordered by node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// When [`FleetEvent::Wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let mut next = self.next_tick.unwrap_or_default();
        if !self.is_confirmed() {
            next = next.min(self.next_ask);
        }
        Some(next.min(self.table_poll.next()).min(self.list_poll.next()))
    }

    /// Bytes of everything kept for the fleet.
    pub fn state_bytes(&self) -> usize {
        self.configuration.state_bytes() + self.membership.state_bytes()
    }

    /// Takes in one event and appends what is to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: FleetEvent, effects: &mut Vec<FleetEffect>) {
        let mut outbox = Outbox::default();
        self.notice_pause(now, &mut outbox);
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

    /// At the start the bound for peers' answers begins with the first event,
    /// whatever the local clock shows. After a pause this node doubts itself
    /// first: probes under way say nothing about others, and peers may have a
    /// newer table.
    fn notice_pause(&mut self, now: Timestamp, outbox: &mut Outbox) {
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
        if !self.is_confirmed() && self.next_ask <= now {
            self.next_ask = now + ASK_INTERVAL;
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
        self.table_changed(accepted, outbox);
    }

    fn table_fetched(&mut self, table: Arc<Table>, outbox: &mut Outbox) {
        let in_doubt = !self.is_confirmed();
        let accepted = self.configuration.offer_from_platform(table, outbox);
        let members = self.membership.known_peers();
        self.table_poll.succeeded(accepted || in_doubt, members);
        self.table_changed(accepted, outbox);
    }

    fn machines_fetched(&mut self, now: Timestamp, machines: &[Machine], outbox: &mut Outbox) {
        let known_before = self.membership.known_peers();
        let change = self.membership.apply_list(now, machines, outbox);
        let members = self.membership.known_peers();
        self.list_poll.succeeded(change.news, members);
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
                self.peer_answered(now, from, header, trusted, outbox);
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
                self.table_changed(accepted, outbox);
            }
        }
    }

    fn peer_answered(
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
        self.table_changed(accepted, outbox);
    }

    /// A table that came into force is shown to decisions and to a few others.
    fn table_changed(&mut self, accepted: bool, outbox: &mut Outbox) {
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
        let touched = self.membership.take_outdated_entries();
        if touched.is_empty() {
            return;
        }
        let directory = Arc::make_mut(&mut self.view.directory);
        for (node, services_before) in touched {
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
