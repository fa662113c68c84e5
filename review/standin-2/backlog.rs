//! A job whose times have been due for hours, beside a few small jobs.

use crate::processes::{Deployment, stop_run};
use crate::worker::Step;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long before its submission the timed job was first due, and how often it runs, once a second.
const BEGUN_BEFORE: Duration = Duration::from_secs(20 * 3600);
const TIMES: u32 = 86_400;

/// Time within which the small jobs have to end; on an idle deployment they take a second.
const LIMIT: Duration = Duration::from_secs(60);

/// Job whose tasks last.
const LASTING: &str = "00000000000000c0";

pub fn run(trouble: bool) -> i32 {
    let deployment = Deployment::start(2, 3);
    let small = Step {
        count: 4,
        cpu: 250,
        work_ms: 500,
        ..Step::default()
    };
    if !deployment.submit("00000000000000a0", &small, "", "") {
        stop_run("a job was not accepted");
    }
    let lasting = Step {
        count: 6,
        cpu: 500,
        long: true,
        ..Step::default()
    };
    if !deployment.submit(LASTING, &lasting, ",\"longRunning\":true", "") {
        stop_run("the lasting job was not accepted");
    }
    thread::sleep(Duration::from_secs(4));
    if !deployment
        .state(0, "00000000000000a0")
        .contains("completed")
    {
        stop_run("the first small job did not end");
    }
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = wall.map_or(0, |span| span.as_millis() as u64);
    let start = if trouble {
        now - BEGUN_BEFORE.as_millis() as u64
    } else {
        now
    };
    let times = format!(",\"startAtMs\":{start},\"intervalMs\":1000,\"repeatCount\":{TIMES}");
    let every_second = Step {
        count: 1,
        cpu: 250,
        work_ms: 300,
        ..Step::default()
    };
    if !deployment.submit("5c0e7a21d94b36f8", &every_second, "", &times) {
        stop_run("the timed job was not accepted");
    }
    thread::sleep(Duration::from_secs(1));
    let ids: Vec<_> = (1..=3)
        .map(|number| format!("00000000000000a{number}"))
        .collect();
    for id in &ids {
        if !deployment.submit(id, &small, "", "") {
            stop_run("a job was not accepted");
        }
    }
    let begun = Instant::now();
    let mut states = Vec::new();
    while begun.elapsed() < LIMIT {
        states = ids.iter().map(|id| deployment.state(0, id)).collect();
        if states.iter().all(|state| state.contains("completed")) {
            break;
        }
        thread::sleep(Duration::from_secs(3));
    }
    let world = deployment.fleet.lock();
    let since = |start: &&(Instant, usize, String, u64, String, bool)| start.0 > begun;
    let starts = world.starts.iter().filter(since).count();
    let still = world.running(LASTING);
    drop(world);
    deployment.log(format!("{still} of 6 lasting tasks run at the end"));
    deployment.log(format!(
        "{starts} tasks have started since the small jobs were accepted"
    ));
    let verdict = match states.iter().all(|state| state.contains("completed")) {
        true => Ok(()),
        false => Err(format!(
            "small jobs with free capacity after 60 s: {states:?}; {starts} starts; {still} of 6 lasting tasks run"
        )),
    };
    deployment.finish(verdict)
}
