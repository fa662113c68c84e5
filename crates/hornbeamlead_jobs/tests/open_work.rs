//! Processor time of each step of a planner with much open work; prints its figures.
//!
//! `cargo test --release -p hornbeamlead_jobs --test open_work -- --nocapture` measures the slopes in
//! docs/CAPACITY.md.

mod fleet;
mod world;

use fleet::Fleet;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobSchedule, StepSpec};
use rstest::rstest;
use std::time::Duration;
use world::World;
use world::lone::LonePlanner;

/// Processor time in which a planner has to come back to its event loop: agents look for another one
/// after 1.2 s, and it may have 0.15 cores.
const MAX_STEP: Duration = Duration::from_millis(180);

/// First reading of the clock, in milliseconds.
const START_MS: u64 = 10_000;

/// Number of hosts.
const HOSTS: u8 = 3;

/// Interval between two occurrences, in milliseconds.
const INTERVAL_MS: u64 = 1000;

/// Id of a small job beside the others.
const SMALL: JobId = JobId(u64::MAX);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OpenWork {
    /// One job of many occurrences, all of which are due.
    Timed,
    /// Many such jobs.
    ManyTimed,
    /// Many jobs that run once.
    Plain,
    /// One job whose steps have many tasks.
    Wide,
    /// One job of a chain of steps.
    Chain,
    /// One job of many occurrences of a chain of steps.
    TimedChain,
    /// One job of best-effort tasks.
    BestEffort,
}

fn step(tasks: usize) -> StepSpec {
    StepSpec {
        tasks: tasks as u32,
        cpu: 250,
        memory: 16,
        estimate_ms: 300,
        ..StepSpec::default()
    }
}

fn body(steps: Vec<StepSpec>, times: usize) -> JobBody {
    let times = times as u32;
    let overdue_ms = u64::from(times) * INTERVAL_MS;
    JobBody {
        spec: "work".into(),
        steps,
        schedule: JobSchedule {
            first_ms: World::wall_ms(START_MS) - overdue_ms,
            interval_ms: INTERVAL_MS,
            times,
        },
    }
}

fn chain(steps: usize, tasks: usize) -> Vec<StepSpec> {
    let after = |index: usize| match index {
        0 => Vec::new(),
        index => vec![index as u16 - 1],
    };
    let step = |index| StepSpec {
        after: after(index),
        ..step(tasks)
    };
    (0..steps).map(step).collect()
}

impl OpenWork {
    /// Returns jobs that have so many tasks together.
    fn jobs(self, tasks: usize) -> Vec<JobBody> {
        let best_effort = StepSpec {
            best_effort: true,
            ..step(tasks / 10)
        };
        match self {
            Self::Timed => vec![body(vec![step(1)], tasks)],
            Self::ManyTimed => vec![body(vec![step(1)], 100); tasks / 100],
            Self::Plain => vec![body(vec![step(1)], 0); tasks],
            Self::Wide => vec![body(vec![step(tasks / 10); 10], 0)],
            Self::Chain => vec![body(chain(100, tasks / 100), 0)],
            Self::TimedChain => vec![body(chain(10, 1), tasks / 10)],
            Self::BestEffort => vec![body(vec![best_effort; 10], 0)],
        }
    }
}

fn fleet_with(work: OpenWork, tasks: usize) -> Fleet {
    let mut planner = LonePlanner::new(EmulatedStore::default(), START_MS);
    for (number, body) in (1..).zip(work.jobs(tasks)) {
        fleet::store_job(&mut planner, START_MS, JobId(number), body);
    }
    Fleet::new(planner, HOSTS, 300)
}

fn assert_short(what: &str, longest: Duration) {
    println!("{what}: longest step {longest:?}");
    assert!(longest <= MAX_STEP, "{what}: {longest:?}");
}

/// Guards against a planner that stands still because a step of its event loop takes time with all that
/// is open: at a takeover, and while the work is done, with a job beside it that starts at once.
#[rstest]
fn short_steps(
    #[values(
        OpenWork::Timed,
        OpenWork::ManyTimed,
        OpenWork::Plain,
        OpenWork::Wide,
        OpenWork::Chain,
        OpenWork::TimedChain,
        OpenWork::BestEffort
    )]
    work: OpenWork,
    #[values(1000, 10_000, 100_000)] tasks: usize,
) {
    let mut fleet = fleet_with(work, tasks);
    fleet.run(3000);
    assert!(fleet.planner.is_active(), "{work:?}");
    assert_short(
        &format!("{work:?} {tasks} takeover"),
        fleet.planner.take_longest(),
    );
    fleet.submit(SMALL, body(vec![step(4)], 0));
    fleet.run(4000);
    println!("{work:?} {tasks}: {:?} in all", fleet.planner.spent);
    assert_short(
        &format!("{work:?} {tasks} at work"),
        fleet.planner.take_longest(),
    );
    assert!(fleet.starts.len() >= 100, "{}", fleet.starts.len());
    fleet.replace_planner(2);
    fleet.run(4000);
    assert!(fleet.planner.is_active(), "{work:?}");
    assert_short(
        &format!("{work:?} {tasks} replaced"),
        fleet.planner.take_longest(),
    );
}
