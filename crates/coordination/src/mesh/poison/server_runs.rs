//! What was at the server beside a node when that crashed.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::InstanceId;

use crate::inbound::InboundId;
use crate::mesh::poison::content::CallerContent;

/// A run without a good answer is suspected of a crash that comes this much later.
/// A server may break an answer off, or lose its caller, and crash under that run
/// all the same: 115 ms after its start in a recorded day, 35 to 59 ms in others.
const AFTERMATH: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Run {
    content: CallerContent,
    server: InstanceId,
}

/// The runs at the server beside a node, and those that ended a moment ago without
/// a good answer.
#[derive(Clone, Debug, Default)]
pub struct ServerRuns {
    running: HashMap<InboundId, Run>,
    /// Oldest first.
    unserved: VecDeque<(Timestamp, Run)>,
}

impl ServerRuns {
    /// A request with this content is given to `server`.
    pub fn started(&mut self, run: InboundId, content: CallerContent, server: &InstanceId) {
        let server = server.clone();
        self.running.insert(run, Run { content, server });
    }

    /// The request did not reach the server, or the server says that it did not run it.
    pub fn not_run(&mut self, run: InboundId) {
        self.running.remove(&run);
    }

    /// A run has ended; `is_served` if the server gave a good answer. Returns what
    /// it ran.
    pub fn ended(
        &mut self,
        now: Timestamp,
        run: InboundId,
        is_served: bool,
    ) -> Option<CallerContent> {
        let run = self.running.remove(&run)?;
        self.forget_old(now);
        let content = run.content.clone();
        if !is_served {
            self.unserved.push_back((now, run));
        }
        Some(content)
    }

    /// `server` has crashed: the contents that may have been the cause, each once.
    /// They are not named again.
    pub fn crashed(&mut self, now: Timestamp, server: &InstanceId) -> Vec<CallerContent> {
        self.forget_old(now);
        let running = self.running.values();
        let unserved = self.unserved.iter().map(|(_, run)| run);
        let aboard = running.chain(unserved).filter(|run| run.server == *server);
        let contents: HashSet<_> = aboard.map(|run| run.content.clone()).collect();
        self.running.retain(|_, run| run.server != *server);
        self.unserved.retain(|(_, run)| run.server != *server);
        let mut contents: Vec<_> = contents.into_iter().collect();
        contents.sort_unstable();
        contents
    }

    fn forget_old(&mut self, now: Timestamp) {
        let is_old = |ended: &Timestamp| now.saturating_since(*ended) > AFTERMATH;
        while self
            .unserved
            .front()
            .is_some_and(|(ended, _)| is_old(ended))
        {
            self.unserved.pop_front();
        }
    }
}
