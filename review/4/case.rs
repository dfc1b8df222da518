//! Another writer's entry under `servers/` ends a page of the store's items, and its key has a blank.
//! Then every process is killed and started again.

#[path = "../standin-2.rs"]
mod standin;

use standin::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const HOST: &str = "hulo84.example";
/// `recovery` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);

/// Sends requests to all nodes for a time, ten a second to each. Returns how many were sent and served.
fn traffic(nodes: &[Node], time: Duration) -> (usize, usize) {
    let end = Instant::now() + time;
    let counts = std::thread::scope(|scope| {
        let clients: Vec<_> = nodes
            .iter()
            .map(|node| {
                scope.spawn(move || {
                    let (mut sent, mut served) = (0, 0);
                    while Instant::now() < end {
                        let id = new_id();
                        let text = request("GET", HOST, "/leny950/2f", &id, 3000, b"");
                        let answer = exchange(node.outbound, &text, Duration::from_secs(4));
                        sent += 1;
                        let is_served = answer.status == 200 && answer.is_whole;
                        served += usize::from(is_served);
                        if !is_served && sent % 10 == 0 {
                            note(format!("{}: request {id} answered {}", node.name, answer.status));
                        }
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    (sent, served)
                })
            })
            .collect();
        let joined = clients.into_iter().map(|client| client.join().unwrap_or((0, 0)));
        joined.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    });
    note(format!("sent {}, served {}", counts.0, counts.1));
    counts
}

fn body(trouble: bool) -> bool {
    let place = Place::find(3);
    let store = Store::start(place.at(4, STORE));
    let runs = Runs::default();
    let route = Route {
        name: "feed-read",
        host: HOST,
        prefix: "/leny950/",
        service: "feeds",
        kind: "idempotent",
        timeout: "2s",
        attempts: 3,
    };
    store.put("op/config", configuration(17, &["feeds"], &[route.text()]).as_bytes());
    let mut nodes = Vec::new();
    for (machine, zone) in (1..).zip(ZONES) {
        let id = format!("i-7f3a91c{machine}");
        let act = Arc::new(|wire: &mut Wire, _: &Head, _: &[u8], run: &Run| answer_well(wire, run));
        start_server(place.at(machine, APP), &id, "feeds", &runs, act);
        let entry = server_entry(place.at(machine, APP), "feeds", zone, "ready");
        store.put(&format!("servers/{id}"), entry.as_bytes());
        nodes.push(Node::start(&place, &NodeSettings {
            machine,
            zone,
            service: "feeds",
            store: store.address,
            memory_mb: 260,
            grace: "6s",
            bounds: "",
        }));
    }
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(|node| node.readiness() == 200)) {
        give_up("the nodes aren't ready");
    }
    let (sent, served) = traffic(&nodes, Duration::from_secs(4));
    if served * 4 < sent {
        give_up("not served before the disruption");
    }
    if trouble {
        // Bytes that can't be read; fewer than `value_bytes`.
        let value: Vec<u8> = (0..900_000u32).map(|number| (number % 251) as u8 | 0x80).collect();
        let revision = store.put("servers/copy of i-7f3a91c2", &value);
        note(format!("another writer made servers/copy of i-7f3a91c2 at revision {revision}"));
    }
    let (sent, served) = traffic(&nodes, Duration::from_secs(4));
    if served * 4 < sent {
        give_up("not served before all processes are killed");
    }
    for node in &nodes {
        node.kill();
    }
    std::thread::sleep(Duration::from_secs(1));
    for node in &mut nodes {
        node.start_again();
    }
    std::thread::sleep(RECOVERY);
    let states: Vec<u16> = nodes.iter().map(Node::readiness).collect();
    note(format!("readiness of the nodes after `recovery`: {states:?}"));
    let (sent, served) = traffic(&nodes, Duration::from_secs(20));
    let states: Vec<u16> = nodes.iter().map(Node::readiness).collect();
    note(format!("readiness of the nodes at the end: {states:?}"));
    for node in &nodes {
        let log = node.log();
        for line in log.lines().filter(|line| line.contains("panicked") || line.contains("InvalidUri")) {
            note(format!("{} wrote: {line}", node.name));
        }
    }
    // RECOVER: of those sent later than `recovery` after the machines are back, less than a quarter is
    // served.
    served * 4 >= sent
}

fn main() {
    run_case(body)
}
