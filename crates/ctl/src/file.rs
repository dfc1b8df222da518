//! Reading and making files, and replacing one in a single step.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use anyhow::Context;
use lifthollow_state::table::MAX_FILE_BYTES;

/// Reads a file, up to one byte more than a table may have.
pub(crate) fn read(path: &str) -> anyhow::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|file| file.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes))
        .with_context(|| format!("{path}: can't be read"))?;
    Ok(bytes)
}

/// Makes a file that does not exist yet.
pub(crate) fn create(path: &str, bytes: &[u8]) -> anyhow::Result<()> {
    File::create_new(path)
        .and_then(|mut file| file.write_all(bytes))
        .with_context(|| format!("{path}: can't be made"))
}

/// The right to replace a file, held against other runs of this program.
pub(crate) struct Lock {
    path: PathBuf,
    file: File,
}

impl Lock {
    /// Waits for other runs that edit the file. Links are followed, so that
    /// the file itself is replaced and not a link to it.
    pub(crate) fn acquire(path: &str) -> anyhow::Result<Self> {
        lock_current(Path::new(path)).with_context(|| format!("{path}: can't be opened"))
    }

    /// Puts a file with the new content in the place of the locked one.
    pub(crate) fn replace(self, bytes: &[u8]) -> anyhow::Result<()> {
        let next = self.path_of_next();
        let result = write_next(&next, bytes, &self.file)
            .and_then(|()| fs::rename(&next, &self.path))
            .and_then(|()| sync_directory(&self.path));
        if result.is_err() {
            // The rename may not have come; what is left of the attempt goes.
            let _ = fs::remove_file(&next);
        }
        result.with_context(|| format!("{}: can't be replaced", self.path.display()))
    }

    /// A name in the same directory that no other process uses.
    fn path_of_next(&self) -> PathBuf {
        let mut name = std::ffi::OsString::from(".");
        name.push(self.path.file_name().unwrap_or_default());
        name.push(format!(".next-{}", std::process::id()));
        self.path.with_file_name(name)
    }
}

/// Locks the file that the path names at the time the lock is held: another
/// run may have replaced the file while this one waited.
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

/// Writes the new content beside the present file, with the same permissions.
fn write_next(next: &Path, bytes: &[u8], present: &File) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(next)?;
    file.set_permissions(present.metadata()?.permissions())?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn sync_directory(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}
