//! Clients stop reading an answer for a while.

#[path = "../standin.rs"]
#[allow(dead_code)]
mod standin;

use std::collections::BTreeMap;
use std::time::Duration;

use standin::{finish, folders, has_trouble, Clients, Load, Mesh, Record};

const CONFIGURATION: &str = r#"{"version":1,"resources":[
{"resource_type":"routes","metadata":{"name":"r-catalogue-pull"},"spec":{"host":"shop.example","path_prefix":"/vouchers/","kind":"download","timeout":"4000ms","target_latency":"1500ms","priority":2,"service":"catalogue","max_attempts":2}},
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

fn main() {
    let (case, folder) = folders();
    let record = Record::new(&case.join("record.txt"));
    let services = ["catalogue", "catalogue", "catalogue", "balance", "balance", "balance"];
    let Some(mesh) = Mesh::start(&record, &folder, &services, CONFIGURATION) else {
        finish(&record, None, 2, "could not run: the nodes did not become ready");
    };
    // The server sends the whole answer at once.
    let path = "/vouchers/250000-65536-0-20";
    // The first answer on each connection is a short one.
    let first_path = Some("/vouchers/2000-2000-0-20");
    let pause = Duration::from_millis(200);
    let load = |reading_stops| Load { method: "GET", path, first_path, body: b"", deadline_ms: 4000, pause, reading_stops };
    // Only requests on kept connections stop to be read for a while.
    let stops = has_trouble().then_some((READ_AT_FIRST, READS_NOTHING_FOR));
    let prompt = Clients::start(&mesh, &CLIENTS, 5, load(None));
    let slow = Clients::start_kept(&mesh, &CLIENTS, 5, load(stops));
    std::thread::sleep(Duration::from_secs(15));
    let sent_by_prompt = prompt.stop();
    let sent = slow.stop();
    std::thread::sleep(Duration::from_millis(500));
    let arrivals = mesh.arrivals.lock().unwrap().clone();
    let whole = |sent: &[standin::Sent]| sent.iter().filter(|one| one.answer.is_whole).count();
    let mut broken_off: BTreeMap<usize, usize> = BTreeMap::new();
    for one in sent.iter().filter(|one| one.is_kept) {
        let is_cut = one.answer.how.starts_with("cut off") || one.answer.how.starts_with("closed");
        // Its server has sent the whole answer.
        let mut runs = arrivals.iter().filter(|arrival| arrival.request == one.answer.request);
        if is_cut && runs.any(|run| run.how == "answered") {
            *broken_off.entry(one.machine).or_default() += 1;
        }
    }
    let most = broken_off.values().copied().max().unwrap_or(0);
    let text = format!(
        "{} requests of clients that read at once, {} answered whole; {} requests of the others, {} answered whole; passed on from a kept connection, answered whole by the server, and the connection then closed in the middle of the answer, by machine: {broken_off:?}",
        sent_by_prompt.len(),
        whole(&sent_by_prompt),
        sent.len(),
        whole(&sent)
    );
    let has_run = whole(&sent_by_prompt) > 100 && sent.len() > 30;
    let code = match (has_run, most > ALLOWED) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    };
    finish(&record, Some(mesh), code, &text);
}
