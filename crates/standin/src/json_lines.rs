//! JSON lines on standard output, flushed one by one.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The first line of every stand-in that listens: where it can be reached.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadyLine {
    /// Addresses of the service itself.
    pub addresses: Vec<SocketAddr>,
    /// Address of the control port.
    pub control: SocketAddr,
}

/// Prints `value` as one JSON line.
pub fn print(value: &impl Serialize) -> io::Result<()> {
    let mut line = serde_json::to_string(value)?;
    line.push('\n');
    let mut output = io::stdout().lock();
    output.write_all(line.as_bytes())?;
    output.flush()
}
