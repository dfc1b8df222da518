//! Words for people.

use super::promises::Promises;

/// A share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Prints verdicts; returns those that are broken.
pub fn print_promises(promises: &Promises) -> Vec<String> {
    println!("Promises, from what clients were told and what back ends ran:");
    let mut broken = Vec::new();
    for (name, verdict) in promises.verdicts() {
        println!(
            "  {name}: {} checked, {} broken",
            verdict.checked, verdict.broken
        );
        for example in &verdict.examples {
            println!("    {example}");
        }
        if verdict.broken > 0 {
            broken.push(format!("{name} broken {} times", verdict.broken));
        }
    }
    broken
}
