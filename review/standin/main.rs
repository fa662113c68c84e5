//! Stand-ins for the platform and its clients, and the cases of the review that are scripts.
//!
//! `standin CASE FOLDER` runs a case, writes `record.txt` into the folder, and exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(case, trouble, Path::new(folder)) {
        Some(true) => ExitCode::from(0),
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
