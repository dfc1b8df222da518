//! Tests that the calls are divided between the sides by the table's weights, also
//! while the weights change in small steps.

use lifthollow_coordination::outbound::side_choice::{SideChoice, SideWeights};
use lifthollow_state::Side;
use quickcheck::{TestResult, quickcheck};

/// Number of consecutive calls over which each side must receive its share.
const WINDOW: usize = 200;

fn choose_sides(choice: &mut SideChoice, weights: SideWeights, calls: usize) -> Vec<Side> {
    (0..calls).filter_map(|_| choice.next(weights)).collect()
}

quickcheck! {
    fn every_window_has_its_share_to_within_two_calls(old: u16, new: u16, phase: i8) -> TestResult {
        let weights = SideWeights { old: u32::from(old), new: u32::from(new) };
        if weights.total() == 0 {
            return TestResult::discard();
        }
        let mut choice = SideChoice::with_phase(f64::from(phase) / 256.0);
        let sides = choose_sides(&mut choice, weights, 3 * WINDOW);
        let expected = WINDOW as f64 * f64::from(old) / weights.total() as f64;
        let within_two = sides.windows(WINDOW).all(|window| {
            let old_calls = window.iter().filter(|side| **side == Side::Old).count();
            (old_calls as f64 - expected).abs() < 2.0
        });
        TestResult::from_bool(within_two)
    }

    fn small_change_of_a_weight_causes_no_burst(steps: Vec<u8>) -> bool {
        let mut choice = SideChoice::default();
        let mut credit_of_old = 0.0_f64;
        steps.iter().all(|step| {
            let new = u32::from(step % 101);
            let weights = SideWeights { old: 100 - new, new };
            choose_sides(&mut choice, weights, 20).into_iter().all(|side| {
                credit_of_old += f64::from(weights.old) / 100.0;
                if side == Side::Old { credit_of_old -= 1.0; }
                credit_of_old.abs() < 2.0
            })
        })
    }
}

#[test]
fn side_without_weight_gets_no_calls() {
    let mut choice = SideChoice::default();
    let only_new = SideWeights { old: 0, new: 5 };
    assert!(
        choose_sides(&mut choice, only_new, 50)
            .iter()
            .all(|side| *side == Side::New)
    );
    assert_eq!(choice.next(SideWeights::default()), None);
}
