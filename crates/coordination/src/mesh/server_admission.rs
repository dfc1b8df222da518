//! Admission of attempts to a node's local server: combines the individual decisions.
//!
//! These are checked for an attempt, in this order: whether the server is responsive; whether it
//! fails many requests while another server has free slots ([`ServerHealth`]); what the downstream
//! services that the request needs admit; the rate limit that the server announces; free slots; the
//! queue. Each step can refuse the attempt at once. Refusals by the queue raise the admission
//! level that is reported to callers' nodes ([`AdmissionThreshold`]).

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::mesh::{InstanceId, RequestRate, ServerNotice};
use lifthollow_state::{Priority, ServiceName, Timestamp};

use crate::backpressure::{CallGraph, CallSource, downstream_level};
use crate::inbound::InboundId;
use crate::inbound::admission_threshold::{self, AdmissionThreshold};
use crate::mesh::admission_level::{level_at_server, queue_rank, tree_level_of_nested};
use crate::mesh::admission_queue::{Admission, AdmissionQueue, Occupancy, Ticket};
use crate::mesh::call::NotRunReason;
use crate::mesh::processor_admission::ProcessorAdmission;
use crate::mesh::request_tree::{Parent, RunningRequests};
use crate::mesh::server_health::{RunEnd, ServerHealth};

/// An attempt that has arrived at the node of the server that should run it.
#[derive(Clone, Debug)]
pub struct ArrivingAttempt {
    /// The request ID that the caller has assigned.
    pub request_id: String,
    /// The priority of the request, which determines the order of load shedding.
    pub priority: Priority,
    /// Whether another server made the attempt, for a request that it runs.
    pub is_nested: bool,
    /// Whether a server may already have run the request, or the request that a nested call is
    /// made for.
    pub is_retry: bool,
    /// When the caller's node stops waiting for the answer.
    pub deadline: Timestamp,
    /// Maximum time that the attempt can wait in the queue.
    pub max_wait: Duration,
    /// The zone in which the request originated.
    pub zone: String,
    /// Whether another server has free slots for the attempt.
    pub has_alternative: bool,
}

/// The admission decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The attempt runs now.
    Run,
    /// The attempt waits until a call such as [`ServerAdmission::finish`] returns its ticket.
    Wait(Ticket),
    /// The attempt is refused and is not run.
    Refuse {
        /// Why the attempt is refused.
        reason: NotRunReason,
        /// Time after which the caller may retry; `None` if no time is known.
        retry_after: Option<Duration>,
    },
}

/// While a needed downstream service has no server, one request per interval of this length is
/// still run: the services that runs need are learned from runs, and may have changed.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// Number of attempts that may wait before the admission level rises, relative to the square
/// root of the number that run. Runs are short compared to the time that a request has.
const TARGET_QUEUE: f64 = 2.5;

/// Admission state of one server.
#[derive(Debug)]
pub struct ServerAdmission {
    service: ServiceName,
    queue: AdmissionQueue,
    threshold: AdmissionThreshold,
    processor: ProcessorAdmission,
    graph: CallGraph,
    running: RunningRequests,
    health: ServerHealth,
    next_run: u64,
    /// The last known instance of the local server; each start of a server is an instance.
    server: Option<InstanceId>,
    /// The last notice of the server: its rate limit, and whether it is leaving.
    notice: ServerNotice,
    /// When a request was last run although a service that it needs has no server.
    last_trial: Timestamp,
}

impl ServerAdmission {
    /// Creates the admission to a server of `service` that runs up to `limit` requests
    /// concurrently.
    pub fn new(service: &str, limit: u32) -> Self {
        ServerAdmission {
            service: ServiceName::new(service),
            queue: AdmissionQueue::new(limit),
            threshold: AdmissionThreshold::with_target_queue(TARGET_QUEUE),
            processor: ProcessorAdmission::default(),
            graph: CallGraph::default(),
            running: RunningRequests::default(),
            health: ServerHealth::default(),
            next_run: 0,
            server: None,
            notice: ServerNotice::default(),
            last_trial: Timestamp::ZERO,
        }
    }

    /// Sets the maximum number of requests that the server runs concurrently. Returns the
    /// tickets of waiting attempts that now run.
    pub fn set_limit(&mut self, now: Timestamp, limit: u32) -> Vec<Ticket> {
        self.queue.set_limit(now, limit)
    }

    /// Records that the local server is another instance: another server, or a restart of the same
    /// one. Its failures and responsiveness are not known yet, so what was known of the former is
    /// discarded. Otherwise, attempts at a server that had failed all its requests and restarted
    /// would be refused for several more seconds (test
    /// `restart_of_the_server_resets_its_failure_share`).
    pub fn server_started(&mut self, now: Timestamp, server: &InstanceId) {
        self.queue.note_server_start(now);
        self.health.server_started();
        let before = self.server.replace(server.clone());
        // An entry that was missing for a while and contains the same instance is not a restart.
        if before.is_some_and(|before| before != *server) {
            self.notice = ServerNotice::default();
            self.queue.reset_rate_limit();
            self.running.forget_abandoned();
        }
    }

    /// Records the notice in an answer of `server`. Returns the tickets of waiting attempts that
    /// now run.
    pub fn record_notice(
        &mut self,
        now: Timestamp,
        server: &InstanceId,
        notice: ServerNotice,
    ) -> Vec<Ticket> {
        // The notice of a former instance is obsolete.
        if self.server.as_ref().is_some_and(|known| known != server) {
            return Vec::new();
        }
        self.notice = notice;
        self.queue.set_rate_limit(now, notice.limit)
    }

    /// Waiting attempts whose expected wait under the server's current rate limit exceeds their
    /// maximum wait.
    pub fn waits_exceeding_patience(&self, now: Timestamp) -> Vec<Ticket> {
        self.queue.waits_exceeding_patience(now)
    }

    /// Records that this rate limit of the server was reported to the sender of an attempt.
    pub fn note_limit_told_to_others(&mut self, now: Timestamp, limit: RequestRate) {
        self.queue.note_limit_told_to_others(now, limit);
    }

    /// The last notice of the server: its rate limit, and whether it is leaving.
    pub fn notice(&self) -> ServerNotice {
        self.notice
    }

    /// Whether `server` is the local server and says in its answers that it is leaving. This holds
    /// even if its entry has been removed.
    pub fn is_leaving(&self, server: &InstanceId) -> bool {
        let own = self.server.as_ref();
        self.notice.is_leaving && own.is_some_and(|own| own.is_same_server(server))
    }

    /// The time until the server's rate limit admits another attempt; `None` if the server has
    /// announced no limit.
    pub fn time_until_token(&self, now: Timestamp) -> Option<Duration> {
        self.queue.time_until_token(now)
    }

    /// The time until the server's rate limit admits the next waiting attempt; `None` unless
    /// attempts wait only for the rate limit.
    pub fn next_start(&self, now: Timestamp) -> Option<Duration> {
        self.queue.next_start(now)
    }

    /// Starts the waiting attempts that may run now, and returns their tickets.
    pub fn start_waiting(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.queue.start_waiting(now)
    }

    /// The current load of the server and its queue.
    pub fn occupancy(&self) -> Occupancy {
        self.queue.occupancy()
    }

    /// Whether the server is unresponsive: it has stopped answering.
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.queue.is_unresponsive(now)
    }

    /// The lowest level that this server and the downstream services it needs admit, for nested
    /// calls or callers' requests. `level_of` returns the level of a service.
    pub fn level(
        &self,
        is_nested: bool,
        level_of: impl Fn(&ServiceName) -> AdmissionLevel,
    ) -> AdmissionLevel {
        let needed = downstream_level(&self.graph, &self.source(is_nested), level_of);
        let own = self.threshold.level().max(self.processor.level());
        if is_nested {
            needed.max(tree_level_of_nested(own))
        } else {
            needed.max(own)
        }
    }

    /// The longest time that an attempt should wait: `max_wait` of the attempt, but long enough for
    /// the next free slot if it is next in line. Slots that are all taken for a moment are no reason to
    /// refuse a request whose time for queues is used up, since it may have lost that time at a single
    /// bad server.
    pub fn max_wait(&self, now: Timestamp, attempt: &ArrivingAttempt) -> Duration {
        let next_slot_wait = self.queue.next_slot_wait(queue_rank(attempt));
        let left = attempt.deadline.saturating_since(now);
        attempt.max_wait.max(next_slot_wait).min(left)
    }

    /// Decides whether an attempt that arrived runs, waits or is refused. `level_of` returns the
    /// lowest level that a service admits.
    pub fn admit(
        &mut self,
        now: Timestamp,
        attempt: &ArrivingAttempt,
        level_of: impl Fn(&ServiceName) -> AdmissionLevel,
    ) -> AdmissionDecision {
        if !self.queue.allows_attempt(now) {
            return refusal(NotRunReason::ServerUnreachable, None);
        }
        if attempt.has_alternative && self.health.should_refuse(now, &attempt.zone) {
            return refusal(NotRunReason::ServerFailing, None);
        }
        if !attempt.is_nested && !self.is_admitted_downstream(now, attempt.priority, level_of) {
            return refusal(NotRunReason::DownstreamOverloaded, None);
        }
        let is_at_rate_limit = self.queue.is_at_rate_limit(now);
        if attempt.has_alternative && is_at_rate_limit {
            return refusal(NotRunReason::RateLimited, None);
        }
        self.observe(now);
        self.threshold.record_arrival(level_at_server(attempt));
        self.processor.record_arrival(now, level_at_server(attempt));
        match self.queue.admit(now, queue_rank(attempt), attempt.max_wait) {
            Admission::Run => AdmissionDecision::Run,
            Admission::Wait(ticket) => AdmissionDecision::Wait(ticket),
            Admission::Refuse { retry_after } => {
                self.threshold.record_rejection();
                let reason = match is_at_rate_limit {
                    true => NotRunReason::RateLimited,
                    false => NotRunReason::QueueFull,
                };
                refusal(reason, Some(retry_after))
            }
        }
    }

    /// Removes an attempt that stopped waiting; `timed_out` if it reached its maximum wait.
    /// Returns false if it was no longer waiting: then it counts as running.
    pub fn withdraw(&mut self, attempt: &ArrivingAttempt, ticket: Ticket, timed_out: bool) -> bool {
        if timed_out {
            self.threshold.record_rejection();
        }
        self.queue.withdraw(queue_rank(attempt), ticket)
    }

    /// Records that an attempt is sent to the server, and returns the ID of its run.
    pub fn started(&mut self, now: Timestamp, attempt: &ArrivingAttempt) -> InboundId {
        let run = InboundId(self.next_run);
        self.next_run += 1;
        let source = self.source(attempt.is_nested);
        self.graph.add_run(run, source, attempt.priority.class);
        self.health
            .started(now, run, &attempt.zone, attempt.is_nested);
        let inherited = Parent {
            run,
            priority: attempt.priority,
            is_retry: attempt.is_retry,
        };
        self.running
            .started(&attempt.request_id, attempt.deadline, inherited);
        run
    }

    /// Records that the server answered a run; `success` unless the answer is a failure.
    pub fn answered(&mut self, now: Timestamp, run: InboundId, success: bool) {
        self.queue.note_answer(now);
        self.graph.record_completion(run, success);
    }

    /// Records that nobody waits for a run any more, although the server may work on: it makes calls until
    /// the deadline of the run.
    pub fn abandon(&mut self, now: Timestamp, attempt: &ArrivingAttempt, run: InboundId) {
        self.running.forget_overdue(now);
        self.running.abandoned(&attempt.request_id, run);
    }

    /// Records that a run ended. `ran_for` is its duration if the server answered. Returns the
    /// tickets of waiting attempts that now run.
    pub fn finish(
        &mut self,
        now: Timestamp,
        attempt: &ArrivingAttempt,
        run: InboundId,
        end: RunEnd,
        ran_for: Option<Duration>,
    ) -> Vec<Ticket> {
        self.health.ended(now, run, end);
        self.graph.remove_run(run);
        self.running.ended(&attempt.request_id, run);
        self.observe(now);
        self.threshold.record_run_end();
        self.processor.record_attempt_end();
        self.queue.finish(now, ran_for)
    }

    /// Releases the slot of an attempt that was admitted but never reached the server. Returns the
    /// tickets of waiting attempts that now run.
    pub fn release_unused_slot(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.queue.release_unused_slot(now)
    }

    /// The run that makes a call from the local server; `None` for requests of callers.
    pub fn parent_of(
        &self,
        now: Timestamp,
        request_id: &str,
        deadline: Timestamp,
    ) -> Option<Parent> {
        self.running.parent_of(now, request_id, deadline)
    }

    /// Whether the request ID shows that a run on this node's local server makes the call.
    pub fn has_parent(&self, now: Timestamp, request_id: &str) -> bool {
        self.running.has_parent(now, request_id)
    }

    /// Records that a run calls another service.
    pub fn record_call(&mut self, run: InboundId, service: &str) {
        self.graph.record_call(run, &ServiceName::new(service));
        self.health.call_started(run);
    }

    /// Records that a call made by a run has ended.
    pub fn call_ended(&mut self, run: InboundId, has_failed: bool) {
        self.health.call_ended(run, has_failed);
    }

    /// Time after which a run is overdue; `None` while no run times are known.
    pub fn overdue_after(&self, is_nested: bool) -> Option<Duration> {
        self.health.overdue_after(is_nested)
    }

    /// Records that a run is overdue: it has had no answer for
    /// [`overdue_after`](Self::overdue_after).
    pub fn overdue(&mut self, now: Timestamp, run: InboundId) {
        self.health.overdue(now, run);
    }

    /// The zone with the largest share of failed requests, and that share, if attempts are refused
    /// for it.
    pub fn failing_zone(&self, now: Timestamp) -> Option<(&str, f64)> {
        self.health.failing_zone(now)
    }

    /// The share of requests from callers in `zone` that the server fails, 0 to 1.
    pub fn failure_share(&self, now: Timestamp, zone: &str) -> f64 {
        self.health.failure_share(now, zone)
    }

    /// Records that the node's thread was woken `lateness` later than requested.
    pub fn record_lateness(&mut self, now: Timestamp, lateness: Duration) {
        self.processor.observe(now, lateness);
    }

    /// The lowest level that the node's own processor has time for, and how much later than
    /// requested the node's thread was last woken.
    pub fn processor_level_and_lateness(&self) -> (AdmissionLevel, Duration) {
        (self.processor.level(), self.processor.lateness())
    }

    /// Updates the admission level by the current load and the time that has passed.
    pub fn observe(&mut self, now: Timestamp) {
        self.running.forget_overdue(now);
        let load = self.queue.occupancy_under_rate_limit(now);
        let occupancy = admission_threshold::Occupancy {
            running: load.running as usize,
            limit: load.limit,
            queued: load.waiting as usize,
        };
        self.threshold.observe(now, occupancy);
    }

    /// Whether the downstream services that a caller's request needs admit it. Nested calls are
    /// not checked: work has already been done for their request trees, and few of those were
    /// admitted just before the level rose.
    fn is_admitted_downstream(
        &mut self,
        now: Timestamp,
        priority: Priority,
        level_of: impl Fn(&ServiceName) -> AdmissionLevel,
    ) -> bool {
        let source = self.source(false);
        if downstream_level(&self.graph, &source, &level_of).admits(priority) {
            return true;
        }
        let mut needed = self.graph.needed_services(&source, priority.class);
        let is_closed = needed.any(|service| level_of(service) >= AdmissionLevel::CLOSED);
        let is_trial = is_closed && now.saturating_since(self.last_trial) >= TRIAL_INTERVAL;
        if is_trial {
            self.last_trial = now;
        }
        is_trial
    }

    /// The call graph's key for runs on this server: nested calls and callers' requests have
    /// separate keys because they need different services.
    fn source(&self, is_nested: bool) -> CallSource {
        CallSource {
            service: self.service.clone(),
            caller: is_nested.then(|| self.service.clone()),
        }
    }
}

fn refusal(reason: NotRunReason, retry_after: Option<Duration>) -> AdmissionDecision {
    AdmissionDecision::Refuse {
        reason,
        retry_after,
    }
}
