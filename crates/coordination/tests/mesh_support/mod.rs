//! Constructors of test values for the mesh decisions.
#![allow(dead_code)]

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{
    Configuration, Destination, InstanceId, RequestKind, Revision, Route, ServerInstance,
    ServerState, ServiceSettings, SnapshotVersion,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The time of this many milliseconds after [`Timestamp::ZERO`].
pub fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1000)
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The revision `number` of the first era.
pub fn at_revision(number: u64) -> Revision {
    Revision::new(1, number)
}

/// The version of a snapshot with the revision `number` of the first era (0: none) and no
/// configuration.
pub fn version_of(number: u64) -> SnapshotVersion {
    let revision = match number {
        0 => Revision::NONE,
        number => at_revision(number),
    };
    SnapshotVersion {
        revision,
        configuration: 0,
    }
}

/// A random number generator with a fixed seed.
pub fn random() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

pub fn id(text: &str) -> InstanceId {
    InstanceId::new(text)
}

pub fn server(name: &str, zone: &str, last_octet: u8) -> ServerInstance {
    ServerInstance {
        id: id(name),
        service: "feeds".to_owned(),
        address: std::net::SocketAddrV4::new([10, 0, 0, last_octet].into(), 80),
        zone: zone.to_owned(),
        slots: 10,
        state: ServerState::Ready,
        warm_up: Duration::ZERO,
    }
}

pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Some(ms(800)),
        target_latency: Some(ms(1500)),
        max_attempts: 2,
        priority: 2,
        destinations: vec![destination("feeds", 1)],
        needs_key: true,
    }
}

pub fn destination(service: &str, weight: u32) -> Destination {
    Destination {
        service: service.to_owned(),
        weight,
    }
}

pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let services = ["feeds", "media"]
        .into_iter()
        .map(|name| (name.to_owned(), ServiceSettings::default()));
    Configuration {
        version,
        routes,
        services: services.collect(),
        ..Configuration::default()
    }
}
