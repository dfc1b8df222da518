//! The top-up mesh: balance, top-up orders, voucher catalogue, receipts.

use std::time::Duration;

use lifthollow_state::{PriorityClass, ServiceName};

use super::{Mesh, RequestKind, ServiceModel, calling, kind, once, visit};

const BALANCE: usize = 0;
const TOP_UP: usize = 1;
const CATALOGUE: usize = 2;
const RECEIPTS: usize = 3;

const MAX_CONNECTIONS: u32 = 130;
const SERVICE_DEADLINE: Duration = Duration::from_millis(2_500);

/// Three zones one millisecond apart, clients three milliseconds away.
pub fn mesh() -> Mesh {
    Mesh {
        name: "sofia",
        zones_per_side: 3,
        local_delay: Duration::from_micros(150),
        zone_delay: Duration::from_millis(1),
        client_delay: Duration::from_millis(3),
        connection_cost: Duration::from_millis(1),
        services: vec![
            service("balance", 4, 8, true),
            service("top-up", 4, 8, false),
            service("catalogue", 4, 8, true),
            service("receipts", 3, 8, true),
        ],
        kinds: kinds(),
    }
}

fn service(name: &str, servers_per_side: u16, slots: u32, repeatable: bool) -> ServiceModel {
    let class = if repeatable {
        PriorityClass::Normal
    } else {
        PriorityClass::Critical
    };
    ServiceModel {
        name: ServiceName::new(name),
        servers_per_side,
        slots,
        max_connections: MAX_CONNECTIONS,
        class,
        repeatable,
        deadline: SERVICE_DEADLINE,
    }
}

fn kinds() -> Vec<RequestKind> {
    let tariff = || visit(CATALOGUE, 70);
    let limits = || visit(BALANCE, 84);
    let normal = PriorityClass::Normal;
    vec![
        kind(
            "balance-lookup",
            normal,
            0.45,
            2_000,
            vec![calling(visit(BALANCE, 112), &[&[1]]), tariff()],
        ),
        kind(
            "top-up",
            PriorityClass::Critical,
            0.25,
            6_000,
            vec![
                once(calling(visit(TOP_UP, 140), &[&[1, 2], &[3]])),
                limits(),
                tariff(),
                once(visit(RECEIPTS, 84)),
            ],
        ),
        kind(
            "receipt-lookup",
            normal,
            0.20,
            2_500,
            vec![calling(visit(RECEIPTS, 112), &[&[1]]), limits()],
        ),
        kind(
            "voucher-pull",
            PriorityClass::Sheddable,
            0.10,
            5_000,
            vec![visit(CATALOGUE, 196)],
        ),
    ]
}
