//! Distinguishes a server that crashed from one that only lost an answer: after a crash no
//! process listens at the server's address.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use lifthollow_coordination::mesh::poison::content::CallerContent;
use lifthollow_state::mesh::InstanceId;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::suspects;

/// Timeout of one connection attempt that checks whether the server still listens. The server is
/// on the same machine, whose system accepts or refuses a connection within a millisecond.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Pauses before the repeated checks of a server that lost an answer but still listens: it may
/// crash under that request a moment later. One server crashed 115 ms after its answer had
/// broken off.
const RECHECK_DELAYS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];
/// The largest number of request contents named in the log line about a crash.
const MAX_LOGGED_CONTENTS: usize = 16;

/// A check whether a process listens at the server's address, shared by all attempts that lost
/// their answers meanwhile. Resolves to true if none listens.
type ListenCheck = Shared<LocalBoxFuture<'static, bool>>;

/// Detects crashes of the local server.
#[derive(Default)]
pub struct CrashDetector {
    /// The server instance whose crash was detected last.
    crashed: RefCell<Option<InstanceId>>,
    /// The check that is running, if there is one.
    check: RefCell<Option<ListenCheck>>,
    /// Whether the server is being checked repeatedly after it lost an answer.
    is_rechecking: Cell<bool>,
}

/// Whether `server`, which lost an answer, has crashed. If it still listens, checks it again
/// after each of [`RECHECK_DELAYS`].
pub(super) async fn has_crashed(node: &Rc<Node>, server: &InstanceId) -> bool {
    if is_known_crash(node, server) {
        return true;
    }
    if node.is_leaving(server) {
        // The server's stop is planned: it is not caused by the requests that still run there.
        return false;
    }
    if is_nobody_listening(node).await {
        record_crash(node, server);
        return true;
    }
    start_rechecks(node, server);
    false
}

/// Records a crash of `server` if it refused a connection and its stop was not planned.
pub(super) fn note_refused(node: &Rc<Node>, server: &InstanceId, error: &io::Error) {
    let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
    if is_refused && !node.is_leaving(server) && !is_known_crash(node, server) {
        record_crash(node, server);
    }
}

fn is_known_crash(node: &Rc<Node>, server: &InstanceId) -> bool {
    let crashed = node.crash_detector.crashed.borrow();
    crashed.as_ref() == Some(server)
}

/// Whether no process listens at the server's address. Attempts that lose their answers at the
/// same moment share one check.
async fn is_nobody_listening(node: &Rc<Node>) -> bool {
    let check = {
        let mut current = node.crash_detector.check.borrow_mut();
        current
            .get_or_insert_with(|| start_listen_check(node))
            .clone()
    };
    let nobody_listens = check.await;
    node.crash_detector.check.borrow_mut().take();
    nobody_listens
}

fn start_listen_check(node: &Rc<Node>) -> ListenCheck {
    let connecting = node.network.connect(node.settings.server_address);
    let check = async move {
        match timeout(CHECK_TIMEOUT, connecting).await {
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    };
    check.boxed_local().shared()
}

fn start_rechecks(node: &Rc<Node>, server: &InstanceId) {
    if !node.crash_detector.is_rechecking.replace(true) {
        tokio::task::spawn_local(recheck(node.clone(), server.clone()));
    }
}

async fn recheck(node: Rc<Node>, server: InstanceId) {
    for pause in RECHECK_DELAYS {
        sleep(pause).await;
        if is_known_crash(&node, &server) || node.is_leaving(&server) {
            break;
        }
        if is_nobody_listening(&node).await {
            record_crash(&node, &server);
            break;
        }
    }
    node.crash_detector.is_rechecking.set(false);
}

fn record_crash(node: &Rc<Node>, server: &InstanceId) {
    let contents = {
        let mut state = node.state.borrow_mut();
        state
            .server_runs
            .take_suspected_contents(node.now(), server)
    };
    if contents.is_empty() {
        // The server ran no request: it has not started yet, or stopped long ago.
        return;
    }
    *node.crash_detector.crashed.borrow_mut() = Some(server.clone());
    node.metrics.server_crashes.inc();
    info!(node.log, "server crashed"; "server" => server.as_str(), "runs" => contents.len(),
        "contents" => join_contents(&contents), "revision" => %node.revision());
    suspects::record_own_crash(node, server, &contents);
}

fn join_contents(contents: &[CallerContent]) -> String {
    let shown = contents.iter().take(MAX_LOGGED_CONTENTS);
    let shown: Vec<String> = shown.map(ToString::to_string).collect();
    shown.join(" ")
}
