//! Simulated configuration service of the platform: read-only for lifthollow, with faults that a
//! test injects through a separate control port.

mod control;
mod directory;
mod publication;
mod reader;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use argh::FromArgs;

pub use publication::{History, Platform, ReaderFault};

use crate::json_lines::{self, ReadyLine};

/// Read-only configuration service: the operators' table and the list of machines.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArguments {
    /// directory with table.csv and machines.csv, read again whenever they change
    #[argh(option)]
    pub directory: Option<PathBuf>,
    /// address to listen at (default 127.0.0.1:0)
    #[argh(option, default = "default_listen()")]
    pub listen: SocketAddr,
    /// how many addresses to listen at, each with faults of its own (default 1); the second and
    /// later ones take ports chosen by the system
    #[argh(option, default = "1")]
    pub readers: usize,
    /// address of the control port (default 127.0.0.1:0)
    #[argh(option, default = "default_listen()")]
    pub control: SocketAddr,
    /// by how much the list of machines lags, in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub machines_lag_ms: u64,
}

fn default_listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Platform state shared by the listeners and the control port.
pub type SharedPlatform = Arc<Mutex<Platform>>;

/// Runs the configuration service until the process is stopped.
pub fn run(arguments: PlatformArguments) -> anyhow::Result<()> {
    let lag = Duration::from_millis(arguments.machines_lag_ms);
    let platform = Arc::new(Mutex::new(Platform::new(arguments.readers, lag)));
    if let Some(path) = &arguments.directory {
        directory::publish_files(path, &platform)?;
        directory::spawn_watcher(path.clone(), Arc::clone(&platform));
    }
    let addresses = start_readers(&arguments, &platform)?;
    let control = control::start(arguments.control, &platform)?;
    json_lines::print(&ReadyLine { addresses, control })?;
    loop {
        std::thread::park();
    }
}

fn start_readers(
    arguments: &PlatformArguments,
    platform: &SharedPlatform,
) -> anyhow::Result<Vec<SocketAddr>> {
    let first = arguments.listen;
    let others = SocketAddr::new(first.ip(), 0);
    (0..arguments.readers)
        .map(|index| {
            let listen = if index == 0 { first } else { others };
            reader::start(listen, index, platform)
        })
        .collect()
}

/// Locks the platform's state, even if another thread panicked while it held the lock.
fn lock(platform: &SharedPlatform) -> std::sync::MutexGuard<'_, Platform> {
    platform
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Publishes `text` as the newest edition of the configuration table.
fn publish_table(platform: &SharedPlatform, text: String) {
    lock(platform).tables.publish(Instant::now(), text);
}

/// Publishes `text` as the newest edition of the list of machines.
fn publish_machines(platform: &SharedPlatform, text: String) {
    lock(platform).machines.publish(Instant::now(), text);
}
