//! Updates the directory of servers that decisions may choose from, one member at a
//! time.

use lifthollow_state::{Directory, NodeId, ServiceName};

use super::membership::Membership;

/// Updates the directory entries of `node`, which had entries for `services_before`.
pub(super) fn refresh(
    directory: &mut Directory,
    membership: &Membership,
    node: NodeId,
    services_before: &[ServiceName],
) {
    let member = membership.member(node);
    let services = member.map_or(&[][..], |member| &member.record.services);
    for service in services_before {
        if !services.contains(service) {
            directory.remove(service, node);
        }
    }
    let server = member.and_then(|member| {
        let own = membership.is_own(node);
        member.server(own || membership.is_zone_reachable(member.record.zone))
    });
    for service in services {
        match &server {
            Some(server) => directory.insert(service.clone(), server.clone()),
            None => directory.remove(service, node),
        }
    }
}
