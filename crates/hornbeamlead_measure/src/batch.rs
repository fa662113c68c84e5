//! Experiment on batch tasks: the scheduling policy against first-fit without learning.

mod deployment;
mod load;
mod result;
mod trial;

use crate::report::{MeasureError, ReportTable, TableReport};
use deployment::{COOPERAGE, CREMA, Deployment};
use result::TrialResult;
use std::path::PathBuf;

/// Minimum of tasks finished by their deadline, relative to the baseline.
const DEADLINE_TARGET: f64 = 1.2;

/// Maximum of evictions, relative to the baseline.
const EVICTION_TARGET: f64 = 0.5;

/// Maximum p99 latency of the service, relative to that without batch tasks.
const LATENCY_TARGET: f64 = 1.5;

/// Maximum p99 of the time from the declaration of an urgent task to its start, in milliseconds.
const URGENT_TARGET_MS: u64 = 1_600;

/// Runs the experiment: each deployment once with this policy and once with the baseline.
///
/// # Errors
/// Returns [`MeasureError`] when the daemon was not built.
pub fn run() -> Result<TableReport, MeasureError> {
    let program = daemon_program()?;
    let mut report = TableReport::default();
    for deployment in [&COOPERAGE, &CREMA] {
        let learning = trial::run(deployment, true, &program);
        let baseline = trial::run(deployment, false, &program);
        report.tables.push(table(deployment, &learning, &baseline));
        report
            .remarks
            .extend(remarks(deployment, &learning, &baseline));
    }
    Ok(report)
}

/// Returns the path of the daemon, which has to be in the directory of this program.
fn daemon_program() -> Result<PathBuf, MeasureError> {
    let executable = std::env::current_exe().map_err(MeasureError::new)?;
    let program = executable.with_file_name("hornbeamd");
    match program.exists() {
        true => Ok(program),
        false => Err(MeasureError::new(
            "hornbeamd is not built: run `cargo build --release` first",
        )),
    }
}

fn table(deployment: &Deployment, learning: &TrialResult, baseline: &TrialResult) -> ReportTable {
    let title = format!("Batch tasks, {}", deployment.name);
    let mut table = ReportTable::new(&title, &["measure", "hornbeamlead", "first-fit"]);
    let mut row = |name: &str, value: &dyn Fn(&TrialResult) -> String| {
        table.push([name.to_owned(), value(learning), value(baseline)]);
    };
    row("tasks finished", &|it| it.finished.to_string());
    row("tasks finished by their deadline", &|it| {
        it.by_deadline.to_string()
    });
    row("evictions", &|it| it.evictions.to_string());
    row("evictions in the move", &|it| it.move_evictions.to_string());
    row("failed attempts", &|it| it.failed_attempts.to_string());
    row("work lost, ms", &|it| it.lost_ms.to_string());
    row("most work lost by one task in the move, ms", &|it| {
        it.worst_move_loss_ms.to_string()
    });
    row("run time of tasks during the move, ms", &|it| {
        it.move_run_time_ms.to_string()
    });
    row("service p99 without batch, us", &|it| {
        it.quiet_p99_us.to_string()
    });
    row("service p99 with batch, us", &|it| {
        it.busy_p99_us.to_string()
    });
    row("requests failed", &|it| it.failed_requests.to_string());
    row("urgent start p99, ms", &|it| it.urgent_p99_ms.to_string());
    row("urgent tasks started", &|it| it.urgent_started.to_string());
    row("tasks at two places", &|it| it.overlapping_runs.to_string());
    row("workers asked to overfill", &|it| {
        it.overcommits.to_string()
    });
    table
}

fn remarks(
    deployment: &Deployment,
    learning: &TrialResult,
    baseline: &TrialResult,
) -> Vec<Box<str>> {
    let deadline = ratio(learning.by_deadline, baseline.by_deadline);
    let evictions = ratio(learning.evictions, baseline.evictions);
    let latency = ratio(learning.busy_p99_us, learning.quiet_p99_us);
    let urgent =
        learning.urgent_started == deployment.urgent && learning.urgent_p99_ms <= URGENT_TARGET_MS;
    let remark = |met: bool, text: String| {
        let verdict = if met { "met" } else { "NOT met" };
        format!("{}: {text}: {verdict}", deployment.name).into()
    };
    vec![
        remark(
            deadline >= DEADLINE_TARGET,
            format!("done by deadline {deadline:.2}x the baseline's, target {DEADLINE_TARGET}x"),
        ),
        remark(
            evictions <= EVICTION_TARGET,
            format!("evictions {evictions:.2}x the baseline's, target {EVICTION_TARGET}x"),
        ),
        remark(
            learning.worst_move_loss_ms <= deployment.checkpoint_ms,
            format!(
                "work lost in the move {} ms a task at most, target {} ms",
                learning.worst_move_loss_ms, deployment.checkpoint_ms
            ),
        ),
        remark(
            latency <= LATENCY_TARGET,
            format!("service p99 {latency:.2}x that without batch, target {LATENCY_TARGET}x"),
        ),
        remark(
            urgent,
            format!(
                "urgent start p99 {} ms with {} of {} started, target {URGENT_TARGET_MS} ms",
                learning.urgent_p99_ms, learning.urgent_started, deployment.urgent
            ),
        ),
    ]
}

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
fn ratio(value: u64, reference: u64) -> f64 {
    value as f64 / (reference.max(1)) as f64
}
