//! Runs one case: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. `TROUBLE=0` leaves the disruptions out, `TROUBLE=power` all but the power losses.

mod deadly_pair;
mod early_heartbeat;
mod fleet;
mod http;
mod json;
mod late_hold;
mod late_start;
mod record;
mod stale_snapshot;
mod store;
mod worker;

use record::Record;
use std::panic::{self, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::{env, fs, process};

/// What a case needs of its environment.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub has_trouble: bool,
    /// Whether a write to the store loses its answer, where a case has that beside a power loss.
    pub loses_answer: bool,
}

/// Outcome of a case: the ways in which the rule was broken, or why it could not run.
pub type Verdict = Result<Vec<String>, String>;

fn main() {
    let is_trouble = |name| env::var("TROUBLE").as_deref() == Ok(name);
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [name, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        process::exit(2);
    };
    let folder = env::temp_dir().join(format!("review-3-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let case = Case {
        record: Record::create(record),
        folder: folder.clone(),
        has_trouble: !is_trouble("0"),
        loses_answer: !is_trouble("0") && !is_trouble("power"),
    };
    case.record
        .line(format!("case {name}, disruption: {}", case.has_trouble));
    // The processes that a case has started end with it, also if it fails.
    let verdict = panic::catch_unwind(AssertUnwindSafe(|| match name.as_str() {
        "deadly-pair" => deadly_pair::run(&case),
        "early-heartbeat" => early_heartbeat::run(&case),
        "late-hold" => late_hold::run(&case),
        "late-start" => late_start::run(&case),
        "stale-snapshot" => stale_snapshot::run(&case),
        _ => Err(format!("no case {name}")),
    }));
    let verdict = verdict.unwrap_or_else(|_| Err("a stand-in failed".into()));
    // Logs of the programs stay for whoever asks for them.
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(Path::new(&folder));
    }
    let (code, lines) = match verdict {
        Ok(broken) if broken.is_empty() => (0, vec!["the rule held".into()]),
        Ok(broken) => (1, broken),
        Err(cause) => (2, vec![format!("the case could not run: {cause}")]),
    };
    for line in lines {
        case.record.line(format!("verdict: {line}"));
        println!("{line}");
    }
    process::exit(code);
}
