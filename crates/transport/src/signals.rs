//! Handling of operating system signals.

use std::io;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Handler for the signals that request a planned shutdown, in place of the default action.
pub struct StopSignals(Signals);

impl StopSignals {
    /// Registers handlers for `SIGTERM` and `SIGINT`.
    pub fn register() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT]).map(StopSignals)
    }

    /// Blocks until one of the signals is received.
    pub fn wait(&mut self) {
        self.0.forever().next();
    }
}
