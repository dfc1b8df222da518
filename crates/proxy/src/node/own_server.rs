//! The server beside a node: whether it may run an attempt, the load that is reported for it, and the
//! attempts that wait for it.

use std::net::SocketAddrV4;

use lifthollow_coordination::mesh::admission_queue::Ticket;
use lifthollow_coordination::mesh::call::NotRunReason;
use lifthollow_coordination::mesh::nested_calls;
use lifthollow_coordination::mesh::reported_load::ReportedLoad;
use lifthollow_state::ServiceName;
use lifthollow_state::mesh::{InstanceId, ServerInstance};

use super::{Node, TrafficState};

impl Node {
    /// The address at which the node of `server` receives messages from other nodes.
    pub fn node_beside(&self, server: &ServerInstance) -> SocketAddrV4 {
        self.beside(server.address)
    }

    /// The address at which the node of the server at `server` receives messages from other nodes.
    pub fn beside(&self, server: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*server.ip(), self.settings.inbound.port())
    }

    /// Whether `server` is the local server.
    pub fn is_beside(&self, server: &ServerInstance) -> bool {
        server.address == self.settings.server_address
    }

    /// Returns why an attempt for the server instance `id` is refused: `id` is not the instance beside
    /// this node, or that instance is leaving or has left. Returns none for an instance that this node
    /// has never known: only the server itself can tell whether it is the one.
    pub fn refusal_for(&self, id: &InstanceId) -> Option<NotRunReason> {
        let state = self.state.borrow();
        if state.admission.is_leaving(id) {
            return Some(NotRunReason::ServerDraining);
        }
        let Some(known) = state.snapshots.snapshot().server(id) else {
            let now = self.now();
            let available_since = state.view.source_available_since(now);
            let has_left = state.snapshots.has_left(now, available_since, id);
            // Only for a while: a node that is ahead of this one may know that the server is back.
            return has_left.then_some(NotRunReason::WrongInstance);
        };
        let own = state.own_server.as_ref();
        if own.is_none_or(|own| !own.is_same_server(id)) {
            return Some(NotRunReason::WrongInstance);
        }
        (!known.instance.is_ready()).then_some(NotRunReason::ServerDraining)
    }

    /// Returns server `id` with the start time that this node knows for the server.
    ///
    /// Messages to nodes and servers carry only the server's identity: an attempt that was meant
    /// for the server's previous process runs at its current one. That is safe, since the attempt
    /// has not reached a server yet.
    pub fn known_instance(&self, id: InstanceId) -> InstanceId {
        let state = self.state.borrow();
        let known = state.snapshots.snapshot().server(&id);
        known.map_or(id, |known| known.instance.id.clone())
    }

    /// Whether a server is leaving, according to the source or, for the local server, to its
    /// answers.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        let state = self.state.borrow();
        let known = state.snapshots.snapshot().server(id);
        let leaves_by_source = known.is_some_and(|known| !known.instance.is_ready());
        leaves_by_source || state.admission.is_leaving(id)
    }

    /// Whether the local server has stopped answering.
    pub fn is_own_server_silent(&self) -> bool {
        self.state.borrow().admission.is_unresponsive(self.now())
    }

    /// The load of the local server, as reported to callers' nodes. `zone` is the zone of
    /// the node that it is reported to.
    pub fn own_load(&self, is_nested: bool, zone: &str) -> ReportedLoad {
        let now = self.now();
        let state = self.state.borrow();
        let level_of = |service: &ServiceName| {
            nested_calls::admission_level(&state.servers, &state.budgets, now, service)
        };
        ReportedLoad {
            occupancy: state.admission.occupancy(),
            level: state.admission.level(is_nested, level_of),
            is_nested,
            failure_share: state.admission.failure_share(now, zone),
        }
    }

    /// Starts the queued attempts that are next, and updates what the others wait for. Must be called
    /// after each change of the queue, of the server's free slots or of its rate limit.
    pub fn update_waiting(&self, state: &mut TrafficState, started: Vec<Ticket>) {
        self.start_waiting(state, started);
        let now = self.now();
        for ticket in state.admission.waits_exceeding_patience(now) {
            // Dropping the channel's sender wakes the waiting attempt, which then leaves the queue.
            state.waiters.remove(&ticket);
        }
        if state.admission.next_start(now).is_some() {
            self.next_start_changed.notify_one();
        }
    }

    /// Starts the queued attempts that are next. If one of them no longer waits, its slot goes to
    /// another.
    fn start_waiting(&self, state: &mut TrafficState, tickets: Vec<Ticket>) {
        for ticket in tickets {
            let started = state.waiters.remove(&ticket).map(|waiter| waiter.send(()));
            if !matches!(started, Some(Ok(()))) {
                let more = state.admission.release_unused_slot(self.now());
                self.start_waiting(state, more);
            }
        }
    }
}
