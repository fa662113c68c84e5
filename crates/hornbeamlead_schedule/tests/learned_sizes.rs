//! Sizes and run times are learned by kind, from unthrottled readings only.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, KindName, TaskId};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{TaskPhase, TaskStatus};
use hornbeamlead_schedule::learning::KindLearner;
use std::time::Duration;

const SECOND: u64 = 1_000_000;

fn kind() -> KindName {
    "seasoning".parse().expect("valid name")
}

fn size(cpu: u32) -> ResourceSize {
    ResourceSize {
        cpu: CpuMillis(cpu),
        memory: MemoryMebibytes(512),
        accelerators: AcceleratorCount(0),
    }
}

fn status(index: u32, phase: TaskPhase, usage: u32, speed_percent: u8) -> TaskStatus {
    let job = "season".parse().expect("valid name");
    TaskStatus {
        attempt: AttemptId {
            task: TaskId { job, index },
            number: 1,
        },
        phase,
        size: size(2_000),
        kind: kind(),
        checkpoint: None,
        speed_percent,
        usage: Some(size(usage)),
    }
}

fn run_task(learner: &mut KindLearner, index: u32, usage: u32, speed_percent: u8) {
    for second in 0..4 {
        let running = status(index, TaskPhase::Running, usage, speed_percent);
        learner.observe(&running, MonoTime(second * SECOND));
    }
    let finished = status(index, TaskPhase::Finished, usage, speed_percent);
    learner.observe(&finished, MonoTime(4 * SECOND));
}

#[test]
fn size_follows_usage() {
    let mut learner = KindLearner::default();
    assert_eq!(learner.size(&kind(), &size(2_000)), size(2_000));
    for index in 0..4 {
        run_task(&mut learner, index, 500, 100);
    }
    let learned = learner.size(&kind(), &size(2_000)).cpu.0;
    assert!((500..=750).contains(&learned), "{learned}");
}

#[test]
fn run_time_follows_ends() {
    let mut learner = KindLearner::default();
    let declared = Duration::from_secs(16);
    for index in 0..4 {
        run_task(&mut learner, index, 500, 100);
    }
    assert_eq!(learner.run_time(&kind(), declared), Duration::from_secs(4));
}

#[test]
fn throttled_readings_ignored() {
    let mut learner = KindLearner::default();
    for index in 0..8 {
        run_task(&mut learner, index, 100, 20);
    }
    let declared = Duration::from_secs(16);
    assert_eq!(learner.size(&kind(), &size(2_000)), size(2_000));
    assert_eq!(learner.run_time(&kind(), declared), declared);
}

#[test]
fn headroom_follows_error() {
    let mut uniform = KindLearner::default();
    let mut varied = KindLearner::default();
    for index in 0..8 {
        run_task(&mut uniform, index, 1_000, 100);
        run_task(&mut varied, index, 600 + 400 * (index % 2), 100);
    }
    let declared = size(4_000);
    let tight = uniform.size(&kind(), &declared).cpu;
    assert!(varied.size(&kind(), &declared).cpu > tight);
}
