//! Which tenant a request belongs to.
//!
//! A key that was taken away must open nothing once the time for that has passed, at any
//! node: also one that was cut off, paused or suspended, and can't know. So a node takes keys
//! only while an upper bound of its view's age, on a clock that counts suspensions, is below
//! that time. What is later than the check (queues, repeats) needs no second one, since the
//! time runs until the request was sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::mesh::{Configuration, KeyDigest, Route, Tenant};

/// Kept back of the time in which a revocation must be in force. Ages are upper bounds, so it
/// covers only that clocks run at different speeds, 1% at most here. Of the time that a node
/// serves without the source it costs 0.05 of 5 s.
const REVOCATION_MARGIN: f64 = 0.05;
/// An unknown key may be younger than a view that is older than this, so its sender is asked to
/// come again. Views of nodes in touch are at most 1.3 s old, and a new configuration is to be in
/// force within 2 s.
const CONCLUSIVE_VIEW: Duration = Duration::from_secs(2);

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has no key, and needs one.
    NoKey,
    /// Its key belongs to no tenant.
    UnknownKey,
    /// This node's view is too old to tell.
    ViewTooOld,
}

/// How old a view may be by which keys are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldestView(Duration);

impl OldestView {
    /// Keys that were taken away are refused within `revocation`, by nodes in touch and others.
    pub fn for_revocation(revocation: Duration) -> Self {
        OldestView(revocation.mul_f64(1.0 - REVOCATION_MARGIN))
    }
}

/// The keys of one configuration.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    has_tenants: bool,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    by_name: HashMap<String, Arc<Tenant>>,
}

impl KeyTable {
    /// The keys of `configuration`.
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

    /// Whether there are tenants, so that requests need keys.
    pub fn has_tenants(&self) -> bool {
        self.has_tenants
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// The tenant of a request on `route` with `key`; none if it has none and needs none. The
    /// view is at most `view_age` old; none if it was never confirmed. Without `oldest`, keys
    /// are taken however old it is.
    ///
    /// # Errors
    ///
    /// The request needs a key, and hasn't one that is known to be good.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
        view_age: Option<Duration>,
        oldest: Option<OldestView>,
    ) -> Result<Option<Arc<Tenant>>, Denial> {
        if !self.has_tenants {
            return Ok(None);
        }
        match self.tenant_of(key, view_age, oldest) {
            Ok(tenant) => Ok(Some(tenant)),
            Err(_) if !route.needs_key => Ok(None),
            Err(denial) => Err(denial),
        }
    }

    fn tenant_of(
        &self,
        key: Option<KeyDigest>,
        view_age: Option<Duration>,
        oldest: Option<OldestView>,
    ) -> Result<Arc<Tenant>, Denial> {
        let key = key.ok_or(Denial::NoKey)?;
        let is_older_than = |limit: Duration| view_age.is_none_or(|age| age >= limit);
        let Some(tenant) = self.by_key.get(&key) else {
            return Err(match is_older_than(CONCLUSIVE_VIEW) {
                true => Denial::ViewTooOld,
                false => Denial::UnknownKey,
            });
        };
        if oldest.is_some_and(|OldestView(limit)| is_older_than(limit)) {
            return Err(Denial::ViewTooOld);
        }
        Ok(tenant.clone())
    }
}
