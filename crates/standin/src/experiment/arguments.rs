//! What the experiments' subcommands share: where programs are and where logs go.

use std::path::{Path, PathBuf};

use anyhow::Context;

use super::cluster::Workspace;

/// Where the programs are.
pub struct Programs {
    directory: PathBuf,
}

const NEEDED: [&str; 3] = ["lifthollowd", "lifthollowctl", "lifthollow-standin"];

impl Programs {
    /// The given directory, or that of this program; all programs must be there.
    pub fn find(given: Option<PathBuf>) -> anyhow::Result<Self> {
        let directory = match given {
            Some(directory) => directory,
            None => own_directory()?,
        };
        for name in NEEDED {
            let program = directory.join(name);
            anyhow::ensure!(
                program.is_file(),
                "{} is missing; build it first",
                program.display()
            );
        }
        Ok(Programs { directory })
    }

    /// These programs with a directory for logs.
    pub fn workspace(&self, logs: &Logs) -> Workspace {
        Workspace {
            programs: self.directory.clone(),
            logs: logs.directory.clone(),
        }
    }
}

fn own_directory() -> anyhow::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let directory = program.parent().context("this program has no directory")?;
    Ok(directory.to_owned())
}

/// A directory for logs.
pub struct Logs {
    directory: PathBuf,
    temporary: bool,
}

/// The given directory, or a new one among the system's temporary files.
pub fn temporary_logs(given: Option<PathBuf>, name: &str) -> anyhow::Result<Logs> {
    let temporary = given.is_none();
    let directory = given.unwrap_or_else(|| {
        let process = std::process::id();
        std::env::temp_dir().join(format!("lifthollow-{name}-{process}"))
    });
    std::fs::create_dir_all(&directory)?;
    Ok(Logs {
        directory,
        temporary,
    })
}

impl Logs {
    /// The directory's path, for people.
    pub fn path(&self) -> String {
        self.directory.display().to_string()
    }

    /// A directory inside this one.
    pub fn inside(&self, name: &str) -> Logs {
        Logs {
            directory: self.directory.join(name),
            temporary: false,
        }
    }

    /// Removes the directory if it is a temporary one.
    pub fn remove(&self) {
        let directory: &Path = &self.directory;
        if self.temporary
            && let Err(error) = std::fs::remove_dir_all(directory)
        {
            eprintln!("cannot remove {}: {error}", directory.display());
        }
    }
}
