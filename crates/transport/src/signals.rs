//! Signals of the operating system.

use std::io;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The signals that ask for a planned stop, taken over from the system's default.
pub struct StopSignals(Signals);

impl StopSignals {
    /// Takes over `SIGTERM` and `SIGINT`.
    pub fn register() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT]).map(StopSignals)
    }

    /// Waits for the next of them.
    pub fn wait(&mut self) {
        self.0.forever().next();
    }
}
