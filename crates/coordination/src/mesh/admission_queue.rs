//! The queue at the node beside a server.
//!
//! The server never has more requests than it works on at once, so requests wait
//! here, where they are ordered by rank and can still be refused as not run. A
//! request whose turn would come later than it can wait is refused on arrival.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::latency::LatencyEstimate;

/// How requests are ordered: first by class (lower first), then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u16);

/// Names a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of a request that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now; [`AdmissionQueue::finish`] must follow.
    Run,
    /// It waits until [`AdmissionQueue::finish`] names it.
    Wait(Ticket),
    /// It is refused. The caller may come back after this time.
    Refuse {
        /// When there may be room.
        retry_after: Duration,
    },
}

/// What a server's node tells callers' nodes of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests at the server.
    pub running: u32,
    /// Requests that wait at its node.
    pub waiting: u32,
    /// Requests that may be at the server at once.
    pub limit: u32,
}

/// Requests for one server.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limit: u32,
    running: u32,
    next_ticket: u64,
    waiting: BTreeMap<(Rank, Ticket), Timestamp>,
    service_time: LatencyEstimate,
    /// When the server last answered, or began to have something to answer.
    responsive: Timestamp,
    /// When the last request was let to a silent server.
    tried: Timestamp,
}

/// A server that answers nothing is not called silent before this time.
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// A silent server gets one request in this time.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Without samples a run is taken to last this long.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Callers are asked to come back no sooner than this.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Callers are asked to come back no later than this.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);

impl AdmissionQueue {
    /// An empty queue for a server that takes `limit` requests at once.
    pub fn new(limit: u32) -> Self {
        AdmissionQueue {
            limit: limit.max(1),
            running: 0,
            next_ticket: 0,
            waiting: BTreeMap::new(),
            service_time: LatencyEstimate::default(),
            responsive: Timestamp::ZERO,
            tried: Timestamp::ZERO,
        }
    }

    /// Sets how many requests may be at the server at once. Returns those that
    /// may run now.
    pub fn set_limit(&mut self, now: Timestamp, limit: u32) -> Vec<Ticket> {
        self.limit = limit.max(1);
        self.start_waiting(now)
    }

    /// The load here.
    pub fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.running,
            waiting: self.waiting.len() as u32,
            limit: self.limit,
        }
    }

    /// A request wants to run and can wait for `patience`.
    pub fn offer(&mut self, now: Timestamp, rank: Rank, patience: Duration) -> Admission {
        if self.running < self.limit {
            self.start(now);
            return Admission::Run;
        }
        let wait = self.expected_wait(rank);
        if wait > patience {
            let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Admission::Refuse { retry_after };
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert((rank, ticket), now + patience);
        Admission::Wait(ticket)
    }

    /// Whether the server has had requests for a while and answered none of them.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let silence = (self.service_time.high() * 2).max(MIN_SILENCE);
        self.running > 0 && now.saturating_since(self.responsive) > silence
    }

    /// Whether a request may be let to the server: one that is silent gets one
    /// now and then, to see whether it answers again.
    pub fn may_try(&mut self, now: Timestamp) -> bool {
        if !self.is_silent(now) {
            return true;
        }
        if now.saturating_since(self.tried) < TRIAL_INTERVAL {
            return false;
        }
        self.tried = now;
        true
    }

    /// The server answered something.
    pub fn answered(&mut self, now: Timestamp) {
        self.responsive = now;
    }

    /// The server has started: that it answered nothing before says nothing of it.
    pub fn server_started(&mut self, now: Timestamp) {
        self.responsive = now;
    }

    /// A request stopped waiting. False if it was not waiting any more: then it
    /// counts as running.
    pub fn withdraw(&mut self, rank: Rank, ticket: Ticket) -> bool {
        self.waiting.remove(&(rank, ticket)).is_some()
    }

    /// A run ended after `ran_for`, if that is worth remembering. Returns those
    /// that may run now.
    pub fn finish(&mut self, now: Timestamp, ran_for: Option<Duration>) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        if let Some(ran_for) = ran_for {
            self.service_time.observe(now, ran_for);
        }
        self.start_waiting(now)
    }

    /// How long a request of `rank` would wait.
    pub fn expected_wait(&self, rank: Rank) -> Duration {
        let ahead = self
            .waiting
            .range(..=(rank, Ticket(u64::MAX)))
            .count()
            .saturating_add(1);
        let service_time = if self.service_time.is_known() {
            self.service_time.mean()
        } else {
            ASSUMED_SERVICE_TIME
        };
        service_time.mul_f64(ahead as f64 / f64::from(self.limit))
    }

    fn start(&mut self, now: Timestamp) {
        if self.running == 0 {
            self.responsive = now;
        }
        self.running += 1;
    }

    fn start_waiting(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running < self.limit {
            let Some(((_, ticket), _)) = self.waiting.pop_first() else {
                break;
            };
            self.start(now);
            started.push(ticket);
        }
        started
    }
}
