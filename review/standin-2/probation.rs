//! A hopeless job whose tasks fail, and then a gang.

use crate::processes::{Deployment, stop_run};
use crate::worker::Step;
use std::thread;
use std::time::{Duration, Instant};

/// Time without a run after which a job counts as neglected, and time after a disruption from which all
/// is calm (`contactMs`).
const IDLE: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(4);

/// Job of which no task can be done.
const HOPELESS: &str = "0000000000000bad";

pub fn run(trouble: bool) -> i32 {
    let deployment = Deployment::start(2, 3);
    let small = Step {
        count: 1,
        cpu: 250,
        work_ms: 100,
        ..Step::default()
    };
    for number in 0..19 {
        if !deployment.submit(&format!("00000000000000{number:02x}"), &small, "", "") {
            stop_run("a job was not accepted");
        }
        thread::sleep(Duration::from_millis(120));
    }
    if trouble {
        let hopeless = Step {
            count: 12,
            cpu: 500,
            work_ms: 300,
            fails: true,
            ..Step::default()
        };
        if !deployment.submit(HOPELESS, &hopeless, "", "") {
            stop_run("the hopeless job was not accepted");
        }
        let begun = Instant::now();
        while !deployment.state(0, HOPELESS).contains("failed") {
            if begun.elapsed() > Duration::from_secs(30) {
                stop_run("the hopeless job did not end");
            }
            thread::sleep(Duration::from_secs(1));
        }
    }
    thread::sleep(CALM);
    let id = "5c0e7a21d94b36f8";
    let gang = Step {
        count: 6,
        cpu: 1000,
        gang: true,
        work_ms: 1000,
        ..Step::default()
    };
    if !deployment.submit(id, &gang, ",\"gang\":true", "") {
        stop_run("the gang was not accepted");
    }
    let begun = Instant::now();
    let mut state = String::new();
    while begun.elapsed() < Duration::from_secs(60) {
        state = deployment.state(0, id);
        if state.contains("completed") {
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let world = deployment.fleet.lock();
    let of_gang = world
        .starts
        .iter()
        .filter(|start| start.2.starts_with(id))
        .map(|start| start.0);
    let first = of_gang
        .min()
        .map_or(begun.elapsed(), |at| at.saturating_duration_since(begun));
    drop(world);
    deployment.log(format!(
        "the gang had nothing running for {:.1} s",
        first.as_secs_f64()
    ));
    let verdict = match first {
        first if first > IDLE => Err(format!(
            "the gang had nothing running for {:.1} s although the workers were idle; state {state}",
            first.as_secs_f64()
        )),
        _ if state.contains("completed") => Ok(()),
        _ => Err(format!("state after 60 s {state}")),
    };
    deployment.finish(verdict)
}
