//! The tenant of a request's key. Keys go no further than this.

use std::rc::Rc;
use std::sync::Arc;

use hyper::HeaderMap;
use lifthollow_coordination::mesh::server_admission::ServerAdmission;
use lifthollow_coordination::mesh::tenants::authentication::Denial;
use lifthollow_state::mesh::{KeyDigest, Route, Tenant};

use crate::node::Node;

/// The tenant of a request on `route`; none if it needs none. Its key and what it says of its
/// tenant are taken from its headers.
///
/// # Errors
///
/// It needs a key, and hasn't one that is known to be good.
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
    let oldest = node.settings.oldest_view_for_keys;
    let identified = state
        .tenants
        .keys
        .authenticate(route, key, view_age, oldest);
    match identified {
        // A run on the server beside this node asks without a key.
        Err(Denial::NoKey) if is_call_of_run(node, &state.admission, headers) => Ok(None),
        other => other,
    }
}

fn key_digest(node: &Rc<Node>, headers: &HeaderMap) -> Option<KeyDigest> {
    let value = headers.get(&node.names.authorization)?.as_bytes();
    let space = value.iter().position(|sign| *sign == b' ')?;
    let (scheme, key) = value.split_at(space);
    let is_known_scheme = scheme.eq_ignore_ascii_case(node.names.key_scheme.as_bytes());
    is_known_scheme.then(|| KeyDigest::of(key.trim_ascii()))
}

fn is_call_of_run(node: &Rc<Node>, admission: &ServerAdmission, headers: &HeaderMap) -> bool {
    admission.has_parent(node.names.request_id_of(headers))
}
