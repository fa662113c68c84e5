//! Two jobs with one task each crash every worker that starts them, beside ordinary jobs. No task may start
//! three more times after three workers have crashed under it.

use crate::fleet::Fleet;
use crate::{Case, Verdict};
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 8;

/// Age at which each of the tasks crashes its worker.
const AGES: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(2500)];

/// Time for which a crashed worker is down. It comes back under another id.
const DOWN: Duration = Duration::from_millis(3000);

/// Crashes after which starts count, and the number of starts that breaks the rule.
const MAX_CRASHES: u32 = 3;
const EXCESS: u32 = 3;

const CALM: Duration = Duration::from_secs(5);
const SPAN: Duration = Duration::from_secs(55);

/// Interval between two ordinary jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Default)]
struct Deadly {
    crashes: u32,
    starts: u32,
    /// Starts after the last crash that counts.
    excess: u32,
    /// Worker and run of the current attempt, and when it was first seen.
    current: Option<(usize, u64, Instant)>,
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let mut fleet = Fleet::new(&case.folder, record, 2, WORKERS);
    fleet.start_entries();
    fleet.power_on();
    fleet.wait_ready()?;
    thread::sleep(CALM);
    let mut deadly: BTreeMap<String, (Duration, Deadly)> = BTreeMap::new();
    for (index, age) in AGES.into_iter().enumerate() {
        let job = format!("{:016x}", 0xd000 + index);
        let body = "{\"spec\":\"ms=20000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":100,\"estimateMs\":20000}]}";
        if fleet.ask(0, "POST", &job, body).0 != 200 {
            return Err("a job was not accepted".into());
        }
        deadly.insert(job, (age, Deadly::default()));
    }
    let began = Instant::now();
    let (mut number, mut next_job) = (0, began);
    let mut down: BTreeMap<usize, Instant> = BTreeMap::new();
    while began.elapsed() < SPAN {
        if Instant::now() >= next_job {
            next_job += JOB_INTERVAL;
            number += 1;
            let millis = 200 + number * 37 % 900;
            let body = format!(
                "{{\"spec\":\"ms={millis}\",\"steps\":[{{\"count\":6,\"cpu\":1000,\"memMb\":100,\"estimateMs\":{millis}}}]}}"
            );
            fleet.ask(number % 2, "POST", &format!("{number:016x}"), &body);
        }
        for index in 0..WORKERS {
            if down.contains_key(&index) {
                continue;
            }
            let mut crashes = false;
            for (task, run) in fleet.workers[index].running() {
                let Some((age, state)) = deadly.get_mut(&task[..16]) else {
                    continue;
                };
                let since = match state.current {
                    Some((worker, known, since)) if (worker, known) == (index, run) => since,
                    _ => {
                        state.starts += 1;
                        state.excess += u32::from(state.crashes >= MAX_CRASHES);
                        state.current = Some((index, run, Instant::now()));
                        continue;
                    }
                };
                if case.has_trouble && since.elapsed() >= *age {
                    state.crashes += 1;
                    crashes = true;
                    record.line(format!("{task}#{run} crashes its worker"));
                }
            }
            if crashes {
                fleet.workers[index].crash();
                down.insert(index, Instant::now());
            }
        }
        let is_over = |since: &Instant| since.elapsed() >= DOWN;
        let back = down.iter().filter(|(_, since)| is_over(since));
        for index in back.map(|(index, _)| *index).collect::<Vec<_>>() {
            down.remove(&index);
            fleet.workers[index] = fleet.new_life(index, None);
        }
        thread::sleep(Duration::from_millis(5));
    }
    let mut broken = Vec::new();
    for (job, (_, state)) in &deadly {
        fleet.ask(1, "GET", job, "");
        let Deadly {
            crashes,
            starts,
            excess,
            ..
        } = state;
        let line = format!(
            "job {job}: {starts} starts, {crashes} crashes, {excess} starts after {MAX_CRASHES} crashes"
        );
        record.line(&line);
        if *excess >= EXCESS {
            broken.push(line);
        }
    }
    Ok(broken)
}
