//! A start gets no answer, and the worker crashes and starts again under its id. The start is carried out
//! late, by the new life. No task may run on two workers at the same time.

use crate::fleet::Fleet;
use crate::worker::Order;
use crate::{Case, Verdict};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When the start is carried out after it was sent; `applied_late` says 2 to 12 s.
const LATE: Duration = Duration::from_millis(2800);

/// Time from the order to the crash, and for which the worker is down.
const CRASH_AFTER: Duration = Duration::from_millis(150);
const DOWN: Duration = Duration::from_millis(2500);

/// Time from the worker's start to its first heartbeat; it sends one each 1,100 ms.
const FIRST_BEAT: Duration = Duration::from_millis(1000);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let mut fleet = Fleet::new(&case.folder, record, 2, 5);
    let job = format!("{:016x}", 0xabc);
    let ordered = Arc::new(Mutex::new(None));
    if case.has_trouble {
        let (ordered, job) = (Arc::clone(&ordered), job.clone());
        fleet.judge = Arc::new(move |task: &str, number: u64| {
            let mut first = ordered.lock().unwrap();
            let is_meant = task.starts_with(&job) && number == 1;
            match is_meant {
                true => {
                    first.get_or_insert(Instant::now());
                    Order::Late(LATE)
                }
                false => Order::Answered,
            }
        });
    }
    fleet.start_entries();
    fleet.power_on();
    fleet.wait_ready()?;
    thread::sleep(Duration::from_secs(5));
    let body = "{\"spec\":\"ms=6000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":100,\"estimateMs\":6000}]}";
    if fleet.ask(0, "POST", &job, body).0 != 200 {
        return Err("the job was not accepted".into());
    }
    let mut broken = Vec::new();
    let begin = Instant::now();
    let mut down_since = None;
    while begin.elapsed() < Duration::from_secs(16) {
        let first = *ordered.lock().unwrap();
        let index = fleet
            .late
            .iter()
            .position(|late| !late.lock().unwrap().is_empty());
        if let (Some(at), Some(index), None) = (first, index, down_since)
            && at.elapsed() >= CRASH_AFTER
        {
            fleet.workers[index].crash();
            down_since = Some((index, Instant::now(), false));
        }
        if let Some((index, since, false)) = down_since
            && since.elapsed() >= DOWN
        {
            fleet.places[index].first_beat = FIRST_BEAT;
            let id = fleet.workers[index].id.clone();
            fleet.workers[index] = fleet.new_life(index, Some(&id));
            down_since = Some((index, since, true));
        }
        if let Some((index, _, true)) = down_since {
            let mut late = fleet.late[index].lock().unwrap();
            late.retain(|(at, route, order)| {
                let is_due = Instant::now() >= *at;
                if is_due {
                    record.line("the late start is carried out");
                    let _ = fleet.workers[index].carry_out(route, order);
                }
                !is_due
            });
        }
        let runs: Vec<_> = fleet
            .workers
            .iter()
            .map(|worker| (worker.id.clone(), worker.running()))
            .collect();
        let of_job: Vec<_> = runs
            .iter()
            .filter(|(_, runs)| runs.iter().any(|(task, _)| task.starts_with(&job)))
            .collect();
        if of_job.len() > 1 && broken.is_empty() {
            let line = format!("two runs at the same time: {of_job:?}");
            record.line(&line);
            broken.push(line);
        }
        thread::sleep(Duration::from_millis(5));
    }
    fleet.ask(1, "GET", &job, "");
    Ok(broken)
}
