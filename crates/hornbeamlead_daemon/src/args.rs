//! Command line of the daemon.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Arguments of the daemon.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(daemon_args))]
/// Runs one process of hornbeamlead, as entry or agent.
///
/// Exit status: 0 done, 2 usage or settings.
pub struct DaemonArgs {
    /// Settings in JSON with comments
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Checks the settings and starts nothing
    pub check: bool,
}

/// Parses the command line; ends the process with status 2 on a usage error.
#[must_use]
pub fn parse_args() -> DaemonArgs {
    let outcome = daemon_args().run_inner(bpaf::Args::current_args());
    match outcome {
        Ok(args) => args,
        Err(failure) => std::process::exit(print_failure(failure)),
    }
}

/// Prints help or a usage error and returns the exit status.
fn print_failure(failure: bpaf::ParseFailure) -> i32 {
    failure.print_message(HELP_WIDTH);
    match failure.exit_code() {
        0 => 0,
        _ => USAGE_STATUS,
    }
}

/// Line width of the help text, in columns.
const HELP_WIDTH: usize = 100;

/// Exit status of a usage error.
const USAGE_STATUS: i32 = 2;
