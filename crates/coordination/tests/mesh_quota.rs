//! Tests of a tenant's limit, which all nodes enforce together: compares three ways of enforcing
//! it, and checks the bounds of the one that is implemented.

mod quota_fleet;

use lifthollow_coordination::mesh::tenants::fleet_quota::QuotaTolerance;
use lifthollow_state::mesh::RateLimit;
use quota_fleet::ways::{DemandShares, EqualShares, LentTokens};
use quota_fleet::{Outcome, Scenario, simulate};

/// Numbers of nodes of the simulated fleets.
const FLEET_SIZES: [usize; 3] = [12, 82, 300];
/// Limits of a small and of a large tenant: requests per second, and burst in requests.
const LIMITS: [(f64, u64); 2] = [(14.0, 14), (470.0, 470)];
const SEED: u64 = 1;
/// Fraction of a tenant's requests below its limit that may be refused because of the limit.
const MAX_REFUSED_BELOW_LIMIT: f64 = 0.005;

fn tolerance() -> QuotaTolerance {
    QuotaTolerance {
        overshoot: 0.25,
        slack: 20.0,
        ..QuotaTolerance::default()
    }
}

fn scenarios(nodes: usize) -> Vec<Scenario> {
    let calm = Scenario::calm(nodes);
    let surge = Some((7.5, 8.0..16.0));
    let a_third = 0..nodes / 3;
    vec![
        calm.clone(),
        Scenario {
            name: "all at one node",
            at_one_node: true,
            ..calm.clone()
        },
        Scenario {
            name: "7.5 times its usual",
            surge: surge.clone(),
            ..calm.clone()
        },
        Scenario {
            name: "lender killed for 4 s",
            lender_killed: Some(10.0..14.0),
            ..calm.clone()
        },
        Scenario {
            name: "lender killed, 7.5 times",
            lender_killed: Some(10.0..14.0),
            surge: surge.clone(),
            ..calm.clone()
        },
        Scenario {
            name: "all killed for 1 s",
            all_killed: Some(10.0..11.0),
            ..calm.clone()
        },
        Scenario {
            name: "all killed, 7.5 times",
            all_killed: Some(10.0..11.0),
            surge: surge.clone(),
            ..calm.clone()
        },
        Scenario {
            name: "a third cut off, 7.5 times",
            cut_off: Some((a_third, 5.0..17.0)),
            surge,
            ..calm
        },
    ]
}

fn limit(rate_and_burst: (f64, u64)) -> RateLimit {
    RateLimit::new(rate_and_burst.0, rate_and_burst.1).expect("above zero")
}

fn simulate_lent_tokens(scenario: &Scenario, rate_and_burst: (f64, u64)) -> Outcome {
    let limit = limit(rate_and_burst);
    let mut strategy = LentTokens::new(limit, &tolerance(), scenario.nodes);
    simulate(scenario, limit, &tolerance(), SEED, &mut strategy)
}

/// Prints the table of docs/design/quotas.md if run with `--nocapture`.
#[test]
fn lent_tokens_never_exceed_the_allowed_requests_in_a_window() {
    println!("nodes, limit, play: worst window, refused below the limit, messages a request");
    println!("| nodes | limit | play | equal parts | parts by demand | lent |");
    for nodes in FLEET_SIZES {
        for rate_and_burst in LIMITS {
            for scenario in scenarios(nodes) {
                let limit = limit(rate_and_burst);
                let equal = &mut EqualShares::new(limit, nodes);
                let equal = simulate(&scenario, limit, &tolerance(), SEED, equal);
                let by_demand = &mut DemandShares::new(limit, nodes);
                let by_demand = simulate(&scenario, limit, &tolerance(), SEED, by_demand);
                let lent = simulate_lent_tokens(&scenario, rate_and_burst);
                let cell = |outcome: Outcome| {
                    let Outcome {
                        worst_window,
                        refused_below_limit,
                        messages,
                    } = outcome;
                    format!("{worst_window:.2}, {refused_below_limit:.3}, {messages:.2}")
                };
                println!(
                    "| {nodes} | {} | {} | {} | {} | {} |",
                    rate_and_burst.0,
                    scenario.name,
                    cell(equal),
                    cell(by_demand),
                    cell(lent)
                );
                assert!(
                    lent.worst_window <= 1.0,
                    "{nodes} {rate_and_burst:?} {scenario:?}: {lent:?}"
                );
            }
        }
    }
}

#[test]
fn requests_of_tenants_below_their_limit_are_rarely_refused() {
    for nodes in FLEET_SIZES {
        for rate_and_burst in LIMITS {
            for scenario in scenarios(nodes).into_iter().take(2) {
                let outcome = simulate_lent_tokens(&scenario, rate_and_burst);
                let refused = outcome.refused_below_limit;
                assert!(
                    refused <= MAX_REFUSED_BELOW_LIMIT,
                    "{nodes} {rate_and_burst:?} {scenario:?}: {outcome:?}"
                );
            }
        }
    }
}
