//! Runs a case of the second review: `driver CASE FOLDER`. With TROUBLE=0 the disruption is left out.

mod backlog;
mod forgotten;
mod history;
mod http;
mod json;
mod probation;
mod processes;
mod reborn;
mod store;
mod worker;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    processes::watch();
    let status = match &*case {
        "backlog" => backlog::run(trouble),
        "forgotten" => forgotten::run(trouble),
        "history" => history::run(trouble),
        "probation" => probation::run(trouble),
        "reborn" => reborn::run(trouble),
        _ => processes::stop_run("no such case"),
    };
    std::process::exit(status);
}
