//! Admission to the back end of one service.
//!
//! An attempt is checked, in this order, against its deadline, the admission level
//! of the downstream services it needs, the class floor, the free slots under the
//! concurrency limit, and the queue. Each check can refuse it, and a refusal is
//! answered at once. The admission threshold is adjusted by the attempts rejected.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, LoadReport, RefusalReason};
use lifthollow_state::{Priority, TableRow, Timestamp};

use super::admission_threshold::{AdmissionThreshold, Occupancy};
use super::concurrency_limit::ConcurrencyLimit;
use super::queue::{PriorityQueue, QueuedAttempt};
use super::{InboundId, RunResult};
use crate::class_floor::ClassFloor;
use crate::latency::LatencyEstimate;

/// After a pause of the process no queued attempt is started for this long, so
/// that cancellations which arrived during the pause are handled first.
const QUEUE_HOLD_AFTER_PAUSE: Duration = Duration::from_millis(5);
/// Shortest interval between two checks of the queue for attempts that can't
/// finish in time.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Decision about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run the attempt now.
    Run {
        /// The attempt to run.
        id: InboundId,
        /// Time at which the attempt's caller stops waiting.
        deadline: Timestamp,
    },
    /// Answer that the attempt did not run.
    Refuse {
        /// The attempt to refuse.
        id: InboundId,
        /// Priority of the attempt, which decides the order in which load is shed.
        priority: Priority,
        /// Why the attempt is refused.
        reason: RefusalReason,
    },
}

/// State of an attempt that runs on the back end.
#[derive(Clone, Copy, Debug)]
struct Running {
    started: Timestamp,
    answered: bool,
    cancelled: bool,
}

/// Admission state of one service.
#[derive(Debug, Default)]
pub struct ServiceAdmission {
    limit: ConcurrencyLimit,
    threshold: AdmissionThreshold,
    downstream_level: AdmissionLevel,
    class_floor: ClassFloor,
    queue: PriorityQueue,
    running: BTreeMap<InboundId, Running>,
    time_to_answer: LatencyEstimate,
    time_in_slot: LatencyEstimate,
    queue_held_until: Timestamp,
    next_wake: Option<Timestamp>,
}

impl ServiceAdmission {
    /// Sets the lowest priority admitted by the downstream services that the next
    /// attempt needs.
    pub fn set_downstream_level(&mut self, level: AdmissionLevel) {
        self.downstream_level = level;
    }

    /// The lowest priority that gets through to this back end.
    pub fn level(&self) -> AdmissionLevel {
        self.threshold.level()
    }

    /// Number of attempts that wait or run.
    pub fn in_progress(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// The load report sent to calling nodes.
    pub fn load(&self, row: Option<&TableRow>, leaving: bool) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.current_limit(row),
            admission_level: self.level(),
            leaving,
        }
    }

    /// When [`ServiceAdmission::handle_wake`] must be called if no other event comes
    /// first.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.next_wake
    }

    /// Handles an attempt that arrived: runs, queues or refuses it.
    pub fn handle_arrival(
        &mut self,
        now: Timestamp,
        row: &TableRow,
        attempt: QueuedAttempt,
        verdicts: &mut Vec<Verdict>,
    ) {
        self.observe(now, row);
        match self.admit(now, row, &attempt, verdicts) {
            Ok(()) => self.queue.push(attempt),
            Err(reason) => verdicts.push(self.refuse(now, attempt, reason)),
        }
        self.start_queued(now, row, verdicts);
    }

    /// Checks whether the attempt may run or wait for a slot; otherwise returns why
    /// it is refused.
    fn admit(
        &mut self,
        now: Timestamp,
        row: &TableRow,
        attempt: &QueuedAttempt,
        verdicts: &mut Vec<Verdict>,
    ) -> Result<(), RefusalReason> {
        if now + self.time_to_answer.decayed_mean(now) > attempt.deadline {
            return Err(RefusalReason::DeadlineTooShort);
        }
        if !self.downstream_level.admits(attempt.priority) {
            return Err(RefusalReason::DownstreamOverloaded);
        }
        self.threshold
            .record_arrival(AdmissionLevel::of(attempt.priority));
        if !self.class_floor.admits(now, attempt.priority.class) {
            self.threshold.record_rejection();
            return Err(RefusalReason::Overloaded);
        }
        if self.has_free_slot(row) && self.queue.is_empty() {
            return Ok(());
        }
        if now + self.expected_time(now, row, attempt.priority) > attempt.deadline {
            self.threshold.record_rejection();
            return Err(RefusalReason::Overloaded);
        }
        self.ensure_queue_space(now, row, attempt, verdicts)
    }

    /// Evicts a less important attempt if the queue is full; refuses the new one if
    /// there is none.
    fn ensure_queue_space(
        &mut self,
        now: Timestamp,
        row: &TableRow,
        attempt: &QueuedAttempt,
        verdicts: &mut Vec<Verdict>,
    ) -> Result<(), RefusalReason> {
        if self.queue.len() < row.max_queue as usize {
            return Ok(());
        }
        self.threshold.record_rejection();
        let evicted = self
            .queue
            .evict_below(attempt.priority)
            .ok_or(RefusalReason::QueueFull)?;
        verdicts.push(self.refuse(now, evicted, RefusalReason::Overloaded));
        Ok(())
    }

    /// Expected time until a new attempt of `priority` that joins the queue now is
    /// answered.
    fn expected_time(&self, now: Timestamp, row: &TableRow, priority: Priority) -> Duration {
        let queue_position = self.queue.count_ahead_of(priority) as f64 + 1.0;
        let limit = f64::from(self.current_limit(Some(row)));
        let wait = self
            .time_in_slot
            .decayed_mean(now)
            .mul_f64(queue_position / limit);
        wait + self.time_to_answer.decayed_mean(now)
    }

    /// Records the head of the back end's answer; returns whether the calling node
    /// has yet to be answered.
    pub fn handle_answer(
        &mut self,
        now: Timestamp,
        row: Option<&TableRow>,
        id: InboundId,
        result: RunResult,
    ) -> bool {
        let in_flight = self.running.len();
        let Some(run) = self.running.get_mut(&id) else {
            return false;
        };
        let is_first = !run.answered;
        run.answered = true;
        let elapsed = now.saturating_since(run.started);
        match result {
            RunResult::Completed { .. } => {
                self.time_to_answer.observe(now, elapsed);
                let ceiling = row.map_or(1, ceiling);
                self.limit.record_completion(now, in_flight, ceiling);
            }
            RunResult::Refused { .. } => self.limit.record_refusal(now, in_flight - 1),
            RunResult::Lost => self.time_to_answer.observe_lower_bound(now, elapsed),
        }
        is_first
    }

    /// Records that the back end has finished a run, and starts queued attempts.
    pub fn handle_run_closed(
        &mut self,
        now: Timestamp,
        row: Option<&TableRow>,
        id: InboundId,
        verdicts: &mut Vec<Verdict>,
    ) {
        let Some(row) = row else {
            self.running.remove(&id);
            return;
        };
        self.observe(now, row);
        if let Some(run) = self.running.remove(&id) {
            self.threshold.record_run_end();
            self.record_time_in_slot(now, run);
        }
        self.start_queued(now, row, verdicts);
    }

    fn record_time_in_slot(&mut self, now: Timestamp, run: Running) {
        let elapsed = now.saturating_since(run.started);
        if run.cancelled || !run.answered {
            self.time_in_slot.observe_lower_bound(now, elapsed);
            self.time_to_answer.observe_lower_bound(now, elapsed);
        } else {
            self.time_in_slot.observe(now, elapsed);
        }
    }

    /// Handles an attempt that the calling node gave up; returns whether a run must
    /// be cancelled.
    pub fn cancel_attempt(&mut self, id: InboundId) -> bool {
        if self.queue.remove(id) {
            return false;
        }
        let Some(run) = self.running.get_mut(&id) else {
            return false;
        };
        run.cancelled = true;
        true
    }

    /// Handles a pause of the process: refuses queued attempts whose deadline has
    /// passed and delays the start of the others, which may have been cancelled
    /// meanwhile.
    pub fn handle_resume(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.queue_held_until = now + QUEUE_HOLD_AFTER_PAUSE;
        self.next_wake = Some(self.queue_held_until);
        self.threshold.reset_counts(now);
        while let Some(attempt) = self.queue.pop_deadline_before(now) {
            verdicts.push(self.refuse(now, attempt, RefusalReason::Paused));
        }
    }

    /// Refuses all queued attempts because the node leaves, so that their callers
    /// can send them to other servers.
    pub fn refuse_queued(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        while let Some(attempt) = self.queue.pop_most_important() {
            verdicts.push(self.refuse(now, attempt, RefusalReason::Leaving));
        }
    }

    /// Revises the threshold, refuses queued attempts that can't finish in time and
    /// starts those for which there is a free slot.
    pub fn handle_wake(&mut self, now: Timestamp, row: &TableRow, verdicts: &mut Vec<Verdict>) {
        self.observe(now, row);
        self.start_queued(now, row, verdicts);
    }

    fn start_queued(&mut self, now: Timestamp, row: &TableRow, verdicts: &mut Vec<Verdict>) {
        self.refuse_unfinishable(now, verdicts);
        while self.may_start_queued(now) && self.has_free_slot(row) {
            let Some(attempt) = self.queue.pop_most_important() else {
                break;
            };
            self.start_run(now, attempt, verdicts);
        }
        self.next_wake = self.next_check(now);
    }

    fn may_start_queued(&self, now: Timestamp) -> bool {
        let priority = self.queue.highest_priority();
        now >= self.queue_held_until
            && priority.is_some_and(|priority| self.class_floor.admits(now, priority.class))
    }

    /// When the queue must be checked again if no other event comes first.
    fn next_check(&self, now: Timestamp) -> Option<Timestamp> {
        let deadline = self.queue.earliest_deadline()?;
        if now < self.queue_held_until {
            return Some(self.queue_held_until);
        }
        let latest_start = deadline.saturating_sub(self.time_to_answer.decayed_mean(now));
        let too_late = latest_start + Duration::from_micros(1);
        let check = if self.may_start_queued(now) {
            too_late
        } else {
            too_late.min(self.class_floor.all_admitted_at())
        };
        Some(check.max(now + MIN_CHECK_INTERVAL))
    }

    /// Refuses queued attempts that could not finish in time even if they started
    /// now.
    fn refuse_unfinishable(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        let earliest_end = now + self.time_to_answer.decayed_mean(now);
        while let Some(attempt) = self.queue.pop_deadline_before(earliest_end) {
            self.threshold.record_rejection();
            verdicts.push(self.refuse(now, attempt, RefusalReason::DeadlineTooShort));
        }
    }

    fn start_run(&mut self, now: Timestamp, attempt: QueuedAttempt, verdicts: &mut Vec<Verdict>) {
        let run = Running {
            started: now,
            answered: false,
            cancelled: false,
        };
        self.running.insert(attempt.id, run);
        verdicts.push(Verdict::Run {
            id: attempt.id,
            deadline: attempt.deadline,
        });
    }

    fn refuse(&mut self, now: Timestamp, attempt: QueuedAttempt, reason: RefusalReason) -> Verdict {
        let class = attempt.priority.class;
        self.class_floor.record_refusal(now, class, reason);
        Verdict::Refuse {
            id: attempt.id,
            priority: attempt.priority,
            reason,
        }
    }

    fn observe(&mut self, now: Timestamp, row: &TableRow) {
        let occupancy = Occupancy {
            running: self.running.len(),
            limit: self.current_limit(Some(row)),
            queued: self.queue.len(),
        };
        self.threshold.observe(now, occupancy);
    }

    fn has_free_slot(&self, row: &TableRow) -> bool {
        self.running.len() < self.current_limit(Some(row)) as usize
    }

    fn current_limit(&self, row: Option<&TableRow>) -> u32 {
        row.map_or(0, |row| self.limit.current(ceiling(row)))
    }
}

/// Table limit of calls running at once: no more than the connections allowed to
/// carry them.
fn ceiling(row: &TableRow) -> u32 {
    row.max_in_flight.min(row.max_connections)
}
