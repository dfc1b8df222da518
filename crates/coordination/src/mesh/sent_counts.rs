//! What a node sent to one service lately, counted in parts of a window.
//!
//! A window that is judged may begin anywhere inside a part, and has not ended.
//! Requests are counted only in parts that lie in it as a whole, repeats in all that
//! it touches, so that the rounding never allows too much.

use std::collections::VecDeque;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// Parts of a window.
pub const PARTS: u32 = 20;
const WINDOW: usize = PARTS as usize;
/// Parts that are remembered: as far back as requests count for a window.
const REMEMBERED: usize = 2 * WINDOW + 1;
/// The newest of the remembered parts.
const NEWEST: usize = REMEMBERED - 1;

/// What was sent in one part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of the last two windows.
#[derive(Clone, Debug, Default)]
pub struct SentCounts {
    /// The newest part comes last; at most [`REMEMBERED`].
    parts: VecDeque<Part>,
    /// Number of the newest part since the beginning of time.
    newest: u64,
}

impl SentCounts {
    /// A request was sent for the first time. A part is `length` long.
    pub fn note_request(&mut self, now: Timestamp, length: Duration) {
        self.current(now, length).requests += 1;
    }

    /// A repeat was sent.
    pub fn note_repeat(&mut self, now: Timestamp, length: Duration) {
        self.current(now, length).repeats += 1;
    }

    fn current(&mut self, now: Timestamp, length: Duration) -> &mut Part {
        let number = number_at(now, length);
        let passed = number.saturating_sub(self.newest);
        self.newest = self.newest.max(number);
        if passed >= REMEMBERED as u64 {
            self.parts.clear();
        } else {
            let others = passed as usize;
            self.parts
                .extend(std::iter::repeat_n(Part::default(), others));
        }
        if self.parts.is_empty() {
            self.parts.push_back(Part::default());
        }
        let surplus = self.parts.len().saturating_sub(REMEMBERED);
        self.parts.drain(..surplus);
        self.parts
            .back_mut()
            .expect("one was added if there was none")
    }

    /// Whether one more repeat leaves every window that has begun with at most
    /// `ratio` times its requests and `fixed` besides, whatever comes later.
    pub fn allows_repeat(&self, now: Timestamp, length: Duration, ratio: f64, fixed: f64) -> bool {
        let sums = Sums::of(self, number_at(now, length));
        let is_within = |requests: u32, repeats: u32| {
            f64::from(repeats + 1) <= ratio * f64::from(requests) + fixed
        };
        let last_window = NEWEST - WINDOW;
        let requests_of_last = sums.requests(last_window + 1, NEWEST);
        is_within(requests_of_last, sums.repeats(last_window, NEWEST))
            && (last_window..=NEWEST)
                .all(|first| is_within(sums.requests_counted(first), sums.repeats(first, NEWEST)))
    }
}

/// Number of the part that `now` lies in.
fn number_at(now: Timestamp, length: Duration) -> u64 {
    (now.saturating_since(Timestamp::ZERO).as_micros() / length.as_micros()) as u64
}

/// Sums over all parts that are remembered up to a moment, oldest first; each holds
/// what was sent before the part of its index.
struct Sums {
    requests: [u32; REMEMBERED + 1],
    repeats: [u32; REMEMBERED + 1],
}

impl Sums {
    /// As of the part `current`.
    fn of(counts: &SentCounts, current: u64) -> Self {
        let passed = current.saturating_sub(counts.newest).min(REMEMBERED as u64) as usize;
        let known = counts.parts.len();
        let mut sums = Sums {
            requests: [0; REMEMBERED + 1],
            repeats: [0; REMEMBERED + 1],
        };
        for index in 0..REMEMBERED {
            // How many parts lie between this one and the newest that is known.
            let age = (REMEMBERED - index).checked_sub(passed + 1);
            let place = age.and_then(|age| known.checked_sub(age + 1));
            let part = place.map_or(Part::default(), |place| counts.parts[place]);
            sums.requests[index + 1] = sums.requests[index] + part.requests;
            sums.repeats[index + 1] = sums.repeats[index] + part.repeats;
        }
        sums
    }

    /// Requests in the parts from `first` to `last`.
    fn requests(&self, first: usize, last: usize) -> u32 {
        self.requests[last + 1] - self.requests[first.min(last + 1)]
    }

    /// Repeats in the parts from `first` to `last`.
    fn repeats(&self, first: usize, last: usize) -> u32 {
        self.repeats[last + 1] - self.repeats[first]
    }

    /// The requests that count for a window that begins in part `first`, as far as
    /// they were sent: of the window, of that half a window earlier, or of the one
    /// before it.
    fn requests_counted(&self, first: usize) -> u32 {
        let in_it = self.requests(first + 1, NEWEST);
        let middle = (first + WINDOW / 2 - 1).min(NEWEST);
        let half_before = self.requests(first - WINDOW / 2 + 1, middle);
        let before = self.requests(first - WINDOW + 1, first - 1);
        in_it.max(half_before).max(before)
    }
}
