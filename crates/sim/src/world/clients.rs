//! Clients: users ask at their own pace, whatever the mesh does, and their
//! apps and tills repeat what is slow or refused.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_coordination::retry::{AttemptNumber, entry_allowance};
use lifthollow_state::{RequestId, Timestamp};
use xxhash_rust::xxh3::xxh3_128;

use super::calls::CallPlace;
use super::event::{ClientAnswer, WorldEvent};
use super::ids::{MachineIndex, RequestNumber};
use super::records::{CallOrigin, Operation};
use super::{ProcessState, World};
use crate::mesh::{KindIndex, VisitIndex};
use crate::random::RandomStream;

/// Attempts that an ordinary client makes.
const ORDINARY_ATTEMPTS: u32 = 4;
/// Mean pause of a client before it repeats.
const BACKOFF: Duration = Duration::from_millis(100);
/// Share of clients that wait as long as `Retry-After` says.
const HONOURS_RETRY_AFTER: f64 = 0.5;
/// When a client gives up opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long clients go on choosing an entry node that is leaving.
const ENTRY_LIST_LAG: Duration = Duration::from_secs(1);

/// How clients behave now.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientBehaviour {
    /// Attempts that a client makes at most.
    pub attempts: u32,
    /// Factor on the time after which a client repeats.
    pub timeout_factor: f64,
    /// Whether any client regards `Retry-After`.
    pub regards_retry_after: bool,
}

/// A request that its user still waits for.
#[derive(Clone, Debug)]
struct WaitingRequest {
    kind: KindIndex,
    deadline: Timestamp,
    attempt: u32,
    call: Option<lifthollow_coordination::outbound::CallId>,
    honours_retry_after: bool,
}

/// All clients.
pub(super) struct Clients {
    seed: u64,
    next_request: u64,
    waiting: BTreeMap<RequestNumber, WaitingRequest>,
    entries: Vec<MachineIndex>,
    random: RandomStream,
    /// Requests a second of each kind without surges.
    pub rates: Vec<f64>,
    /// Surge factors in force for each kind.
    pub surges: Vec<Vec<f64>>,
    /// How clients behave.
    pub behaviour: ClientBehaviour,
}

impl ClientBehaviour {
    /// Clients as they are on an ordinary day.
    pub(super) const ORDINARY: ClientBehaviour = ClientBehaviour {
        attempts: ORDINARY_ATTEMPTS,
        timeout_factor: 1.0,
        regards_retry_after: true,
    };
}

impl Clients {
    /// Clients that ask at the given rates.
    pub(super) fn new(
        seed: u64,
        rates: Vec<f64>,
        entries: Vec<MachineIndex>,
        random: RandomStream,
    ) -> Self {
        Clients {
            seed,
            next_request: 0,
            waiting: BTreeMap::new(),
            entries,
            random,
            surges: vec![Vec::new(); rates.len()],
            rates,
            behaviour: ClientBehaviour::ORDINARY,
        }
    }

    /// The identity that nodes know a request by.
    pub(super) fn request_id(&self, request: RequestNumber) -> RequestId {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&request.0.to_le_bytes());
        RequestId(xxh3_128(&bytes))
    }

    fn rate(&self, kind: KindIndex) -> f64 {
        let surge: f64 = self.surges[kind.0].iter().product();
        self.rates[kind.0] * surge
    }

    pub(super) fn next_arrival(&mut self, kind: KindIndex) -> Duration {
        let rate = self.rate(kind);
        self.random.arrival_interval(rate)
    }

    fn new_request(&mut self, kind: KindIndex, deadline: Timestamp) -> RequestNumber {
        let number = RequestNumber(self.next_request);
        self.next_request += 1;
        let request = WaitingRequest {
            kind,
            deadline,
            attempt: 1,
            call: None,
            honours_retry_after: self.random.chance(HONOURS_RETRY_AFTER),
        };
        self.waiting.insert(number, request);
        number
    }
}

impl World {
    pub(super) fn user_arrives(&mut self, kind: KindIndex) {
        let now = self.now();
        if now.saturating_since(Timestamp::ZERO) >= self.scenario.duration {
            return;
        }
        let interval = self.clients.next_arrival(kind);
        self.schedule(WorldEvent::Arrival { kind }, interval);
        let deadline = now + self.mesh.kind(kind).deadline;
        let request = self.clients.new_request(kind, deadline);
        self.recorder.request_arrived(kind, now);
        self.client_sends(request, 1);
    }

    pub(super) fn client_sends(&mut self, request: RequestNumber, attempt: u32) {
        let now = self.now();
        let Some(waiting) = self.clients.waiting.get(&request) else {
            return;
        };
        let (kind, user_deadline) = (waiting.kind, waiting.deadline);
        let entry = self.choose_entry(now);
        match self.machine(entry).state {
            ProcessState::Stopped => return self.connection_fails(request, attempt, false),
            ProcessState::Vanished => return self.connection_fails(request, attempt, true),
            ProcessState::Running | ProcessState::Paused => {}
        }
        let timeout = self.mesh.kind(kind).client_timeout;
        let timeout = timeout.mul_f64(self.clients.behaviour.timeout_factor);
        let gives_up = (now + timeout).min(user_deadline);
        let place = CallPlace {
            operation: Operation {
                request,
                visit: VisitIndex(0),
            },
            kind,
            client_attempt: attempt,
        };
        let allowance = entry_allowance(AttemptNumber(attempt));
        let origin = CallOrigin::Client { attempt };
        let call = self.new_call(entry, place, origin, gives_up, allowance);
        if let Some(waiting) = self.clients.waiting.get_mut(&request) {
            waiting.call = Some(call);
        }
        let mut delay = self.network.client_delay();
        if attempt > 1 {
            delay += self.mesh.connection_cost;
        }
        self.schedule(WorldEvent::CallArrives { call }, delay);
        self.schedule_at(WorldEvent::ClientTimeout { request, attempt }, gives_up);
    }

    /// Any entry node that is not known to be leaving.
    fn choose_entry(&mut self, now: Timestamp) -> MachineIndex {
        let entries = &self.clients.entries;
        let open: Vec<MachineIndex> = entries
            .iter()
            .copied()
            .filter(|entry| {
                let leaving = self.machines[entry.0].leaving_since;
                leaving.is_none_or(|since| now < since + ENTRY_LIST_LAG)
            })
            .collect();
        let choices = if open.is_empty() {
            entries.clone()
        } else {
            open
        };
        let choice = self.clients.random.index(choices.len());
        choices[choice]
    }

    fn connection_fails(&mut self, request: RequestNumber, attempt: u32, silently: bool) {
        let delay = if silently {
            CONNECT_TIMEOUT
        } else {
            self.network.client_delay() * 2
        };
        let answer = ClientAnswer::Broken;
        let event = WorldEvent::ClientAnswered {
            request,
            attempt,
            answer,
        };
        self.schedule(event, delay);
    }

    pub(super) fn client_times_out(&mut self, request: RequestNumber, attempt: u32) {
        let Some(waiting) = self.clients.waiting.get_mut(&request) else {
            return;
        };
        if waiting.attempt != attempt {
            return;
        }
        if let Some(call) = waiting.call.take() {
            let delay = self.network.client_delay();
            self.schedule(WorldEvent::CallCancelled { call }, delay);
        }
        self.client_repeats(request, Duration::ZERO);
    }

    pub(super) fn client_answered(
        &mut self,
        request: RequestNumber,
        attempt: u32,
        answer: ClientAnswer,
    ) {
        let now = self.now();
        let Some(waiting) = self.clients.waiting.get_mut(&request) else {
            return;
        };
        if waiting.attempt != attempt {
            return;
        }
        waiting.call = None;
        let deadline = waiting.deadline;
        match answer {
            ClientAnswer::Complete { success, .. } => {
                if !success {
                    return self.client_repeats(request, Duration::ZERO);
                }
                self.clients.waiting.remove(&request);
                self.recorder
                    .request_completed(request, now, now <= deadline);
            }
            ClientAnswer::GivenUp { retry_after_millis } => {
                self.client_repeats(request, Duration::from_millis(retry_after_millis));
            }
            ClientAnswer::Broken => self.client_repeats(request, Duration::ZERO),
        }
    }

    /// The client asks again after a pause, or its user gives up.
    fn client_repeats(&mut self, request: RequestNumber, retry_after: Duration) {
        let now = self.now();
        let behaviour = self.clients.behaviour;
        let backoff = self.clients.random.around(BACKOFF);
        let Some(waiting) = self.clients.waiting.get_mut(&request) else {
            return;
        };
        let regards = behaviour.regards_retry_after && waiting.honours_retry_after;
        let pause = if regards {
            backoff.max(retry_after)
        } else {
            backoff
        };
        if waiting.attempt >= behaviour.attempts || now + pause >= waiting.deadline {
            self.clients.waiting.remove(&request);
            return;
        }
        waiting.attempt += 1;
        let attempt = waiting.attempt;
        self.schedule(WorldEvent::ClientSends { request, attempt }, pause);
    }
}
