//! A host over its latency goal is throttled first, then loses the task that loses least.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId, KindName, TaskId};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{CheckpointToken, TaskPhase, TaskStatus};
use hornbeamlead_schedule::interference::{GuardAction, InterferenceGuard};

const SECOND: u64 = 1_000_000;
const OVER: Option<u64> = Some(100_000);
const FAR_OVER: Option<u64> = Some(200_000);
const CALM: Option<u64> = Some(10_000);

fn host() -> HostId {
    "negombo-01".parse().expect("valid name")
}

fn kind(text: &str) -> KindName {
    text.parse().expect("valid name")
}

fn status(index: u32, kind_name: &str, progress_ms: u64) -> TaskStatus {
    let job = "season".parse().expect("valid name");
    let attempt = AttemptId {
        task: TaskId { job, index },
        number: 1,
    };
    TaskStatus {
        checkpoint: Some(CheckpointToken {
            attempt: attempt.clone(),
            progress_ms,
        }),
        attempt,
        phase: TaskPhase::Running,
        size: ResourceSize::default(),
        kind: kind(kind_name),
        speed_percent: 100,
        usage: None,
    }
}

/// Shows the guard a reading every second; returns its actions with their second.
fn watch(
    guard: &mut InterferenceGuard,
    seconds: std::ops::Range<u64>,
    p99_us: Option<u64>,
    tasks: &[TaskStatus],
) -> Vec<(u64, GuardAction)> {
    let mut actions = Vec::new();
    for second in seconds {
        let found = guard.observe(&host(), p99_us, tasks.iter(), MonoTime(second * SECOND));
        actions.extend(found.into_iter().map(|action| (second, action)));
    }
    actions
}

fn evicted(actions: &[(u64, GuardAction)]) -> Vec<u32> {
    let evictions = actions.iter().filter_map(|(_, action)| match action {
        GuardAction::Evict { attempt } => Some(attempt.task.index),
        GuardAction::Throttle { .. } => None,
    });
    evictions.collect()
}

#[test]
fn throttled_before_evicted() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    let tasks = [status(0, "noisy", 0)];
    let mut actions = watch(&mut guard, 10..11, FAR_OVER, &tasks);
    actions.extend(watch(&mut guard, 11..40, OVER, &tasks));
    let first = actions.first().map(|(_, action)| action);
    assert!(
        matches!(first, Some(GuardAction::Throttle { .. })),
        "{actions:?}"
    );
    assert!(guard.is_over_goal(&host()));
    assert!(!evicted(&actions).is_empty());
}

#[test]
fn least_lost_goes() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    watch(
        &mut guard,
        10..12,
        CALM,
        &[status(0, "noisy", 0), status(1, "noisy", 0)],
    );
    let fresh = [status(0, "noisy", 0), status(1, "noisy", 5_000)];
    watch(&mut guard, 12..13, FAR_OVER, &fresh);
    let actions = watch(&mut guard, 13..40, OVER, &fresh);
    assert_eq!(evicted(&actions).first(), Some(&1));
}

#[test]
fn evictions_capped() {
    let policy = SchedulePolicy {
        evictions_per_minute: 2,
        ..SchedulePolicy::default()
    };
    let mut guard = InterferenceGuard::new(&policy);
    let tasks: Vec<TaskStatus> = (0..8).map(|index| status(index, "noisy", 0)).collect();
    watch(&mut guard, 10..11, FAR_OVER, &tasks);
    let actions = watch(&mut guard, 11..70, OVER, &tasks);
    assert_eq!(evicted(&actions).len(), 2);
}

#[test]
fn freed_when_calm() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    let tasks = [status(0, "noisy", 0)];
    watch(&mut guard, 10..12, OVER, &tasks);
    let between = Some(40_000);
    assert_eq!(watch(&mut guard, 12..30, between, &tasks), Vec::new());
    let actions = watch(&mut guard, 30..50, CALM, &tasks);
    let mut speeds = actions.iter().map(|(_, action)| match action {
        GuardAction::Throttle { speed_percent, .. } => *speed_percent,
        GuardAction::Evict { .. } => 0,
    });
    assert_eq!(speeds.next_back(), Some(100));
    assert!(!guard.is_over_goal(&host()));
}

#[test]
fn harm_learned() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    watch(&mut guard, 10..16, OVER, &[status(0, "noisy", 0)]);
    watch(&mut guard, 16..40, CALM, &[status(1, "quiet", 0)]);
    let noisy = guard.expected_interference(&kind("noisy"), &[]);
    assert!(noisy > guard.expected_interference(&kind("quiet"), &[]));
    watch(&mut guard, 60..120, CALM, &[status(2, "noisy", 0)]);
    assert!(
        guard.expected_interference(&kind("noisy"), &[]) < noisy,
        "it decays"
    );
}

#[test]
fn blameless_freed() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    let tasks = [status(0, "quiet", 0)];
    let actions = watch(&mut guard, 10..60, OVER, &tasks);
    assert_eq!(evicted(&actions), Vec::<u32>::new());
    assert!(!guard.is_over_goal(&host()), "throttling did not help");
}

#[test]
fn quiet_host_open() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    watch(&mut guard, 10..20, OVER, &[]);
    assert!(!guard.is_over_goal(&host()), "no batch task is to blame");
    let actions = watch(&mut guard, 20..30, OVER, &[status(0, "quiet", 0)]);
    assert_eq!(actions, Vec::new());
}
