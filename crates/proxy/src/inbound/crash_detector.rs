//! Tells a server that crashed from one that lost an answer: nobody listens at its
//! address any more.

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

/// How long a look may take. The server is on the same machine: its system refuses
/// or takes a connection within a millisecond.
const LOOK_LIMIT: Duration = Duration::from_millis(50);
/// A server may lose an answer and crash under that request a moment later: it is
/// looked at again after these times. One was seen to crash 115 ms after its answer
/// had broken off.
const LOOKS_AGAIN: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];
/// At most so many contents are named in the line on a crash.
const NAMED_CONTENTS: usize = 16;

/// A look at the server's address that several lost answers wait for.
type Look = Shared<LocalBoxFuture<'static, bool>>;

/// What is known of crashes of the server beside a node.
#[derive(Default)]
pub struct CrashDetector {
    /// The server that crashed last.
    crashed: RefCell<Option<InstanceId>>,
    look: RefCell<Option<Look>>,
    is_watching: Cell<bool>,
}

/// Whether `server`, which lost an answer, has crashed. If it has not, it is watched
/// for a moment.
pub(super) async fn has_crashed(node: &Rc<Node>, server: &InstanceId) -> bool {
    if is_known_crash(node, server) {
        return true;
    }
    if node.is_leaving(server) {
        // Its end is planned, and what still runs there is not its cause.
        return false;
    }
    if look(node).await {
        note_crash(node, server);
        return true;
    }
    watch(node, server);
    false
}

/// `server` refused a connection: it has crashed, unless its end was planned.
pub(super) fn note_refused(node: &Rc<Node>, server: &InstanceId, error: &io::Error) {
    let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
    if is_refused && !node.is_leaving(server) && !is_known_crash(node, server) {
        note_crash(node, server);
    }
}

fn is_known_crash(node: &Rc<Node>, server: &InstanceId) -> bool {
    let crashed = node.crash_detector.crashed.borrow();
    crashed.as_ref() == Some(server)
}

/// Whether nobody listens at the server's address. Answers that are lost at the same
/// moment share a look.
async fn look(node: &Rc<Node>) -> bool {
    let look = {
        let mut current = node.crash_detector.look.borrow_mut();
        current.get_or_insert_with(|| start_look(node)).clone()
    };
    let nobody_listens = look.await;
    node.crash_detector.look.borrow_mut().take();
    nobody_listens
}

fn start_look(node: &Rc<Node>) -> Look {
    let connecting = node.network.connect(node.settings.server_address);
    let look = async move {
        match timeout(LOOK_LIMIT, connecting).await {
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    };
    look.boxed_local().shared()
}

fn watch(node: &Rc<Node>, server: &InstanceId) {
    if !node.crash_detector.is_watching.replace(true) {
        tokio::task::spawn_local(look_again(node.clone(), server.clone()));
    }
}

async fn look_again(node: Rc<Node>, server: InstanceId) {
    for pause in LOOKS_AGAIN {
        sleep(pause).await;
        if is_known_crash(&node, &server) || node.is_leaving(&server) {
            break;
        }
        if look(&node).await {
            note_crash(&node, &server);
            break;
        }
    }
    node.crash_detector.is_watching.set(false);
}

fn note_crash(node: &Rc<Node>, server: &InstanceId) {
    let contents = {
        let mut state = node.state.borrow_mut();
        state.server_runs.crashed(node.now(), server)
    };
    if contents.is_empty() {
        // It ran nothing: as before its start, or long after its end.
        return;
    }
    *node.crash_detector.crashed.borrow_mut() = Some(server.clone());
    node.metrics.server_crashes.inc();
    info!(node.log, "server crashed"; "server" => server.as_str(), "runs" => contents.len(),
        "contents" => named(&contents), "revision" => %node.revision());
    suspects::note_own_crash(node, server, &contents);
}

fn named(contents: &[CallerContent]) -> String {
    let named = contents.iter().take(NAMED_CONTENTS);
    let named: Vec<String> = named.map(ToString::to_string).collect();
    named.join(" ")
}
