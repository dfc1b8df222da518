//! Decides whether and where a request that may crash servers may run.

use std::rc::Rc;
use std::time::Duration;

use lifthollow_coordination::mesh::poison::content::CallerContent;
use lifthollow_coordination::mesh::poison::suspects::{
    MIN_TRIAL_INTERVAL, RunDecision, trial_server,
};
use lifthollow_state::mesh::InstanceId;
use slog::info;
use tokio::time::sleep;

use crate::node::Node;

/// Time after which callers may retry a request that needs a trial run, but whose service has too
/// few servers for one.
const SINGLE_SERVER_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time after which callers may retry a request while a trial is in progress, or if its trial must
/// run at another server: by then that trial is over and [`MIN_TRIAL_INTERVAL`] has passed.
const ONGOING_TRIAL_RETRY_AFTER: Duration = MIN_TRIAL_INTERVAL;

/// Where a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// The request may run at every server of its service.
    Anywhere,
    /// The request may run only at this server, as a trial that shows whether it still crashes
    /// servers.
    Only(InstanceId),
    /// The request may run nowhere for this time.
    Blocked(Duration),
}

/// Returns where a request with `content` to `service` may run.
pub(crate) fn permission(node: &Rc<Node>, service: &str, content: &CallerContent) -> Permission {
    let state = node.state.borrow();
    match state.suspects.decision(node.now(), content) {
        RunDecision::Admitted => Permission::Anywhere,
        RunDecision::Blocked(time) => Permission::Blocked(time),
        RunDecision::OnTrial => {
            let servers = state.snapshots.active_servers().into_iter();
            let ready = servers.filter(|server| server.service == service && server.is_ready());
            let ready: Vec<InstanceId> = ready.map(|server| server.id).collect();
            match trial_server(&content.content, &ready) {
                Some(server) => Permission::Only(server.clone()),
                None => Permission::Blocked(SINGLE_SERVER_RETRY_AFTER),
            }
        }
    }
}

/// Waits until reports about `content` are no longer so recent that other nodes may know more about
/// the crash: the request could otherwise be refused without need.
pub(crate) async fn wait_for_refusal_delay(node: &Rc<Node>, content: &CallerContent) {
    loop {
        let now = node.now();
        let left = node.state.borrow().suspects.refusal_delay(now, content);
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}

/// Checks whether an attempt may run at the local server, and begins a trial if it needs
/// one. Returns `None` if the attempt may run, or the time for which it is refused otherwise.
pub(crate) fn refuse_or_begin_trial(
    node: &Rc<Node>,
    server: &InstanceId,
    content: &CallerContent,
) -> Option<Duration> {
    match permission(node, &node.settings.service, content) {
        Permission::Anywhere => None,
        Permission::Blocked(time) => Some(time),
        Permission::Only(other) if other != *server => Some(ONGOING_TRIAL_RETRY_AFTER),
        Permission::Only(_) => {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            let may_run = state.suspects.begin_trial(now, &content.content);
            drop(state);
            if may_run {
                info!(node.log, "content tried"; "content" => %content, "server" => server.as_str());
            }
            (!may_run).then_some(ONGOING_TRIAL_RETRY_AFTER)
        }
    }
}
