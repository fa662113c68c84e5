//! Starts the operators' command-line tool.

use hornbeamlead_ctl::args::parse_args;
use std::process::ExitCode;

fn main() -> ExitCode {
    match parse_args() {
        Ok(command) => hornbeamlead_ctl::run(&command).into(),
        Err(status) => status.into(),
    }
}
