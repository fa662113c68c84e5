//! A hold that acknowledges ends gets no answer, and the machine beside the worker loses power. The hold is
//! carried out late, by the next life of the worker. Work that is done must not be done again.

use crate::fleet::Fleet;
use crate::worker::Order;
use crate::{Case, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Workers and the machines beside them; `node_kill` with power takes a share of .16.
const WORKERS: usize = 8;

/// Time of traffic before the disruption, and after it.
const BEFORE: Duration = Duration::from_secs(14);
const AFTER: Duration = Duration::from_secs(14);

/// When the hold is carried out after it was sent, at the next end that no answer has listed;
/// `applied_late` says 2 to 12 s.
const LATE: Duration = Duration::from_millis(9000);

/// Time from the hold to the loss of power, and for which it lasts.
const LOSS_AFTER: Duration = Duration::from_millis(50);
const POWER_LOSS: Duration = Duration::from_millis(2500);

/// Interval between two jobs of the client.
const JOB_INTERVAL: Duration = Duration::from_millis(150);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let mut fleet = Fleet::new(&case.folder, record, 2, WORKERS);
    let target = Arc::new(Mutex::new(None::<String>));
    let lost = Arc::new(AtomicBool::new(false));
    {
        let (target, lost) = (Arc::clone(&target), Arc::clone(&lost));
        fleet.judge = Arc::new(move |name: &str, _| {
            let is_meant = target.lock().unwrap().as_deref() == Some(name);
            match is_meant && !lost.swap(true, Ordering::Relaxed) {
                true => Order::Late(LATE),
                false => Order::Answered,
            }
        });
    }
    fleet.start_entries();
    fleet.power_on();
    fleet.wait_ready()?;
    thread::sleep(Duration::from_secs(5));
    let planner = fleet.planner().ok_or("no planner is known")?;
    let index = (planner + 1) % WORKERS;
    let id = fleet.workers[index].id.clone();
    let began = Instant::now();
    let (mut number, mut next_job) = (0, began);
    let (mut lost_at, mut down, mut back) = (None, false, false);
    while began.elapsed() < BEFORE + AFTER {
        if Instant::now() >= next_job {
            next_job += JOB_INTERVAL;
            number += 1;
            let job = format!("{number:016x}");
            let millis = 150 + number * 37 % 300;
            let body = format!(
                "{{\"spec\":\"ms={millis}\",\"steps\":[{{\"count\":20,\"cpu\":1000,\"memMb\":100,\"estimateMs\":{millis}}}]}}"
            );
            fleet.ask(number % 2, "POST", &job, &body);
        }
        if case.has_trouble && began.elapsed() >= BEFORE && lost_at.is_none() {
            target.lock().unwrap().get_or_insert_with(|| id.clone());
            lost_at = lost.load(Ordering::Relaxed).then(Instant::now);
        }
        let since: Option<Duration> = lost_at.map(|at: Instant| at.elapsed());
        if since.is_some_and(|since| since >= LOSS_AFTER) && !down {
            down = true;
            if fleet.planner() != Some(planner) {
                return Err("the planner has changed".into());
            }
            record.line(format!("{} loses power", fleet.agents[index].name));
            fleet.agents[index].kill();
            fleet.workers[index].crash();
        }
        if since.is_some_and(|since| since >= LOSS_AFTER + POWER_LOSS) && !back {
            back = true;
            fleet.agents[index].start();
            fleet.workers[index] = fleet.new_life(index, Some(&id));
        }
        if back {
            let mut late = fleet.late[index].lock().unwrap();
            let due = late.first().filter(|late| Instant::now() >= late.0);
            let unread = due.and_then(|late| fleet.workers[index].carry_out_hold(&late.2));
            if let Some(unread) = unread {
                late.remove(0);
                record.line(format!(
                    "the late hold is carried out; ends that nobody has read: {unread:?}"
                ));
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    let again = fleet.ledger.lock().unwrap().done_again();
    let broken = again.iter().map(|(task, done, run)| {
        format!(
            "run {run} of {task} started after run {done} had ended done, which was taken note of"
        )
    });
    Ok(broken.collect())
}
