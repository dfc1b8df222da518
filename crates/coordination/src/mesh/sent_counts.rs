//! What a node sent to one service lately, counted in parts of a window.
//!
//! A window that is judged may begin anywhere inside a part, and has not ended.
//! Requests are counted only in parts that lie in it as a whole, repeats in all that
//! it touches, so that the rounding never allows too much.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// Parts of a window.
pub const PARTS: u32 = 20;
/// Parts in a window, and in two of them: as far back as requests count.
const WINDOW: i64 = PARTS as i64;
const REMEMBERED: usize = 2 * PARTS as usize + 1;

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
    /// Time has come to `now`; a part is `length` long.
    pub fn advance(&mut self, now: Timestamp, length: Duration) {
        let current =
            (now.saturating_since(Timestamp::ZERO).as_micros() / length.as_micros()) as u64;
        let passed = current.saturating_sub(self.newest);
        self.newest = self.newest.max(current);
        if self.parts.is_empty() || passed >= REMEMBERED as u64 {
            self.parts.clear();
            self.parts.push_back(Part::default());
            return;
        }
        for _ in 0..passed {
            self.parts.push_back(Part::default());
        }
        while self.parts.len() > REMEMBERED {
            self.parts.pop_front();
        }
    }

    /// A request was sent for the first time.
    pub fn note_request(&mut self) {
        if let Some(part) = self.parts.back_mut() {
            part.requests += 1;
        }
    }

    /// A repeat was sent.
    pub fn note_repeat(&mut self) {
        if let Some(part) = self.parts.back_mut() {
            part.repeats += 1;
        }
    }

    /// Whether one more repeat leaves every window that has begun with at most
    /// `ratio` times its requests and `fixed` besides, whatever comes later.
    pub fn allows_repeat(&self, ratio: f64, fixed: f64) -> bool {
        let is_within = |requests: u32, repeats: u32| {
            f64::from(repeats + 1) <= ratio * f64::from(requests) + fixed
        };
        if f64::from(self.repeats(1 - REMEMBERED as i64..=0) + 1) <= fixed {
            return true;
        }
        let of_last_window = self.requests(1 - WINDOW..=0);
        is_within(of_last_window, self.repeats(-WINDOW..=0))
            && (-WINDOW..=0)
                .all(|first| is_within(self.requests_counted(first), self.repeats(first..=0)))
    }

    /// The requests that count for a window that begins in part `first` (0 is the
    /// newest one, those before it are negative), as far as they were sent.
    fn requests_counted(&self, first: i64) -> u32 {
        let in_it = self.requests(first + 1..=0);
        let half_before = self.requests(first - WINDOW / 2 + 1..=first + WINDOW / 2 - 1);
        let before = self.requests(first - WINDOW + 1..=first - 1);
        in_it.max(half_before).max(before)
    }

    fn requests(&self, parts: RangeInclusive<i64>) -> u32 {
        self.those_in(parts).map(|part| part.requests).sum()
    }

    fn repeats(&self, parts: RangeInclusive<i64>) -> u32 {
        self.those_in(parts).map(|part| part.repeats).sum()
    }

    fn those_in(&self, parts: RangeInclusive<i64>) -> impl Iterator<Item = &Part> {
        let last = self.parts.len() as i64 - 1;
        let from = (last + parts.start()).max(0);
        let to = (last + parts.end()).min(last);
        let count = (to - from + 1).max(0) as usize;
        self.parts.iter().skip(from as usize).take(count)
    }
}
