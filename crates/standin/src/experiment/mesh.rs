//! The users' two meshes, scaled to one machine.

use std::str::FromStr;
use std::time::Duration;

/// One service.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Its name.
    pub name: &'static str,
    /// Priority class of its calls.
    pub class: &'static str,
    /// Whether its calls carry idempotency keys and may not be repeated.
    pub keyed: bool,
    /// Mean service time of its own work in milliseconds.
    pub service_ms: f64,
    /// Services that each of its runs calls, in order.
    pub nested: &'static [&'static str],
    /// Share of the clients' calls; 0 if only other services call it.
    pub share: f64,
    /// Length of its answers to clients.
    pub answer_bytes: u64,
}

/// A whole mesh.
#[derive(Clone, Debug)]
pub struct Mesh {
    /// Its name.
    pub name: &'static str,
    /// Its services.
    pub services: Vec<ServiceShape>,
    /// Servers of each service on each side.
    pub servers_per_side: usize,
    /// Slots of each server.
    pub slots: usize,
    /// Connections that each server takes.
    pub max_connections: usize,
    /// Deadline of one call.
    pub deadline: Duration,
}

/// Length of answers that are not media.
const SHORT_ANSWER_BYTES: u64 = 600;
/// Length of an audio answer.
const AUDIO_ANSWER_BYTES: u64 = 200_000;

impl Mesh {
    /// Podcast hosting in the Midlands.
    pub fn midlands() -> Self {
        let services = vec![
            service("feeds", "normal", 30.0, &["catalogue"], 0.5),
            ServiceShape {
                keyed: true,
                ..service("publishing", "critical", 30.0, &["catalogue", "feeds"], 0.1)
            },
            ServiceShape {
                answer_bytes: AUDIO_ANSWER_BYTES,
                ..service("audio", "normal", 40.0, &["catalogue"], 0.2)
            },
            service("catalogue", "sheddable", 25.0, &[], 0.2),
        ];
        Mesh {
            name: "midlands",
            services,
            servers_per_side: 2,
            slots: 6,
            max_connections: 110,
            deadline: Duration::from_millis(1000),
        }
    }

    /// Top-ups in Sofia.
    pub fn sofia() -> Self {
        let services = vec![
            service("balance", "normal", 25.0, &["receipts"], 0.6),
            ServiceShape {
                keyed: true,
                ..service("topup", "critical", 30.0, &["balance", "receipts"], 0.1)
            },
            service("voucher", "sheddable", 40.0, &["balance"], 0.3),
            service("receipts", "normal", 20.0, &[], 0.0),
        ];
        Mesh {
            name: "sofia",
            services,
            servers_per_side: 2,
            slots: 5,
            max_connections: 130,
            deadline: Duration::from_millis(1000),
        }
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceShape> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Calls to `target` that one call to `name` makes, itself included.
    pub fn calls_to(&self, name: &str, target: &str) -> f64 {
        let Some(service) = self.service(name) else {
            return 0.0;
        };
        let own = if name == target { 1.0 } else { 0.0 };
        let nested = service.nested.iter();
        own + nested.map(|next| self.calls_to(next, target)).sum::<f64>()
    }

    /// Time in milliseconds for which one call to `name` holds a slot, when
    /// `slowed` is slower by `factor`.
    fn slot_ms(&self, name: &str, slowed: &str, factor: f64) -> f64 {
        let Some(service) = self.service(name) else {
            return 0.0;
        };
        let own = service.service_ms * if name == slowed { factor } else { 1.0 };
        let nested = service.nested.iter();
        own + nested
            .map(|next| self.slot_ms(next, slowed, factor))
            .sum::<f64>()
    }

    /// Requests a second that the mesh can serve at best with the clients' mix
    /// on `sides` sides, when `slowed` is slower by `factor`.
    pub fn capacity(&self, sides: usize, slowed: &str, factor: f64) -> f64 {
        let slots = (self.slots * self.servers_per_side * sides) as f64;
        let limits = self.services.iter().map(|service| {
            let calls = self.calls_per_request(service.name);
            let slot_seconds = self.slot_ms(service.name, slowed, factor) / 1e3;
            slots / (calls * slot_seconds)
        });
        limits.fold(f64::INFINITY, f64::min)
    }

    /// Calls to `target` that one request of the mix makes on average.
    pub fn calls_per_request(&self, target: &str) -> f64 {
        let total: f64 = self.services.iter().map(|service| service.share).sum();
        let calls = self
            .services
            .iter()
            .map(|service| service.share * self.calls_to(service.name, target));
        calls.sum::<f64>() / total
    }

    /// The service that the mix loads most.
    pub fn most_loaded(&self) -> &'static str {
        let load = |service: &&ServiceShape| {
            self.calls_per_request(service.name) * self.slot_ms(service.name, "", 1.0)
        };
        let most = self
            .services
            .iter()
            .max_by(|left, right| load(left).total_cmp(&load(right)));
        most.map_or("", |service| service.name)
    }
}

impl FromStr for Mesh {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "midlands" => Ok(Mesh::midlands()),
            "sofia" => Ok(Mesh::sofia()),
            _ => Err("a mesh is `midlands` or `sofia`".to_owned()),
        }
    }
}

fn service(
    name: &'static str,
    class: &'static str,
    service_ms: f64,
    nested: &'static [&'static str],
    share: f64,
) -> ServiceShape {
    ServiceShape {
        name,
        class,
        keyed: false,
        service_ms,
        nested,
        share,
        answer_bytes: SHORT_ANSWER_BYTES,
    }
}
