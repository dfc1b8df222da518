//! Addresses that are chosen before the nodes start.

use std::collections::BTreeSet;

use lifthollow_standin::experiment::claim_roster::{ClaimRoster, RosterMember};

/// The lowest port that systems hand out to sockets which ask for any.
const FIRST_HANDED_OUT: u16 = 32_768;

#[test]
fn chosen_ports_are_not_ones_that_the_system_hands_out() {
    let directory = std::env::temp_dir().join(format!("roster-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("created");
    let members: Vec<RosterMember> = (0..40)
        .map(|zone| RosterMember {
            name: format!("node-{zone}"),
            side: "old",
            zone,
        })
        .collect();
    let roster = ClaimRoster::write(&directory, &members).expect("written");
    let ports: BTreeSet<u16> = members
        .iter()
        .filter_map(|member| roster.address_of(&member.name))
        .map(|address| address.port())
        .collect();
    std::fs::remove_dir_all(&directory).expect("removed");
    assert_eq!(ports.len(), members.len(), "each has its own");
    assert!(
        ports.iter().all(|port| *port < FIRST_HANDED_OUT),
        "{ports:?}"
    );
}
