//! Copies of tasks that run far longer than their siblings.

mod world;

use hornbeamlead_jobs::ids::{JobId, StepName, TaskName};
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use rstest::rstest;
use world::{World, WorldFaults};

/// Usual run time of a task in milliseconds; the straggler takes seven times as long.
const TASK_MS: u64 = 2000;

/// Time in which a step with a straggler has to complete if it gets a copy: three times the usual
/// time, since the copy starts after at most 1.75 times, and as much as a start and a stop take.
const COPIED_MS: u64 = 3 * TASK_MS + 900;

/// Time in which the other attempt is gone, without a further report: 300 ms for the stop, and two
/// appends.
const STOP_MS: u64 = 380;

/// Time in which a task on a silent host gets a copy: 1 s without progress, and an interval each of
/// reports and of the search for stragglers.
const SILENT_MS: u64 = 1800;

const JOB: JobId = JobId(1);

/// Index of the straggler.
const STRAGGLER: u32 = 2;

fn straggler() -> TaskName {
    TaskName {
        step: StepName {
            job: JOB,
            ..StepName::default()
        },
        index: STRAGGLER,
    }
}

fn body(step: StepSpec) -> JobBody {
    JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    }
}

fn copied_step() -> StepSpec {
    StepSpec {
        tasks: 6,
        cpu: 1000,
        memory: 100,
        estimate_ms: 500,
        copies: true,
        ..StepSpec::default()
    }
}

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 6, WorldFaults::default(), 0);
    world.task_ms = Some(TASK_MS);
    world.straggler = Some(STRAGGLER);
    world.run(3000);
    world
}

/// Runs a step until its straggler has a copy, and returns the hosts of both.
fn run_to_copy(world: &mut World, step: StepSpec) -> (usize, usize) {
    world.submit(JOB, body(step));
    for _ in 0..COPIED_MS / 50 {
        world.run(50);
        if let [(first, host), (second, other)] = world.attempts(straggler())[..] {
            let (first, second) = (first.run < second.run, (host, other));
            return if first { second } else { (second.1, second.0) };
        }
    }
    panic!("no copy was started");
}

fn assert_sound(world: &World) {
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// The copy runs in another data centre and on another rack, its end counts, and the first attempt
/// is stopped.
#[rstest]
fn first_end_counts(#[values(1, 2)] seed: u64, #[values(500, 580, 660, 740)] end_ms: u64) {
    let mut world = world(seed);
    let (first, second) = run_to_copy(&mut world, copied_step());
    assert!(first % 3 != second % 3 && first % 2 != second % 2);
    let attempts = world.attempts(straggler()).into_iter().map(|row| row.0);
    world.end_in(end_ms, &[attempts.max().expect("a copy runs")]);
    world.run(end_ms + STOP_MS);
    assert_eq!(world.running(JOB), []);
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    assert_eq!(world.judge.starts.len(), 7);
    assert_sound(&world);
}

/// Neither a step that does not permit it, nor one whose attempts are used up if both fail, nor a
/// gang or a long-running step gets a copy, nor any while the setting is off.
#[rstest]
#[case::not_permitted(StepSpec { copies: false, ..copied_step() }, true)]
#[case::gang(StepSpec { gang: true, ..copied_step() }, true)]
#[case::moved_gang(StepSpec { gang: true, copies: false, checkpointing: true, ..copied_step() }, true)]
#[case::long_running(StepSpec { long_running: true, ..copied_step() }, true)]
#[case::switched_off(copied_step(), false)]
#[case::last_attempt(copied_step(), true)]
fn never_copied(#[case] step: StepSpec, #[case] switch: bool, #[values(1, 2)] seed: u64) {
    let attempts = if switch && step == copied_step() {
        1
    } else {
        20
    };
    let mut world = World::new(seed, 6, WorldFaults::default(), 0);
    world.task_ms = Some(TASK_MS);
    world.straggler = Some(STRAGGLER);
    world.copies = switch;
    world.set_attempts(attempts);
    world.run(3000);
    world.submit(JOB, body(step));
    world.run(3 * TASK_MS);
    assert_eq!(world.attempts(straggler()).len(), 1);
    world.run(4 * TASK_MS + 2000);
    assert_eq!(world.judge.starts.len(), 6);
    assert_sound(&world);
}

/// A planner that is killed when the first end is listed leaves the stop of the other attempt to
/// its successor.
#[rstest]
fn killed_before_stops(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 5, 15, 25, 40)] delay_ms: u64) {
    let mut world = world(seed);
    let (_, second) = run_to_copy(&mut world, copied_step());
    while world.attempts(straggler()).len() == 2 {
        world.run(5);
    }
    world.run(delay_ms);
    let planner = world.planner_host().expect("a planner is elected");
    world.kill(planner);
    world.run(4000);
    assert_eq!(world.running(JOB), [], "the copy was on {second}");
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    assert_sound(&world);
}

/// The host of one of two attempts is cut off; the other one completes the job.
#[rstest]
fn cut_host(#[values(1, 2, 3)] seed: u64, #[values(true, false)] first: bool) {
    let mut world = world(seed);
    let hosts = run_to_copy(&mut world, copied_step());
    world.partition(if first { hosts.0 } else { hosts.1 }, 20_000);
    world.run(7 * TASK_MS);
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    world.run(10_000);
    assert_eq!(world.running(JOB), []);
    assert_sound(&world);
}

/// Both attempts end at the same moment.
#[rstest]
fn both_at_once(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = world(seed);
    run_to_copy(&mut world, copied_step());
    let attempts = world.attempts(straggler());
    world.end_in(300, &[attempts[0].0, attempts[1].0]);
    world.run(1500);
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    assert_eq!(world.running(JOB), []);
    assert_eq!(world.judge.starts.len(), 7);
    assert_sound(&world);
}

/// An attempt whose end is reported after its lease counts while the copy runs.
#[rstest]
fn late_end_counts(#[values(1, 2, 3)] seed: u64) {
    let mut world = world(seed);
    let (host, _) = run_to_copy(&mut world, copied_step());
    // While these wait for room, the copy gets none itself.
    let others = StepSpec {
        tasks: 100,
        cpu: 7000,
        ..copied_step()
    };
    world.submit(JobId(2), body(others));
    let mut attempts = world.attempts(straggler());
    attempts.sort();
    world.end_in(3000, &[attempts[0].0]);
    world.end_in(60_000, &[attempts[1].0]);
    world.partition(host, 15_000);
    world.run(18_000);
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    assert_eq!(world.running(JOB), []);
    assert_sound(&world);
}

/// A copy whose record is being stored when the first attempt ends does not start.
#[test]
fn ended_while_recorded() {
    for wait_ms in (200..700).step_by(20) {
        let mut world = world(1);
        let mut job = body(copied_step());
        // Keeps the job open when the first step has completed.
        job.steps.push(StepSpec {
            after: vec![0],
            ..copied_step()
        });
        world.submit(JOB, job);
        world.run(1500);
        world.store_ms = 150;
        world.run(wait_ms);
        world.end_in(50, &[world.attempts(straggler())[0].0]);
        let end = world.now() + 50;
        world.run(4000);
        let starts = world.judge.starts.iter();
        let starts = starts.filter(|start| start.run.task == straggler());
        let last = starts.map(|start| start.at).max().unwrap_or(0);
        // The report of the end takes three messages.
        assert!(last < end + 30, "started at {last} after the end at {end}");
    }
}

/// A straggler that saves checkpoints and may not have a copy moves; it runs once at a time.
#[rstest]
fn straggler_moves(#[values(1, 2, 3)] seed: u64) {
    let mut world = world(seed);
    let step = StepSpec {
        copies: false,
        checkpointing: true,
        ..copied_step()
    };
    world.submit(JOB, body(step));
    world.run(200);
    let (_, host) = world.attempts(straggler())[0];
    world.run(COPIED_MS);
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    let last = world.judge.starts.last().map(|start| start.host);
    assert!(world.judge.starts.len() == 7 && last != Some(host));
    assert_sound(&world);
}

/// A job is cancelled while two attempts of a task run.
#[rstest]
fn cancelled_between(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 1900)] delay_ms: u64) {
    let mut world = world(seed);
    run_to_copy(&mut world, copied_step());
    world.run(delay_ms);
    world.cancel(JOB);
    world.run(1500);
    assert_eq!(world.running(JOB), []);
    assert_eq!(world.phase(JOB), Some(JobPhase::Cancelled));
    assert_sound(&world);
}

/// A task on a host that is cut off gets a copy before its lease has expired.
#[rstest]
fn silent_host_copied(#[values(1, 2, 3)] seed: u64) {
    let mut world = world(seed);
    world.straggler = None;
    world.submit(JOB, body(copied_step()));
    world.run(500);
    let planner = world.planner_host().expect("a planner is elected");
    let other = (0..6).find(|&host| host != planner && world.running_on(host, JOB) > 0);
    world.partition(other.expect("tasks run on several hosts"), 20_000);
    world.run(SILENT_MS);
    assert!(world.judge.starts.len() > 6);
    world.run(20_000);
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    assert_sound(&world);
}

/// While a few tasks run, one copy runs at a time.
#[rstest]
fn budget_kept(#[values(1, 2)] seed: u64) {
    let mut world = world(seed);
    let jobs: Vec<JobId> = (1..=8).map(JobId).collect();
    for &job in &jobs {
        world.submit(job, body(copied_step()));
    }
    let mut copied = 0;
    for _ in 0..160 {
        world.run(50);
        let tasks = jobs.iter().map(|&job| TaskName {
            step: StepName {
                job,
                ..StepName::default()
            },
            index: STRAGGLER,
        });
        let copies = tasks.filter(|task| world.attempts(*task).len() > 1).count();
        assert!(copies <= 1, "{copies} copies at {}", world.now());
        copied += copies;
    }
    assert!(copied > 0);
    assert_sound(&world);
}

/// While tasks wait for room no copy starts, also if it would fit.
#[rstest]
#[case::full(StepSpec { tasks: 200, ..copied_step() })]
#[case::too_large(StepSpec { tasks: 30, cpu: 7000, ..copied_step() })]
fn none_under_overload(#[case] other: StepSpec, #[values(1, 2)] seed: u64) {
    let mut world = world(seed);
    world.submit(JOB, body(copied_step()));
    world.submit(JobId(2), body(other));
    world.run(4 * TASK_MS);
    let starts = world.judge.starts.iter().map(|start| start.run);
    let copies = starts.filter(|run| run.run.0 > 1).count();
    assert_eq!(copies, 0);
    world.run(20 * TASK_MS);
    assert_eq!(world.phase(JOB), Some(JobPhase::Completed));
    assert_sound(&world);
}
