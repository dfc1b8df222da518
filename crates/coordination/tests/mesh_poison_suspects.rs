//! Tests of the blocks that follow from crashes and successful runs, and of merging the evidence
//! of several nodes.

use std::time::Duration;

use lifthollow_coordination::mesh::poison::content::{CallerContent, ContentFingerprint};
use lifthollow_coordination::mesh::poison::recent_contents::RecentContents;
use lifthollow_coordination::mesh::poison::suspects::{
    MIN_PROOF_AGE, RunDecision, Suspects, trial_server,
};
use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};
use quickcheck::{Arbitrary, Gen, quickcheck};

const FIRST_BLOCK: Duration = Duration::from_secs(30);

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

/// Returns content `number` as requested by the service `caller`.
fn request_of(number: u128, caller: &str) -> CallerContent {
    CallerContent {
        content: ContentFingerprint(number),
        caller: ServiceName::new(caller),
    }
}

fn request(number: u128) -> CallerContent {
    request_of(number, "feeds")
}

/// Returns the request that crashes servers in most tests.
fn poison() -> CallerContent {
    request(7)
}

fn server(number: u32) -> InstanceId {
    InstanceId::new(&format!("server-{number}"))
}

/// Returns the evidence of a node after `count` crashes, a second apart, while servers ran
/// [`poison`].
fn suspects_after_crashes(count: u32) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..count {
        suspects.record_crash(at(f64::from(number)), &[poison()], &server(number));
    }
    suspects
}

#[test]
fn content_is_blocked_only_after_three_different_servers_crashed() {
    assert_eq!(
        suspects_after_crashes(2).decision(at(2.0), &poison()),
        RunDecision::Admitted
    );
    let blocked = suspects_after_crashes(3).decision(at(2.0), &poison());
    assert_eq!(blocked, RunDecision::Blocked(FIRST_BLOCK));
    let mut reported_twice = suspects_after_crashes(2);
    assert!(!reported_twice.record_crash(at(3.0), &[poison()], &server(1)));
    assert_eq!(
        reported_twice.decision(at(3.0), &poison()),
        RunDecision::Admitted
    );
    let other = request(8);
    assert_eq!(
        suspects_after_crashes(3).decision(at(2.0), &other),
        RunDecision::Admitted
    );
}

#[test]
fn successful_run_clears_content_of_earlier_crashes() {
    let mut suspects = suspects_after_crashes(3);
    suspects.record_successful_run(at(2.5), &poison());
    assert_eq!(suspects.decision(at(2.5), &poison()), RunDecision::Admitted);
    assert_eq!(suspects.counted_crashes(&poison().content), 0);
}

#[test]
fn crash_within_10_s_after_a_successful_run_is_not_counted() {
    let served_before_crash = |seconds: f64| {
        let mut suspects = suspects_after_crashes(1);
        suspects.record_successful_run(at(10.0), &poison());
        suspects.record_crash(at(10.0 + seconds), &[poison()], &server(9));
        suspects.counted_crashes(&poison().content)
    };
    assert_eq!(served_before_crash(9.9), 0);
    assert_eq!(served_before_crash(10.1), 1);
}

/// While a request crashes all servers as soon as they are back, other frequent requests are
/// running during the crashes, too, and nothing runs successfully. The frequent request of this
/// test ran successfully a few seconds before.
#[test]
fn content_that_ran_successfully_before_the_crashes_is_not_blocked_with_their_cause() {
    let mut suspects = Suspects::default();
    let frequent = request(8);
    for crash in 0..6 {
        let contents = [poison(), frequent.clone()];
        suspects.record_crash(at(20.0 + f64::from(crash) * 0.9), &contents, &server(crash));
        suspects.record_successful_run(at(19.0), &frequent);
    }
    assert!(matches!(
        suspects.decision(at(25.0), &poison()),
        RunDecision::Blocked(_)
    ));
    assert_eq!(
        suspects.decision(at(25.0), &frequent),
        RunDecision::Admitted
    );
}

/// The crashes begin before either of the two contents has run successfully.
#[test]
fn content_that_runs_for_other_callers_is_admitted_if_another_content_explains_its_crashes() {
    let frequent = request(8);
    let mut suspects = Suspects::default();
    for crash in 0..3 {
        let contents = [poison(), frequent.clone()];
        suspects.record_crash(at(f64::from(crash) * 0.1), &contents, &server(crash));
    }
    // Up to here there is the same evidence against both contents.
    assert!(matches!(
        suspects.decision(at(0.3), &frequent),
        RunDecision::Blocked(_)
    ));
    suspects.record_successful_run(at(3.0), &request_of(8, "media"));
    assert_eq!(suspects.decision(at(3.0), &frequent), RunDecision::Admitted);
    assert!(matches!(
        suspects.decision(at(3.0), &poison()),
        RunDecision::Blocked(_)
    ));
    // Crashes without the other content are not explained by it; three of them are a proof.
    for crash in 0..3 {
        assert_eq!(suspects.decision(at(4.0), &frequent), RunDecision::Admitted);
        suspects.record_crash(at(4.0), std::slice::from_ref(&frequent), &server(9 + crash));
    }
    assert!(matches!(
        suspects.decision(at(4.0), &frequent),
        RunDecision::Blocked(_)
    ));
}

/// Guards against a wrong block: a frequent request ran successfully for one service and was
/// blocked for 30 s for another. Two of the crashes had known causes, and one server had crashed
/// for an unrelated reason, while it ran no other content that had never run successfully.
#[test]
fn explained_crashes_and_one_unexplained_crash_do_not_block_a_content() {
    let frequent = request(8);
    let mut suspects = Suspects::default();
    suspects.record_crash(at(0.0), std::slice::from_ref(&frequent), &server(0));
    for crash in 1..3 {
        let contents = [poison(), frequent.clone()];
        suspects.record_crash(at(f64::from(crash)), &contents, &server(crash));
    }
    suspects.record_successful_run(at(2.5), &request_of(8, "media"));
    assert_eq!(suspects.decision(at(2.6), &frequent), RunDecision::Admitted);
}

#[test]
fn block_ends_with_a_trial_and_grows_longer_after_each_failed_trial() {
    let mut suspects = suspects_after_crashes(3);
    assert_eq!(
        suspects.decision(at(31.9), &poison()),
        RunDecision::Blocked(Duration::from_millis(100))
    );
    assert_eq!(suspects.decision(at(32.0), &poison()), RunDecision::OnTrial);
    // Crashes by copies that were in flight when the content was proven don't extend the block.
    suspects.record_crash(at(2.5), &[poison()], &server(9));
    assert_eq!(suspects.decision(at(32.5), &poison()), RunDecision::OnTrial);
    suspects.record_crash(at(33.0), &[poison()], &server(10));
    let five_minutes = RunDecision::Blocked(Duration::from_secs(300));
    assert_eq!(suspects.decision(at(33.0), &poison()), five_minutes);
    suspects.record_crash(at(400.0), &[poison()], &server(11));
    let an_hour = RunDecision::Blocked(Duration::from_secs(3600));
    assert_eq!(suspects.decision(at(400.0), &poison()), an_hour);
}

#[test]
fn contents_without_new_crashes_are_forgotten() {
    let mut suspected = suspects_after_crashes(2);
    suspected.drop_expired_evidence(at(1.0 + 599.0));
    assert_eq!(suspected.counts(), (1, 0));
    suspected.drop_expired_evidence(at(1.0 + 601.0));
    assert_eq!(suspected.counts(), (0, 0));
    assert_eq!(suspected.digest(), 0);
    let mut proven = suspects_after_crashes(3);
    proven.drop_expired_evidence(at(2.0 + 3629.0));
    assert_eq!(proven.counts(), (1, 1));
    proven.drop_expired_evidence(at(2.0 + 3631.0));
    assert_eq!(proven.counts(), (0, 0));
}

#[test]
fn second_trial_of_a_content_waits_for_two_seconds() {
    let mut suspects = suspects_after_crashes(3);
    assert!(suspects.begin_trial(at(40.0), &poison().content));
    assert!(!suspects.begin_trial(at(41.9), &poison().content));
    assert!(suspects.begin_trial(at(42.0), &poison().content));
}

/// Guards against simultaneous trials: if two contents are tried on one server at the same time and
/// one crashes it, the other, which is harmless, is blocked for five minutes as well.
#[test]
fn trials_of_different_contents_do_not_overlap() {
    let mut suspects = suspects_after_crashes(3);
    let frequent = request(8);
    assert!(suspects.begin_trial(at(40.0), &poison().content));
    assert!(!suspects.begin_trial(at(41.9), &frequent.content));
    assert!(suspects.begin_trial(at(42.0), &frequent.content));
    // A successful run before the trial began doesn't end the trial.
    suspects.record_successful_run(at(41.0), &frequent);
    assert!(!suspects.begin_trial(at(42.1), &poison().content));
    suspects.record_successful_run(at(42.2), &frequent);
    assert!(suspects.begin_trial(at(42.2), &poison().content));
}

/// Guards against a long wrong block: two contents began to crash servers before a frequent request
/// had run successfully anywhere. The request was running during the first three crashes, each time
/// beside one of the causes, and was blocked for all callers for 30 s, as only a successful run
/// could distinguish it from the causes.
#[test]
fn content_whose_crashes_others_may_have_caused_is_tried_after_12_s_and_once() {
    let (frequent, second) = (request(8), request(9));
    let mut suspects = Suspects::default();
    for (number, cause) in (0..).zip([poison(), poison(), second]) {
        suspects.record_crash(
            at(f64::from(number)),
            &[cause, frequent.clone()],
            &server(number),
        );
    }
    let short_block = Duration::from_secs(12);
    assert_eq!(
        suspects.decision(at(2.0), &frequent),
        RunDecision::Blocked(short_block)
    );
    assert_eq!(suspects.take_changes(at(2.0))[0].blocked_for, short_block);
    assert_eq!(suspects.decision(at(14.0), &frequent), RunDecision::OnTrial);
    let mut crashed = suspects.clone();
    crashed.record_crash(at(14.1), std::slice::from_ref(&frequent), &server(3));
    let five_minutes = RunDecision::Blocked(Duration::from_secs(300));
    assert_eq!(crashed.decision(at(14.1), &frequent), five_minutes);
    suspects.record_successful_run(at(14.1), &frequent);
    assert_eq!(
        suspects.decision(at(14.1), &frequent),
        RunDecision::Admitted
    );
}

/// A successful run of the other content shows that it is not the cause.
#[test]
fn content_is_blocked_for_the_full_time_once_no_other_may_be_the_cause() {
    let frequent = request(8);
    let mut suspects = Suspects::default();
    for number in 0..3 {
        let contents = [poison(), frequent.clone()];
        suspects.record_crash(at(f64::from(number)), &contents, &server(number));
    }
    let doubtful = RunDecision::Blocked(Duration::from_secs(11));
    assert_eq!(suspects.decision(at(3.0), &poison()), doubtful);
    suspects.record_successful_run(at(3.0), &frequent);
    let certain = RunDecision::Blocked(Duration::from_secs(29));
    assert_eq!(suspects.decision(at(3.0), &poison()), certain);
}

/// Other requests that were running during one crash each don't count as possible causes.
#[test]
fn contents_running_during_one_crash_each_do_not_shorten_the_block() {
    let mut suspects = Suspects::default();
    for number in 0..3 {
        let contents = [poison(), request(100 + u128::from(number))];
        suspects.record_crash(at(f64::from(number)), &contents, &server(number));
    }
    let blocked = suspects.decision(at(2.0), &poison());
    assert_eq!(blocked, RunDecision::Blocked(FIRST_BLOCK));
}

#[test]
fn all_nodes_select_the_same_trial_server_and_never_the_last_one() {
    let servers: Vec<InstanceId> = (0..5).map(server).collect();
    let reversed: Vec<InstanceId> = servers.iter().rev().cloned().collect();
    assert_eq!(
        trial_server(&poison().content, &servers),
        trial_server(&poison().content, &reversed)
    );
    assert!(trial_server(&poison().content, &servers).is_some());
    assert_eq!(trial_server(&poison().content, &servers[..1]), None);
    assert_eq!(trial_server(&poison().content, &[]), None);
}

#[test]
fn each_change_is_returned_only_once() {
    let mut suspects = suspects_after_crashes(3);
    let changes = suspects.take_changes(at(2.0));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].blocked_callers, [poison().caller]);
    assert_eq!(changes[0].servers, [server(0), server(1), server(2)]);
    assert_eq!(suspects.take_changes(at(2.0)), []);
    suspects.record_successful_run(at(3.0), &poison());
    assert!(suspects.take_changes(at(3.0))[0].blocked_callers.is_empty());
}

#[test]
fn many_different_contents_do_not_exceed_the_limit_or_evict_a_proven_one() {
    let mut suspects = suspects_after_crashes(3);
    for crash in 0..100 {
        let contents: Vec<_> = (0..140)
            .map(|run| request(1000 + crash * 140 + run))
            .collect();
        suspects.record_crash(at(10.0), &contents, &server(100 + crash as u32));
    }
    assert_eq!(suspects.counts(), (1024, 1));
    assert!(matches!(
        suspects.decision(at(11.0), &poison()),
        RunDecision::Blocked(_)
    ));
}

#[test]
fn last_successful_run_of_a_content_is_remembered_and_expires() {
    let mut recent = RecentContents::default();
    recent.record_successful_run(at(100.0), poison());
    recent.record_successful_run(at(104.0), poison());
    assert_eq!(
        recent.last_successful_run(at(113.9), &poison()),
        Some(at(104.0))
    );
    assert_eq!(recent.last_successful_run(at(125.0), &poison()), None);
    assert_eq!(recent.last_successful_run(at(113.9), &request(8)), None);
}

#[test]
fn crashes_during_requests_of_two_callers_count_together() {
    let mut suspects = Suspects::default();
    suspects.record_crash(at(0.0), &[request_of(7, "media")], &server(0));
    suspects.record_crash(at(0.1), &[request_of(7, "media")], &server(1));
    suspects.record_crash(at(0.2), &[request_of(7, "feeds")], &server(2));
    for caller in ["media", "feeds", "a service that has not called"] {
        let decision = suspects.decision(at(0.2), &request_of(7, caller));
        assert_eq!(decision, RunDecision::Blocked(FIRST_BLOCK), "{caller}");
    }
}

/// Two contents and an unrelated failure crash servers in turns, so that no single content was
/// running during all crashes that count against a frequent one.
#[test]
fn crashes_explained_by_several_contents_together_do_not_block_a_content() {
    let frequent = request_of(8, "creator");
    let second = request(9);
    let mut suspects = Suspects::default();
    suspects.record_successful_run(at(0.0), &request_of(8, "feeds"));
    let causes = [poison(), second.clone(), poison(), second.clone()];
    for (number, cause) in (0..).zip(causes) {
        let contents = [cause, frequent.clone()];
        suspects.record_crash(at(f64::from(number) * 0.1), &contents, &server(number));
    }
    // A crash without a known cause.
    suspects.record_crash(at(0.5), &[frequent.clone(), request(100)], &server(4));
    suspects.record_successful_run(at(0.5), &request_of(8, "feeds"));
    assert_eq!(suspects.decision(at(0.6), &frequent), RunDecision::Admitted);
    suspects.record_crash(at(0.7), &[poison()], &server(5));
    assert_eq!(suspects.decision(at(0.8), &frequent), RunDecision::Admitted);
    assert!(matches!(
        suspects.decision(at(0.8), &poison()),
        RunDecision::Blocked(_)
    ));
}

/// A content that was requested once, and was running during one crash, explains no crash.
#[test]
fn contents_running_during_one_crash_each_do_not_explain_crashes() {
    let by_caller = request_of(8, "creator");
    let mut suspects = Suspects::default();
    for number in 0..3 {
        let contents = [request(u128::from(number) + 100), by_caller.clone()];
        suspects.record_crash(at(f64::from(number) * 0.1), &contents, &server(number));
    }
    suspects.record_successful_run(at(0.4), &request_of(8, "feeds"));
    let decision = suspects.decision(at(0.5), &by_caller);
    assert!(matches!(decision, RunDecision::Blocked(_)), "{decision:?}");
}

/// A node may learn of a crash some milliseconds before it learns of successful runs at other
/// nodes.
#[test]
fn requests_wait_before_they_are_refused_for_a_new_proof() {
    let suspects = suspects_after_crashes(3);
    let left = suspects.refusal_delay(at(2.0) + Duration::from_millis(30), &poison());
    assert_eq!(left, MIN_PROOF_AGE - Duration::from_millis(30));
    assert_eq!(suspects.refusal_delay(at(2.2), &poison()), Duration::ZERO);
    assert_eq!(suspects.refusal_delay(at(2.0), &request(8)), Duration::ZERO);
    let not_proven = suspects_after_crashes(2);
    assert_eq!(not_proven.refusal_delay(at(1.0), &poison()), Duration::ZERO);
}

#[test]
fn successful_runs_are_remembered_for_each_caller_of_a_content() {
    let mut recent = RecentContents::default();
    recent.record_successful_run(at(1.0), request_of(8, "feeds"));
    recent.record_successful_run(at(1.5), request_of(8, "media"));
    recent.record_successful_run(at(2.0), request_of(9, "feeds"));
    let known = recent.successful_runs_by_caller(at(3.0), ContentFingerprint(8));
    let expected = [
        (request_of(8, "feeds"), at(1.0)),
        (request_of(8, "media"), at(1.5)),
    ];
    assert_eq!(known, expected);
}

#[test]
fn block_for_one_caller_does_not_apply_to_another_caller() {
    let mut suspects = suspects_after_crashes(5);
    let other = request_of(7, "media");
    assert_eq!(suspects.decision(at(5.0), &other), RunDecision::Admitted);
    // The other caller's request was running during a crash by chance and runs successfully.
    suspects.record_crash(at(6.0), std::slice::from_ref(&other), &server(9));
    suspects.record_successful_run(at(6.5), &other);
    assert_eq!(suspects.decision(at(6.5), &other), RunDecision::Admitted);
    assert!(matches!(
        suspects.decision(at(6.5), &poison()),
        RunDecision::Blocked(_)
    ));
}

/// If they had the same digest, nodes that know of different crashes would not exchange reports.
#[test]
fn digest_distinguishes_crashes_of_two_starts_of_a_server() {
    let after = |started_ms: u64| {
        let mut suspects = Suspects::default();
        let start = server(1).started_at(started_ms);
        suspects.record_crash(at(1.0), &[poison()], &start);
        suspects
    };
    assert_ne!(after(1).digest(), after(2).digest());
}

/// Exchange of reports from one node to the next: the time on the asking node's clock when it sends
/// the request, in milliseconds, and the time that the request and the response take.
#[derive(Clone, Debug)]
struct Exchange {
    clock_ms: u32,
    request_ms: u16,
    response_ms: u16,
}

impl Arbitrary for Exchange {
    fn arbitrary(random: &mut Gen) -> Self {
        Exchange {
            clock_ms: u32::arbitrary(random) % 100_000,
            request_ms: u16::arbitrary(random) % 3000,
            response_ms: u16::arbitrary(random) % 3000,
        }
    }
}

quickcheck! {
    /// A block doesn't grow longer when it is passed from node to node, whatever the delays are,
    /// also if the nodes started after the crashes.
    fn block_does_not_grow_longer_when_passed_from_node_to_node(exchanges: Vec<Exchange>) -> bool {
        // `elapsed` is the time since the third crash; `clock` is the reporting node's clock.
        let mut elapsed = Duration::ZERO;
        let mut clock = at(2.0);
        let mut reporting = suspects_after_crashes(3);
        for exchange in exchanges.iter().take(5) {
            let asked = Timestamp::from_micros(u64::from(exchange.clock_ms) * 1000);
            let request_time = Duration::from_millis(exchange.request_ms.into());
            let response_time = Duration::from_millis(exchange.response_ms.into());
            elapsed += request_time + response_time;
            clock = clock + request_time;
            let reports = reporting.reports(clock);
            clock = asked + request_time + response_time;
            let mut asking = Suspects::default();
            asking.merge_reports(clock, asked, reports);
            reporting = asking;
        }
        let left = FIRST_BLOCK.saturating_sub(elapsed);
        match reporting.decision(clock, &poison()) {
            RunDecision::Blocked(remaining) => remaining <= left,
            RunDecision::OnTrial => true,
            RunDecision::Admitted => false,
        }
    }

    /// Nodes that observed different crashes and runs have the same evidence after they have
    /// fetched each other's reports, in whatever order.
    fn nodes_that_exchange_reports_converge_to_the_same_evidence(events: Vec<(u8, u8, u8, bool)>, is_one_first: bool) -> bool {
        let mut nodes = [Suspects::default(), Suspects::default()];
        for (index, (node, content, by, is_served)) in events.iter().enumerate() {
            let now = at(index as f64 * 0.7);
            let node = &mut nodes[usize::from(node % 2)];
            let content = request((content % 4).into());
            if *is_served {
                node.record_successful_run(now, &content);
            } else {
                node.record_crash(now, &[content], &server((by % 8).into()));
            }
        }
        let now = at(events.len() as f64);
        let [mut one, mut other] = nodes;
        if is_one_first {
            one.merge_reports(now, now, other.reports(now));
            other.merge_reports(now, now, one.reports(now));
        } else {
            other.merge_reports(now, now, one.reports(now));
            one.merge_reports(now, now, other.reports(now));
        }
        (0..4).map(ContentFingerprint).all(|content| one.counted_crashes(&content) == other.counted_crashes(&content))
            && one.digest() == other.digest()
    }
}
