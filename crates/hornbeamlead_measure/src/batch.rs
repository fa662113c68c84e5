//! Experiment on batch tasks: this policy beside first-fit without learning.

mod deployment;
mod judge;
mod load;
mod trial;

use crate::report::{MeasureError, ReportTable, TableReport};
use deployment::{COOPERAGE, CREMA, Deployment};
use judge::TrialResult;
use std::path::PathBuf;

/// Tasks done by their deadline, as a multiple of the baseline's, at least.
const DEADLINE_TARGET: f64 = 1.2;

/// Evictions, as a part of the baseline's, at most.
const EVICTION_TARGET: f64 = 0.5;

/// p99 of the service, as a multiple of that without batch, at most.
const LATENCY_TARGET: f64 = 1.5;

/// p99 of the time from the declaration of an urgent task to its start, in milliseconds, at most.
const URGENT_TARGET_MS: u64 = 1_600;

/// Runs the experiment: each deployment once with this policy and once with the baseline.
///
/// # Errors
/// Returns [`MeasureError`] when a process could not be started or asked.
pub fn run() -> Result<TableReport, MeasureError> {
    let program = daemon_program()?;
    let mut report = TableReport::default();
    for deployment in [&COOPERAGE, &CREMA] {
        let own = trial::run(deployment, true, &program);
        let baseline = trial::run(deployment, false, &program);
        report.tables.push(table(deployment, &own, &baseline));
        report.remarks.extend(remarks(deployment, &own, &baseline));
    }
    Ok(report)
}

/// Finds the daemon beside this program.
fn daemon_program() -> Result<PathBuf, MeasureError> {
    let own = std::env::current_exe().map_err(MeasureError::new)?;
    let program = own.with_file_name("hornbeamd");
    match program.exists() {
        true => Ok(program),
        false => Err(MeasureError::new(
            "hornbeamd is not built: run `cargo build --release` first",
        )),
    }
}

fn table(deployment: &Deployment, own: &TrialResult, baseline: &TrialResult) -> ReportTable {
    let title = format!("Batch tasks, {}", deployment.name);
    let mut table = ReportTable::new(&title, &["measure", "hornbeamlead", "first-fit"]);
    let mut row = |name: &str, value: &dyn Fn(&TrialResult) -> String| {
        table.push([name.to_owned(), value(own), value(baseline)]);
    };
    row("tasks finished", &|it| it.finished.to_string());
    row("tasks finished by their deadline", &|it| {
        it.in_time.to_string()
    });
    row("evictions", &|it| it.evictions.to_string());
    row("evictions in the move", &|it| it.move_evictions.to_string());
    row("failed attempts", &|it| it.failed_attempts.to_string());
    row("work lost, ms", &|it| it.lost_ms.to_string());
    row("most work lost by one task in the move, ms", &|it| {
        it.worst_move_loss_ms.to_string()
    });
    row("run time of tasks during the move, ms", &|it| {
        it.move_work_ms.to_string()
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
    row("tasks at two places", &|it| it.double_runs.to_string());
    row("workers asked to overfill", &|it| it.overfills.to_string());
    table
}

fn remarks(deployment: &Deployment, own: &TrialResult, baseline: &TrialResult) -> Vec<Box<str>> {
    let deadline = ratio(own.in_time, baseline.in_time);
    let evictions = ratio(own.evictions, baseline.evictions);
    let latency = ratio(own.busy_p99_us, own.quiet_p99_us);
    let urgent = own.urgent_started == deployment.urgent && own.urgent_p99_ms <= URGENT_TARGET_MS;
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
            own.worst_move_loss_ms <= deployment.checkpoint_ms,
            format!(
                "work lost in the move {} ms a task at most, target {} ms",
                own.worst_move_loss_ms, deployment.checkpoint_ms
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
                own.urgent_p99_ms, own.urgent_started, deployment.urgent
            ),
        ),
    ]
}

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
fn ratio(own: u64, other: u64) -> f64 {
    own as f64 / (other.max(1)) as f64
}
