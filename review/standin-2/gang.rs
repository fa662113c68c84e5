//! A gang whose tasks save checkpoints, and the crash of one worker.

use crate::processes::Deployment;
use crate::worker::Step;
use std::thread;
use std::time::{Duration, Instant};

/// Time after the end of the disruption from which all is calm (`contactMs`).
const CONTACT: Duration = Duration::from_millis(3000);

/// Time for which a job may have nothing running, with the 4 s before it that have to be calm.
const IDLE: Duration = Duration::from_secs(7);

pub fn run(trouble: bool) -> i32 {
    let deployment = Deployment::start(2, 8);
    let id = "5c0e7a21d94b36f8";
    let step = Step {
        count: 12,
        cpu: 4000,
        gang: true,
        checkpointing: true,
        work_ms: 8000,
        ..Step::default()
    };
    if !deployment.submit(id, &step, ",\"checkpointing\":true,\"gang\":true", "") {
        crate::processes::stop_run("the job was not accepted");
    }
    let begun = Instant::now();
    let is_present = || {
        deployment
            .fleet
            .lock()
            .lines
            .iter()
            .any(|line| line.contains("members are present"))
    };
    while !is_present() {
        if begun.elapsed() > Duration::from_secs(15) {
            crate::processes::stop_run("the gang did not come to work");
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(3600));
    if trouble {
        let victim = deployment
            .fleet
            .lock()
            .starts
            .first()
            .map_or(0, |start| start.1);
        deployment.fleet.crash(victim);
        thread::sleep(Duration::from_millis(2500));
        deployment.fleet.start(victim, true);
    }
    let calm = Instant::now() + CONTACT;
    let mut state = String::new();
    let mut idle_since = None::<Instant>;
    let mut longest = Duration::ZERO;
    while begun.elapsed() < Duration::from_secs(70) {
        state = deployment.state(0, id);
        if state.contains("completed") {
            break;
        }
        let second = Instant::now() + Duration::from_secs(1);
        while Instant::now() < second {
            let is_idle = Instant::now() > calm && !deployment.fleet.lock().is_running(id);
            idle_since = is_idle.then(|| idle_since.unwrap_or_else(Instant::now));
            longest = longest.max(idle_since.map_or(Duration::ZERO, |since| since.elapsed()));
            thread::sleep(Duration::from_millis(5));
        }
    }
    let world = deployment.fleet.lock();
    let mut runs = std::collections::BTreeMap::<u64, std::collections::BTreeSet<String>>::new();
    for (_, _, _, run, checkpoint, _) in &world.starts {
        runs.entry(*run).or_default().insert(checkpoint.clone());
    }
    drop(world);
    for (run, checkpoints) in &runs {
        deployment.log(format!(
            "run {run} of the gang was started with {} checkpoints",
            checkpoints.len()
        ));
    }
    let verdict = match longest {
        longest if longest > IDLE => Err(format!(
            "the gang had nothing running for {:.1} s on end although most workers were idle; state {state}",
            longest.as_secs_f64()
        )),
        _ if state.contains("completed") => Ok(()),
        _ => Err(format!("the gang has not ended after 70 s; state {state}")),
    };
    deployment.finish(verdict)
}
