//! Jobs are accepted while all machines beside workers are without power. When these are back, another
//! entry is asked for the jobs: it must not say that they do not exist.

use crate::fleet::{Fleet, PREFIX, headers};
use crate::{Case, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Schedules that have been due for an hour, and occurrences of each.
const SCHEDULES: u64 = 300;
const OCCURRENCES: u64 = 3000;

/// Jobs that are accepted during the power loss.
const JOBS: u64 = 40;

/// Time without power.
const POWER_LOSS: Duration = Duration::from_secs(5);

/// `visible_ms` of the sheets.
const VISIBLE: Duration = Duration::from_millis(3000);

/// Interval at which a client asks for its job.
const POLL: Duration = Duration::from_millis(250);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let mut fleet = Fleet::new(&case.folder, record, 2, 3);
    fleet.start_entries();
    fleet.power_on();
    fleet.wait_ready()?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock");
    let hour_ago = now.as_millis() as u64 - 3_600_000;
    for index in 0..SCHEDULES {
        let body = format!(
            "{{\"spec\":\"ms=20000\",\"startAtMs\":{hour_ago},\"intervalMs\":1000,\
             \"repeatCount\":{OCCURRENCES},\
             \"steps\":[{{\"count\":1,\"cpu\":8000,\"memMb\":1000,\"estimateMs\":20000}}]}}"
        );
        let (status, _) = fleet.ask(0, "POST", &format!("{:016x}", 0x1000 + index), &body);
        if status != 200 {
            return Err(format!("a schedule was answered with {status}"));
        }
    }
    thread::sleep(Duration::from_secs(8));
    if case.has_trouble {
        fleet.power_off();
    }
    let lost_at = Instant::now();
    let mut jobs = Vec::new();
    for index in 0..JOBS {
        let job = format!("{:016x}", 0xf000_0000_0000_0000_u64 + index);
        let body = "{\"spec\":\"ms=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":10,\"estimateMs\":100}]}";
        let (status, _) = fleet.ask(0, "POST", &job, body);
        if status == 200 {
            jobs.push((job, Instant::now()));
        }
    }
    if jobs.is_empty() {
        return Err("no job was accepted".into());
    }
    record.line(format!("{} jobs are accepted", jobs.len()));
    let broken = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, (job, accepted_at)) in jobs.into_iter().enumerate() {
        let (broken, is_over) = (Arc::clone(&broken), Arc::clone(&is_over));
        let (record, address) = (record.clone(), fleet.entries[1].control);
        clients.push(thread::spawn(move || {
            let from = accepted_at + VISIBLE + POLL.mul_f64(index as f64 / JOBS as f64);
            thread::sleep(from.saturating_duration_since(Instant::now()));
            let mut last = String::new();
            while !is_over.load(Ordering::Relaxed) {
                let path = format!("{PREFIX}{job}");
                let timeout = Duration::from_secs(4);
                let sent = accepted_at.elapsed();
                let answer = crate::http::call(address, ("GET", &path), &headers(), "", timeout);
                let text = answer.map_or_else(
                    |error| error.to_string(),
                    |(status, body)| format!("{status} {body}"),
                );
                if text != last {
                    record.line(format!(
                        "GET {job} {} ms after its 200: {text}",
                        sent.as_millis()
                    ));
                }
                if text.starts_with("410") {
                    let mut broken = broken.lock().unwrap();
                    broken.push(format!(
                        "GET {job} {} ms after its 200 was answered 410",
                        sent.as_millis()
                    ));
                }
                last = text;
                thread::sleep(POLL);
            }
        }));
    }
    if case.has_trouble {
        thread::sleep(POWER_LOSS.saturating_sub(lost_at.elapsed()));
        fleet.power_on();
    }
    thread::sleep(Duration::from_secs(12));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let broken = broken.lock().unwrap().clone();
    Ok(broken)
}
