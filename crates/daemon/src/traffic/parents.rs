//! The attempts whose back ends may make calls of their own.
//!
//! A back end copies the opaque `lifthollow-context` header of the call it runs
//! to the calls it makes. That ties them to their parent.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lifthollow_coordination::inbound::InboundId;
use lifthollow_state::RequestContext;

/// The value of `lifthollow-context`: an attempt in progress in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContextToken {
    process: u64,
    attempt: InboundId,
}

/// The text is not a context of any process.
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

/// Contexts of the attempts that run beside this node.
#[derive(Debug)]
pub struct Parents {
    process: u64,
    contexts: Arc<Mutex<HashMap<InboundId, RequestContext>>>,
}

/// Keeps an attempt listed until it is dropped.
pub struct ParentGuard {
    attempt: InboundId,
    contexts: Arc<Mutex<HashMap<InboundId, RequestContext>>>,
}

impl Parents {
    /// An empty list of the process with this nonce.
    pub fn new(process: u64) -> Self {
        Parents {
            process,
            contexts: Arc::default(),
        }
    }

    /// Lists an attempt.
    pub fn insert(&self, attempt: InboundId, context: RequestContext) -> ParentGuard {
        lock(&self.contexts).insert(attempt, context);
        ParentGuard {
            attempt,
            contexts: self.contexts.clone(),
        }
    }

    /// The value handed to the back end that runs `attempt`.
    pub fn token(&self, attempt: InboundId) -> ContextToken {
        ContextToken {
            process: self.process,
            attempt,
        }
    }

    /// The attempt that a token names, if it is still in progress here.
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
