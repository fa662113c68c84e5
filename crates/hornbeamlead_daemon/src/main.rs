//! Starts the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = hornbeamlead_daemon::parse_args();
    hornbeamlead_daemon::run(&args).into()
}
