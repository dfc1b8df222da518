//! The attempts in progress whose back ends may make nested calls.
//!
//! A back end copies the opaque `lifthollow-context` header of the call it runs
//! to the calls it makes. The header links these calls to their parent attempt.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lifthollow_coordination::inbound::InboundId;
use lifthollow_state::RequestContext;

/// The value of the `lifthollow-context` header. It identifies an attempt in
/// progress and the process that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContextToken {
    process: u64,
    attempt: InboundId,
}

/// The text is not a valid context token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a value that a node handed out")]
pub struct MalformedToken;

impl fmt::Display for ContextToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.process, self.attempt.0)
    }
}

impl FromStr for ContextToken {
    type Err = MalformedToken;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const HALF: usize = 16;
        let (process, attempt) = text.split_at_checked(HALF).ok_or(MalformedToken)?;
        if attempt.len() != HALF {
            return Err(MalformedToken);
        }
        let number = |half| u64::from_str_radix(half, 16).map_err(|_| MalformedToken);
        Ok(ContextToken {
            process: number(process)?,
            attempt: InboundId(number(attempt)?),
        })
    }
}

/// The request contexts of the attempts in progress on this node.
#[derive(Debug)]
pub struct Parents {
    process: u64,
    contexts: Arc<Mutex<HashMap<InboundId, RequestContext>>>,
}

/// Removes its attempt from [`Parents`] when dropped.
pub struct ParentGuard {
    attempt: InboundId,
    contexts: Arc<Mutex<HashMap<InboundId, RequestContext>>>,
}

impl Parents {
    /// Creates an empty list for the process with this nonce.
    pub fn new(process: u64) -> Self {
        Parents {
            process,
            contexts: Arc::default(),
        }
    }

    /// Adds an attempt; it is removed when the guard is dropped.
    pub fn insert(&self, attempt: InboundId, context: RequestContext) -> ParentGuard {
        lock(&self.contexts).insert(attempt, context);
        ParentGuard {
            attempt,
            contexts: self.contexts.clone(),
        }
    }

    /// The token that is sent to the back end that runs `attempt`.
    pub fn token(&self, attempt: InboundId) -> ContextToken {
        ContextToken {
            process: self.process,
            attempt,
        }
    }

    /// The attempt that a token identifies, if it is still in progress on this node.
    pub fn find(&self, token: ContextToken) -> Option<(InboundId, RequestContext)> {
        if token.process != self.process {
            return None;
        }
        let contexts = lock(&self.contexts);
        let context = contexts.get(&token.attempt)?;
        Some((token.attempt, context.clone()))
    }
}

impl Drop for ParentGuard {
    fn drop(&mut self) {
        lock(&self.contexts).remove(&self.attempt);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
