//! Tests of the authentication of requests and of the rejection of revoked keys.

mod mesh_support;

use std::time::Duration;

use lifthollow_coordination::mesh::tenants::authentication::{Denial, KeyTable, MaxViewAge};
use lifthollow_coordination::mesh::view_freshness::{ReportedAge, ViewFreshness};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{Configuration, KeyDigest, Route, Tenant};
use mesh_support::{configuration, ms, route};
use quickcheck::quickcheck;

const REVOCATION: Duration = Duration::from_secs(5);

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: 1,
        limit: None,
    }
}

fn configuration_with_tenants(tenants: Vec<Tenant>) -> Configuration {
    let mut open = route("open", "/open/");
    open.needs_key = false;
    Configuration {
        tenants,
        ..configuration(1, vec![route("closed", "/closed/"), open])
    }
}

fn key(text: &str) -> Option<KeyDigest> {
    Some(KeyDigest::of(text.as_bytes()))
}

/// Authenticates a request with `key` on `route` by a view of this `age` and returns the name of
/// its tenant.
fn tenant_name(
    table: &KeyTable,
    route: &Route,
    key: Option<KeyDigest>,
    age: Option<Duration>,
) -> Result<Option<String>, Denial> {
    let max_view_age = Some(MaxViewAge::for_revocation(REVOCATION));
    let tenant = table.authenticate(route, key, age, max_view_age)?;
    Ok(tenant.map(|tenant| tenant.name.clone()))
}

#[test]
fn request_with_a_key_is_assigned_to_the_tenant_of_the_key() {
    let table = KeyTable::new(&configuration_with_tenants(vec![
        tenant("acme", &["one", "two"]),
        tenant("birch", &["three"]),
    ]));
    let closed = route("closed", "/closed/");
    let fresh = Some(ms(100));
    assert_eq!(
        tenant_name(&table, &closed, key("two"), fresh),
        Ok(Some("acme".to_owned()))
    );
    assert_eq!(
        tenant_name(&table, &closed, key("three"), fresh),
        Ok(Some("birch".to_owned()))
    );
    assert_eq!(
        tenant_name(&table, &closed, key("four"), fresh),
        Err(Denial::UnknownKey)
    );
    assert_eq!(
        tenant_name(&table, &closed, None, fresh),
        Err(Denial::NoKey)
    );
}

#[test]
fn routes_without_required_key_admit_all_requests_and_identify_the_tenant_if_known() {
    let table = KeyTable::new(&configuration_with_tenants(vec![tenant("acme", &["one"])]));
    let mut open = route("open", "/open/");
    open.needs_key = false;
    let old = Some(Duration::from_secs(60));
    assert_eq!(tenant_name(&table, &open, None, old), Ok(None));
    assert_eq!(tenant_name(&table, &open, key("unknown"), old), Ok(None));
    assert_eq!(tenant_name(&table, &open, key("one"), old), Ok(None));
    assert_eq!(
        tenant_name(&table, &open, key("one"), Some(ms(9))),
        Ok(Some("acme".to_owned()))
    );
}

#[test]
fn configuration_without_tenants_requires_no_key() {
    let table = KeyTable::new(&configuration_with_tenants(Vec::new()));
    let closed = route("closed", "/closed/");
    assert_eq!(tenant_name(&table, &closed, None, None), Ok(None));
    assert_eq!(tenant_name(&table, &closed, key("any"), None), Ok(None));
}

/// A key that a view doesn't contain may be newer than the view.
#[test]
fn unknown_key_is_rejected_as_unknown_only_by_a_fresh_view() {
    let table = KeyTable::new(&configuration_with_tenants(vec![tenant("acme", &["one"])]));
    let closed = route("closed", "/closed/");
    let old = Some(Duration::from_secs(3));
    assert_eq!(
        tenant_name(&table, &closed, key("new"), old),
        Err(Denial::ViewTooOld)
    );
    assert_eq!(
        tenant_name(&table, &closed, key("new"), None),
        Err(Denial::ViewTooOld)
    );
    assert_eq!(tenant_name(&table, &closed, None, old), Err(Denial::NoKey));
}

#[test]
fn keys_are_accepted_from_old_views_if_no_revocation_time_is_set() {
    let table = KeyTable::new(&configuration_with_tenants(vec![tenant("acme", &["one"])]));
    let closed = route("closed", "/closed/");
    let old = Some(Duration::from_secs(60));
    assert!(table.authenticate(&closed, key("one"), old, None).is_ok());
}

/// Chain of nodes: the first one reads the source, and each other one learns from the one before
/// it.
struct Chain {
    views: Vec<ViewFreshness>,
    /// Last configuration revision that each node has.
    revisions: Vec<u64>,
}

quickcheck! {
    /// No node accepts a revoked key more than [`REVOCATION`] after its revocation, however long
    /// messages take or processes are paused. Each step consists of a node that asks the one before
    /// it, or the source, the times that the request and the response take, and the time until the
    /// next step.
    fn no_node_accepts_a_revoked_key_after_the_revocation_time(
        steps: Vec<(u8, u16, u16, u16)>,
        revoked_at: u16
    ) -> bool {
        const NODES: usize = 5;
        let table = KeyTable::new(&configuration_with_tenants(vec![tenant("acme", &["one"])]));
        let closed = route("closed", "/closed/");
        let mut chain = Chain {
            views: vec![ViewFreshness::default(); NODES],
            revisions: vec![0; NODES],
        };
        let revoked = Timestamp::ZERO + Duration::from_millis(u64::from(revoked_at));
        let mut now = Timestamp::ZERO;
        for (node, request_ms, response_ms, pause_ms) in steps {
            let node = usize::from(node) % NODES;
            let asked = now;
            now = now + Duration::from_millis(u64::from(request_ms) % 2000);
            // Revision and view age of the source, or of the node before, when the request arrives.
            let (revision, age) = match node {
                0 => (u64::from(now >= revoked), Some(Duration::ZERO)),
                _ => (chain.revisions[node - 1], chain.views[node - 1].age(now)),
            };
            now = now + Duration::from_millis(u64::from(response_ms) % 2000);
            if revision >= chain.revisions[node] && let Some(age) = age {
                chain.revisions[node] = revision;
                let reported = ReportedAge { age, hold_time: Duration::ZERO };
                let age = reported.max_age_on_arrival(now.saturating_since(asked));
                chain.views[node].confirm(now, now.saturating_sub(age));
            }
            now = now + Duration::from_millis(u64::from(pause_ms) % 3000);
            for (view, revision) in chain.views.iter().zip(&chain.revisions) {
                let is_known_to_be_revoked = *revision > 0;
                let is_accepted = tenant_name(&table, &closed, key("one"), view.age(now)).is_ok();
                let is_late = now.saturating_since(revoked) > REVOCATION && now > revoked;
                if is_accepted && is_late && !is_known_to_be_revoked {
                    return false;
                }
            }
        }
        true
    }
}
