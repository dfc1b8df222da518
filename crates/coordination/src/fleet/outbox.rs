//! What one event makes the fleet part say, collected until the event is handled.

use lifthollow_protocol::control::{FleetBody, MemberRecord};
use lifthollow_state::NodeId;

use super::report::FleetReport;

/// Messages and reports of one event.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Messages to nodes, in the order of sending.
    pub messages: Vec<(NodeId, FleetBody)>,
    /// Reports to operators.
    pub reports: Vec<FleetReport>,
}

impl Outbox {
    /// Sends `body` to a node.
    pub fn send(&mut self, to: NodeId, body: FleetBody) {
        self.messages.push((to, body));
    }

    /// Sends records of members to a node outside of a probe.
    pub fn send_updates(&mut self, to: NodeId, updates: Vec<MemberRecord>) {
        self.send(to, FleetBody::Updates { updates });
    }

    /// Tells operators.
    pub fn report(&mut self, report: FleetReport) {
        self.reports.push(report);
    }
}
