//! Entry point of `lifthollowctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    lifthollow_ctl::main_with(&arguments).into()
}
