//! Tests of the program `lifthollowd`: its output, and its end on SIGTERM.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// A running node, killed if a test fails before the node has ended.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn node_logs_its_addresses_first_and_its_stop_on_sigterm_last() {
    let any = "127.0.0.1:0";
    let child = Command::new(env!("CARGO_BIN_EXE_lifthollowd"))
        .args(["--node", any, "--callers", any, "--operators", any])
        .args(["--side", "old", "--zone", "1"])
        .args(["--seed-node", "127.0.0.1:9"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut running = Running(child);
    let stdout = running.0.stdout.take().unwrap();
    let mut records = BufReader::new(stdout)
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(&line.unwrap()).unwrap());

    let listening = records.next().unwrap();
    assert_eq!(listening["msg"], "listening");
    for port in ["node", "callers", "operators"] {
        let address = listening[port].as_str().unwrap();
        assert!(!address.ends_with(":0"), "{port}: {address}");
    }

    let pid = running.0.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(sent.unwrap().success());
    let last = records.last().unwrap();
    assert_eq!(last["msg"], "stopped");
    assert_eq!(last["nothing_cut"], true);
    assert!(running.0.wait().unwrap().success());
}

#[test]
fn faults_of_settings_are_all_printed_and_end_the_process() {
    let output = Command::new(env!("CARGO_BIN_EXE_lifthollowd"))
        .args(["--side", "left", "--zone", "many"])
        .output()
        .unwrap();
    assert!(!output.status.success());
    let faults = String::from_utf8(output.stderr).unwrap();
    for flag in ["--side", "--zone", "--node", "--callers", "--operators"] {
        assert!(faults.contains(flag), "{flag} is not in:\n{faults}");
    }
}
