//! The budget for repeats of all nodes together.

mod mesh_support;

use std::time::Duration;

use lifthollow_coordination::mesh::retry_budget::{FleetRetryBound, Repeated, RetryBudgets};
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
fn calls_of_repeated_runs_are_taken_out_of_the_budget() {
    let mut budgets = RetryBudgets::new(bound());
    assert!(budgets.withdraw(at(0), "feeds", Repeated::Request));
    for _ in 0..20 {
        budgets.inherited(at(0), "feeds");
    }
    assert!(!budgets.withdraw(at(1000), "feeds", Repeated::Request));
    assert!(
        budgets.withdraw(at(1000), "media", Repeated::Request),
        "of that service only"
    );
}

#[test]
fn all_nodes_together_stay_within_the_bound_in_every_window() {
    const NODES: usize = 12;
    let mut budgets: Vec<RetryBudgets> = (0..NODES).map(|_| RetryBudgets::new(bound())).collect();
    for budget in &mut budgets {
        budget.set_nodes(NODES);
    }
    let mut repeats_at = Vec::new();
    let mut requests = 0;
    for millisecond in 0..30_000_u64 {
        let node = millisecond as usize % NODES;
        if millisecond % 10 == 0 {
            budgets[node].deposit(at(millisecond), "feeds");
            requests += 1;
        }
        if budgets[node].withdraw(at(millisecond), "feeds", Repeated::Request) {
            repeats_at.push(millisecond);
        }
    }
    assert_eq!(requests, 3000);
    let in_window = |from: u64| {
        repeats_at
            .iter()
            .filter(move |at| (from..from + 10_000).contains(*at))
    };
    let worst = (0..20_000)
        .step_by(100)
        .map(|from| in_window(from).count())
        .max();
    let worst = worst.expect("there are windows");
    assert!(worst > 0, "nothing was allowed");
    assert!(
        worst as f64 <= 0.2 * 1000.0 + 60.0,
        "{worst} repeats in a window"
    );
}

#[test]
fn a_burst_of_lost_answers_in_a_large_fleet_is_repeated() {
    const NODES: usize = 95;
    let mut budgets: Vec<RetryBudgets> = (0..NODES).map(|_| RetryBudgets::new(bound())).collect();
    for budget in &mut budgets {
        budget.set_nodes(NODES);
    }
    // 3,000 requests a second for five seconds, and 12 lost answers at each node
    // within a moment: 4% of the requests of a window.
    for request in 0..15_000_usize {
        let node = &mut budgets[request % NODES];
        node.deposit(at(request as u64 / 3), "feeds");
    }
    let repeated = (0..12 * NODES)
        .filter(|lost| budgets[lost % NODES].withdraw(at(5000), "feeds", Repeated::Request));
    assert_eq!(repeated.count(), 12 * NODES);
}

#[test]
fn room_for_a_repeat_is_told_without_taking_it() {
    let mut budgets = RetryBudgets::new(bound());
    let mut left = 0;
    while budgets.has_room(at(0), "feeds", Repeated::Request) {
        assert!(budgets.withdraw(at(0), "feeds", Repeated::Request));
        left += 1;
    }
    assert!(left > 0, "the fixed number allows some");
    assert!(!budgets.withdraw(at(0), "feeds", Repeated::Request));
    let later = at(30_000);
    assert!(budgets.has_room(later, "feeds", Repeated::Request));
}

#[test]
fn requests_expire_after_the_window_has_been_changed() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(400);
    budgets.deposit(at(60_000), "feeds");
    let longer = FleetRetryBound {
        window: Duration::from_secs(40),
        ..bound()
    };
    budgets.set_bound(longer);
    for request in 0..100 {
        budgets.deposit(at(60_000 + request), "feeds");
    }
    assert!(budgets.has_room(at(61_000), "feeds", Repeated::Request));
    let much_later = at(60_000 + 90_000);
    assert!(!budgets.has_room(much_later, "feeds", Repeated::Request));
}

#[test]
fn hedges_get_little_of_what_is_saved() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(95);
    for request in 0..1000 {
        budgets.deposit(at(request), "feeds");
    }
    let hedges =
        (0..100).filter(|_| budgets.withdraw_for_hedge(at(1000), "feeds", Repeated::Request));
    assert_eq!(hedges.count(), 2);
    assert!(
        budgets.withdraw(at(1000), "feeds", Repeated::Request),
        "repeats have more"
    );
}

#[test]
fn a_hedge_is_paid_like_any_repeat() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(95);
    for request in 0..15 {
        budgets.deposit(at(request), "feeds");
    }
    assert!(budgets.withdraw(at(20), "feeds", Repeated::Request));
    assert!(
        !budgets.withdraw_for_hedge(at(20), "feeds", Repeated::Request),
        "it is spent"
    );
}

#[test]
fn what_was_earned_long_ago_is_worth_nothing() {
    let mut budgets = RetryBudgets::new(bound());
    budgets.set_nodes(400);
    for request in 0..1000 {
        budgets.deposit(at(request), "feeds");
    }
    assert!(budgets.withdraw(at(5000), "feeds", Repeated::Request));
    assert!(!budgets.withdraw(at(16_000), "feeds", Repeated::Request));
}

/// Requests and wishes for repeats of a fleet, a tenth of a second after another.
/// Those of nested calls may use the largest share.
fn worst_excess(nodes: usize, requests: &[u8], wishes: &[u8]) -> f64 {
    const STEP: u64 = 100;
    const WINDOW: usize = 100;
    let mut budgets: Vec<RetryBudgets> = (0..nodes).map(|_| RetryBudgets::new(bound())).collect();
    for budget in &mut budgets {
        budget.set_nodes(nodes);
    }
    let mut repeats = Vec::new();
    for (step, (count, wished)) in requests.iter().zip(wishes).enumerate() {
        let now = at(step as u64 * STEP);
        for request in 0..usize::from(*count) {
            budgets[(step * 7 + request) % nodes].deposit(now, "feeds");
        }
        let paid = (0..usize::from(*wished) * 4).filter(|wish| {
            budgets[(step * 5 + wish) % nodes].withdraw(now, "feeds", Repeated::NestedCall)
        });
        repeats.push(paid.count());
    }
    let sum = |counts: &mut dyn Iterator<Item = usize>| counts.sum::<usize>() as f64;
    let requests_in = |from: usize| {
        let counts = requests.iter().skip(from).take(WINDOW);
        sum(&mut counts.map(|count| usize::from(*count)))
    };
    let excess = (0..repeats.len()).map(|from| {
        let spent = sum(&mut repeats.iter().skip(from).take(WINDOW).copied());
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
    /// In every window, whatever comes, and however many nodes there are.
    fn the_bound_holds_in_every_window(nodes: u16, requests: Vec<u8>, wishes: Vec<u8>) -> bool {
        let nodes = usize::from(nodes) % 400 + 1;
        // Long enough for several windows.
        let long = |counts: &[u8]| counts.iter().copied().cycle().take(400).collect::<Vec<u8>>();
        worst_excess(nodes, &long(&requests), &long(&wishes)) <= 0.0
    }

    /// A fleet that falls silent and is then asked to repeat.
    fn the_bound_holds_after_the_load_has_gone(nodes: u16, busy: u8, wishes: u8) -> bool {
        let nodes = usize::from(nodes) % 400 + 1;
        let mut requests = vec![busy; 120];
        requests.extend(vec![1; 180]);
        worst_excess(nodes, &requests, &vec![wishes; 300]) <= 0.0
    }
}
