//! Tests of a tenant's limit, which all nodes enforce together: compares three ways of enforcing it,
//! and checks the bounds of the one that is implemented.

mod quota_fleet;

use lifthollow_coordination::mesh::tenants::fleet_quota::QuotaTolerance;
use lifthollow_state::mesh::RateLimit;
use quota_fleet::ways::{DemandParts, EqualParts, Lent};
use quota_fleet::{Outcome, Play, play};

/// Numbers of nodes of the simulated fleets.
const SIZES: [usize; 3] = [12, 82, 300];
/// Limits of a small and of a large tenant: requests per second, and burst in requests.
const LIMITS: [(f64, u64); 2] = [(14.0, 14), (470.0, 470)];
const SEED: u64 = 1;
/// Fraction of a tenant's requests below its limit that may be refused because of the limit.
const REFUSED_BELOW_LIMIT: f64 = 0.005;

fn tolerance() -> QuotaTolerance {
    QuotaTolerance {
        overshoot: 0.25,
        slack: 20.0,
        ..QuotaTolerance::default()
    }
}

fn plays(nodes: usize) -> Vec<Play> {
    let calm = Play::calm(nodes);
    let surge = Some((7.5, 8.0..16.0));
    let third = 0..nodes / 3;
    vec![
        calm.clone(),
        Play {
            name: "all at one node",
            at_one_node: true,
            ..calm.clone()
        },
        Play {
            name: "7.5 times its usual",
            surge: surge.clone(),
            ..calm.clone()
        },
        Play {
            name: "lender killed for 4 s",
            lender_killed: Some(10.0..14.0),
            ..calm.clone()
        },
        Play {
            name: "lender killed, 7.5 times",
            lender_killed: Some(10.0..14.0),
            surge: surge.clone(),
            ..calm.clone()
        },
        Play {
            name: "all killed for 1 s",
            all_killed: Some(10.0..11.0),
            ..calm.clone()
        },
        Play {
            name: "all killed, 7.5 times",
            all_killed: Some(10.0..11.0),
            surge: surge.clone(),
            ..calm.clone()
        },
        Play {
            name: "a third cut off, 7.5 times",
            cut: Some((third, 5.0..17.0)),
            surge,
            ..calm
        },
    ]
}

fn limit(figures: (f64, u64)) -> RateLimit {
    RateLimit::new(figures.0, figures.1).expect("above zero")
}

fn lent(one: &Play, figures: (f64, u64)) -> Outcome {
    let limit = limit(figures);
    let mut way = Lent::new(limit, &tolerance(), one.nodes);
    play(one, limit, &tolerance(), SEED, &mut way)
}

/// Prints the table of docs/design/quotas.md if run with `--nocapture`.
#[test]
fn lent_tokens_refuse_less_than_parts_do_and_keep_the_limit() {
    println!("nodes, limit, play: worst window, refused below the limit, messages a request");
    println!("| nodes | limit | play | equal parts | parts by demand | lent |");
    for nodes in SIZES {
        for figures in LIMITS {
            for one in plays(nodes) {
                let limit = limit(figures);
                let equal = &mut EqualParts::new(limit, nodes);
                let equal = play(&one, limit, &tolerance(), SEED, equal);
                let by_demand = &mut DemandParts::new(limit, nodes);
                let by_demand = play(&one, limit, &tolerance(), SEED, by_demand);
                let lent = lent(&one, figures);
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
                    figures.0,
                    one.name,
                    cell(equal),
                    cell(by_demand),
                    cell(lent)
                );
                assert!(
                    lent.worst_window <= 1.0,
                    "{nodes} {figures:?} {one:?}: {lent:?}"
                );
            }
        }
    }
}

#[test]
fn calm_tenants_are_not_refused_for_their_limit() {
    for nodes in SIZES {
        for figures in LIMITS {
            for one in plays(nodes).into_iter().take(2) {
                let outcome = lent(&one, figures);
                let refused = outcome.refused_below_limit;
                assert!(
                    refused <= REFUSED_BELOW_LIMIT,
                    "{nodes} {figures:?} {one:?}: {outcome:?}"
                );
            }
        }
    }
}
