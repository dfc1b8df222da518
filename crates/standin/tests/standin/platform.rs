//! Tests of the simulated configuration service of the platform.

use std::time::{Duration, Instant};

use lifthollow_standin::platform::{History, Platform, ReaderFault};

use crate::support::Standin;

fn get(standin: &Standin, reader: usize, path: &str) -> (u16, String) {
    let url = format!("http://{}{path}", standin.ready.addresses[reader]);
    let answer = attohttpc::get(url).send().expect("an answer");
    (answer.status().as_u16(), answer.text().expect("text"))
}

#[test]
fn published_documents_are_served_and_put_requests_are_rejected() {
    let platform = Standin::start(&["platform"]);
    assert_eq!(get(&platform, 0, "/table").0, 404);
    platform.put("/table", "lifthollow-table,1\n");
    platform.put("/machines", "address,service,side,zone,state\n");
    assert_eq!(
        get(&platform, 0, "/table"),
        (200, "lifthollow-table,1\n".to_owned())
    );
    assert_eq!(get(&platform, 0, "/machines").0, 200);
    let url = format!("http://{}/table", platform.address());
    let refused = attohttpc::put(url).text("x").send().expect("an answer");
    assert_eq!(refused.status().as_u16(), 405);
}

#[test]
fn each_listener_applies_only_its_own_fault() {
    let platform = Standin::start(&["platform", "--readers", "2"]);
    platform.put("/table", "one");
    platform.put("/table", "two");
    platform.put("/fault?reader=0", r#"{"down": true}"#);
    platform.put("/fault?reader=1", r#"{"editions_behind": 1}"#);
    assert_eq!(get(&platform, 0, "/table").0, 503);
    assert_eq!(get(&platform, 1, "/table"), (200, "one".to_owned()));
}

#[test]
fn minimum_age_hides_newer_editions() {
    let start = Instant::now();
    let mut history = History::default();
    history.publish(start, "one".to_owned());
    history.publish(start + Duration::from_secs(10), "two".to_owned());
    let now = start + Duration::from_secs(15);
    assert_eq!(history.at(now, Duration::ZERO, 0), Some("two"));
    assert_eq!(history.at(now, Duration::from_secs(6), 0), Some("one"));
    assert_eq!(history.at(now, Duration::from_secs(3600), 0), Some("one"));
}

#[test]
fn list_of_machines_is_served_with_the_configured_lag() {
    let start = Instant::now();
    let mut platform = Platform::new(1, Duration::from_secs(5));
    platform.machines.publish(start, "live".to_owned());
    platform
        .machines
        .publish(start + Duration::from_secs(10), "leaving".to_owned());
    let seconds = |seconds| start + Duration::from_secs(seconds);
    assert_eq!(platform.machines_for(0, seconds(14)), Some("live"));
    assert_eq!(platform.machines_for(0, seconds(15)), Some("leaving"));
}

#[test]
fn flapping_listener_refuses_requests_in_every_second_period() {
    let fault = ReaderFault {
        flapping_ms: 100,
        ..ReaderFault::default()
    };
    let refuses = |millis| fault.refuses(Duration::from_millis(millis));
    assert_eq!([50, 150, 250, 350].map(refuses), [false, true, false, true]);
}
