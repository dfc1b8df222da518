//! Test support: runs the program, in a separate directory for each test.
#![allow(dead_code)] // each test file uses only a part of this module

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// The result of a run of the program.
pub struct Run {
    /// Exit code of the program.
    pub code: i32,
    /// Standard output of the program.
    pub output: String,
    /// Standard error of the program.
    pub errors: String,
}

/// Runs `lifthollowctl` with these arguments until it exits.
pub fn ctl(arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_lifthollowctl"))
        .args(arguments)
        .output()
        .expect("the program starts");
    Run {
        code: output.status.code().expect("the program exits by itself"),
        output: String::from_utf8(output.stdout).expect("output is UTF-8"),
        errors: String::from_utf8(output.stderr).expect("errors are UTF-8"),
    }
}

/// A temporary directory of one test, removed when it is dropped.
pub struct Directory(PathBuf);

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("lifthollowctl-test-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).expect("a directory can be made");
        Directory(path)
    }

    /// The path of a file in the directory.
    pub fn path(&self, name: &str) -> String {
        self.0
            .join(name)
            .to_str()
            .expect("paths are UTF-8")
            .to_owned()
    }

    /// The names of all files in the directory.
    pub fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).expect("the directory can be read");
        let mut names: Vec<String> = entries
            .map(|entry| {
                entry
                    .expect("an entry")
                    .file_name()
                    .into_string()
                    .expect("UTF-8")
            })
            .collect();
        names.sort();
        names
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
