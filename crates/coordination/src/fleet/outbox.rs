//! Collects the messages and reports that result from one event until it is handled.

use lifthollow_protocol::control::{FleetBody, MemberRecord};
use lifthollow_state::NodeId;

use super::report::FleetReport;

/// Messages and reports that result from one event.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Receivers and bodies of the messages, in the order of sending.
    pub messages: Vec<(NodeId, FleetBody)>,
    /// Reports to operators, in the order of reporting.
    pub reports: Vec<FleetReport>,
}

impl Outbox {
    /// Queues a message with `body` to node `to`.
    pub fn send(&mut self, to: NodeId, body: FleetBody) {
        self.messages.push((to, body));
    }

    /// Queues a message with member records to node `to`, independent of probes.
    pub fn send_updates(&mut self, to: NodeId, updates: Vec<MemberRecord>) {
        self.send(to, FleetBody::Updates { updates });
    }

    /// Queues a report to operators.
    pub fn report(&mut self, report: FleetReport) {
        self.reports.push(report);
    }
}
