//! Entry point of `hornbeamctl`, the command-line tool for operators.

use hornbeamlead_ctl::args::parse_args;
use std::process::ExitCode;

fn main() -> ExitCode {
    match parse_args() {
        Ok(command) => hornbeamlead_ctl::run(&command).into(),
        Err(status) => status.into(),
    }
}
