//! A chain of 17 services, each calling the next.

use std::time::Duration;

use lifthollow_state::{PriorityClass, ServiceName};

use super::{Mesh, RequestKind, ServiceModel, Visit, calling, once, visit};

const DEPTH: usize = 17;
const SLOTS: u32 = 15;
const MAX_CONNECTIONS: u32 = 110;
const WORK_MILLIS: u64 = 8;
const DEADLINE: Duration = Duration::from_secs(4);

/// Delays and servers as in the Midlands mesh, with a deeper call graph.
pub fn mesh() -> Mesh {
    Mesh {
        name: "deep-chain",
        zones_per_side: 3,
        local_delay: Duration::from_micros(100),
        zone_delay: Duration::from_micros(500),
        client_delay: Duration::from_millis(1),
        connection_cost: Duration::from_millis(1),
        services: (0..DEPTH).map(service).collect(),
        kinds: vec![
            kind("deep", PriorityClass::Normal, 0.85, chain(false)),
            kind("deep-bulk", PriorityClass::Sheddable, 0.10, chain(false)),
            kind("deep-order", PriorityClass::Critical, 0.05, chain(true)),
        ],
    }
}

fn service(position: usize) -> ServiceModel {
    ServiceModel {
        name: ServiceName::new(&format!("chain-{:02}", position + 1)),
        servers_per_side: 3,
        // The further up, the longer a slot is held by calls below.
        slots: SLOTS,
        max_connections: MAX_CONNECTIONS,
        class: PriorityClass::Normal,
        repeatable: true,
        deadline: DEADLINE,
    }
}

fn chain(at_most_once: bool) -> Vec<Visit> {
    (0..DEPTH)
        .map(|position| link(position, at_most_once))
        .collect()
}

fn link(position: usize, at_most_once: bool) -> Visit {
    let plain = visit(position, WORK_MILLIS);
    let linked = if position + 1 < DEPTH {
        calling(plain, &[&[position + 1]])
    } else {
        plain
    };
    if at_most_once { once(linked) } else { linked }
}

fn kind(name: &'static str, class: PriorityClass, share: f64, visits: Vec<Visit>) -> RequestKind {
    RequestKind {
        name,
        class,
        share,
        deadline: DEADLINE,
        client_timeout: DEADLINE / 2,
        visits,
    }
}
