//! Reading and creating files, and replacing a file atomically.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use anyhow::Context;
use lifthollow_state::table::MAX_FILE_BYTES;

/// Reads a file, up to one byte more than [`MAX_FILE_BYTES`], the limit of a table.
pub(crate) fn read(path: &str) -> anyhow::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|file| file.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes))
        .with_context(|| format!("{path}: can't be read"))?;
    Ok(bytes)
}

/// Creates a file, which must not exist yet.
pub(crate) fn create(path: &str, bytes: &[u8]) -> anyhow::Result<()> {
    File::create_new(path)
        .and_then(|mut file| file.write_all(bytes))
        .with_context(|| format!("{path}: can't be created"))
}

/// An exclusive lock to replace a file, respected by other runs of this program.
pub(crate) struct Lock {
    path: PathBuf,
    file: File,
}

impl Lock {
    /// Locks the file, after waiting for other runs that edit it. Symbolic links are
    /// followed, so that the file itself is replaced and not a link to it.
    pub(crate) fn acquire(path: &str) -> anyhow::Result<Self> {
        lock_current(Path::new(path)).with_context(|| format!("{path}: can't be opened"))
    }

    /// Atomically replaces the locked file by one with the new content.
    pub(crate) fn replace(self, bytes: &[u8]) -> anyhow::Result<()> {
        let next = self.temporary_path();
        let result = write_temporary(&next, bytes, &self.file)
            .and_then(|()| fs::rename(&next, &self.path))
            .and_then(|()| sync_directory(&self.path));
        if result.is_err() {
            // If the rename was not reached, the temporary file is still there.
            let _ = fs::remove_file(&next);
        }
        result.with_context(|| format!("{}: can't be replaced", self.path.display()))
    }

    /// Path of the temporary file: a name in the same directory that no other process
    /// uses.
    fn temporary_path(&self) -> PathBuf {
        let mut name = std::ffi::OsString::from(".");
        name.push(self.path.file_name().unwrap_or_default());
        name.push(format!(".next-{}", std::process::id()));
        self.path.with_file_name(name)
    }
}

/// Locks the file at `path`. Another run may replace the file while this one waits
/// for the lock, so the lock is taken again until it is held on the file that the path
/// then names.
fn lock_current(path: &Path) -> io::Result<Lock> {
    loop {
        let path = fs::canonicalize(path)?;
        let file = File::open(&path)?;
        file.lock()?;
        if is_same_file(&file.metadata()?, &fs::metadata(&path)?) {
            return Ok(Lock { path, file });
        }
    }
}

fn is_same_file(left: &fs::Metadata, right: &fs::Metadata) -> bool {
    (left.dev(), left.ino()) == (right.dev(), right.ino())
}

/// Writes the new content to a temporary file with the permissions of the current
/// one.
fn write_temporary(next: &Path, bytes: &[u8], current: &File) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(next)?;
    file.set_permissions(current.metadata()?.permissions())?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn sync_directory(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}
