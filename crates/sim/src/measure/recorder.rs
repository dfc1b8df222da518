//! Counts everything that the figures of a run are made of.

use std::time::Duration;

use lifthollow_state::{PriorityClass, Timestamp};

use crate::mesh::{KindIndex, Mesh, ServiceIndex};
use crate::world::{Operation, RequestNumber};

/// What is known of one whole request.
#[derive(Clone, Debug)]
pub struct RequestMeasure {
    /// Its kind.
    pub kind: KindIndex,
    /// When its user asked.
    pub arrived: Timestamp,
    /// When it was completed in time; none if it never was.
    pub useful_at: Option<Timestamp>,
    /// Time that back ends worked for it.
    pub back_end_time: Duration,
    /// Attempts beyond the first of each call.
    pub retries: u32,
    /// Visits made in the call tree of each attempt of its client, as bits.
    visits: Vec<u32>,
}

/// Attempts at one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceMeasure {
    /// Attempts sent to it.
    pub attempts: u64,
    /// Visits that attempts were sent for, each counted once for each attempt of
    /// a client.
    pub visits: u64,
}

/// An attempt as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// The service wanted.
    pub service: ServiceIndex,
    /// The piece of the whole request.
    pub operation: Operation,
    /// The client's attempt in whose call tree it stands.
    pub client_attempt: u32,
    /// Whether it is its call's first.
    pub first: bool,
}

/// Counts of one run.
#[derive(Clone, Debug)]
pub struct Recorder {
    /// All whole requests by number.
    pub requests: Vec<RequestMeasure>,
    /// All services by index.
    pub services: Vec<ServiceMeasure>,
    /// Attempts refused by servers, by class.
    pub refused: [u64; PriorityClass::ALL.len()],
    refusal_delays: Vec<Duration>,
}

impl Recorder {
    /// Counts for a mesh, all zero.
    pub fn new(mesh: &Mesh) -> Self {
        Recorder {
            requests: Vec::new(),
            services: vec![ServiceMeasure::default(); mesh.services.len()],
            refused: [0; PriorityClass::ALL.len()],
            refusal_delays: Vec::new(),
        }
    }

    /// A user asked; requests are numbered in this order.
    pub fn request_arrived(&mut self, kind: KindIndex, now: Timestamp) {
        self.requests.push(RequestMeasure {
            kind,
            arrived: now,
            useful_at: None,
            back_end_time: Duration::ZERO,
            retries: 0,
            visits: Vec::new(),
        });
    }

    /// A client has the complete answer.
    pub fn request_completed(&mut self, request: RequestNumber, now: Timestamp, in_time: bool) {
        if in_time {
            self.requests[request.0 as usize].useful_at = Some(now);
        }
    }

    /// An attempt was sent to a service.
    pub fn attempt_sent(&mut self, attempt: &SentAttempt) {
        self.services[attempt.service.0].attempts += 1;
        if !attempt.first {
            self.requests[attempt.operation.request.0 as usize].retries += 1;
        }
        self.count_visit(attempt.service, attempt.operation, attempt.client_attempt);
    }

    fn count_visit(&mut self, service: ServiceIndex, operation: Operation, client_attempt: u32) {
        let visits = &mut self.requests[operation.request.0 as usize].visits;
        let place = client_attempt as usize;
        if visits.len() <= place {
            visits.resize(place + 1, 0);
        }
        let bit = 1 << operation.visit.0;
        if visits[place] & bit == 0 {
            visits[place] |= bit;
            self.services[service.0].visits += 1;
        }
    }

    /// A back end worked for a request.
    pub fn back_end_time(&mut self, request: RequestNumber, time: Duration) {
        self.requests[request.0 as usize].back_end_time += time;
    }

    /// A call was refused or given up this long after its node last had to wait
    /// for anything: for its arrival, or for the end of an attempt.
    pub fn refusal_delay(&mut self, delay: Duration) {
        self.refusal_delays.push(delay);
    }

    /// 99th percentile of the refusal delays in seconds.
    pub fn refusal_delay_p99(&self) -> f64 {
        let mut delays = self.refusal_delays.clone();
        delays.sort_unstable();
        let place = (delays.len() * 99).div_ceil(100).saturating_sub(1);
        delays.get(place).map_or(0.0, Duration::as_secs_f64)
    }

    /// A server's node refused an attempt.
    pub fn refused(&mut self, class: PriorityClass) {
        self.refused[class as usize] += 1;
    }
}
