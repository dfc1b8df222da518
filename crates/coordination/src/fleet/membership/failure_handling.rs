//! Handles probes without an answer: suspects the member or marks its zone as
//! unreachable.

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{NodeId, Timestamp};

use super::Membership;
use super::prober::FailedProbe;
use super::updates::Forwarding;
use super::zones::ProbeVerdict;
use crate::fleet::outbox::Outbox;
use crate::fleet::report::FleetReport;

impl Membership {
    pub(super) fn handle_failed_probe(
        &mut self,
        now: Timestamp,
        failed: FailedProbe,
        outbox: &mut Outbox,
    ) {
        match self.zones.classify_failure(failed.zone, failed.started) {
            ProbeVerdict::MemberUnresponsive if failed.alive_by_relay => {}
            ProbeVerdict::MemberUnresponsive => self.suspect(now, failed.target, outbox),
            ProbeVerdict::ZoneUnresponsive => {
                if self.zones.mark_unreachable(failed.zone, now) {
                    let zone = failed.zone;
                    outbox.report(FleetReport::ZoneUnreachable { zone });
                    self.mark_zone_outdated(zone);
                }
            }
        }
    }

    fn suspect(&mut self, now: Timestamp, node: NodeId, outbox: &mut Outbox) {
        let Some(member) = self.members.get(node) else {
            return;
        };
        let record = MemberRecord {
            status: MemberStatus::Suspected,
            ..member.record.clone()
        };
        self.apply(now, record, Forwarding::Piggyback, outbox);
    }
}
