//! Queue places and server slots, held as guards that free them when dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::admission_queue::Ticket;
use lifthollow_coordination::mesh::call::{AttemptEnd, NotRunReason};
use lifthollow_coordination::mesh::nested_calls;
use lifthollow_coordination::mesh::server_admission::{AdmissionDecision, ArrivingAttempt};
use lifthollow_coordination::mesh::server_health::RunEnd;
use lifthollow_state::{ServiceName, Timestamp};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at};

use crate::inbound::{Attempt, AttemptOutcome};
use crate::node::Node;
use crate::suspects;

/// The shortest pause before attempts that wait for the server's rate limit are checked again: a
/// timer may fire a moment before the token is available.
const MIN_START_DELAY: Duration = Duration::from_millis(1);

/// A slot at the server, held by one running request and freed when the permit is dropped.
pub(super) struct Permit {
    node: Rc<Node>,
    arriving: ArrivingAttempt,
    pub(super) run: InboundId,
    pub(super) started: Timestamp,
    /// Whether the server has sent a valid answer head.
    pub(super) answered: bool,
    /// How the run counts as ended if the permit is dropped now.
    pub(super) end: RunEnd,
    /// Whether the whole answer has been received.
    pub(super) is_complete: Rc<Cell<bool>>,
    /// Whether the server has not run the request: it was not sent, or the server refused it.
    pub(super) has_not_run: bool,
}

impl Permit {
    fn new(node: &Rc<Node>, arriving: ArrivingAttempt) -> Self {
        let run = node
            .state
            .borrow_mut()
            .admission
            .started(node.now(), &arriving);
        Permit {
            node: node.clone(),
            arriving,
            run,
            started: node.now(),
            answered: false,
            end: RunEnd::Abandoned,
            is_complete: Rc::default(),
            has_not_run: false,
        }
    }

    /// Whether the server may still work on the request.
    fn may_run_on(&self) -> bool {
        !self.is_complete.get() && !self.has_not_run
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.node.now();
        let ran_for = self.answered.then(|| now.saturating_since(self.started));
        let mut state = self.node.state.borrow_mut();
        let is_served = self.end == RunEnd::Served && self.is_complete.get();
        let content = state.server_runs.ended(now, self.run, is_served);
        if let Some(content) = content.filter(|_| is_served) {
            suspects::record_successful_run(&mut state, now, content);
        }
        if self.may_run_on() {
            state.admission.abandon(now, &self.arriving, self.run);
        }
        let started = state
            .admission
            .finish(now, &self.arriving, self.run, self.end, ran_for);
        self.node.update_waiting(&mut state, started);
    }
}

/// An attempt's place in the queue, given up when this guard is dropped.
struct QueuePlace<'a> {
    node: &'a Rc<Node>,
    arriving: &'a ArrivingAttempt,
    ticket: Ticket,
    started: oneshot::Receiver<()>,
    /// Whether the attempt timed out or was refused while it waited.
    is_unserved: bool,
    /// Whether the attempt was started, so that its place is no longer to be given up.
    has_started: bool,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if self.has_started {
            return;
        }
        let mut state = self.node.state.borrow_mut();
        state.waiters.remove(&self.ticket);
        let was_waiting = state
            .admission
            .withdraw(self.arriving, self.ticket, self.is_unserved);
        if !was_waiting {
            let started = state.admission.release_unused_slot(self.node.now());
            self.node.update_waiting(&mut state, started);
        }
    }
}

/// Waits until the attempt may run, at most for its patience.
///
/// # Errors
///
/// The attempt was refused, or timed out in the queue.
pub(super) async fn admit(node: &Rc<Node>, attempt: &Attempt) -> Result<Permit, AttemptOutcome> {
    let now = node.now();
    let id = node.names.request_id_of(attempt.request.headers());
    let mut arriving = ArrivingAttempt {
        request_id: id.to_owned(),
        priority: attempt.tree.priority,
        is_nested: attempt.tree.is_nested,
        is_retry: attempt.tree.is_retry,
        deadline: attempt.deadline,
        max_wait: attempt.patience,
        zone: attempt.terms.zone.clone(),
        has_alternative: attempt.terms.has_alternative,
    };
    let verdict = {
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        if let Some(limit) = attempt.limit_known_to_sender {
            state.admission.note_limit_told_to_others(now, limit);
        }
        arriving.max_wait = state.admission.max_wait(now, &arriving);
        let (servers, budgets) = (&state.servers, &state.budgets);
        let level_of =
            |service: &ServiceName| nested_calls::admission_level(servers, budgets, now, service);
        state.admission.admit(now, &arriving, level_of)
    };
    match verdict {
        AdmissionDecision::Run => {
            // It may have taken the token that another attempt waited for.
            node.update_waiting(&mut node.state.borrow_mut(), Vec::new());
            Ok(Permit::new(node, arriving))
        }
        AdmissionDecision::Wait(ticket) => wait(node, arriving, ticket, now).await,
        AdmissionDecision::Refuse {
            reason,
            retry_after,
        } => Err(AttemptOutcome {
            end: AttemptEnd::NotRun {
                offered: false,
                reason,
                retry_after,
            },
            response: None,
            sent_on: None,
        }),
    }
}

/// Starts the attempts that wait for the server's rate limit as soon as it allows. Never returns.
pub async fn start_at_rate_limit(node: Rc<Node>) {
    loop {
        let next_start = node.state.borrow().admission.next_start(node.now());
        let Some(delay) = next_start else {
            node.next_start_changed.notified().await;
            continue;
        };
        tokio::select! {
            () = sleep(delay.max(MIN_START_DELAY)) => {}
            () = node.next_start_changed.notified() => continue,
        }
        let mut state = node.state.borrow_mut();
        let started = state.admission.start_waiting(node.now());
        node.update_waiting(&mut state, started);
    }
}

async fn wait(
    node: &Rc<Node>,
    arriving: ArrivingAttempt,
    ticket: Ticket,
    now: Timestamp,
) -> Result<Permit, AttemptOutcome> {
    let (start, started) = oneshot::channel();
    {
        let mut state = node.state.borrow_mut();
        state.waiters.insert(ticket, start);
        // The newest attempt may have overtaken others, which can no longer start in time.
        node.update_waiting(&mut state, Vec::new());
    }
    let mut place = QueuePlace {
        node,
        arriving: &arriving,
        ticket,
        started,
        is_unserved: false,
        has_started: false,
    };
    let until = node.clock.instant(now + arriving.max_wait).into();
    match timeout_at(until, &mut place.started).await {
        Ok(Ok(())) => {
            place.has_started = true;
            drop(place);
            Ok(Permit::new(node, arriving))
        }
        _ => {
            place.is_unserved = true;
            drop(place);
            Err(AttemptOutcome::not_run(NotRunReason::QueueTimeout))
        }
    }
}
