//! A start without an answer, and the loss of power of its machine.

use crate::processes::{Deployment, stop_run};
use crate::worker::{LateCall, Step};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which the order is carried out; the bench's are 2 to 12 s late.
const LATE: Duration = Duration::from_millis(9000);

const ID: &str = "5c0e7a21d94b36f8";

pub fn run(trouble: bool) -> i32 {
    let mut deployment = Deployment::start(2, 8);
    // The machine that is lost is not the planner's: the token of the next planner would fence the order.
    let planner = deployment
        .agents
        .iter()
        .position(|agent| agent.has_logged("planner_active"));
    let other = (planner.unwrap_or(0) + 1) % deployment.agents.len();
    // The clock of a life starts anew, so a lease in an order for an old life lasts in a young one.
    thread::sleep(Duration::from_secs(20));
    if trouble {
        for worker in &mut deployment.fleet.lock().workers {
            worker.late = Some(LateCall::Start(ID, LATE));
        }
    }
    // Orders beside, so that those without an answer are a twentieth.
    let beside = Step {
        count: 20,
        cpu: 250,
        work_ms: 300,
        ..Step::default()
    };
    let task = Step {
        count: 1,
        cpu: 1000,
        work_ms: 25_000,
        ..Step::default()
    };
    let is_accepted = deployment.submit("00000000000000a0", &beside, "", "")
        && deployment.submit(ID, &task, &format!(",\"dataRack\":\"r1-{other}\""), "");
    if !is_accepted {
        stop_run("a job was not accepted");
    }
    let begun = Instant::now();
    if trouble {
        let victim = loop {
            let victim = {
                let world = deployment.fleet.lock();
                world.workers.iter().position(|worker| worker.late_used)
            };
            match victim {
                Some(victim) => break victim,
                None if begun.elapsed() > Duration::from_secs(10) => {
                    stop_run("nothing was started")
                }
                None => thread::sleep(Duration::from_millis(2)),
            }
        };
        for worker in &mut deployment.fleet.lock().workers {
            worker.late = None;
        }
        deployment.log(format!("machine {victim} loses power"));
        deployment.agents[victim].kill();
        deployment.fleet.crash(victim);
        thread::sleep(Duration::from_millis(2500));
        deployment.log(format!("machine {victim} has power again"));
        deployment.fleet.start(victim, false);
        deployment.agents[victim].start();
    }
    let mut state = String::new();
    while begun.elapsed() < Duration::from_secs(60) {
        state = deployment.state(0, ID);
        if state.contains("completed") {
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let twice = deployment.fleet.lock().twice.clone();
    let verdict = match twice.first() {
        Some(first) => Err(first.clone()),
        None if state.contains("completed") => Ok(()),
        None => stop_run(&format!("the job has not ended: {state}")),
    };
    deployment.finish(verdict)
}
