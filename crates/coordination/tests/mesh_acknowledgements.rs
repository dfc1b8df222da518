//! Tests for what acknowledgements say of the peer of a connection.

mod mesh_support;

use std::time::Duration;

use lifthollow_coordination::mesh::acknowledgements::{
    AcknowledgementReport, AcknowledgementWatch, PeerStanding,
};
use mesh_support::at;
use quickcheck::quickcheck;

const LIMIT_MS: u64 = 2_000;
const INTERVAL_MS: u64 = 500;

fn watch() -> AcknowledgementWatch {
    AcknowledgementWatch::new(Duration::from_millis(LIMIT_MS))
}

fn unacknowledged(last_acknowledged_ms: u64) -> AcknowledgementReport {
    AcknowledgementReport {
        is_unacknowledged: true,
        is_repeating: true,
        last_acknowledged: Duration::from_millis(last_acknowledged_ms),
    }
}

/// A connection on which the system waits for the next probe; the last one was answered.
fn between_probes(last_acknowledged_ms: u64) -> AcknowledgementReport {
    AcknowledgementReport {
        is_unacknowledged: false,
        ..unacknowledged(last_acknowledged_ms)
    }
}

#[test]
fn peer_that_acknowledges_nothing_is_gone_at_the_limit() {
    // A connection that was idle for a minute before bytes were sent on it.
    let mut watch = watch();
    for passed in (0..LIMIT_MS).step_by(INTERVAL_MS as usize) {
        let report = unacknowledged(60_000 + passed);
        assert_eq!(
            watch.record(at(100_000 + passed), report),
            PeerStanding::Outstanding
        );
    }
    let report = unacknowledged(60_000 + LIMIT_MS);
    assert_eq!(
        watch.record(at(100_000 + LIMIT_MS), report),
        PeerStanding::Gone
    );
}

/// Guards against a peer that is taken for gone because it reads nothing: its system answers each probe.
#[test]
fn peer_that_reads_nothing_for_minutes_is_not_gone() {
    let mut watch = watch();
    let mut probed = 0;
    let mut backoff = 200;
    for now in (0..600_000).step_by(INTERVAL_MS as usize) {
        if now >= probed + backoff {
            // Just sent, not answered yet.
            let standing = watch.record(at(now), unacknowledged(now - probed));
            assert_eq!(standing, PeerStanding::Outstanding, "at {now}");
            probed = now;
            backoff *= 2;
        } else {
            let standing = watch.record(at(now), between_probes(now - probed));
            assert_eq!(standing, PeerStanding::Outstanding, "at {now}");
        }
    }
}

#[test]
fn peer_that_goes_while_it_reads_nothing_is_gone_after_the_next_probes() {
    let mut watch = watch();
    assert_eq!(
        watch.record(at(0), between_probes(100)),
        PeerStanding::Outstanding
    );
    let first_unanswered = 3_000;
    for now in (first_unanswered..first_unanswered + LIMIT_MS).step_by(500) {
        assert_eq!(
            watch.record(at(now), unacknowledged(now)),
            PeerStanding::Outstanding
        );
    }
    let end = first_unanswered + LIMIT_MS;
    assert_eq!(
        watch.record(at(end), unacknowledged(end)),
        PeerStanding::Gone
    );
}

#[test]
fn connection_is_settled_when_all_is_acknowledged() {
    let settled = AcknowledgementReport {
        is_unacknowledged: false,
        is_repeating: false,
        last_acknowledged: Duration::ZERO,
    };
    let mut watch = watch();
    assert_eq!(watch.record(at(0), settled), PeerStanding::Outstanding);
    assert_eq!(watch.record(at(500), settled), PeerStanding::Settled);
    watch.record_written();
    assert_eq!(watch.record(at(1_000), settled), PeerStanding::Outstanding);
}

quickcheck! {
    /// A peer whose last acknowledgement is always younger than the limit is never gone.
    fn peer_that_acknowledges_now_and_then_is_never_gone(reports: Vec<(bool, u16)>) -> bool {
        let mut watch = watch();
        let mut now = 1_000_000;
        let mut acknowledged = now;
        reports.into_iter().all(|(acknowledges, passed)| {
            now += u64::from(passed) % INTERVAL_MS;
            if acknowledges || now - acknowledged >= LIMIT_MS - INTERVAL_MS {
                acknowledged = now;
            }
            let standing = watch.record(at(now), unacknowledged(now - acknowledged));
            standing != PeerStanding::Gone
        })
    }
}
