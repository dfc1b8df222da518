//! Requests running on the local server of a node, to find which of them may have caused a crash.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::InstanceId;

use crate::inbound::InboundId;
use crate::mesh::poison::content::CallerContent;

/// Time after its end for which a run without a successful response is suspected if the server
/// crashes. A server may interrupt a response, or lose its caller, and still crash because of that
/// run: in recorded days 115 ms after the run's start, or 35 to 59 ms.
const SUSPECT_AFTER_END: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Run {
    content: CallerContent,
    server: InstanceId,
}

/// Runs in progress on the local server of a node, and runs that recently ended without a
/// successful response.
#[derive(Clone, Debug, Default)]
pub struct ServerRuns {
    running: HashMap<InboundId, Run>,
    /// Runs that ended without a successful response, with the time of their end; oldest first.
    ended_unserved: VecDeque<(Timestamp, Run)>,
}

impl ServerRuns {
    /// Records that a request with this content was sent to `server`.
    pub fn started(&mut self, run: InboundId, content: CallerContent, server: &InstanceId) {
        let server = server.clone();
        self.running.insert(run, Run { content, server });
    }

    /// Removes a request that did not reach the server, or that the server reported as not run.
    pub fn remove_unstarted(&mut self, run: InboundId) {
        self.running.remove(&run);
    }

    /// Records the end of a run and returns its content. `is_served` states whether the server
    /// responded successfully.
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
            self.ended_unserved.push_back((now, run));
        }
        Some(content)
    }

    /// Records a crash of `server` and returns, without duplicates, the contents that may have
    /// caused it. They are removed, so another call doesn't return them again.
    pub fn take_suspected_contents(
        &mut self,
        now: Timestamp,
        server: &InstanceId,
    ) -> Vec<CallerContent> {
        self.forget_old(now);
        let running = self.running.values();
        let ended_unserved = self.ended_unserved.iter().map(|(_, run)| run);
        let suspected = running
            .chain(ended_unserved)
            .filter(|run| run.server == *server);
        let contents: HashSet<_> = suspected.map(|run| run.content.clone()).collect();
        self.running.retain(|_, run| run.server != *server);
        self.ended_unserved.retain(|(_, run)| run.server != *server);
        let mut contents: Vec<_> = contents.into_iter().collect();
        contents.sort_unstable();
        contents
    }

    fn forget_old(&mut self, now: Timestamp) {
        let is_old = |ended: &Timestamp| now.saturating_since(*ended) > SUSPECT_AFTER_END;
        while self
            .ended_unserved
            .front()
            .is_some_and(|(ended, _)| is_old(ended))
        {
            self.ended_unserved.pop_front();
        }
    }
}
