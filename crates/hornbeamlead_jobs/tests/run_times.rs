//! Run times expected by the model, on patterns of estimates and stragglers.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{JobId, RunName, RunNumber, StepName, TaskName};
use hornbeamlead_jobs::job::StepSpec;
use hornbeamlead_jobs::planner::run_times::{RunTimes, RunWork};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const QUEUE: &str = "h/q/";

/// Spread of the run times of the tasks of a step.
const SPREAD: f64 = 0.3;

fn step(job: u64, step: u16) -> StepName {
    StepName {
        job: JobId(job),
        step,
        ..StepName::default()
    }
}

fn spec(estimate_ms: u32) -> StepSpec {
    StepSpec {
        tasks: 20,
        estimate_ms,
        image: "report".into(),
        ..StepSpec::default()
    }
}

/// Observes tasks of a step, of which three in a hundred take seven times as long.
fn observe(times: &mut RunTimes, random: &mut SmallRng, name: StepName, true_ms: f64, tasks: u32) {
    for _ in 0..tasks {
        let tail = if random.random::<f64>() < 0.03 {
            7.0
        } else {
            1.0
        };
        let ms = true_ms * tail * random.random_range(1.0 - SPREAD..1.0 + SPREAD);
        times.observe_finished(name, QUEUE, &spec(1000), ms as u64);
    }
}

fn error(expected: u64, true_ms: f64) -> f64 {
    (expected as f64 / true_ms - 1.0).abs()
}

/// Siblings count for more than an estimate that is off by 90%, and a tail does not bend them. A
/// task of the tail is a straggler, one within the spread is not.
#[test]
fn siblings_with_tail() {
    let mut random = SmallRng::seed_from_u64(29);
    for job in 0..50 {
        let mut times = RunTimes::default();
        let true_ms = 1000.0 * random.random_range(0.1..1.9) * 5.0;
        let name = step(job, 0);
        observe(&mut times, &mut random, name, true_ms, 20);
        assert!(error(times.expected_ms(name, QUEUE, &spec(5000)), true_ms) < SPREAD);
        let after = times.straggler_after_ms(name).expect("siblings are known") as f64;
        let (longest, shortest_of_tail) = (1.0 + SPREAD, 7.0 * (1.0 - SPREAD));
        assert!(after > longest * true_ms && after < shortest_of_tail * true_ms);
    }
}

/// A step of which nothing has ended is expected by what earlier steps of its job took, halfway for
/// one step and closer for more; else by a stable ratio of its queue and image; else as estimated.
#[test]
fn no_end_yet() {
    let mut random = SmallRng::seed_from_u64(30);
    let mut times = RunTimes::default();
    assert_eq!(times.expected_ms(step(1, 3), QUEUE, &spec(1000)), 1000);
    assert_eq!(times.straggler_after_ms(step(1, 3)), None);
    let mut errors = Vec::new();
    for earlier in 0..3 {
        observe(&mut times, &mut random, step(1, earlier), 1900.0, 20);
        errors.push(error(
            times.expected_ms(step(1, 3), QUEUE, &spec(1000)),
            1900.0,
        ));
    }
    assert!(errors.is_sorted_by(|left, right| left >= right) && errors[2] < 0.25);
    for job in 2..8 {
        assert_eq!(
            times.expected_ms(step(job, 0), QUEUE, &spec(1000)) >= 1500,
            job >= 4
        );
        observe(&mut times, &mut random, step(job, 0), 1900.0, 20);
    }
    assert_eq!(times.expected_ms(step(9, 0), "h/other/", &spec(1000)), 1000);
}

/// Ratios that differ from job to job do not correct the estimate of the next job.
#[test]
fn unstable_ratios() {
    let mut times = RunTimes::default();
    for job in 0..20 {
        let ms = if job % 2 == 0 { 200 } else { 1900 };
        times.observe_finished(step(job, 0), QUEUE, &spec(1000), ms);
    }
    assert_eq!(times.expected_ms(step(99, 0), QUEUE, &spec(1000)), 1000);
}

/// A best-effort task that gets half of its processor demand is measured at full speed, and one that
/// has resumed by what it still had to do; one of which a report was missed is not measured.
#[test]
fn work_at_full_speed() {
    let at = |ms: u64| MonoTime(ms * 1000);
    let mut throttled = RunWork::new(at(0), 0, false);
    let mut resumed = RunWork::new(at(0), 60, true);
    let mut unseen = RunWork::new(at(0), 0, false);
    for ms in (300..=3000).step_by(300) {
        throttled.advance(at(ms), 0.5, (ms / 60) as u8);
        resumed.advance(at(ms), 1.0, (60 + ms / 150) as u8);
    }
    unseen.advance(at(3000), 1.0, 50);
    assert_eq!(throttled.projected_ms(), Some(3000.0));
    assert_eq!(resumed.projected_ms(), Some(15_000.0));
    assert_eq!(unseen.projected_ms(), None);
}

/// Progress of running tasks tells the run time before any of them has ended; one that progresses
/// at a seventh of the speed of the others is beyond the straggler's bound.
#[test]
fn progress_only() {
    let mut times = RunTimes::default();
    for index in 0..8 {
        let task = TaskName {
            step: step(1, 0),
            index,
        };
        let run = RunName {
            task,
            run: RunNumber(1),
        };
        let whole_ms = if index == 3 { 35_000.0 } else { 5000.0 };
        times.observe_progress(run, &spec(20_000), whole_ms);
    }
    assert_eq!(times.expected_ms(step(1, 0), QUEUE, &spec(20_000)), 5000);
    let after = times
        .straggler_after_ms(step(1, 0))
        .expect("siblings are known");
    assert!(after < 35_000 && after > 6500);
}
