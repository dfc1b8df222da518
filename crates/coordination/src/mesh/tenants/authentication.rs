//! Authentication of requests: finds the tenant that a request's key belongs to.
//!
//! Once the revocation time has passed, no node may accept a revoked key, not even a node that was
//! cut off, paused or suspended and can't know of the revocation. So a node accepts keys only while
//! an upper bound of the age of its configuration view, on a clock that counts suspensions, is
//! below that time. Requests that are queued or retried after the check need no second check, since
//! the revocation time applies to when the request was sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::mesh::{Configuration, KeyDigest, Route, Tenant};

/// Safety margin, as a fraction of the time within which a revocation must take effect. Ages are
/// upper bounds, so the margin only has to cover clocks that run at different speeds, by 1% at most
/// here. It shortens the time for which a node serves without the source by 0.05 of 5 s.
const REVOCATION_MARGIN: f64 = 0.05;
/// View age from which an unknown key is not rejected as unknown, because the key may be newer than
/// the view; its sender is asked to retry. Views of connected nodes are at most 1.3 s old, and a
/// new configuration must take effect within 2 s.
const CONCLUSIVE_VIEW_AGE: Duration = Duration::from_secs(2);

/// Reason why a request is rejected by authentication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has no key, but its route needs one.
    NoKey,
    /// The request's key belongs to no tenant.
    UnknownKey,
    /// The request has no key. It names a request that the local server may have begun to run before this
    /// node started, which calls without a key are made for.
    UnknownRun,
    /// This node's configuration view is too old to accept or reject the key.
    ViewTooOld,
}

/// Age that a node's configuration view must not reach for the node to accept keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxViewAge(Duration);

impl MaxViewAge {
    /// Returns the view age with which all nodes, connected or not, reject revoked keys within
    /// `revocation`.
    pub fn for_revocation(revocation: Duration) -> Self {
        MaxViewAge(revocation.mul_f64(1.0 - REVOCATION_MARGIN))
    }
}

/// Tenants of one configuration, by key and by name.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    has_tenants: bool,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    by_name: HashMap<String, Arc<Tenant>>,
}

impl KeyTable {
    /// Builds the table of the tenants of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = KeyTable {
            has_tenants: !configuration.tenants.is_empty(),
            ..KeyTable::default()
        };
        for tenant in &configuration.tenants {
            let shared = Arc::new(tenant.clone());
            for key in &tenant.keys {
                table.by_key.insert(*key, shared.clone());
            }
            table.by_name.insert(tenant.name.clone(), shared);
        }
        table
    }

    /// Returns whether the configuration has tenants, so that requests need keys.
    pub fn has_tenants(&self) -> bool {
        self.has_tenants
    }

    /// Returns the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// Returns the tenant of a request on `route` with `key`, or `None` if there is no tenant for
    /// it and the route needs no key. `view_age` is an upper bound of the age of the configuration
    /// view, `None` if the view was never confirmed. Without `max_view_age`, keys are accepted
    /// whatever the age of the view is.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] if the route needs a key and the request has none that is known to be
    /// valid.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
        view_age: Option<Duration>,
        max_view_age: Option<MaxViewAge>,
    ) -> Result<Option<Arc<Tenant>>, Denial> {
        if !self.has_tenants {
            return Ok(None);
        }
        match self.tenant_by_key(key, view_age, max_view_age) {
            Ok(tenant) => Ok(Some(tenant)),
            Err(_) if !route.needs_key => Ok(None),
            Err(denial) => Err(denial),
        }
    }

    fn tenant_by_key(
        &self,
        key: Option<KeyDigest>,
        view_age: Option<Duration>,
        max_view_age: Option<MaxViewAge>,
    ) -> Result<Arc<Tenant>, Denial> {
        let key = key.ok_or(Denial::NoKey)?;
        let is_older_than = |limit: Duration| view_age.is_none_or(|age| age >= limit);
        let Some(tenant) = self.by_key.get(&key) else {
            return Err(match is_older_than(CONCLUSIVE_VIEW_AGE) {
                true => Denial::ViewTooOld,
                false => Denial::UnknownKey,
            });
        };
        if max_view_age.is_some_and(|MaxViewAge(limit)| is_older_than(limit)) {
            return Err(Denial::ViewTooOld);
        }
        Ok(tenant.clone())
    }
}
