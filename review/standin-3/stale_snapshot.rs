//! The store loses the answer of one write and carries it out some seconds later. Then the machines beside
//! workers lose power, twice in a row. Accepted jobs must run when the power is back.

use crate::fleet::Fleet;
use crate::store::Fate;
use crate::{Case, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time without disruption at the begin.
const CALM: Duration = Duration::from_secs(9);

/// Time after which the write is carried out; `platform_lost` says 1 to 6 s.
const LATE: Duration = Duration::from_millis(4500);

/// Time without power, each time, and time with power between.
const POWER_LOSS: Duration = Duration::from_millis(9500);
const POWER_BETWEEN: Duration = Duration::from_millis(250);

/// `recoveryS` of the sheets, and time after that for the open tasks to run.
const RECOVERY: Duration = Duration::from_secs(12);
const REST: Duration = Duration::from_secs(14);

/// Time for which a job may have nothing running while there is room.
const IDLE: Duration = Duration::from_secs(3);

/// Jobs that are handed in when the system should be back.
const NEW_JOBS: usize = 3;

/// Interval between two jobs of the client.
const JOB_INTERVAL: Duration = Duration::from_millis(150);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let mut fleet = Fleet::new(&case.folder, record, 2, 3);
    fleet.start_entries();
    fleet.power_on();
    fleet.wait_ready()?;
    // Is running when the power is lost.
    let long = "{\"spec\":\"ms=6000\",\"steps\":[{\"count\":4,\"cpu\":1000,\"memMb\":100,\"estimateMs\":6000}]}";
    let jobs = Mutex::new(Vec::new());
    let began = Instant::now();
    let lost = Arc::new(AtomicBool::new(false));
    let mut number = 0;
    let mut submit = |fleet: &Fleet, body: &str| {
        number += 1;
        let job = format!("{number:016x}");
        if fleet.ask(number as usize % 2, "POST", &job, body).0 == 200 {
            jobs.lock().unwrap().push(job);
        }
    };
    let short = "{\"spec\":\"ms=200\",\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":50,\"estimateMs\":200}]}";
    while began.elapsed() < CALM {
        submit(&fleet, short);
        thread::sleep(JOB_INTERVAL);
    }
    if case.loses_answer {
        let (lost, record) = (Arc::clone(&lost), record.clone());
        fleet.store.judge(Box::new(move |topic, body| {
            match topic == "keyed.snapshots" && !lost.swap(true, Ordering::SeqCst) {
                true => {
                    let bytes = body.len();
                    record.line(format!(
                        "store: a write of {bytes} bytes to {topic} gets no answer"
                    ));
                    Fate::Late(LATE)
                }
                false => Fate::Done,
            }
        }));
    } else {
        lost.store(true, Ordering::SeqCst);
    }
    while !lost.load(Ordering::SeqCst) {
        submit(&fleet, short);
        thread::sleep(JOB_INTERVAL);
        if began.elapsed() > CALM * 2 {
            return Err("the system made no write that the case waits for".into());
        }
    }
    let lost_at = Instant::now();
    while lost_at.elapsed() < LATE - Duration::from_millis(600) {
        submit(&fleet, short);
        thread::sleep(JOB_INTERVAL);
    }
    submit(&fleet, long);
    thread::sleep((LATE + Duration::from_millis(50)).saturating_sub(lost_at.elapsed()));
    if case.has_trouble {
        if case.loses_answer {
            record.line("store: the write is carried out");
        }
        fleet.power_off();
        thread::sleep(POWER_LOSS);
        fleet.power_on();
        thread::sleep(POWER_BETWEEN);
        fleet.power_off();
        thread::sleep(POWER_LOSS);
        fleet.power_on();
    }
    thread::sleep(RECOVERY);
    for _ in 0..NEW_JOBS {
        submit(&fleet, short);
    }
    thread::sleep(REST);
    let jobs = jobs.into_inner().unwrap();
    let states = |fleet: &Fleet| -> Vec<(u16, String)> {
        let ask = |(index, job): (usize, &String)| fleet.ask(index % 2, "GET", job, "");
        jobs.iter().enumerate().map(ask).collect()
    };
    // What is open and has nothing running for the whole time, with all workers up.
    let is_open = |(status, body): &(u16, String)| *status != 200 || !body.contains("completed");
    let before = states(&fleet);
    let begin = Instant::now();
    let mut ran = Vec::new();
    while begin.elapsed() < IDLE + Duration::from_millis(500) {
        ran.extend(fleet.workers.iter().flat_map(|worker| worker.running()));
        thread::sleep(Duration::from_millis(20));
    }
    let after = states(&fleet);
    let mut broken = Vec::new();
    for ((job, before), after) in jobs.iter().zip(&before).zip(&after) {
        let has_run = ran.iter().any(|(task, _)| task.starts_with(job.as_str()));
        if is_open(before) && is_open(after) && !has_run {
            broken.push(format!(
                "job {job} was accepted; {} s after the last disruption it has nothing running for 3 s on \
                 empty workers, and a GET is answered {} {}",
                (RECOVERY + REST).as_secs(),
                after.0,
                after.1
            ));
        }
    }
    Ok(broken)
}
