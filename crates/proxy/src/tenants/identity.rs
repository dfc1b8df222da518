//! Finds the tenant that a request's key belongs to. Keys are removed from requests here and are
//! not sent any further.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use lifthollow_coordination::mesh::request_tree;
use lifthollow_coordination::mesh::server_admission::ServerAdmission;
use lifthollow_coordination::mesh::tenants::authentication::Denial;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{KeyDigest, Route, Tenant};

use crate::node::{Node, TrafficState};
use crate::peer_headers;

/// How long a request is assumed to run at most if its route sets no timeout.
const LONGEST_RUN: Duration = Duration::from_secs(30);

/// Returns the tenant of a request on `route`; none if the request needs no key. Removes the key
/// and any tenant name from the request's headers.
///
/// # Errors
///
/// The request needs a key, but carries none that is known to be valid.
pub(crate) fn identify(
    node: &Rc<Node>,
    headers: &mut HeaderMap,
    route: &Route,
) -> Result<Option<Arc<Tenant>>, Denial> {
    let view_age = node.view_age();
    let state = node.state.borrow();
    headers.remove(&node.names.tenant);
    if !state.tenants.keys.has_tenants() {
        return Ok(None);
    }
    let key = key_digest(node, headers);
    headers.remove(&node.names.authorization);
    let max_view_age = node.settings.max_view_age_for_keys;
    let identified = state
        .tenants
        .keys
        .authenticate(route, key, view_age, max_view_age);
    match identified {
        // Nested calls of runs on the local server carry no key.
        Err(Denial::NoKey) if is_call_of_run(node, &state.admission, headers) => Ok(None),
        Err(Denial::NoKey) if may_be_call_of_earlier_run(node, &state, headers) => {
            Err(Denial::UnknownRun)
        }
        other => other,
    }
}

fn key_digest(node: &Rc<Node>, headers: &HeaderMap) -> Option<KeyDigest> {
    let value = headers.get(&node.names.authorization)?.as_bytes();
    let space = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, key) = value.split_at(space);
    let is_known_scheme = scheme.eq_ignore_ascii_case(node.names.key_scheme.as_bytes());
    is_known_scheme.then(|| KeyDigest::of(key.trim_ascii()))
}

/// Whether a request names another one that the local server may have begun to run before this node
/// started. Its deadline is that of the other one, which no route allows to be further off than its
/// timeout.
fn may_be_call_of_earlier_run(node: &Rc<Node>, state: &TrafficState, headers: &HeaderMap) -> bool {
    if request_tree::parent_id(node.names.request_id_of(headers)).is_none() {
        return false;
    }
    let runs_since = node.now().saturating_since(Timestamp::ZERO);
    let left = peer_headers::milliseconds(headers, &node.names.deadline_ms).unwrap_or_default();
    let routes = state.routes.as_ref();
    let longest = routes.and_then(|routes| routes.longest_timeout());
    let longest = longest.unwrap_or(LONGEST_RUN);
    runs_since.saturating_add(left) <= longest
}

fn is_call_of_run(node: &Rc<Node>, admission: &ServerAdmission, headers: &HeaderMap) -> bool {
    admission.has_parent(node.now(), node.names.request_id_of(headers))
}
