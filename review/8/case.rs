//! Clients leave before their deadline. Their servers work on, and the calls that these make are
//! answered 401, since the node has forgotten the runs.

#[path = "../standin-2.rs"]
mod standin;

use standin::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const HOST: &str = "jepu9.example";
const INNER_HOST: &str = "cufi5.example";
const KEY: &str = "ruddedev3nax7u27gxpr";
const DEADLINE_MS: u64 = 5000;
/// A run works this long, then makes its call.
const WORK: Duration = Duration::from_millis(500);
/// One request every 40 ms for 5.5 s; every fifth client leaves after 200 ms.
const EVERY: Duration = Duration::from_millis(40);
const TIME: Duration = Duration::from_millis(5500);
const LEAVES: usize = 5;
const LEAVES_AFTER: Duration = Duration::from_millis(200);

/// A call that a server made: its identifier and the status of the answer.
type Calls = Arc<Mutex<Vec<(String, u16)>>>;

fn with_key(text: Vec<u8>) -> Vec<u8> {
    let text = String::from_utf8_lossy(&text).into_owned();
    text.replacen("\r\n", &format!("\r\nAuthorization: Bearer {KEY}\r\n"), 1).into_bytes()
}

fn body(trouble: bool) -> bool {
    let place = Place::find(3);
    let store = Store::start(place.at(4, STORE));
    let routes = [
        Route {
            name: "publish-charge",
            host: HOST,
            prefix: "/puka111/",
            service: "creator",
            kind: "non_idempotent",
            timeout: "5s",
            attempts: 2,
        },
        Route {
            name: "file-details",
            host: INNER_HOST,
            prefix: "/cufi502/",
            service: "media",
            kind: "idempotent",
            timeout: "2s",
            attempts: 2,
        },
    ];
    let mut resources: Vec<String> = routes.iter().map(Route::text).collect();
    resources.push(format!(
        "{{\"resource_type\":\"tenants\",\"metadata\":{{\"name\":\"pulo780\"}},\"spec\":{{\"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":312,\"burst_size\":312}}}}"
    ));
    store.put("op/config", configuration(17, &["creator", "media"], &resources).as_bytes());
    let runs = Runs::default();
    let calls = Calls::default();
    let has_own_ids = std::env::var("IDS").is_ok_and(|value| value == "own");
    let mut nodes = Vec::new();
    for (machine, zone) in (1..).zip(ZONES) {
        let id = format!("i-7f3a91c{machine}");
        let service = if machine == 3 { "media" } else { "creator" };
        let (calls, outbound) = (calls.clone(), place.at(machine, OUTBOUND));
        let act = Arc::new(move |wire: &mut Wire, head: &Head, _: &[u8], run: &Run| {
            if run.service == "media" {
                return answer_well(wire, run);
            }
            let begin = Instant::now();
            let limit: u64 = head.get("x-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
            std::thread::sleep(WORK);
            let left = limit.saturating_sub(begin.elapsed().as_millis() as u64);
            // The pages say that calls have their own ids; on the users' bench these begin with that of the
            // request and a dot. `IDS=own` leaves that out, which is not part of the case.
            let id = match has_own_ids {
                true => format!("ca11{}", &new_id()[4..]),
                false => format!("{}.1", run.id),
            };
            let text = request("GET", INNER_HOST, "/cufi502/2f", &id, left, b"");
            let answer = exchange(outbound, &text, Duration::from_secs(3));
            lock(&calls).push((id, answer.status));
            if answer.status == 200 {
                return answer_well(wire, run);
            }
            let text = format!(
                "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s.{}.0\r\nContent-Length: 0\r\n\r\n",
                run.id, run.id
            );
            wire.stream.write_all(text.as_bytes()).is_ok()
        });
        start_server(place.at(machine, APP), &id, service, &runs, act);
        let entry = server_entry(place.at(machine, APP), service, zone, "ready");
        store.put(&format!("servers/{id}"), entry.as_bytes());
        nodes.push(Node::start(&place, &NodeSettings {
            machine,
            zone,
            service,
            store: store.address,
            memory_mb: 260,
            grace: "6s",
            bounds: "revoke_fail_closed = true\nrevoke = \"5000ms\"\nquota_window = \"5s\"\nquota_overshoot = 0.25\nquota_slack = 20",
        }));
    }
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(|node| node.readiness() == 200)) {
        give_up("the nodes aren't ready");
    }
    std::thread::sleep(Duration::from_secs(1));
    let answers = Mutex::new(Vec::new());
    let mut left = Vec::new();
    let begin = Instant::now();
    std::thread::scope(|scope| {
        for number in 0.. {
            if begin.elapsed() >= TIME {
                break;
            }
            let (node, answers) = (&nodes[number % 2], &answers);
            let id = new_id();
            let leaves = trouble && number % LEAVES == LEAVES - 1;
            if leaves {
                left.push(id.clone());
            }
            scope.spawn(move || {
                let Ok(stream) = TcpStream::connect(node.outbound) else { return };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
                let mut wire = Wire::new(stream);
                let text = request("POST", HOST, "/puka111/2f", &id, DEADLINE_MS, b"charge");
                let _ = wire.stream.write_all(&with_key(text));
                if leaves {
                    std::thread::sleep(LEAVES_AFTER);
                    return;
                }
                let answer = read_answer(&mut wire);
                lock(answers).push((id, answer.status));
            });
            std::thread::sleep(EVERY);
        }
    });
    std::thread::sleep(Duration::from_millis(1500));
    let answers = answers.into_inner().unwrap_or_default();
    let calls = lock(&calls).clone();
    let ran = lock(&runs).iter().filter(|run| run.service == "creator").count();
    note(format!(
        "{} clients stayed, {} of them served; {} left after {} ms; {ran} runs",
        answers.len(),
        answers.iter().filter(|(_, status)| *status == 200).count(),
        left.len(),
        LEAVES_AFTER.as_millis()
    ));
    for (id, status) in calls.iter().filter(|(_, status)| *status != 200) {
        let parent = id.trim_end_matches(".1");
        let whose = if has_own_ids {
            "its client isn't told by its id"
        } else if left.iter().any(|left| left == parent) { "its client has left" } else { "its client stays" };
        note(format!("call {id} answered {status}; {whose}"));
    }
    let denied = calls.iter().filter(|(_, status)| [401, 403, 404].contains(status)).count();
    let all = answers.len() + left.len() + calls.len();
    note(format!("{} calls, {denied} denied, of {all} requests", calls.len()));
    if calls.is_empty() || answers.iter().all(|(_, status)| *status != 200) {
        if !has_own_ids {
            give_up("nothing was served");
        }
    }
    // DENIED: more than 5 + one in 500 of all requests end with a 4xx of the nodes, although they are proper
    // and every configuration allows them.
    denied as f64 <= 5.0 + all as f64 / 500.0
}

fn main() {
    run_case(body)
}
