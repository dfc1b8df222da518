//! Metadata that a call carries across hops, in its encoded form.

use std::time::Duration;

use minicbor::{Decode, Encode};

use lifthollow_state::{
    IdempotencyKey, Priority, PriorityClass, RequestContext, RequestId, RetryAllowance, Timestamp,
};

/// A [`RequestContext`] in which the deadline is replaced by the time that remained
/// when the frame was created.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WireContext {
    /// Id of the end-to-end request.
    #[cbor(n(0), with = "minicbor::bytes")]
    pub request: [u8; 16],
    /// Remaining time until the caller stops waiting, microseconds.
    #[n(1)]
    pub remaining_micros: u64,
    /// Priority class: the call's importance to the business.
    #[n(2)]
    pub class: WireClass,
    /// User priority within the class, 0 to 127.
    #[n(3)]
    pub user_priority: u8,
    /// Idempotency key; present on calls that must run at most once.
    #[cbor(n(4), with = "minicbor::bytes")]
    pub idempotency_key: Option<[u8; 16]>,
    /// Retries that the call and its nested calls may make.
    #[n(5)]
    pub allowance: u8,
}

/// Encoded form of [`PriorityClass`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum WireClass {
    /// [`PriorityClass::Sheddable`].
    #[n(0)]
    Sheddable,
    /// [`PriorityClass::Normal`].
    #[n(1)]
    Normal,
    /// [`PriorityClass::Critical`].
    #[n(2)]
    Critical,
}

impl From<PriorityClass> for WireClass {
    fn from(class: PriorityClass) -> Self {
        match class {
            PriorityClass::Sheddable => WireClass::Sheddable,
            PriorityClass::Normal => WireClass::Normal,
            PriorityClass::Critical => WireClass::Critical,
        }
    }
}

impl From<WireClass> for PriorityClass {
    fn from(class: WireClass) -> Self {
        match class {
            WireClass::Sheddable => PriorityClass::Sheddable,
            WireClass::Normal => PriorityClass::Normal,
            WireClass::Critical => PriorityClass::Critical,
        }
    }
}

impl WireContext {
    /// Converts `context` for sending at `now` on this node's clock.
    pub fn leaving_at(context: &RequestContext, now: Timestamp) -> Self {
        let remaining = context.deadline.saturating_since(now);
        WireContext {
            request: context.request.0.to_be_bytes(),
            remaining_micros: remaining.as_micros() as u64,
            class: context.priority.class.into(),
            user_priority: context.priority.user,
            idempotency_key: context.idempotency_key.map(|key| key.0.to_be_bytes()),
            allowance: context.allowance.0,
        }
    }

    /// Converts to a context with a deadline on the clock of the node that received it at `now`.
    pub fn arriving_at(&self, now: Timestamp) -> RequestContext {
        let key = self.idempotency_key.map(u128::from_be_bytes);
        RequestContext {
            request: RequestId(u128::from_be_bytes(self.request)),
            deadline: now + Duration::from_micros(self.remaining_micros),
            priority: Priority {
                class: self.class.into(),
                user: self.user_priority,
            },
            idempotency_key: key.map(IdempotencyKey),
            allowance: RetryAllowance(self.allowance),
        }
    }
}
