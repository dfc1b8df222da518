//! Entry point of `lifthollowd`.

use std::process::ExitCode;

use anyhow::Result;
use slog::{Logger, error};

use lifthollow_daemon::daemon::Daemon;
use lifthollow_daemon::settings::{self, Flags, Settings};
use lifthollow_transport::logging;
use lifthollow_transport::signals::StopSignals;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let settings = match settings::load(&flags) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::FAILURE;
        }
    };
    if flags.check {
        return ExitCode::SUCCESS;
    }
    let (log, _guard) = logging::json_lines(settings.log_level);
    match run(settings, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "failed"; "error" => format!("{failure:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings, log: &Logger) -> Result<()> {
    let mut signals = StopSignals::register()?;
    let daemon = Daemon::start(settings, log.clone())?;
    signals.wait();
    daemon.stop();
    Ok(())
}
