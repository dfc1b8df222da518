//! Clients stop reading an answer for a while.

#[path = "../standin.rs"]
#[allow(dead_code)]
mod standin;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use standin::{
    finish, folders, has_trouble, request_text, Client, Clients, Load, Mesh, Record, Sent,
};

const CONFIGURATION: &str = r#"{"version":1,"resources":[
{"resource_type":"routes","metadata":{"name":"r-catalogue-pull"},"spec":{"host":"shop.example","path_prefix":"/vouchers/","kind":"download","timeout":"4000ms","target_latency":"1500ms","priority":2,"service":"catalogue","max_attempts":2}},
{"resource_type":"routes","metadata":{"name":"r-balance-check"},"spec":{"host":"shop.example","path_prefix":"/balance/","kind":"idempotent","timeout":"6000ms","target_latency":"1500ms","priority":2,"service":"balance","max_attempts":2}},
{"resource_type":"services","metadata":{"name":"catalogue"},"spec":{"health_check_path":"/health","max_connections":622,"protocol":"h1","tls":false}},
{"resource_type":"services","metadata":{"name":"balance"},"spec":{"health_check_path":"/health","max_connections":622,"protocol":"h1","tls":false}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}"#;

/// Machines with clients. Nothing is done to any machine.
const CLIENTS: [usize; 3] = [3, 4, 5];
/// How many requests a machine may break off: "more than three times".
const ALLOWED: usize = 3;
/// How much of an answer of 250 kB a client reads at first, and how long it then reads nothing.
const READ_AT_FIRST: usize = 40_000;
const READS_NOTHING_FOR: Duration = Duration::from_millis(2500);
/// Other clients send so many requests before the first one is answered, each for 30 kB.
const SENT_AT_ONCE: usize = 6;
/// How much of these answers a client reads at first.
const READ_OF_SEVERAL: usize = 8_000;
/// How long the clients go on.
const LASTS: Duration = Duration::from_secs(15);

/// Sends a short request and then several at once, again and again on new connections.
fn send_several(machine: usize, number: usize, mesh: &Mesh, until: Instant) -> Vec<Sent> {
    let mut sent = Vec::new();
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        let Some(mut client) = Client::open(mesh.nodes[machine].outbound) else {
            continue;
        };
        let name = format!("m{machine}p{number}n{round}");
        let wait = Duration::from_millis(6000);
        let now = Instant::now();
        client.send(&request_text(
            "GET",
            &name,
            "/balance/500-500-0-20",
            6000,
            "",
            b"",
        ));
        if client.read(&name, now, now + wait).how != "complete" {
            continue;
        }
        let names: Vec<String> = (0..SENT_AT_ONCE)
            .map(|place| format!("{name}r{place}"))
            .collect();
        let texts = names
            .iter()
            .map(|name| request_text("GET", name, "/balance/30000-30000-0-50", 6000, "", b""));
        let now = Instant::now();
        client.send(&texts.collect::<Vec<_>>().concat());
        if has_trouble() {
            client.stop_reading_after(READ_OF_SEVERAL, READS_NOTHING_FOR);
        }
        for name in &names {
            let answer = client.read(name, now, now + wait);
            let took = (answer.ended - answer.sent).as_secs_f64();
            mesh.record.line(&format!(
                "client: {name} on a kept connection: {} {} after {took:.3} s",
                answer.status, answer.how
            ));
            sent.push(Sent {
                machine,
                is_kept: true,
                answer,
            });
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    sent
}

/// Counts, by machine, the requests on kept connections that their server has answered whole and
/// whose connection was closed before all of the answer.
fn broken_off(
    sent: &[Sent],
    answered: &std::collections::HashSet<String>,
) -> BTreeMap<usize, usize> {
    let mut broken_off = BTreeMap::new();
    for one in sent.iter().filter(|one| one.is_kept) {
        let is_cut = one.answer.how.starts_with("cut off") || one.answer.how.starts_with("closed");
        if is_cut && answered.contains(&one.answer.request) {
            *broken_off.entry(one.machine).or_default() += 1;
        }
    }
    broken_off
}

fn main() {
    let (case, folder) = folders();
    let record = Record::new(&case.join("record.txt"));
    let services = [
        "catalogue",
        "catalogue",
        "catalogue",
        "balance",
        "balance",
        "balance",
    ];
    let Some(mesh) = Mesh::start(&record, &folder, &services, CONFIGURATION) else {
        finish(
            &record,
            None,
            2,
            "could not run: the nodes did not become ready",
        );
    };
    // The server sends the whole answer at once.
    let path = "/vouchers/250000-65536-0-20";
    // The first answer on each connection is a short one.
    let first_path = Some("/vouchers/2000-2000-0-20");
    let pause = Duration::from_millis(200);
    let load = |reading_stops| Load {
        method: "GET",
        path,
        first_path,
        body: b"",
        deadline_ms: 4000,
        pause,
        reading_stops,
    };
    // Only requests on kept connections stop to be read for a while.
    let stops = has_trouble().then_some((READ_AT_FIRST, READS_NOTHING_FOR));
    let prompt = Clients::start(&mesh, &CLIENTS, 5, load(None));
    let slow = Clients::start_kept(&mesh, &CLIENTS, 5, load(stops));
    let until = Instant::now() + LASTS;
    let several: Vec<Sent> = std::thread::scope(|scope| {
        let machines = CLIENTS
            .into_iter()
            .flat_map(|machine| (0..3).map(move |number| (machine, number)));
        let mesh = &mesh;
        let threads: Vec<_> = machines
            .map(|(machine, number)| {
                scope.spawn(move || send_several(machine, number, mesh, until))
            })
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    });
    let sent_by_prompt = prompt.stop();
    let sent = slow.stop();
    std::thread::sleep(Duration::from_millis(500));
    let arrivals = mesh.arrivals.lock().unwrap().clone();
    let answered = arrivals
        .into_iter()
        .filter(|run| run.how == "answered")
        .map(|run| run.request)
        .collect();
    let whole = |sent: &[Sent]| sent.iter().filter(|one| one.answer.is_whole).count();
    let (of_one, of_several) = (
        broken_off(&sent, &answered),
        broken_off(&several, &answered),
    );
    let text = format!(
        "clients that read at once: {} requests, {} answered whole; downloads: {} requests, {} answered whole; several requests at once: {} requests, {} answered whole; answered by the server, and the kept connection closed before all of the answer, by machine: downloads {of_one:?}, several at once {of_several:?}",
        sent_by_prompt.len(),
        whole(&sent_by_prompt),
        sent.len(),
        whole(&sent),
        several.len(),
        whole(&several)
    );
    let has_run = whole(&sent_by_prompt) > 100 && sent.len() > 30 && several.len() > 30;
    let is_broken = of_one
        .values()
        .chain(of_several.values())
        .any(|count| *count > ALLOWED);
    let code = match (has_run, is_broken) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    };
    finish(&record, Some(mesh), code, &text);
}
