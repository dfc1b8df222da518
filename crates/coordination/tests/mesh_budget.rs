//! Tests that the retry budgets of all nodes together keep to the fleet's bound.

mod mesh_support;

use std::time::Duration;

use lifthollow_coordination::mesh::retry_budget::{FleetRetryBound, RetryBudgets, RetryKind};
use mesh_support::at;
use quickcheck::quickcheck;

fn bound() -> FleetRetryBound {
    FleetRetryBound {
        ratio: 0.2,
        fixed: 60.0,
        window: Duration::from_secs(10),
    }
}

#[test]
fn nested_calls_of_retried_runs_count_as_retries() {
    let mut budgets = RetryBudgets::new(bound());
    assert!(budgets.try_take_retry(at(0), "feeds", RetryKind::Request));
    for _ in 0..20 {
        budgets.record_inherited_retry(at(0), "feeds");
    }
    assert!(!budgets.try_take_retry(at(1000), "feeds", RetryKind::Request));
    assert!(
        budgets.try_take_retry(at(1000), "media", RetryKind::Request),
        "retries to one service must not reduce the budget of another"
    );
}

#[test]
fn all_nodes_together_stay_within_the_bound_in_every_window() {
    const NODES: usize = 12;
    let mut budgets: Vec<RetryBudgets> = (0..NODES).map(|_| RetryBudgets::new(bound())).collect();
    for budget in &mut budgets {
        budget.set_nodes(NODES);
    }
    let mut retries_at = Vec::new();
    let mut requests = 0;
    for millisecond in 0..30_000_u64 {
        let node = millisecond as usize % NODES;
        if millisecond % 10 == 0 {
            budgets[node].record_request(at(millisecond), "feeds");
            requests += 1;
        }
        if budgets[node].try_take_retry(at(millisecond), "feeds", RetryKind::Request) {
            retries_at.push(millisecond);
        }
    }
    assert_eq!(requests, 3000);
    let in_window = |from: u64| {
        retries_at
            .iter()
            .filter(move |at| (from..from + 10_000).contains(*at))
    };
    let worst = (0..20_000)
        .step_by(100)
        .map(|from| in_window(from).count())
        .max();
    let worst = worst.expect("there are windows");
    assert!(worst > 0, "no retry was allowed");
    assert!(
        worst as f64 <= 0.2 * 1000.0 + 60.0,
        "{worst} retries in a window"
    );
}

#[test]
fn a_burst_of_lost_answers_in_a_large_fleet_is_repeated() {
    const NODES: usize = 95;
    let mut budgets: Vec<RetryBudgets> = (0..NODES).map(|_| RetryBudgets::new(bound())).collect();
    for budget in &mut budgets {
        budget.set_nodes(NODES);
    }
    // 3,000 requests per second for five seconds, and then 12 lost answers at each node at
    // once: 4% of the requests of a window.
    for request in 0..15_000_usize {
        let node = &mut budgets[request % NODES];
        node.record_request(at(request as u64 / 3), "feeds");
    }
    let repeated = (0..12 * NODES)
        .filter(|lost| budgets[lost % NODES].try_take_retry(at(5000), "feeds", RetryKind::Request));
    assert_eq!(repeated.count(), 12 * NODES);
}

#[test]
fn checking_for_a_retry_does_not_use_up_the_budget() {
    let mut budgets = RetryBudgets::new(bound());
    let mut left = 0;
    while budgets.has_room(at(0), "feeds", RetryKind::Request) {
        assert!(budgets.try_take_retry(at(0), "feeds", RetryKind::Request));
        left += 1;
    }
    assert!(left > 0, "the fixed number must allow some retries");
    assert!(!budgets.try_take_retry(at(0), "feeds", RetryKind::Request));
    let later = at(30_000);
    assert!(budgets.has_room(later, "feeds", RetryKind::Request));
}

#[test]
fn requests_still_expire_after_the_window_was_changed() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(400);
    budgets.record_request(at(60_000), "feeds");
    let longer = FleetRetryBound {
        window: Duration::from_secs(40),
        ..bound()
    };
    budgets.set_bound(longer);
    for request in 0..100 {
        budgets.record_request(at(60_000 + request), "feeds");
    }
    assert!(budgets.has_room(at(61_000), "feeds", RetryKind::Request));
    let much_later = at(60_000 + 90_000);
    assert!(!budgets.has_room(much_later, "feeds", RetryKind::Request));
}

#[test]
fn hedges_get_only_a_small_part_of_the_budget() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(95);
    for request in 0..1000 {
        budgets.record_request(at(request), "feeds");
    }
    let hedges = (0..100).filter(|_| budgets.try_take_hedge(at(1000), "feeds", RetryKind::Request));
    assert_eq!(hedges.count(), 2);
    assert!(
        budgets.try_take_retry(at(1000), "feeds", RetryKind::Request),
        "retries must be allowed more than hedges"
    );
}

#[test]
fn a_hedge_is_refused_when_the_retry_budget_is_used_up() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(95);
    for request in 0..15 {
        budgets.record_request(at(request), "feeds");
    }
    assert!(budgets.try_take_retry(at(20), "feeds", RetryKind::Request));
    assert!(
        !budgets.try_take_hedge(at(20), "feeds", RetryKind::Request),
        "the retry has used up the budget"
    );
}

#[test]
fn requests_before_the_last_windows_allow_no_retries() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(400);
    for request in 0..1000 {
        budgets.record_request(at(request), "feeds");
    }
    assert!(budgets.try_take_retry(at(5000), "feeds", RetryKind::Request));
    assert!(!budgets.try_take_retry(at(16_000), "feeds", RetryKind::Request));
}

/// Simulates a fleet in steps of 100 ms and returns the largest excess of allowed retries over the
/// bound in any window; the bound holds if it is not positive. `requests` are the numbers of
/// requests per step. In each step, four times the number in `tried_retries` retries are tried, as
/// retries of nested calls, which may use the largest share.
fn worst_excess(nodes: usize, requests: &[u8], tried_retries: &[u8]) -> f64 {
    const STEP: u64 = 100;
    const WINDOW: usize = 100;
    let mut budgets: Vec<RetryBudgets> = (0..nodes).map(|_| RetryBudgets::new(bound())).collect();
    for budget in &mut budgets {
        budget.set_nodes(nodes);
    }
    let mut retries = Vec::new();
    for (step, (count, tried)) in requests.iter().zip(tried_retries).enumerate() {
        let now = at(step as u64 * STEP);
        for request in 0..usize::from(*count) {
            budgets[(step * 7 + request) % nodes].record_request(now, "feeds");
        }
        let allowed = (0..usize::from(*tried) * 4).filter(|retry| {
            budgets[(step * 5 + retry) % nodes].try_take_retry(now, "feeds", RetryKind::NestedCall)
        });
        retries.push(allowed.count());
    }
    let sum = |counts: &mut dyn Iterator<Item = usize>| counts.sum::<usize>() as f64;
    let requests_in = |from: usize| {
        let counts = requests.iter().skip(from).take(WINDOW);
        sum(&mut counts.map(|count| usize::from(*count)))
    };
    let excess = (0..retries.len()).map(|from| {
        let spent = sum(&mut retries.iter().skip(from).take(WINDOW).copied());
        let before = [WINDOW, WINDOW / 2, 0].map(|back| {
            let is_whole = from >= back;
            if is_whole {
                requests_in(from - back)
            } else {
                0.0
            }
        });
        let counted = before.into_iter().fold(0.0, f64::max);
        spent - (counted * bound().ratio + bound().fixed)
    });
    excess.fold(f64::MIN, f64::max)
}

quickcheck! {
    /// The bound holds in every window for any load and any number of nodes.
    fn the_bound_holds_in_every_window(nodes: u16, requests: Vec<u8>, tried: Vec<u8>) -> bool {
        let nodes = usize::from(nodes) % 400 + 1;
        // Long enough for several windows.
        let long = |counts: &[u8]| counts.iter().copied().cycle().take(400).collect::<Vec<u8>>();
        worst_excess(nodes, &long(&requests), &long(&tried)) <= 0.0
    }

    /// The bound holds for a fleet whose load drops and that then tries to send retries.
    fn the_bound_holds_after_the_load_has_gone(nodes: u16, busy: u8, tried: u8) -> bool {
        let nodes = usize::from(nodes) % 400 + 1;
        let mut requests = vec![busy; 120];
        requests.extend(vec![1; 180]);
        worst_excess(nodes, &requests, &vec![tried; 300]) <= 0.0
    }
}
