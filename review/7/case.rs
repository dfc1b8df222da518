//! The only server of a service is taken away without stating `draining`, while the mesh has had no
//! requests for some seconds. Nodes that learn of it late send it orders later than `drain`.

#[path = "../standin-2.rs"]
mod standin;

use standin::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["lozenets", "mladost", "druzhba"];
const MACHINES: u8 = 14;
const HOST: &str = "jepu9.example";
/// `drain` of the settings, and what the case allows for its own measuring.
const DRAIN: f64 = 2.0;
const MARGIN: f64 = 0.01;
/// The server serves on this long after its entry is gone.
const SERVES_ON: f64 = 2.6;
/// How long an order takes.
const WORK: Duration = Duration::from_millis(500);
/// Time without requests before the entry goes.
const IDLE: Duration = Duration::from_millis(4300);
const TIME: Duration = Duration::from_secs(100);

/// The only server of the service: it can be ended, with all its connections.
struct OrderServer {
    is_leaving: Arc<AtomicBool>,
    is_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// When each order reached a server, and whether its answer was sent.
type Orders = Arc<Mutex<HashMap<String, (f64, bool)>>>;

impl OrderServer {
    fn start(place: &Place, id: &str, orders: &Orders) -> OrderServer {
        let server = OrderServer {
            is_leaving: Arc::default(),
            is_ended: Arc::default(),
            connections: Arc::default(),
        };
        let Ok(listener) = TcpListener::bind(place.at(1, APP)) else { give_up("the server can't listen") };
        let _ = listener.set_nonblocking(true);
        let (is_ended, connections) = (server.is_ended.clone(), server.connections.clone());
        let (id, orders, is_leaving) = (id.to_owned(), orders.clone(), server.is_leaving.clone());
        std::thread::spawn(move || {
            while !is_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    lock(&connections).push(copy);
                }
                let (id, orders, is_leaving) = (id.clone(), orders.clone(), is_leaving.clone());
                std::thread::spawn(move || serve_orders(Wire::new(stream), &id, &is_leaving, &orders));
            }
        });
        server
    }

    fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves the orders of one connection. The answers of a server that is leaving say so.
fn serve_orders(mut wire: Wire, id: &str, is_leaving: &AtomicBool, orders: &Orders) {
    while let Some(head) = wire.head() {
        let Some(body) = wire.body(&head) else { return };
        let attempt = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if head.get("x-target-instance").is_some_and(|wanted| wanted != id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if wire.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        lock(orders).insert(attempt.clone(), (seconds(), false));
        std::thread::sleep(WORK);
        let leaving = match is_leaving.load(Ordering::SeqCst) {
            true => "Connection: close\r\nServer-Leaving: 1\r\n",
            false => "",
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s.{attempt}.{}\r\n{leaving}Content-Length: {}\r\n\r\n",
            body.len(),
            body.len()
        );
        let is_sent = wire.stream.write_all(text.as_bytes()).is_ok() && wire.stream.write_all(&body).is_ok();
        if !is_sent {
            return;
        }
        if let Some(order) = lock(orders).get_mut(&attempt) {
            order.1 = true;
        }
        if !leaving.is_empty() {
            return;
        }
    }
}

fn body(trouble: bool) -> bool {
    let place = Place::find(MACHINES);
    let store = Store::start(place.at(MACHINES + 1, STORE));
    let route = |name: &'static str, prefix: &'static str, service: &'static str| {
        let route = Route {
            name,
            host: HOST,
            prefix,
            service,
            kind: "non_idempotent",
            timeout: "1s",
            attempts: 2,
        };
        route.text()
    };
    let routes = [route("topup", "/puka111/", "orders"), route("other", "/leny950/", "balance")];
    store.put("op/config", configuration(17, &["orders", "balance"], &routes).as_bytes());
    let (runs, orders) = (Runs::default(), Orders::default());
    let mut nodes = Vec::new();
    let mut number = 1;
    let id_of = |number: usize| format!("i-0rder{number:02}");
    let entry_of = |machine: u8, service: &str| {
        let zone = ZONES[usize::from(machine) % 3];
        server_entry(place.at(machine, APP), service, zone, "ready")
    };
    let mut server = OrderServer::start(&place, &id_of(number), &orders);
    store.put(&format!("servers/{}", id_of(number)), entry_of(1, "orders").as_bytes());
    for machine in 1..=MACHINES {
        let service = if machine == 1 { "orders" } else { "balance" };
        if machine > 1 {
            let id = format!("i-7f3a91{machine:02}");
            let act = Arc::new(|wire: &mut Wire, _: &Head, _: &[u8], run: &Run| answer_well(wire, run));
            start_server(place.at(machine, APP), &id, service, &runs, act);
            store.put(&format!("servers/{id}"), entry_of(machine, service).as_bytes());
        }
        nodes.push(Node::start(&place, &NodeSettings {
            machine,
            zone: ZONES[usize::from(machine) % 3],
            service,
            store: store.address,
            memory_mb: 260,
            grace: "6s",
            bounds: "",
        }));
    }
    let is_ready = |nodes: &[Node]| nodes.iter().all(|node| node.readiness() == 200);
    if !wait_until(Duration::from_secs(20), || is_ready(&nodes)) {
        give_up("the nodes aren't ready");
    }
    let begin = Instant::now();
    let (mut late, mut lost, mut served) = (0, 0, 0);
    while begin.elapsed() < TIME - Duration::from_secs(12) {
        std::thread::sleep(IDLE);
        let id = id_of(number);
        if trouble {
            server.is_leaving.store(true, Ordering::SeqCst);
            store.remove(&format!("servers/{id}"));
        }
        let gone = seconds();
        note(format!("round {number}: the store has {} {id}", if trouble { "acknowledged that it is gone:" } else { "still the entry of" }));
        // The server ends at its time, whatever the clients do.
        let answers = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            // One order at each machine but the server's own, 2.03 s and 2.25 s after.
            for at in [2.03, 2.25] {
                for node in &nodes[1..] {
                    let answers = &answers;
                    scope.spawn(move || {
                        while seconds() < gone + at {
                            std::thread::sleep(Duration::from_millis(1));
                        }
                        let id = new_id();
                        let text = request("POST", HOST, "/puka111/2f", &id, 6000, b"topup");
                        let answer = exchange(node.outbound, &text, Duration::from_secs(7));
                        lock(answers).push((id, node.name.clone(), answer.status));
                    });
                }
            }
            if trouble {
                let server = &server;
                scope.spawn(move || {
                    while seconds() < gone + SERVES_ON {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    server.end();
                });
            }
        });
        for (id, node, status) in answers.into_inner().unwrap_or_default() {
            served += usize::from(status == 200);
            let Some((reached, is_answered)) = lock(&orders).get(&id).copied() else { continue };
            let after = reached - gone;
            if trouble && after > DRAIN + MARGIN {
                late += 1;
                lost += usize::from(!is_answered);
                note(format!(
                    "order {id} from {node} reached the server {after:.3} s after that; its client got {status}"
                ));
            }
        }
        if trouble {
            // The machine leaves after its server, and another comes with a server of its own.
            nodes[0].signal("TERM");
            if !wait_until(Duration::from_secs(8), || !nodes[0].runs()) {
                give_up("the node doesn't stop");
            }
            number += 1;
            server = OrderServer::start(&place, &id_of(number), &orders);
            store.put(&format!("servers/{}", id_of(number)), entry_of(1, "orders").as_bytes());
            nodes[0].start_again();
            if !wait_until(Duration::from_secs(10), || is_ready(&nodes)) {
                give_up("the nodes aren't ready again");
            }
        } else {
            number += 1;
            server.end();
            std::thread::sleep(Duration::from_millis(100));
            server = OrderServer::start(&place, &id_of(number), &orders);
            store.remove(&format!("servers/{id}"));
            store.put(&format!("servers/{}", id_of(number)), entry_of(1, "orders").as_bytes());
            std::thread::sleep(Duration::from_secs(3));
        }
    }
    note(format!("orders answered {served}; reached a server later than `drain`: {late}, {lost} of them without its answer"));
    if !trouble && served == 0 {
        give_up("no order was served");
    }
    // DRAIN: a request passed on by machines in touch reaches a server more than `drain` after the store has
    // acknowledged that it is gone.
    late == 0
}

fn main() {
    run_case(body)
}
