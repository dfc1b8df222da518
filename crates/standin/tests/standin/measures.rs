//! The users' measures on seconds made by hand.

use lifthollow_standin::experiment::measures::{Disturbance, Measures};
use lifthollow_standin::experiment::mesh::Mesh;
use lifthollow_standin::load::{ClassCounts, Counts, SecondLine};

fn seconds(lines: &[(u64, u64)]) -> Vec<SecondLine> {
    let line = |(second, &(offered, goodput)): (usize, &(u64, u64))| SecondLine {
        second: second as u64,
        counts: Counts {
            offered,
            goodput,
            classes: [("critical".to_owned(), ClassCounts { offered, goodput })].into(),
            ..Counts::default()
        },
    };
    lines.iter().enumerate().map(line).collect()
}

const DISTURBANCE: Disturbance = Disturbance {
    start: 2,
    end: 4,
    capacity: 150.0,
    normal_capacity: 150.0,
};

#[test]
fn goodput_counts_against_what_could_be_served() {
    let lines = [(100, 0), (100, 100), (300, 120), (300, 120), (100, 60)];
    let measures = Measures::of(&seconds(&lines), &DISTURBANCE);
    assert_eq!(measures.goodput_ratio, 300.0 / 400.0);
    assert_eq!(measures.critical_lost_ratio, 400.0 / 700.0);
    assert_eq!(measures.goodput_before, 100.0);
    assert_eq!(measures.goodput_during, 120.0);
}

#[test]
fn recovery_needs_five_normal_seconds() {
    let mut lines = vec![(100, 100), (100, 100), (300, 50), (300, 50)];
    lines.extend([
        (100, 96),
        (100, 90),
        (100, 95),
        (90, 86),
        (100, 99),
        (100, 96),
    ]);
    let unfinished = Measures::of(&seconds(&lines), &DISTURBANCE);
    assert_eq!(unfinished.recovery_seconds, None);
    lines.push((100, 97));
    let measures = Measures::of(&seconds(&lines), &DISTURBANCE);
    assert_eq!(measures.recovery_seconds, Some(2));
}

#[test]
fn capacity_follows_the_call_chains() {
    let mesh = Mesh::sofia();
    assert_eq!(mesh.calls_to("topup", "receipts"), 2.0);
    assert_eq!(mesh.calls_to("voucher", "topup"), 0.0);
    let normal = mesh.capacity(2, "", 1.0);
    let slowed = mesh.capacity(2, "receipts", 6.0);
    assert!((normal - 20.0 / 0.045).abs() < 1e-6);
    assert!(slowed < normal / 2.0);
}
