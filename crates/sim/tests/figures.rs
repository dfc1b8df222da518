//! Figures of runs: the best possible is not exceeded, sweeps and pages are whole.

use lifthollow_coordination::PolicyKind;
use lifthollow_sim::mesh::Mesh;
use lifthollow_sim::report::{compare, write_page};
use lifthollow_sim::scenario::parse_scenario;
use lifthollow_sim::sweep::{Cell, SweepPlan, sweep};

/// Statistical play between the mean that the bound uses and one run.
const PLAY: f64 = 0.02;

const DISTURBED: [&str; 4] = [
    "kind = \"slow\"\ntarget = { service = \"deepest\" }\nfactor = 3.0\nat = 4\nfor = 6",
    "kind = \"surge\"\nfactor = 4.0\nat = 4\nfor = 6",
    "kind = \"errors\"\ntarget = { service = \"deepest\" }\nrate = 0.4\nat = 4\nfor = 6",
    "kind = \"gone\"\ntarget = { side = \"old\" }\nat = 4\nfor = 6",
];

fn cells(mesh: &str, fault: &str, policy: PolicyKind) -> Vec<Cell> {
    let mesh = Mesh::by_name(mesh).unwrap();
    let text = format!("duration_seconds = 12\n[[fault]]\n{fault}\n");
    let plan = SweepPlan {
        scenarios: vec![parse_scenario("test.toml", "test", &text, &mesh).unwrap()],
        mesh,
        policy,
        seeds: 1..=2,
        threads: 2,
    };
    let mut cells = Vec::new();
    sweep(&plan, |cell| cells.push(cell));
    cells
}

#[test]
fn no_policy_exceeds_the_best_possible() {
    for mesh in ["midlands", "sofia"] {
        for fault in DISTURBED {
            for policy in [PolicyKind::Lifthollow, PolicyKind::StaticLimits] {
                let cell = cells(mesh, fault, policy).remove(0);
                let median = cell.goodput_ratio.median.unwrap();
                assert!(median <= 1.0 + PLAY, "{fault}: {cell:?}");
            }
        }
    }
}

#[test]
fn a_sweep_gives_one_cell_with_the_worst_no_better_than_the_median() {
    let cell = cells("sofia", DISTURBED[0], PolicyKind::StaticLimits).remove(0);
    assert_eq!(cell.seeds, 2);
    assert!(cell.goodput_ratio.worst <= cell.goodput_ratio.median);
    assert!(cell.wasted_work_ratio.worst >= cell.wasted_work_ratio.median);
}

#[test]
fn a_page_has_a_plot_for_every_measure_and_scenario() {
    let mesh = Mesh::by_name("sofia").unwrap();
    let text = "duration_seconds = 8\nload = 0.2";
    let scenario = parse_scenario("test.toml", "quiet", text, &mesh).unwrap();
    let comparisons = compare(&mesh, &[scenario], 1, 2);
    let page = write_page(&mesh, 1, &comparisons).unwrap();
    assert_eq!(page.matches("<svg").count(), 7);
    assert!(page.contains("0: quiet"));
}
