//! Result of a trial, computed from the histories of the workers.

use super::deployment::Deployment;
use super::load::{ServiceLoad, p99_us, percentile};
use hornbeamlead_standin::fleet::checker::{
    TaskInterval, events_of, lost_work_ms, overlapping_runs, task_intervals,
};
use hornbeamlead_standin::worker::history::{TaskEventKind, WorkerHistory};
use std::time::Instant;

/// Times at which the phases and actions of a trial took place. Those in microseconds count from
/// the Unix epoch.
#[derive(Debug)]
pub(super) struct TrialTimes {
    /// Start of the measurement without batch tasks.
    pub(super) quiet_from: Instant,
    /// Publication of the first jobs.
    pub(super) busy_from: Instant,
    /// End of the trial.
    pub(super) busy_until: Instant,
    /// Deadline of all jobs.
    pub(super) deadline_us: u64,
    /// Time at which the first data centre was taken out of service.
    pub(super) taken_out_us: u64,
    /// Time at which it was returned to service.
    pub(super) restored_us: u64,
    /// Times at which the urgent tasks were declared.
    pub(super) urgent_us: Vec<u64>,
}

/// Result of a trial. The move is the period in which the first data centre is out of service.
#[derive(Debug)]
pub(super) struct TrialResult {
    pub(super) finished: u64,
    pub(super) by_deadline: u64,
    pub(super) evictions: u64,
    pub(super) move_evictions: u64,
    pub(super) failed_attempts: u64,
    pub(super) lost_ms: u64,
    pub(super) worst_move_loss_ms: u64,
    pub(super) move_run_time_ms: u64,
    pub(super) quiet_p99_us: u64,
    pub(super) busy_p99_us: u64,
    pub(super) failed_requests: u64,
    pub(super) urgent_p99_ms: u64,
    pub(super) urgent_started: u64,
    pub(super) overlapping_runs: u64,
    pub(super) overcommits: u64,
}

impl TrialResult {
    /// Computes the result from the histories of all workers and the samples of the load.
    pub(super) fn from_histories(
        histories: &[WorkerHistory],
        load: &ServiceLoad,
        times: &TrialTimes,
        deployment: &Deployment,
    ) -> Self {
        let moved_hosts = deployment.data_centres[0].1;
        let tasks = task_intervals(histories);
        let all = || tasks.values().flatten();
        let ended = |kind| move |it: &&TaskInterval| it.end == Some(kind);
        let finished = || all().filter(ended(TaskEventKind::Finished));
        let evicted = || all().filter(|it| is_eviction(it));
        let in_move = |it: &&TaskInterval| {
            it.worker < moved_hosts
                && it.until_us >= times.taken_out_us
                && it.until_us < times.restored_us
        };
        let quiet = load.due_within(times.quiet_from, times.busy_from);
        let busy = load.due_within(times.busy_from, times.busy_until);
        let failed = quiet.iter().chain(&busy).filter(|it| it.latency.is_none());
        let urgent = urgent_starts_ms(histories, times);
        let move_loss = evicted().filter(in_move).map(move_loss_ms);
        Self {
            finished: count(finished()),
            by_deadline: count(finished().filter(|it| it.until_us <= times.deadline_us)),
            evictions: count(evicted()),
            move_evictions: count(evicted().filter(in_move)),
            failed_attempts: count(all().filter(ended(TaskEventKind::Failed))),
            lost_ms: lost_work_ms(histories).values().sum(),
            worst_move_loss_ms: move_loss.max().unwrap_or(0),
            move_run_time_ms: all().map(|it| run_time_in_move_ms(it, times)).sum(),
            quiet_p99_us: p99_us(&quiet),
            busy_p99_us: p99_us(&busy),
            failed_requests: count(failed),
            urgent_p99_ms: percentile(&urgent, 99),
            urgent_started: count(urgent.iter()),
            overlapping_runs: count(overlapping_runs(histories).iter()),
            overcommits: count(events_of(histories, TaskEventKind::OvercommitRefused).iter()),
        }
    }
}

fn count<T>(items: impl Iterator<Item = T>) -> u64 {
    u64::try_from(items.count()).unwrap_or(u64::MAX)
}

fn is_eviction(interval: &TaskInterval) -> bool {
    let kinds = [
        TaskEventKind::Stopped,
        TaskEventKind::Lapsed,
        TaskEventKind::Killed,
    ];
    interval.end.is_some_and(|end| kinds.contains(&end))
}

fn move_loss_ms(interval: &TaskInterval) -> u64 {
    interval.progress_ms.saturating_sub(interval.checkpoint_ms)
}

/// Returns the run time of an attempt during the move in milliseconds, throttled or not.
fn run_time_in_move_ms(interval: &TaskInterval, times: &TrialTimes) -> u64 {
    let until = interval.until_us.min(times.restored_us);
    let from = interval.from_us.max(times.taken_out_us);
    until.saturating_sub(from) / 1_000
}

fn urgent_starts_ms(histories: &[WorkerHistory], times: &TrialTimes) -> Vec<u64> {
    let starts = events_of(histories, TaskEventKind::Started);
    let first_start = |number: usize| {
        let job = format!("urgent-{number}");
        let job_starts = starts.iter().filter(|it| *it.attempt.job == *job);
        job_starts.map(|it| it.at_us).min()
    };
    let declared = times.urgent_us.iter().enumerate();
    let mut waits: Vec<u64> = declared
        .filter_map(|(number, at_us)| Some(first_start(number)?.saturating_sub(*at_us) / 1_000))
        .collect();
    waits.sort_unstable();
    waits
}
