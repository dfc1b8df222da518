//! Counts of the requests and retries that a node sent to one service lately, in buckets of a
//! fixed fraction of a window.
//!
//! A window that is checked may begin anywhere inside a bucket, and has not ended.
//! Requests are counted only in buckets that lie completely within the window, retries in all
//! buckets that overlap it, so that the rounding never allows too many retries.

use std::collections::VecDeque;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// Number of buckets in a window.
pub const BUCKETS_PER_WINDOW: u32 = 20;
/// [`BUCKETS_PER_WINDOW`] as a `usize`.
const WINDOW_BUCKETS: usize = BUCKETS_PER_WINDOW as usize;
/// Number of buckets that are kept: as far back as requests count for a window.
const KEPT_BUCKETS: usize = 2 * WINDOW_BUCKETS + 1;
/// Index of the newest of the kept buckets.
const NEWEST: usize = KEPT_BUCKETS - 1;

/// Numbers of requests and retries sent within one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Numbers of requests and retries in the last two windows.
#[derive(Clone, Debug, Default)]
pub struct SentCounts {
    /// The kept buckets, oldest first; at most [`KEPT_BUCKETS`].
    buckets: VecDeque<Bucket>,
    /// Number of the newest bucket, counted from [`Timestamp::ZERO`].
    newest: u64,
}

impl SentCounts {
    /// Counts a request that was sent for the first time. A bucket is `length` long.
    pub fn count_request(&mut self, now: Timestamp, length: Duration) {
        self.current_bucket(now, length).requests += 1;
    }

    /// Counts a retry that was sent. A bucket is `length` long.
    pub fn count_retry(&mut self, now: Timestamp, length: Duration) {
        self.current_bucket(now, length).retries += 1;
    }

    /// The bucket of `now`, which is added if needed. Buckets that are too old are removed.
    fn current_bucket(&mut self, now: Timestamp, length: Duration) -> &mut Bucket {
        let number = bucket_number(now, length);
        let passed = number.saturating_sub(self.newest);
        self.newest = self.newest.max(number);
        if passed >= KEPT_BUCKETS as u64 {
            self.buckets.clear();
        } else {
            let skipped_and_new = passed as usize;
            self.buckets
                .extend(std::iter::repeat_n(Bucket::default(), skipped_and_new));
        }
        if self.buckets.is_empty() {
            self.buckets.push_back(Bucket::default());
        }
        let surplus = self.buckets.len().saturating_sub(KEPT_BUCKETS);
        self.buckets.drain(..surplus);
        self.buckets
            .back_mut()
            .expect("a bucket was added if there was none")
    }

    /// Whether after one more retry every window that has begun has at most `ratio` times its
    /// requests plus `fixed` retries, whatever comes later. A bucket is `length` long.
    pub fn allows_retry(&self, now: Timestamp, length: Duration, ratio: f64, fixed: f64) -> bool {
        let sums = PrefixSums::of(self, bucket_number(now, length));
        let is_within = |requests: u32, retries: u32| {
            f64::from(retries + 1) <= ratio * f64::from(requests) + fixed
        };
        let last_window = NEWEST - WINDOW_BUCKETS;
        let requests_of_last = sums.requests(last_window + 1, NEWEST);
        is_within(requests_of_last, sums.retries(last_window, NEWEST))
            && (last_window..=NEWEST)
                .all(|first| is_within(sums.counted_requests(first), sums.retries(first, NEWEST)))
    }
}

/// Number of the bucket that `now` lies in, counted from [`Timestamp::ZERO`].
fn bucket_number(now: Timestamp, length: Duration) -> u64 {
    (now.saturating_since(Timestamp::ZERO).as_micros() / length.as_micros()) as u64
}

/// Prefix sums over all kept buckets up to a moment, oldest first: each entry holds what was
/// sent before the bucket of its index.
struct PrefixSums {
    requests: [u32; KEPT_BUCKETS + 1],
    retries: [u32; KEPT_BUCKETS + 1],
}

impl PrefixSums {
    /// The sums at a time in the bucket with the number `current`.
    fn of(counts: &SentCounts, current: u64) -> Self {
        let passed = current
            .saturating_sub(counts.newest)
            .min(KEPT_BUCKETS as u64) as usize;
        let known = counts.buckets.len();
        let mut sums = PrefixSums {
            requests: [0; KEPT_BUCKETS + 1],
            retries: [0; KEPT_BUCKETS + 1],
        };
        for index in 0..KEPT_BUCKETS {
            // Number of buckets between this one and the newest that is known.
            let age = (KEPT_BUCKETS - index).checked_sub(passed + 1);
            let position = age.and_then(|age| known.checked_sub(age + 1));
            let bucket = position.map_or(Bucket::default(), |position| counts.buckets[position]);
            sums.requests[index + 1] = sums.requests[index] + bucket.requests;
            sums.retries[index + 1] = sums.retries[index] + bucket.retries;
        }
        sums
    }

    /// The number of requests in the buckets from `first` to `last`.
    fn requests(&self, first: usize, last: usize) -> u32 {
        self.requests[last + 1] - self.requests[first.min(last + 1)]
    }

    /// The number of retries in the buckets from `first` to `last`.
    fn retries(&self, first: usize, last: usize) -> u32 {
        self.retries[last + 1] - self.retries[first]
    }

    /// The number of requests that count for a window that begins in bucket `first`, among
    /// those already sent: the requests of that window, of the window half a window earlier,
    /// or of the window before it, whichever are most.
    fn counted_requests(&self, first: usize) -> u32 {
        let in_window = self.requests(first + 1, NEWEST);
        let middle = (first + WINDOW_BUCKETS / 2 - 1).min(NEWEST);
        let half_window_earlier = self.requests(first - WINDOW_BUCKETS / 2 + 1, middle);
        let window_before = self.requests(first - WINDOW_BUCKETS + 1, first - 1);
        in_window.max(half_window_earlier).max(window_before)
    }
}
