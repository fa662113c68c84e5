//! The cases.

use crate::fleet::{Fleet, SERVICE};
use crate::http;
use crate::record::{Record, Run, wall_ms};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Time after the acknowledgement of a cancellation until nothing may start (`cancel_ms`).
const CANCEL_MS: u64 = 3000;

/// Runs a case; `Some(true)` if the rule held, `None` if the case could not run.
pub fn run(case: &str, trouble: bool, folder: &Path) -> Option<bool> {
    let (entries, agents) = match case {
        "cancel" => (2, 4),
        "deadly" => (2, 6),
        _ => (2, 5),
    };
    let mut fleet = Fleet::start(entries, agents)?;
    let found = match case {
        "cancel" => cancel_elsewhere(&mut fleet, trouble),
        "foreign" => foreign_heartbeat(&fleet, trouble),
        "same-id" => same_id(&fleet, trouble),
        "deadly" => deadly_task(&fleet, trouble),
        _ => return None,
    };
    let verdict = match &found {
        Some(found) if found.is_empty() => "the rule held".to_string(),
        Some(found) => format!("broken {} times", found.len()),
        None => "the case could not run".to_string(),
    };
    for line in found.iter().flatten() {
        fleet.record.note(format!("broken  {line}"));
    }
    fleet.record.note(format!("verdict {verdict}"));
    fleet.record.write(&folder.join("record.txt"));
    println!("{verdict}");
    found.map(|found| found.is_empty())
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn job_id(number: u64) -> String {
    format!(
        "{:016x}",
        0x5c0e_7a21_0000_0000 + wall_ms() % 0xffff * 0x1_0000 + number
    )
}

/// A client hands a job in and cancels it at once. In between the entry that took the job is killed,
/// so that the cancellation is sent again and reaches the other entry.
fn cancel_elsewhere(fleet: &mut Fleet, trouble: bool) -> Option<Vec<String>> {
    let body = r#"{"spec":"ms:4000","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":4000},{"count":1,"cpu":500,"memMb":256,"estimateMs":4000,"dependsOn":[0]}]}"#;
    let mut cancelled = Vec::new();
    for number in 0..6 {
        let job = job_id(number);
        let reply = fleet.request(0, ("POST", &job), body).ok()?;
        if reply.status != 200 {
            return None;
        }
        if trouble {
            fleet.entries[0].process.kill();
            fleet.record.note("trouble frontend-0 is killed");
        }
        // Retries reach the other nodes in turn.
        for attempt in 0..5 {
            let reply = fleet.request(attempt % 2, ("DELETE", &job), "");
            if let Ok(status @ (200..=299 | 410)) = reply.map(|reply| reply.status) {
                let at = fleet.record.now();
                fleet.record.note(format!(
                    "client  {job} is cancelled, by the answer {status}"
                ));
                cancelled.push((job, at));
                break;
            }
        }
        if trouble {
            pause(500);
            fleet.entries[0].process.start();
            if !fleet.entries[0].await_ready() {
                return None;
            }
        }
        pause(3500);
    }
    pause(CANCEL_MS + 6000);
    for (job, _) in &cancelled {
        let _ = fleet.request(1, ("GET", job), "");
    }
    Some(
        cancelled
            .iter()
            .flat_map(|(job, at)| check_cancelled(&fleet.record, job, *at))
            .collect(),
    )
}

/// UNASKED: no machine in touch starts a task `cancel_ms` after the acknowledgement. Tasks that run on
/// are not checked, as the next process is killed near that time.
fn check_cancelled(record: &Record, job: &str, at: u64) -> Vec<String> {
    let is_late = |run: &&Run| run.is_of(job) && run.began > at + CANCEL_MS;
    let line = |run: &Run| {
        let Run {
            task,
            run: number,
            began,
            ..
        } = run;
        let after = began - at;
        format!(
            "{task} run {number} began {after} ms after the acknowledgement of the cancellation"
        )
    };
    record.runs().iter().filter(is_late).map(line).collect()
}

/// A heartbeat of another writer, of a service that no configuration names, reaches an agent.
fn foreign_heartbeat(fleet: &Fleet, trouble: bool) -> Option<Vec<String>> {
    let body =
        r#"{"spec":"ms:25000","steps":[{"count":10,"cpu":1500,"memMb":512,"estimateMs":25000}]}"#;
    for number in 0..3 {
        let reply = fleet.request(0, ("POST", &job_id(number)), body).ok()?;
        if reply.status != 200 {
            return None;
        }
    }
    pause(3000);
    let agent = &fleet.agents[0];
    let busy = fleet
        .record
        .runs()
        .iter()
        .filter(|run| run.worker == "i-0")
        .count();
    fleet.record.note(format!("fleet   {busy} runs on i-0"));
    if trouble {
        let beat = format!(
            r#"{{"service":"{SERVICE}-copy","address":"127.0.0.1:9","zone":"yard-0","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{{"cpu":16000,"memMb":64000,"gpu":0}},"labels":["a","r1-0"],"clockMs":5000,"sequence":1,"born":{}}}"#,
            wall_ms()
        );
        let call = ("POST", "/-/instances/i-copy/heartbeat", "agent");
        let reply = http::call(agent.control, call, &beat, Duration::from_secs(1));
        let reply = reply.map(|reply| reply.status);
        fleet.record.note(format!(
            "trouble heartbeat of another writer at side-0: {reply:?}"
        ));
    }
    pause(15_000);
    Some(fleet.record.overlaps())
}

/// Time for which a worker is cut off from the agent's `control` address.
const CUT_MS: u64 = 5000;
/// Time for which a worker that has crashed is down.
const DOWN_MS: u64 = 300;

/// Workers are cut off from `control`, crash behind the cut, and start again under the ids that they
/// had.
fn same_id(fleet: &Fleet, trouble: bool) -> Option<Vec<String>> {
    let body =
        r#"{"spec":"ms:3000","steps":[{"count":3,"cpu":400,"memMb":256,"estimateMs":3000}]}"#;
    let number = AtomicU64::new(0);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        // Clients hand in some jobs each second.
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                let number = number.fetch_add(1, Ordering::Relaxed);
                let _ = fleet.request(number as usize % 2, ("POST", &job_id(number)), body);
                pause(100);
            }
        });
        for round in 0..3 {
            pause(4000);
            if trouble {
                let worker = &fleet.agents[round % fleet.agents.len()].worker;
                worker.cut(true);
                pause(500);
                worker.crash();
                pause(DOWN_MS);
                worker.restart();
                pause(CUT_MS - 500 - DOWN_MS);
                worker.cut(false);
            } else {
                pause(CUT_MS);
            }
        }
        pause(4000);
        is_over.store(true, Ordering::Relaxed);
    });
    pause(5000);
    Some(fleet.record.overlaps())
}

/// Time for which a task runs before it crashes its worker.
const DEADLY_MS: u64 = 5500;
/// Crashes under a task after which its starts are limited, and the first start that is one too many.
const CRASHES: usize = 3;
const EXCESS_START: usize = 3;

/// A task crashes each worker that starts it.
fn deadly_task(fleet: &Fleet, trouble: bool) -> Option<Vec<String>> {
    let verb = if trouble { "crash" } else { "ms" };
    let body = format!(
        r#"{{"spec":"{verb}:{DEADLY_MS}","steps":[{{"count":1,"cpu":1000,"memMb":512,"estimateMs":8000}}]}}"#
    );
    let job = job_id(0);
    if fleet.request(0, ("POST", &job), &body).ok()?.status != 200 {
        return None;
    }
    pause(60_000);
    let _ = fleet.request(1, ("GET", &job), "");
    let runs = fleet.record.runs();
    let crashes = runs.iter().filter_map(|run| match run.ended {
        Some((at, "with its worker")) => Some(at),
        _ => None,
    });
    let Some(limit) = crashes.collect::<Vec<_>>().get(CRASHES - 1).copied() else {
        return Some(Vec::new());
    };
    let later: Vec<_> = runs.iter().filter(|run| run.began > limit).collect();
    let excess = later.iter().skip(EXCESS_START - 1);
    let line = |run: &&Run| {
        let Run {
            task,
            run: number,
            began,
            ..
        } = run;
        format!("{task} run {number} began at {began} ms, after {CRASHES} crashes by {limit} ms")
    };
    Some(excess.map(line).collect())
}
