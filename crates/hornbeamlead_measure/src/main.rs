//! Runs the experiment named on the command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = hornbeamlead_measure::args::measure_args().run();
    hornbeamlead_measure::run(&args)
}
