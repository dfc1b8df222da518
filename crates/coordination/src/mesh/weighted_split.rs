//! Splits a route's requests over its services by weight.
//!
//! Smooth weighted round robin: each service gathers its share of every request
//! and the one that has gathered most is taken, so that any run of requests is
//! split as exactly as whole numbers allow. Every node starts at a random
//! point; otherwise all would begin with the heaviest service.

use std::collections::HashMap;

use lifthollow_state::mesh::{Destination, Route};
use rand::{Rng, RngExt};

/// What the services of one route have gathered.
#[derive(Clone, Debug)]
struct Shares {
    destinations: Vec<Destination>,
    gathered: Vec<f64>,
}

/// The splits of all routes that have several services.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    by_route: HashMap<String, Shares>,
}

impl WeightedSplit {
    /// The service that takes the next request of `route`.
    pub fn choose<'r>(&mut self, route: &'r Route, random: &mut impl Rng) -> &'r str {
        if let [only] = route.destinations.as_slice() {
            return &only.service;
        }
        let shares = match self.by_route.get_mut(&route.name) {
            Some(shares) if shares.destinations == route.destinations => shares,
            _ => {
                let fresh = Shares::starting_anywhere(&route.destinations, random);
                self.by_route.insert(route.name.clone(), fresh);
                self.by_route
                    .get_mut(&route.name)
                    .expect("it was just inserted")
            }
        };
        &route.destinations[shares.next()].service
    }

    /// Forgets routes that are not in force any more.
    pub fn retain(&mut self, mut is_in_force: impl FnMut(&str) -> bool) {
        self.by_route.retain(|name, _| is_in_force(name));
    }
}

impl Shares {
    fn starting_anywhere(destinations: &[Destination], random: &mut impl Rng) -> Self {
        let gathered = destinations.iter().map(|_| random.random::<f64>());
        Shares {
            gathered: gathered.collect(),
            destinations: destinations.to_vec(),
        }
    }

    fn next(&mut self) -> usize {
        let total: u64 = self
            .destinations
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        for (gathered, part) in self.gathered.iter_mut().zip(&self.destinations) {
            *gathered += f64::from(part.weight) / total as f64;
        }
        let with_weight = |index: &usize| self.destinations[*index].weight > 0;
        let chosen = (0..self.destinations.len())
            .filter(with_weight)
            .max_by(|a, b| self.gathered[*a].total_cmp(&self.gathered[*b]))
            .unwrap_or(0);
        self.gathered[chosen] -= 1.0;
        chosen
    }
}
