//! Tests that environment variables do not change the behaviour of `lifthollowd`.

use std::net::TcpListener;
use std::process::{Child, Command, Stdio};

/// A running node, killed when the test ends.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn proxy_of_the_environment_is_not_used_to_read_the_platform() {
    let proxy = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let (proxy_address, address) = (proxy.local_addr().unwrap(), platform.local_addr().unwrap());
    let (reached, first) = std::sync::mpsc::channel();
    for (name, listener) in [("proxy", proxy), ("platform", platform)] {
        let reached = reached.clone();
        std::thread::spawn(move || {
            let _connection = listener.accept();
            let _ = reached.send(name);
        });
    }
    let child = Command::new(env!("CARGO_BIN_EXE_lifthollowd"))
        .args([
            "--node",
            "127.0.0.1:0",
            "--callers",
            "127.0.0.1:0",
            "--side",
            "old",
        ])
        .args(["--operators", "127.0.0.1:0", "--zone", "1"])
        .args(["--platform-table", &address.to_string()])
        .env("http_proxy", format!("http://{proxy_address}"))
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let _running = Running(child);
    assert_eq!(first.recv().unwrap(), "platform");
}
