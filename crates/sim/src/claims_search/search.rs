//! Plays many histories and shrinks the first that breaks a promise.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use quickcheck::{Arbitrary, Gen};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Variant;
use super::history::History;
use super::observer::{Tallies, Violation};
use super::world::play;

/// Threads that play histories.
const THREADS: u64 = 4;
/// Histories tried while shrinking.
const MAX_SHRINK_TRIALS: usize = 20_000;
/// Passed to `quickcheck`; the generators here do not depend on it.
const GENERATOR_SIZE: usize = 100;

/// What to search.
#[derive(Clone, Copy, Debug)]
pub struct SearchSettings {
    /// Histories to play at most.
    pub histories: u64,
    /// Seed of all histories.
    pub seed: u64,
    /// What is played.
    pub variant: Variant,
}

/// A history that breaks a promise.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Histories played until it was found, itself included.
    pub histories_needed: u64,
    /// The history as it was made up.
    pub found: History,
    /// A shorter history that breaks a promise too.
    pub shrunk: History,
    /// The promise that the shorter one breaks.
    pub violation: Violation,
}

/// What a search came to.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// Histories played.
    pub histories: u64,
    /// What happened in them.
    pub tallies: Tallies,
    /// The first history that breaks a promise.
    pub finding: Option<Finding>,
}

/// The history with a number.
pub fn history(seed: u64, number: u64) -> History {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    let mut source = Gen::from_size_and_seed(GENERATOR_SIZE, random.random());
    History::arbitrary(&mut source)
}

/// Searches. The report does not depend on how the threads take turns, except
/// for the tallies of a search that found something.
pub fn search(settings: SearchSettings) -> SearchReport {
    let first_found = AtomicU64::new(u64::MAX);
    let parts: Vec<Part> = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|offset| {
                let first_found = &first_found;
                scope.spawn(move || play_part(settings, offset, first_found))
            })
            .collect();
        let joined = workers.into_iter().map(|worker| worker.join());
        joined
            .map(|part| part.expect("a worker panicked"))
            .collect()
    });
    let mut tallies = Tallies::default();
    parts.iter().for_each(|part| tallies.add(part.tallies));
    let number = first_found.into_inner();
    SearchReport {
        histories: parts.iter().map(|part| part.histories).sum(),
        tallies,
        finding: (number != u64::MAX)
            .then(|| finding(settings, number))
            .flatten(),
    }
}

#[derive(Debug, Default)]
struct Part {
    histories: u64,
    tallies: Tallies,
}

/// Plays every [`THREADS`]th history, up to the first that any thread finds.
fn play_part(settings: SearchSettings, offset: u64, first_found: &AtomicU64) -> Part {
    let mut part = Part::default();
    for number in (offset..settings.histories).step_by(THREADS as usize) {
        if number > first_found.load(Ordering::Relaxed) {
            break;
        }
        let observer = play(&history(settings.seed, number), settings.variant);
        part.histories += 1;
        part.tallies.add(observer.tallies());
        if observer.violation().is_some() {
            first_found.fetch_min(number, Ordering::Relaxed);
        }
    }
    part
}

fn finding(settings: SearchSettings, number: u64) -> Option<Finding> {
    let found = history(settings.seed, number);
    let shrunk = shrink(found.clone(), settings.variant);
    let violation = play(&shrunk, settings.variant).violation()?;
    Some(Finding {
        histories_needed: number + 1,
        found,
        shrunk,
        violation,
    })
}

/// Takes the first shorter history that still breaks a promise, until none does.
fn shrink(mut failing: History, variant: Variant) -> History {
    let mut trials = 0;
    loop {
        let candidates = failing.shrink().inspect(|_| trials += 1);
        let breaks = |candidate: &History| play(candidate, variant).violation().is_some();
        let next = candidates.take(MAX_SHRINK_TRIALS).find(breaks);
        match next {
            Some(shorter) if trials < MAX_SHRINK_TRIALS => failing = shorter,
            _ => return failing,
        }
    }
}
