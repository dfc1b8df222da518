//! The operators' configuration: routes, services, request limits and tenants.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use minicbor::{Decode, Encode};
use thiserror::Error;

use crate::mesh::codec;
use crate::mesh::route::Route;
use crate::mesh::tenant::{KeyDigest, Tenant};

/// Settings of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ServiceSettings {
    /// Maximum number of connections to each server of the service; none if not configured.
    #[n(0)]
    pub max_connections: Option<u32>,
}

/// Limits on callers' requests and connections. The node's own default applies to each limit
/// that is not set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RequestLimits {
    /// Maximum size of a request's head, bytes.
    #[n(0)]
    pub max_header_bytes: Option<u64>,
    /// Maximum size of a request's body, bytes.
    #[n(1)]
    pub max_body_bytes: Option<u64>,
    /// Maximum time for a request's head to arrive.
    #[cbor(n(2), with = "codec::optional_duration")]
    pub header_timeout: Option<Duration>,
    /// Maximum time that a keep-alive connection may be idle.
    #[cbor(n(3), with = "codec::optional_duration")]
    pub idle_timeout: Option<Duration>,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Configuration {
    /// Version number, which rises with each change of the configuration.
    #[n(0)]
    pub version: u64,
    /// All routes.
    #[n(1)]
    pub routes: Vec<Route>,
    /// Settings of all services, by service name.
    #[n(2)]
    pub services: BTreeMap<String, ServiceSettings>,
    /// Limits on callers' requests and connections.
    #[n(3)]
    pub limits: RequestLimits,
    /// All tenants. If there are none, no request needs an API key.
    #[n(4)]
    pub tenants: Vec<Tenant>,
}

/// Reason why a configuration is invalid, with the invalid route or tenant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// A route's path prefix does not begin and end with a slash.
    #[error("route {route}: path prefix {prefix:?} must begin and end with a slash")]
    BarePrefix {
        /// The route's name.
        route: String,
        /// The invalid path prefix.
        prefix: String,
    },
    /// A route has no host.
    #[error("route {route}: no host")]
    NoHost {
        /// The route's name.
        route: String,
    },
    /// A route has no destination, or none with a weight above zero.
    #[error("route {route}: no destination with a weight above zero")]
    NoDestination {
        /// The route's name.
        route: String,
    },
    /// A route's destination is not among the configured services.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service's name.
        service: String,
    },
    /// A route allows no attempts, so its requests could be sent to no server.
    #[error("route {route}: at least one attempt must be allowed")]
    NoAttempts {
        /// The route's name.
        route: String,
    },
    /// Two routes match the same host and path prefix.
    #[error("route {route}: another route has its host and path prefix")]
    DuplicateMatch {
        /// The route's name.
        route: String,
    },
    /// A tenant has no name by which it could be identified to servers.
    #[error("a tenant has no name")]
    UnnamedTenant,
    /// Two tenants have the same name.
    #[error("tenant {tenant}: another tenant has its name")]
    DuplicateTenant {
        /// The tenant's name.
        tenant: String,
    },
    /// An API key belongs to two tenants. The error does not contain the key.
    #[error("tenant {tenant}: one of its keys is also a key of {other}")]
    SharedKey {
        /// The tenant's name.
        tenant: String,
        /// The other tenant's name.
        other: String,
    },
}

impl Configuration {
    /// Validates the configuration and returns every error found; empty if it is valid.
    pub fn findings(&self) -> Vec<ConfigurationError> {
        let mut matches = HashSet::new();
        let mut findings = Vec::new();
        for route in &self.routes {
            self.check_route(route, &mut findings);
            if !matches.insert((route.host.as_str(), route.path_prefix.as_str())) {
                let route = route.name.clone();
                findings.push(ConfigurationError::DuplicateMatch { route });
            }
        }
        self.check_tenants(&mut findings);
        findings
    }

    fn check_tenants(&self, findings: &mut Vec<ConfigurationError>) {
        let mut names = HashSet::new();
        let mut owners: HashMap<&KeyDigest, &str> = HashMap::new();
        for tenant in &self.tenants {
            let name = tenant.name.as_str();
            if name.is_empty() {
                findings.push(ConfigurationError::UnnamedTenant);
            } else if !names.insert(name) {
                let tenant = name.to_owned();
                findings.push(ConfigurationError::DuplicateTenant { tenant });
            }
            for key in &tenant.keys {
                let owner = *owners.entry(key).or_insert(name);
                if owner != name {
                    findings.push(ConfigurationError::SharedKey {
                        tenant: name.to_owned(),
                        other: owner.to_owned(),
                    });
                }
            }
        }
    }

    fn check_route(&self, route: &Route, findings: &mut Vec<ConfigurationError>) {
        let name = || route.name.clone();
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let prefix = prefix.clone();
            findings.push(ConfigurationError::BarePrefix {
                route: name(),
                prefix,
            });
        }
        if route.host.is_empty() {
            findings.push(ConfigurationError::NoHost { route: name() });
        }
        if route.destinations.iter().all(|part| part.weight == 0) {
            findings.push(ConfigurationError::NoDestination { route: name() });
        }
        if route.max_attempts == 0 {
            findings.push(ConfigurationError::NoAttempts { route: name() });
        }
        for part in &route.destinations {
            if !self.services.contains_key(&part.service) {
                let service = part.service.clone();
                findings.push(ConfigurationError::UnknownService {
                    route: name(),
                    service,
                });
            }
        }
    }
}
