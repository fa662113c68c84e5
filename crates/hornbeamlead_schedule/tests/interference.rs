//! Tasks on a host over its latency goal are throttled first, then the one with the least progress
//! to lose is evicted.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, HostId, KindName, TaskId};
use hornbeamlead_core::policy::SchedulePolicy;
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{CheckpointToken, TaskPhase, TaskStatus};
use hornbeamlead_schedule::interference::{GuardAction, InterferenceGuard};

const SECOND: u64 = 1_000_000;
const OVER_GOAL: Option<u64> = Some(100_000);
const FAR_OVER_GOAL: Option<u64> = Some(200_000);
const WITHIN_GOAL: Option<u64> = Some(10_000);

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

/// Feeds the guard one reading per second; returns its actions with the second of each.
fn observe_seconds(
    guard: &mut InterferenceGuard,
    seconds: std::ops::Range<u64>,
    p99_us: Option<u64>,
    tasks: &[TaskStatus],
) -> Vec<(u64, GuardAction)> {
    let mut actions = Vec::new();
    for second in seconds {
        let new_actions = guard.observe(&host(), p99_us, tasks.iter(), MonoTime(second * SECOND));
        actions.extend(new_actions.into_iter().map(|action| (second, action)));
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
    let mut actions = observe_seconds(&mut guard, 10..11, FAR_OVER_GOAL, &tasks);
    actions.extend(observe_seconds(&mut guard, 11..40, OVER_GOAL, &tasks));
    let first = actions.first().map(|(_, action)| action);
    assert!(
        matches!(first, Some(GuardAction::Throttle { .. })),
        "{actions:?}"
    );
    assert!(guard.is_over_goal(&host()));
    assert!(!evicted(&actions).is_empty());
}

#[test]
fn least_loss_evicted() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    observe_seconds(
        &mut guard,
        10..12,
        WITHIN_GOAL,
        &[status(0, "noisy", 0), status(1, "noisy", 0)],
    );
    let advanced = [status(0, "noisy", 0), status(1, "noisy", 5_000)];
    observe_seconds(&mut guard, 12..13, FAR_OVER_GOAL, &advanced);
    let actions = observe_seconds(&mut guard, 13..40, OVER_GOAL, &advanced);
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
    observe_seconds(&mut guard, 10..11, FAR_OVER_GOAL, &tasks);
    let actions = observe_seconds(&mut guard, 11..70, OVER_GOAL, &tasks);
    assert_eq!(evicted(&actions).len(), 2);
}

#[test]
fn restored_after_recovery() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    let tasks = [status(0, "noisy", 0)];
    observe_seconds(&mut guard, 10..12, OVER_GOAL, &tasks);
    let above_recovery = Some(40_000);
    assert_eq!(
        observe_seconds(&mut guard, 12..30, above_recovery, &tasks),
        Vec::new()
    );
    let actions = observe_seconds(&mut guard, 30..50, WITHIN_GOAL, &tasks);
    let mut speeds = actions.iter().map(|(_, action)| match action {
        GuardAction::Throttle { speed_percent, .. } => *speed_percent,
        GuardAction::Evict { .. } => 0,
    });
    assert_eq!(speeds.next_back(), Some(100));
    assert!(!guard.is_over_goal(&host()));
}

#[test]
fn interference_learned() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    observe_seconds(&mut guard, 10..16, OVER_GOAL, &[status(0, "noisy", 0)]);
    observe_seconds(&mut guard, 16..40, WITHIN_GOAL, &[status(1, "quiet", 0)]);
    let noisy = guard.expected_interference(&kind("noisy"), &[]);
    assert!(noisy > guard.expected_interference(&kind("quiet"), &[]));
    observe_seconds(&mut guard, 60..120, WITHIN_GOAL, &[status(2, "noisy", 0)]);
    assert!(
        guard.expected_interference(&kind("noisy"), &[]) < noisy,
        "interference must decay"
    );
}

#[test]
fn unrelated_unthrottled() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    let tasks = [status(0, "quiet", 0)];
    let actions = observe_seconds(&mut guard, 10..60, OVER_GOAL, &tasks);
    assert_eq!(evicted(&actions), Vec::<u32>::new());
    assert!(
        !guard.is_over_goal(&host()),
        "throttling did not reduce the latency"
    );
}

#[test]
fn idle_host_unblocked() {
    let mut guard = InterferenceGuard::new(&SchedulePolicy::default());
    observe_seconds(&mut guard, 10..20, OVER_GOAL, &[]);
    assert!(!guard.is_over_goal(&host()), "no batch task was running");
    let actions = observe_seconds(&mut guard, 20..30, OVER_GOAL, &[status(0, "quiet", 0)]);
    assert_eq!(actions, Vec::new());
}
