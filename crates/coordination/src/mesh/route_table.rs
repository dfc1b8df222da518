//! Finds the route of a request by its host and the longest matching path prefix.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::mesh::{Configuration, Route};

/// The routes of one configuration, indexed by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    by_host: HashMap<String, HashMap<String, Arc<Route>>>,
    longest_timeout: Option<Duration>,
}

impl RouteTable {
    /// Creates the index of the routes of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        let timeouts = configuration.routes.iter().map(|route| route.timeout);
        RouteTable {
            version: configuration.version,
            by_host,
            longest_timeout: timeouts
                .collect::<Option<Vec<_>>>()
                .and_then(|all| all.into_iter().max()),
        }
    }

    /// The longest time for which a request may be processed; `None` if the routes set no limit.
    pub fn longest_timeout(&self) -> Option<Duration> {
        self.longest_timeout
    }

    /// The version of the configuration that the routes come from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request for `host` (a port after a colon is ignored) and `path`
    /// (without its query).
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let by_prefix = match self.by_host.get(host) {
            Some(by_prefix) => by_prefix,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path
            .char_indices()
            .rev()
            .filter(|(_, character)| *character == '/');
        slashes
            .map(|(position, _)| &path[..=position])
            .find_map(|prefix| by_prefix.get(prefix))
    }
}
