//! Publishes the documents in a directory whose files a test or a user edits.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;

use super::{SharedPlatform, publish_machines, publish_table};

const TABLE_FILE: &str = "table.csv";
const MACHINES_FILE: &str = "machines.csv";
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes the present contents of the table and machines files in `directory`. A missing file
/// is ignored.
pub fn publish_files(directory: &Path, platform: &SharedPlatform) -> anyhow::Result<()> {
    if let Some(table) = read_file_if_present(&directory.join(TABLE_FILE))? {
        publish_table(platform, table);
    }
    if let Some(machines) = read_file_if_present(&directory.join(MACHINES_FILE))? {
        publish_machines(platform, machines);
    }
    Ok(())
}

/// Starts a thread that polls the files in `directory` and publishes their changes.
pub fn spawn_watcher(directory: PathBuf, platform: SharedPlatform) {
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(POLL_INTERVAL);
            if let Err(error) = publish_files(&directory, &platform) {
                eprintln!("{error:#}");
            }
        }
    });
}

fn read_file_if_present(path: &Path) -> anyhow::Result<Option<String>> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).with_context(|| format!("cannot read {}", path.display())),
    }
}
