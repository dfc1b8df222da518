//! Counts the attempts of other nodes that are in progress here, by request, so that a node whose
//! connection stopped responding can ask whether its attempt is still being processed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The number of attempts in progress at this node, by request identifier.
#[derive(Clone, Default)]
pub struct AttemptsInProgress {
    counts: Rc<RefCell<HashMap<String, u32>>>,
}

impl AttemptsInProgress {
    /// Counts an attempt of the request as in progress until the returned guard is dropped.
    pub fn track(&self, request_id: &str) -> InProgressGuard {
        let mut counts = self.counts.borrow_mut();
        *counts.entry(request_id.to_owned()).or_default() += 1;
        InProgressGuard {
            attempts: self.clone(),
            request_id: request_id.to_owned(),
        }
    }

    /// Whether an attempt of the request is in progress at this node.
    pub fn contains(&self, request_id: &str) -> bool {
        self.counts.borrow().contains_key(request_id)
    }
}

/// Counts one attempt as in progress until it is dropped.
pub struct InProgressGuard {
    attempts: AttemptsInProgress,
    request_id: String,
}

impl Drop for InProgressGuard {
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
