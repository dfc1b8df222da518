//! The command line of the benchmark.

use std::path::PathBuf;

use argh::FromArgs;

/// Measures what one hop through two lifthollowd processes adds to a direct call.
#[derive(FromArgs)]
pub struct Arguments {
    /// path of the lifthollowd program to measure
    #[argh(option, default = "PathBuf::from(\"target/release/lifthollowd\")")]
    pub lifthollowd: PathBuf,
    /// number of worker threads for calls in each node
    #[argh(option)]
    pub call_threads: Option<String>,
    /// calls a second of the loaded phase (default 755)
    #[argh(option, default = "755")]
    pub rate: u32,
    /// seconds of each measurement (default 4)
    #[argh(option, default = "4")]
    pub seconds: u64,
    /// measurements of each kind in each phase (default 3)
    #[argh(option, default = "3")]
    pub rounds: u32,
    /// also measure how CPU time depends on body size and on connections
    #[argh(switch)]
    pub slopes: bool,
}
