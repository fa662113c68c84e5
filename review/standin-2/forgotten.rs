//! A hold that acknowledges ends gets no answer, its worker crashes, and the call is carried out by the
//! worker's next life.

use crate::processes::{Deployment, stop_run};
use crate::worker::{LateCall, Step};
use std::thread;
use std::time::{Duration, Instant};

/// Job whose end is forgotten.
const ID: &str = "5c0e7a21d94b36f8";

/// Time for which its task works, and for which its agent is frozen around the end.
const WORK: Duration = Duration::from_millis(4000);
const FROZEN: Duration = Duration::from_millis(1800);

pub fn run(trouble: bool) -> i32 {
    let deployment = Deployment::start(2, 8);
    let planner = deployment
        .agents
        .iter()
        .position(|agent| agent.has_logged("planner_active"));
    let victim = (planner.unwrap_or(0) + 1) % deployment.agents.len();
    thread::sleep(Duration::from_secs(3));
    let label = format!(",\"requirements\":\"r1-{victim}\"");
    if trouble {
        deployment.fleet.lock().workers[victim].late = Some(LateCall::Acknowledgement(ID));
    }
    let before = Step {
        count: 3,
        cpu: 250,
        work_ms: 300,
        ..Step::default()
    };
    if !deployment.submit("00000000000000a0", &before, &label, "") {
        stop_run("a job was not accepted");
    }
    let begun = Instant::now();
    if trouble {
        while !deployment.fleet.lock().workers[victim].late_used {
            if begun.elapsed() > Duration::from_secs(15) {
                stop_run("no end was acknowledged");
            }
            thread::sleep(Duration::from_millis(2));
        }
        deployment.fleet.crash(victim);
        thread::sleep(Duration::from_millis(800));
        deployment.fleet.start(victim, false);
        thread::sleep(Duration::from_millis(1500));
    } else {
        thread::sleep(Duration::from_secs(4));
    }
    let task = Step {
        count: 1,
        cpu: 1000,
        work_ms: WORK.as_millis() as u64,
        ..Step::default()
    };
    if !deployment.submit(ID, &task, &label, "") {
        stop_run("the job was not accepted");
    }
    while deployment.fleet.lock().running(ID) == 0 {
        if begun.elapsed() > Duration::from_secs(30) {
            stop_run("the job did not start");
        }
        thread::sleep(Duration::from_millis(2));
    }
    if trouble {
        thread::sleep(WORK - FROZEN / 2);
        deployment.log(format!("machine {victim} freezes"));
        deployment.agents[victim].freeze(true);
        thread::sleep(FROZEN);
        deployment.agents[victim].freeze(false);
        deployment.log(format!("machine {victim} wakes again"));
    }
    let mut state = String::new();
    while begun.elapsed() < Duration::from_secs(50) {
        state = deployment.state(0, ID);
        if state.contains("completed") {
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(2));
    let twice = deployment.fleet.lock().twice.clone();
    let verdict = match twice.first() {
        Some(first) => Err(first.clone()),
        None if state.contains("completed") => Ok(()),
        None => stop_run(&format!("the job has not ended: {state}")),
    };
    deployment.finish(verdict)
}
