//! The podcast host: feeds, publishing and billing, audio media, catalogue and ads.

use std::time::Duration;

use lifthollow_state::{PriorityClass, ServiceName};

use super::{Mesh, RequestKind, ServiceModel, Visit, calling, kind, once, visit};

const FEEDS: usize = 0;
const PUBLISHING: usize = 1;
const MEDIA: usize = 2;
const CATALOGUE: usize = 3;

const MAX_CONNECTIONS: u32 = 110;
const SERVERS_PER_SIDE: u16 = 3;
const SERVICE_DEADLINE: Duration = Duration::from_secs(2);
const STREAM_TIME: Duration = Duration::from_millis(340);

/// Three halls half a millisecond apart, clients one millisecond away.
pub fn mesh() -> Mesh {
    Mesh {
        name: "midlands",
        zones_per_side: 3,
        local_delay: Duration::from_micros(100),
        zone_delay: Duration::from_micros(500),
        client_delay: Duration::from_millis(1),
        connection_cost: Duration::from_millis(1),
        services: vec![
            service("feeds", 14, PriorityClass::Normal, true),
            service("publishing", 10, PriorityClass::Critical, false),
            service("media", 16, PriorityClass::Normal, true),
            service("catalogue", 12, PriorityClass::Normal, true),
        ],
        kinds: kinds(),
    }
}

fn service(name: &str, slots: u32, class: PriorityClass, repeatable: bool) -> ServiceModel {
    ServiceModel {
        name: ServiceName::new(name),
        servers_per_side: SERVERS_PER_SIDE,
        slots,
        max_connections: MAX_CONNECTIONS,
        class,
        repeatable,
        deadline: SERVICE_DEADLINE,
    }
}

fn kinds() -> Vec<RequestKind> {
    let ad_slots = || visit(CATALOGUE, 112);
    let rights = || visit(PUBLISHING, 70);
    let audio = Visit {
        stream: STREAM_TIME,
        ..visit(MEDIA, 112)
    };
    let normal = PriorityClass::Normal;
    let critical = PriorityClass::Critical;
    vec![
        kind(
            "feed",
            normal,
            0.50,
            2_000,
            vec![calling(visit(FEEDS, 84), &[&[1]]), ad_slots()],
        ),
        kind(
            "show-page",
            normal,
            0.18,
            2_000,
            vec![calling(visit(FEEDS, 112), &[&[1, 2]]), ad_slots(), rights()],
        ),
        kind(
            "episode",
            normal,
            0.18,
            3_000,
            vec![calling(audio, &[&[1], &[2]]), rights(), ad_slots()],
        ),
        kind(
            "catalogue-pull",
            PriorityClass::Sheddable,
            0.06,
            4_000,
            vec![visit(CATALOGUE, 224)],
        ),
        kind(
            "publish",
            critical,
            0.04,
            5_000,
            vec![
                once(calling(visit(PUBLISHING, 140), &[&[1]])),
                visit(CATALOGUE, 84),
            ],
        ),
        kind(
            "charge",
            critical,
            0.04,
            5_000,
            vec![once(visit(PUBLISHING, 112))],
        ),
    ]
}
