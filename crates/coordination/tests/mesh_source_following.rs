//! Tests for the requests that a node sends to the source, and when it does.

use std::time::Duration;

use lifthollow_coordination::mesh::source_following::{
    FollowMode, FollowStep, Follower, NodeStatus, rarely_short_delay,
};
use lifthollow_coordination::mesh::watchers::{NodeLocation, choose_nodes_to_ask, choose_watchers};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{InstanceId, Revision, ServerInstance, ServerState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MILLISECOND: Duration = Duration::from_millis(1);
/// Time that the source takes to answer a request.
const ANSWER_TIME: Duration = Duration::from_millis(4);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1000)
}

fn random(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

const KNOWS_NOTHING: NodeStatus = NodeStatus {
    revision: Revision::NONE,
    is_watcher: false,
    knows_nodes: false,
    is_busy: false,
    view_age: None,
};

const LISTENING: NodeStatus = NodeStatus {
    revision: Revision::new(1, 7),
    is_watcher: false,
    knows_nodes: true,
    is_busy: false,
    view_age: Some(Duration::ZERO),
};

/// Returns the node's next step other than waiting, and its time.
fn next_request(
    follower: &mut Follower,
    mut now: Timestamp,
    status: NodeStatus,
    seed: u64,
) -> (Timestamp, FollowStep) {
    let mut random = random(seed);
    loop {
        match follower.step(now, status, &mut random) {
            FollowStep::Wait(time) => now = now + time,
            step => return (now, step),
        }
    }
}

#[test]
fn a_node_that_starts_looks_for_others_before_it_reads_anything_else() {
    let mut follower = Follower::new(at(0), &mut random(1));
    assert_eq!(follower.following(KNOWS_NOTHING), FollowMode::Starting);
    assert_eq!(
        next_request(&mut follower, at(0), KNOWS_NOTHING, 1),
        (at(0), FollowStep::ReadNodeAddresses)
    );
}

#[test]
fn a_node_that_finds_no_other_reads_the_source_within_its_limit() {
    for seed in 0..50 {
        let mut follower = Follower::new(at(0), &mut random(seed));
        let mut now = at(0);
        loop {
            let (when, step) = next_request(&mut follower, now, KNOWS_NOTHING, seed);
            now = when;
            match step {
                FollowStep::ReadNodeAddresses => {
                    follower.on_nodes_found(now, false, false, &mut random(seed))
                }
                FollowStep::ReadAll => break,
                other => panic!("{other:?}"),
            }
        }
        assert!(now <= at(4000), "{now:?}");
    }
}

#[test]
fn few_of_a_thousand_nodes_that_find_no_other_read_the_source_early() {
    let early = (0..1000).filter(|seed| {
        let mut follower = Follower::new(at(0), &mut random(*seed));
        follower.on_nodes_found(at(0), false, false, &mut random(*seed));
        let mut now = at(0);
        loop {
            let (when, step) = next_request(&mut follower, now, KNOWS_NOTHING, *seed);
            if when > at(1500) {
                return false;
            }
            if step == FollowStep::ReadAll {
                return true;
            }
            now = when + MILLISECOND;
        }
    });
    let early = early.count();
    assert!((1..60).contains(&early), "{early}");
}

#[test]
fn only_a_node_chosen_to_watch_reads_the_source_as_soon_as_no_node_could_help() {
    let status = NodeStatus {
        knows_nodes: true,
        ..KNOWS_NOTHING
    };
    for is_chosen in [true, false] {
        let mut follower = Follower::new(at(0), &mut random(1));
        follower.on_nodes_found(at(10), true, is_chosen, &mut random(1));
        let (when, step) = next_request(&mut follower, at(10), status, 1);
        let FollowStep::AskNodes(limit) = step else {
            panic!("{step:?}");
        };
        assert!(when == at(10) && when + limit <= at(1510), "{limit:?}");
        follower.on_nodes_asked(at(15), status, &mut random(1));
        let (_, step) = next_request(&mut follower, at(15), status, 1);
        assert_eq!(step == FollowStep::ReadAll, is_chosen, "{step:?}");
    }
}

#[test]
fn a_node_that_starts_goes_on_asking_nodes_while_the_source_fails() {
    let status = NodeStatus {
        knows_nodes: true,
        ..KNOWS_NOTHING
    };
    let mut follower = Follower::new(at(0), &mut random(1));
    follower.on_nodes_found(at(10), true, true, &mut random(1));
    follower.on_nodes_asked(at(15), status, &mut random(1));
    follower.on_source_error(at(20), &mut random(1));
    let (when, step) = next_request(&mut follower, at(20), status, 1);
    let FollowStep::AskNodes(limit) = step else {
        panic!("{step:?}");
    };
    assert_eq!(
        when + limit,
        at(120),
        "nodes are asked until the next request to the source is allowed"
    );
}

#[test]
fn a_listener_asks_nodes_first_and_the_source_if_they_do_not_help() {
    let mut follower = Follower::new(at(0), &mut random(1));
    let old = NodeStatus {
        view_age: Some(Duration::from_millis(1400)),
        ..LISTENING
    };
    assert!(matches!(
        follower.step(at(0), LISTENING, &mut random(1)),
        FollowStep::Wait(_)
    ));
    assert_eq!(
        follower.step(at(0), old, &mut random(1)),
        FollowStep::AskNodes(Duration::MAX)
    );
    follower.on_nodes_asked(at(10), old, &mut random(1));
    assert_eq!(
        follower.step(at(10), old, &mut random(1)),
        FollowStep::ReadNewestRevision
    );
}

#[test]
fn a_listener_that_fell_behind_asks_other_nodes_before_it_reads_the_source() {
    let old = NodeStatus {
        view_age: Some(Duration::from_millis(1400)),
        ..LISTENING
    };
    let mut follower = Follower::new(at(0), &mut random(1));
    follower.on_fell_behind(at(0), old, &mut random(1));
    assert_eq!(follower.following(old), FollowMode::CatchingUp);
    assert!(matches!(
        follower.step(at(0), old, &mut random(1)),
        FollowStep::AskNodes(_)
    ));
    let told = NodeStatus {
        revision: Revision::new(1, 8),
        ..LISTENING
    };
    assert!(matches!(
        follower.step(at(20), told, &mut random(1)),
        FollowStep::Wait(_)
    ));
    assert_eq!(follower.following(told), FollowMode::Listening);
}

#[test]
fn a_listener_that_fell_behind_reads_the_source_in_time_if_no_node_helps() {
    let old = NodeStatus {
        view_age: Some(Duration::from_millis(1400)),
        ..LISTENING
    };
    for seed in 0..50 {
        let mut follower = Follower::new(at(0), &mut random(seed));
        follower.on_fell_behind(at(0), old, &mut random(seed));
        let mut now = at(0);
        loop {
            let (when, step) = next_request(&mut follower, now, old, seed);
            now = when;
            if step == FollowStep::ReadAll {
                break;
            }
            let FollowStep::AskNodes(limit) = step else {
                panic!("{step:?}");
            };
            assert!(
                now + limit <= at(200),
                "the limit must end before the source is to be read"
            );
            follower.on_nodes_asked(now, old, &mut random(seed));
        }
        assert!(now <= at(200), "{now:?}");
    }
}

#[test]
fn a_watcher_that_fell_behind_reads_the_source_at_once_although_its_view_was_fresh() {
    let watching = NodeStatus {
        is_watcher: true,
        ..LISTENING
    };
    let mut follower = Follower::new(at(0), &mut random(1));
    assert_eq!(
        follower.step(at(0), watching, &mut random(1)),
        FollowStep::Watch
    );
    follower.on_fell_behind(at(0), watching, &mut random(1));
    assert_eq!(
        follower.step(at(0), watching, &mut random(1)),
        FollowStep::ReadAll
    );
}

/// Guards against full reads without a limit: watchers of a store that compacts its history at once
/// read all of it 60 to 75 times a second each, because the next watch after each read failed
/// again.
#[test]
fn a_source_that_always_compacts_its_history_is_read_a_few_times_a_second() {
    let watching = NodeStatus {
        is_watcher: true,
        ..LISTENING
    };
    let mut follower = Follower::new(at(0), &mut random(1));
    let (mut now, mut reads) = (at(0), 0);
    while now < at(10_000) {
        let (when, step) = next_request(&mut follower, now, watching, 1);
        now = when + ANSWER_TIME;
        match step {
            FollowStep::Watch => follower.on_fell_behind(now, watching, &mut random(1)),
            FollowStep::ReadAll => {
                reads += 1;
                follower.on_up_to_date(&mut random(1));
            }
            FollowStep::AskNodes(_) => follower.on_nodes_asked(now, watching, &mut random(1)),
            other => panic!("{other:?}"),
        }
    }
    // The first read, and four in each second.
    assert!((10..=1 + 4 * 10).contains(&reads), "{reads} in 10 s");
}

#[test]
fn a_watcher_that_the_source_refuses_asks_other_nodes() {
    let refused = NodeStatus {
        is_watcher: true,
        view_age: Some(Duration::from_millis(1400)),
        ..LISTENING
    };
    let mut follower = Follower::new(at(0), &mut random(1));
    follower.on_source_error(at(0), &mut random(1));
    assert_eq!(
        follower.step(at(0), refused, &mut random(1)),
        FollowStep::AskNodes(Duration::MAX)
    );
    let (when, step) = next_request(&mut follower, at(1), refused, 1);
    assert_eq!((when, step), (at(100), FollowStep::Watch));
}

#[test]
fn requests_to_a_failing_source_back_off() {
    let watching = NodeStatus {
        is_watcher: true,
        ..LISTENING
    };
    let mut follower = Follower::new(at(0), &mut random(1));
    let mut now = at(0);
    let mut asked = 0;
    while now < at(10_000) {
        let (when, step) = next_request(&mut follower, now, watching, 1);
        assert_eq!(step, FollowStep::Watch);
        asked += 1;
        now = when;
        follower.on_source_error(now, &mut random(1));
    }
    assert!((10..17).contains(&asked), "{asked}");
}

#[test]
fn a_rarely_short_delay_is_short_for_few_of_many_nodes() {
    let limit = Duration::from_secs(1);
    let mut random = random(1);
    let delays: Vec<Duration> = (0..10_000)
        .map(|_| rarely_short_delay(limit, &mut random))
        .collect();
    assert!(delays.iter().all(|time| *time <= limit));
    let short = delays.iter().filter(|time| **time < limit / 4).count();
    assert!((10..100).contains(&short), "{short}");
}

fn server(zone: usize, index: usize) -> ServerInstance {
    ServerInstance {
        id: InstanceId::new(&format!("i-{zone}-{index}")),
        service: "feeds".to_owned(),
        address: format!("10.{zone}.0.{index}:80")
            .parse()
            .expect("the text is a socket address"),
        zone: format!("zone-{zone}"),
        slots: 8,
        state: ServerState::Ready,
        warm_up: Duration::ZERO,
    }
}

#[test]
fn a_node_that_starts_asks_watchers_of_its_zone_first_and_never_itself() {
    let servers: Vec<ServerInstance> = (0..5)
        .flat_map(|zone| (1..40).map(move |index| server(zone, index)))
        .collect();
    let chosen = choose_watchers(&servers);
    for own in &servers {
        let location = NodeLocation {
            zone: &own.zone,
            address: own.address,
        };
        let asked = choose_nodes_to_ask(&servers, location, &mut random(1));
        assert!(!asked.contains(&own.address));
        let near = servers.iter().filter(|server| server.zone == own.zone);
        let near_watcher = near
            .map(|server| server.address)
            .find(|address| chosen.contains(address) && *address != own.address);
        if let Some(near_watcher) = near_watcher {
            assert_eq!(asked[0], near_watcher);
        }
        assert!((4..=5).contains(&asked.len()), "{}", asked.len());
    }
}

#[test]
fn a_node_that_knows_only_its_own_server_asks_no_node() {
    let own = server(0, 1);
    let location = NodeLocation {
        zone: &own.zone,
        address: own.address,
    };
    assert!(choose_nodes_to_ask(std::slice::from_ref(&own), location, &mut random(1)).is_empty());
}
