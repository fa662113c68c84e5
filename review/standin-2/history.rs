//! Wide jobs, then a restart of the entries one after the other.

use crate::processes::{Deployment, stop_run};
use crate::worker::Step;
use std::thread;
use std::time::{Duration, Instant};

/// Jobs and their tasks.
const JOBS: usize = 450;
const TASKS: usize = 1000;

/// `finish_s`, after which accepted jobs are asked for, and the time for which they are.
const FINISH: Duration = Duration::from_secs(14);
const ASKED: Duration = Duration::from_secs(20);

pub fn run(trouble: bool) -> i32 {
    let mut deployment = Deployment::start(2, 3);
    deployment.fleet.lock().counted = Some("5c0e7a21d94b");
    let wide = Step {
        count: TASKS,
        cpu: 250,
        work_ms: 1000,
        ..Step::default()
    };
    for number in 0..JOBS {
        if !deployment.submit(&format!("5c0e7a21d94b{number:04x}"), &wide, "", "") {
            stop_run("a job was not accepted");
        }
    }
    let small = Step {
        count: 1,
        cpu: 250,
        work_ms: 500,
        ..Step::default()
    };
    let ids: Vec<_> = (1..=4)
        .map(|number| format!("00000000000000a{number}"))
        .collect();
    for id in &ids {
        if !deployment.submit(id, &small, "", "") {
            stop_run("a job was not accepted");
        }
    }
    thread::sleep(Duration::from_secs(26));
    let read = |deployment: &Deployment| -> Vec<String> {
        ids.iter()
            .flat_map(|id| {
                (0..2)
                    .map(|entry| deployment.state(entry, id))
                    .collect::<Vec<_>>()
            })
            .collect()
    };
    let waited = Instant::now();
    while !read(&deployment)
        .iter()
        .all(|state| state.contains("completed"))
    {
        if waited.elapsed() > Duration::from_secs(15) {
            stop_run("the small jobs could not be read as completed before the restart");
        }
        thread::sleep(Duration::from_secs(1));
    }
    if trouble {
        for entry in 0..2 {
            deployment.log(format!("operator: entry {entry} is stopped and started"));
            deployment.entries[entry].terminate();
            deployment.entries[entry].start();
            thread::sleep(Duration::from_secs(1));
        }
    }
    thread::sleep(FINISH);
    let begun = Instant::now();
    let mut unread = Vec::new();
    while begun.elapsed() < ASKED {
        let states = read(&deployment);
        let ready: Vec<_> = deployment
            .entries
            .iter()
            .map(|entry| entry.is_ready())
            .collect();
        deployment.log(format!("platform: entries ready {ready:?}"));
        // Each entry in turn, as clients reach any of them.
        let of_job = ids.iter().zip(states.chunks(2));
        let missing =
            of_job.filter(|(_, states)| !states.iter().any(|state| state.contains("state")));
        unread = missing
            .map(|(id, states)| format!("{id}: {states:?}"))
            .collect();
        if unread.is_empty() {
            break;
        }
        thread::sleep(Duration::from_secs(2));
    }
    let store = deployment.store.0.lock().unwrap();
    let line = format!(
        "store: largest calls {:?}; {} calls above callBytes; {} bytes held",
        store.largest,
        store.too_large.len(),
        store.size()
    );
    drop(store);
    deployment.log(line);
    let lines = deployment.fleet.lock().uncounted_lines;
    deployment.log(format!(
        "workers: {lines} starts and ends of tasks of the wide jobs"
    ));
    let verdict = match unread.first() {
        None => Ok(()),
        Some(first) => Err(format!(
            "{} accepted jobs can't be read at any entry, {first}",
            unread.len()
        )),
    };
    deployment.finish(verdict)
}
