//! Documents from a directory of files that the test operator edits.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;

use super::{SharedPlatform, publish_machines, publish_table};

const TABLE_FILE: &str = "table.csv";
const MACHINES_FILE: &str = "machines.csv";
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes what the directory holds now.
pub fn read_into(directory: &Path, platform: &SharedPlatform) -> anyhow::Result<()> {
    if let Some(table) = read_file(&directory.join(TABLE_FILE))? {
        publish_table(platform, table);
    }
    if let Some(machines) = read_file(&directory.join(MACHINES_FILE))? {
        publish_machines(platform, machines);
    }
    Ok(())
}

/// Publishes every later change of the directory.
pub fn watch(directory: PathBuf, platform: SharedPlatform) {
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(POLL_INTERVAL);
            if let Err(error) = read_into(&directory, &platform) {
                eprintln!("{error:#}");
            }
        }
    });
}

fn read_file(path: &Path) -> anyhow::Result<Option<String>> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).with_context(|| format!("cannot read {}", path.display())),
    }
}
