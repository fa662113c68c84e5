//! Measures the system: an open-loop load generator and named experiments.
//!
//! The package is not shipped. Each experiment has a module of its own and returns a
//! [`report::TableReport`], printed as tables or as JSON.

#![warn(clippy::unwrap_used)]

pub mod args;
pub mod batch;
pub mod capacity;
pub mod report;
pub mod requests;

use args::{ExperimentName, MeasureArgs};
use report::TableReport;
use std::process::ExitCode;

/// Runs the experiment named on the command line and prints its report.
#[must_use]
pub fn run(args: &MeasureArgs) -> ExitCode {
    let result = match args.experiment {
        ExperimentName::Requests => requests::run(),
        ExperimentName::Batch => batch::run(),
        ExperimentName::Capacity => capacity::run(),
    };
    match result {
        Ok(report) => {
            print_report(&report, args.json);
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}

fn print_report(report: &TableReport, json: bool) {
    match json {
        true => println!("{}", report.to_json()),
        false => print!("{report}"),
    }
}
