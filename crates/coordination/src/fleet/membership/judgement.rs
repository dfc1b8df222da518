//! What follows from a probe without an answer.

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{NodeId, Timestamp};

use super::Membership;
use super::news::Passing;
use super::prober::FailedProbe;
use super::zones::Silence;
use crate::fleet::outbox::Outbox;
use crate::fleet::report::FleetReport;

impl Membership {
    pub(super) fn judge(&mut self, now: Timestamp, failed: FailedProbe, outbox: &mut Outbox) {
        match self.zones.judge(failed.zone, failed.started) {
            Silence::Member if failed.alive_by_relay => {}
            Silence::Member => self.suspect(now, failed.target, outbox),
            Silence::Zone => {
                if self.zones.mark_unreachable(failed.zone, now) {
                    let zone = failed.zone;
                    outbox.report(FleetReport::ZoneUnreachable { zone });
                    self.touch_zone(zone);
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
        self.apply(now, record, Passing::On, outbox);
    }
}
