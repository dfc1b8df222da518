//! Tests that a table with faults is refused as a whole and the one in force stays.

mod support;

use std::sync::{Arc, Mutex};

use hyper::Response;
use slog::{Drain, Logger, OwnedKVList, Record, o};
use support::{
    Platform, backend, call, eventually, full, settings, start_logging, status, stop, table,
    to_service,
};

const ROW: &str = "feeds,100,10,10,10,normal,yes,2000";

/// A log drain that keeps the messages of all records.
#[derive(Clone, Default)]
struct Messages(Arc<Mutex<Vec<String>>>);

impl Drain for Messages {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

impl Messages {
    fn count(&self, message: &str) -> usize {
        let messages = self.0.lock().unwrap();
        messages.iter().filter(|seen| *seen == message).count()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn table_with_faults_is_refused_with_all_findings_and_the_old_one_stays() {
    let address = backend(|_| Box::pin(async { Response::new(full("ok")) })).await;
    let platform = Platform::start(table(1, ROW)).await;
    let messages = Messages::default();
    let log = Logger::root(messages.clone().fuse(), o!());
    let daemon = start_logging(settings(&platform, &[("feeds", address)]), log);
    platform.list(
        daemon.addresses().node,
        "feeds",
        lifthollow_state::Side::Old,
    );
    eventually(async || status(&daemon).await["table_number"] == 1).await;
    eventually(async || status(&daemon).await["members_known"] == 1).await;

    let bad = table(2, "feeds,many,10,10,10,royal,yes,2000");
    *platform.table.lock().unwrap() = bad;
    eventually(async || messages.count("table_refused") > 0).await;
    // Each of the two rows has two cells with a fault.
    assert_eq!(messages.count("table_finding"), 4);
    assert_eq!(status(&daemon).await["table_number"], 1);
    let callers = daemon.addresses().callers;
    let answer = call(callers, to_service("feeds", "GET", full(""))).await;
    assert_eq!(answer.outcome, "complete");

    *platform.table.lock().unwrap() = table(3, ROW);
    eventually(async || status(&daemon).await["table_number"] == 3).await;
    stop(daemon).await;
}
