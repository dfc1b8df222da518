//! Whether and where a request may run.

use std::rc::Rc;
use std::time::Duration;

use lifthollow_coordination::mesh::poison::content::CallerContent;
use lifthollow_coordination::mesh::poison::suspects::{TRIAL_PAUSE, Verdict, trial_server};
use lifthollow_state::mesh::InstanceId;
use slog::info;
use tokio::time::sleep;

use crate::node::Node;

/// When a request may be tried that can't be now, as its service has one server.
const NO_TRIAL_PAUSE: Duration = Duration::from_secs(30);
/// When a request may come back that is being tried already: its trial is over then, and
/// [`TRIAL_PAUSE`] has passed.
const TRIAL_ELSEWHERE_PAUSE: Duration = TRIAL_PAUSE;

/// Where a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// At every server of its service.
    Anywhere,
    /// At this one, to find out whether it still crashes servers.
    Only(InstanceId),
    /// Nowhere, for this time.
    Blocked(Duration),
}

/// Where a request to `service` may run.
pub(crate) fn permission(node: &Rc<Node>, service: &str, content: &CallerContent) -> Permission {
    let state = node.state.borrow();
    match state.suspects.verdict(node.now(), content) {
        Verdict::Admitted => Permission::Anywhere,
        Verdict::Blocked(time) => Permission::Blocked(time),
        Verdict::OnTrial => {
            let servers = state.snapshots.servers_in_force().into_iter();
            let ready = servers.filter(|server| server.service == service && server.is_ready());
            let ready: Vec<InstanceId> = ready.map(|server| server.id).collect();
            match trial_server(&content.content, &ready) {
                Some(server) => Permission::Only(server.clone()),
                None => Permission::Blocked(NO_TRIAL_PAUSE),
            }
        }
    }
}

/// Waits until what is known of `content` is not so young that a request would be refused for
/// a crash of which other nodes know more.
pub(crate) async fn settled(node: &Rc<Node>, content: &CallerContent) {
    loop {
        let now = node.now();
        let left = node.state.borrow().suspects.settles_in(now, content);
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}

/// Whether an attempt may run at the server beside this node; if not, for how long.
pub(crate) fn refused_for(
    node: &Rc<Node>,
    server: &InstanceId,
    content: &CallerContent,
) -> Option<Duration> {
    match permission(node, &node.settings.service, content) {
        Permission::Anywhere => None,
        Permission::Blocked(time) => Some(time),
        Permission::Only(other) if other != *server => Some(TRIAL_ELSEWHERE_PAUSE),
        Permission::Only(_) => {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            let may_run = state.suspects.begin_trial(now, &content.content);
            drop(state);
            if may_run {
                info!(node.log, "content tried"; "content" => %content, "server" => server.as_str());
            }
            (!may_run).then_some(TRIAL_ELSEWHERE_PAUSE)
        }
    }
}
