//! Splits a route's requests over its services by weight.
//!
//! Uses smooth weighted round robin: with every request, each service earns credit in proportion
//! to its weight, and the service with the most credit gets the request and pays 1 for it. Thus any
//! sequence of requests is split as exactly as whole numbers allow. Every node starts with random
//! credits; otherwise all nodes would begin with the service of the largest weight.

use std::collections::HashMap;

use lifthollow_state::mesh::{Destination, Route};
use rand::{Rng, RngExt};

/// The state of the round robin over the services of one route.
#[derive(Clone, Debug)]
struct RoundRobin {
    destinations: Vec<Destination>,
    /// The credit of each destination, in requests.
    credits: Vec<f64>,
}

/// The round robins of all routes that have several services.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    by_route: HashMap<String, RoundRobin>,
}

impl WeightedSplit {
    /// Chooses the service for the next request of `route`.
    pub fn choose<'r>(&mut self, route: &'r Route, random: &mut impl Rng) -> &'r str {
        if let [only] = route.destinations.as_slice() {
            return &only.service;
        }
        let round_robin = match self.by_route.get_mut(&route.name) {
            Some(round_robin) if round_robin.destinations == route.destinations => round_robin,
            _ => {
                let fresh = RoundRobin::with_random_credits(&route.destinations, random);
                self.by_route.insert(route.name.clone(), fresh);
                self.by_route
                    .get_mut(&route.name)
                    .expect("the round robin was just inserted")
            }
        };
        &route.destinations[round_robin.next_index()].service
    }

    /// Removes the state of routes for which `is_in_force` returns false.
    pub fn retain(&mut self, mut is_in_force: impl FnMut(&str) -> bool) {
        self.by_route.retain(|name, _| is_in_force(name));
    }
}

impl RoundRobin {
    /// Creates the state with random credits.
    fn with_random_credits(destinations: &[Destination], random: &mut impl Rng) -> Self {
        let credits = destinations.iter().map(|_| random.random::<f64>());
        RoundRobin {
            credits: credits.collect(),
            destinations: destinations.to_vec(),
        }
    }

    /// Returns the index of the destination that gets the next request.
    fn next_index(&mut self) -> usize {
        let total: u64 = self
            .destinations
            .iter()
            .map(|destination| u64::from(destination.weight))
            .sum();
        for (credit, destination) in self.credits.iter_mut().zip(&self.destinations) {
            *credit += f64::from(destination.weight) / total as f64;
        }
        let with_weight = |index: &usize| self.destinations[*index].weight > 0;
        let chosen = (0..self.destinations.len())
            .filter(with_weight)
            .max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))
            .unwrap_or(0);
        self.credits[chosen] -= 1.0;
        chosen
    }
}
