//! The requests of which other nodes have an attempt here, so that a node whose
//! connection went silent can ask whether its attempt is still worked on.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// How many attempts of each request are here.
#[derive(Clone, Default)]
pub struct AttemptsInProgress {
    counts: Rc<RefCell<HashMap<String, u32>>>,
}

impl AttemptsInProgress {
    /// Counts an attempt while what is returned lives.
    pub fn enter(&self, request_id: &str) -> AttemptInProgress {
        let mut counts = self.counts.borrow_mut();
        *counts.entry(request_id.to_owned()).or_default() += 1;
        AttemptInProgress {
            attempts: self.clone(),
            request_id: request_id.to_owned(),
        }
    }

    /// Whether there is an attempt of the request.
    pub fn contains(&self, request_id: &str) -> bool {
        self.counts.borrow().contains_key(request_id)
    }
}

/// One attempt.
pub struct AttemptInProgress {
    attempts: AttemptsInProgress,
    request_id: String,
}

impl Drop for AttemptInProgress {
    fn drop(&mut self) {
        let mut counts = self.attempts.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.request_id) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.request_id);
            }
        }
    }
}
