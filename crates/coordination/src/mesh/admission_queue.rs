//! The admission queue that a node keeps for its local server.
//!
//! The server never gets more requests than its concurrency limit. The others wait
//! here, where they are ordered by rank and can still be refused as not run. A
//! request whose expected wait exceeds its maximum wait is refused on arrival.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RequestRate;

use crate::latency::LatencyEstimate;
use crate::mesh::rate_limits::RateLimiter;

/// Order of requests in the queue: lower ranks run first, and requests of equal rank run in order
/// of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u16);

/// Identifies a request that waits in the queue; later arrivals have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The admission decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now. [`AdmissionQueue::finish`] must be called when it ends.
    Run,
    /// The request waits until a call such as [`AdmissionQueue::finish`] returns its ticket.
    Wait(Ticket),
    /// The request is refused and has not run.
    Refuse {
        /// Time after which the caller may retry, as the server may have a free slot then.
        retry_after: Duration,
    },
}

/// The load of a server, as its node reports it to the nodes of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Number of requests that the server is running.
    pub running: u32,
    /// Number of requests that wait in the queue of the server's node.
    pub waiting: u32,
    /// Maximum number of requests that the server runs concurrently.
    pub limit: u32,
}

/// The running and waiting requests of one server.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limit: u32,
    running: u32,
    next_ticket: u64,
    waiting: BTreeMap<(Rank, Ticket), Timestamp>,
    service_time: LatencyEstimate,
    /// Limits the request rate if the server has announced a rate limit.
    rate_limiter: RateLimiter,
    /// When the server last answered, started, or got a request while it was idle.
    last_response: Timestamp,
    /// When an unresponsive server was last sent a trial request.
    last_trial: Timestamp,
}

/// Minimum time without an answer after which a server counts as unresponsive.
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// An unresponsive server is sent at most one trial request per interval of this length.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Assumed duration of a run while no runs have been measured.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Minimum retry delay that refused callers are given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum retry delay that refused callers are given while the server is below its rate limit.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Maximum retry delay that refused callers are given while the server is at its rate limit.
const MAX_RETRY_AFTER_AT_LIMIT: Duration = Duration::from_secs(10);
/// Factor applied to the expected wait for the server's rate limit: a request that is overtaken in
/// the queue needs time left to try another server.
const TOKEN_WAIT_FACTOR: f64 = 1.3;

impl AdmissionQueue {
    /// Creates an empty queue for a server that runs up to `limit` requests concurrently.
    pub fn new(limit: u32) -> Self {
        AdmissionQueue {
            limit: limit.max(1),
            running: 0,
            next_ticket: 0,
            waiting: BTreeMap::new(),
            service_time: LatencyEstimate::default(),
            rate_limiter: RateLimiter::default(),
            last_response: Timestamp::ZERO,
            last_trial: Timestamp::ZERO,
        }
    }

    /// Sets the maximum number of requests that the server runs concurrently. Returns the
    /// tickets of waiting requests that now run.
    pub fn set_limit(&mut self, now: Timestamp, limit: u32) -> Vec<Ticket> {
        self.limit = limit.max(1);
        self.start_waiting(now)
    }

    /// The current load of the server and the queue.
    pub fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.running,
            waiting: self.waiting.len() as u32,
            limit: self.limit,
        }
    }

    /// Records that the server answered and announced this rate limit, or none. Returns the tickets
    /// of waiting requests that now run.
    pub fn set_rate_limit(&mut self, now: Timestamp, limit: Option<RequestRate>) -> Vec<Ticket> {
        self.rate_limiter.set_announced_limit(now, limit);
        self.start_waiting(now)
    }

    /// Records that this rate limit of the server was reported to other nodes.
    pub fn note_limit_told_to_others(&mut self, now: Timestamp, limit: RequestRate) {
        self.rate_limiter.note_limit_told_to_others(now, limit);
    }

    /// Whether the server is at its announced rate limit, so that no request may start now.
    pub fn is_at_rate_limit(&self, now: Timestamp) -> bool {
        !self.rate_limiter.has_token(now)
    }

    /// The time until the server's rate limit admits another request; `None` if the server has
    /// announced no limit.
    pub fn time_until_token(&self, now: Timestamp) -> Option<Duration> {
        let is_limited = self.rate_limiter.is_limited();
        is_limited.then(|| self.rate_limiter.time_until(now, 1))
    }

    /// The time until the rate limit admits the next waiting request; `None` unless requests wait
    /// only for the rate limit.
    pub fn next_start(&self, now: Timestamp) -> Option<Duration> {
        let waits =
            self.rate_limiter.is_limited() && !self.waiting.is_empty() && self.has_free_slot();
        waits.then(|| self.rate_limiter.time_until(now, 1))
    }

    /// Waiting requests whose expected wait under the current rate limit exceeds their maximum
    /// wait. They should be refused at once, while they still have time to try another server. A
    /// request doesn't wait for the tokens of those that are refused.
    pub fn waits_exceeding_patience(&self, now: Timestamp) -> Vec<Ticket> {
        if !self.rate_limiter.is_limited() {
            return Vec::new();
        }
        let mut token = 1;
        let mut exceeding = Vec::new();
        for ((_, ticket), until) in &self.waiting {
            if now + self.token_wait(now, token) > *until {
                exceeding.push(*ticket);
            } else {
                token += 1;
            }
        }
        exceeding
    }

    /// The load relative to whichever limit applies. If the server has announced a rate limit, its
    /// slots are those that it uses at that rate.
    pub fn occupancy_under_rate_limit(&self, now: Timestamp) -> Occupancy {
        let load = self.occupancy();
        let Some(slots) = self
            .rate_limiter
            .concurrency_at_limit(self.expected_service_time())
        else {
            return load;
        };
        let is_full = !self.rate_limiter.has_token(now) || !self.has_free_slot();
        Occupancy {
            running: if is_full { slots } else { 0 },
            limit: slots,
            ..load
        }
    }

    /// Decides on a new request that can wait for up to `patience`: runs, queues or refuses it.
    pub fn admit(&mut self, now: Timestamp, rank: Rank, patience: Duration) -> Admission {
        if self.has_free_slot() && self.is_first_in_queue(rank) && self.rate_limiter.try_take(now) {
            self.occupy_slot(now);
            return Admission::Run;
        }
        let wait = self.expected_wait(now, rank);
        if wait > patience {
            return Admission::Refuse {
                retry_after: self.retry_after(now, wait),
            };
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert((rank, ticket), now + patience);
        Admission::Wait(ticket)
    }

    /// Whether the server is unresponsive: it has had running requests for a while and answered
    /// none.
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        let silence = (self.service_time.upper_bound() * 2).max(MIN_SILENCE);
        self.running > 0 && now.saturating_since(self.last_response) > silence
    }

    /// Whether a request may be sent to the server. An unresponsive server is sent a trial
    /// request once per `TRIAL_INTERVAL`, to detect when it answers again.
    pub fn allows_attempt(&mut self, now: Timestamp) -> bool {
        if !self.is_unresponsive(now) {
            return true;
        }
        if now.saturating_since(self.last_trial) < TRIAL_INTERVAL {
            return false;
        }
        self.last_trial = now;
        true
    }

    /// Records that the server answered a request.
    pub fn note_answer(&mut self, now: Timestamp) {
        self.last_response = now;
    }

    /// Records that the server has started, so that missing answers of its former run don't count.
    pub fn note_server_start(&mut self, now: Timestamp) {
        self.last_response = now;
    }

    /// Resets the rate limit because the server restarted or was replaced by another one.
    pub fn reset_rate_limit(&mut self) {
        self.rate_limiter.reset_after_restart();
    }

    /// Removes a request that stopped waiting. Returns false if it was no longer waiting:
    /// then it counts as running.
    pub fn withdraw(&mut self, rank: Rank, ticket: Ticket) -> bool {
        self.waiting.remove(&(rank, ticket)).is_some()
    }

    /// Releases the slot of a request that was admitted but never reached the server. Returns the
    /// tickets of waiting requests that now run.
    pub fn release_unused_slot(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.rate_limiter.return_unused_token();
        self.finish(now, None)
    }

    /// Releases the slot of a run that ended. `ran_for` is its duration if that should count in
    /// the estimate of the service time. Returns the tickets of waiting requests that now run.
    pub fn finish(&mut self, now: Timestamp, ran_for: Option<Duration>) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        if let Some(ran_for) = ran_for {
            self.service_time.observe(now, ran_for);
        }
        self.start_waiting(now)
    }

    /// The expected queueing time of a new request of `rank`.
    pub fn expected_wait(&self, now: Timestamp, rank: Rank) -> Duration {
        let ahead = self
            .waiting
            .range(..=(rank, Ticket(u64::MAX)))
            .count()
            .saturating_add(1);
        let token_wait_time = self.token_wait(now, ahead);
        if self.has_free_slot() {
            return token_wait_time;
        }
        let service_time = self.expected_service_time();
        let slot_wait_time = service_time.mul_f64(ahead as f64 / f64::from(self.limit));
        slot_wait_time.max(token_wait_time)
    }

    /// The time within which a new request of `rank` should get the next free slot: the duration of a
    /// run if no request of this rank or a better one waits. Zero if there is one, or if the request
    /// would wait for the rate limit.
    pub fn next_slot_wait(&self, rank: Rank) -> Duration {
        match self.is_first_in_queue(rank) && !self.rate_limiter.is_limited() {
            true => self.expected_service_time(),
            false => Duration::ZERO,
        }
    }

    /// The retry delay for a refused request that would have waited for `wait`. The maximum is
    /// longer at the rate limit, which stays in force for longer than all slots stay taken.
    fn retry_after(&self, now: Timestamp, wait: Duration) -> Duration {
        let max_retry_after = match self.rate_limiter.has_token(now) {
            true => MAX_RETRY_AFTER,
            false => MAX_RETRY_AFTER_AT_LIMIT,
        };
        wait.clamp(MIN_RETRY_AFTER, max_retry_after)
    }

    /// The wait for the `count`-th token of the rate limit, including a margin.
    fn token_wait(&self, now: Timestamp, count: usize) -> Duration {
        self.rate_limiter
            .time_until(now, count)
            .mul_f64(TOKEN_WAIT_FACTOR)
    }

    /// The mean duration of a run, or [`ASSUMED_SERVICE_TIME`] if none has been measured.
    fn expected_service_time(&self) -> Duration {
        match self.service_time.has_samples() {
            true => self.service_time.mean(),
            false => ASSUMED_SERVICE_TIME,
        }
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.limit
    }

    /// Whether a new request of `rank` would be the first in the queue.
    fn is_first_in_queue(&self, rank: Rank) -> bool {
        let first = self.waiting.first_key_value();
        first.is_none_or(|((first, _), _)| rank < *first)
    }

    /// Takes a slot for a request that starts now.
    fn occupy_slot(&mut self, now: Timestamp) {
        if self.running == 0 {
            self.last_response = now;
        }
        self.running += 1;
    }

    /// Starts waiting requests while there are free slots and the rate limit admits them. Returns
    /// their tickets.
    pub fn start_waiting(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.has_free_slot() && !self.waiting.is_empty() && self.rate_limiter.try_take(now) {
            let Some(((_, ticket), _)) = self.waiting.pop_first() else {
                break;
            };
            self.occupy_slot(now);
            started.push(ticket);
        }
        started
    }
}
