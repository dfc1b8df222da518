//! Output of JSON lines to standard output, flushed after each line.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// First output line of every process of this crate that listens on ports, with its addresses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadyLine {
    /// Addresses at which the process provides its service.
    pub addresses: Vec<SocketAddr>,
    /// Address of the process's control port.
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
