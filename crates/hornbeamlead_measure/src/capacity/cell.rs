//! Cost of the agents of one cell as the number of its workers grows.

use super::allocation::measure_allocation;
use super::cell_model::{AgentCost, CellModel};
use super::samples::{job, measure_error, name, note, size, team_note};
use crate::report::{MeasureError, ReportTable};
use hornbeamlead_core::note::{DataCentreSpec, JobSpec};
use hornbeamlead_core::policy::SchedulePolicy;
use std::time::Duration;

/// Measured numbers of workers in a cell.
const WORKER_COUNTS: [usize; 5] = [4, 8, 16, 32, 64];

/// Tasks that fit on one worker, from 278,000 tasks on 14,000 workers.
const TASKS_PER_WORKER: u32 = 20;

/// Virtual time before the measurement, in which the cell fills up.
const WARM_UP: Duration = Duration::from_secs(110);

/// Virtual time that is measured.
const WINDOW: Duration = Duration::from_secs(120);

/// Shortest run time of a task.
const MIN_RUN_TIME: Duration = Duration::from_secs(118);

/// Difference between the run times of successive jobs.
const RUN_TIME_STEP: Duration = Duration::from_secs(4);

/// Number of jobs, which is enough to keep the cell full.
const JOB_COUNT: usize = 20;

/// Measures the planner and the median of the other agents.
///
/// # Errors
/// Returns [`MeasureError`] when a cell has no planner after the warm-up.
pub(crate) fn measure(title: &str, policy: &SchedulePolicy) -> Result<ReportTable, MeasureError> {
    let columns = [
        "workers",
        "running",
        "starts/s",
        "planner core %",
        "planner KB/s",
        "whole cell KiB",
        "agent core %",
        "agent KB/s",
        "appends/s",
    ];
    let title = format!("one cell, 20 tasks a worker, {title}");
    let mut table = ReportTable::new(&title, &columns);
    for workers in WORKER_COUNTS {
        table.push(measure_at(workers, policy)?);
    }
    Ok(table)
}

/// Returns the policy recommended for cells of 32 to 64 workers.
pub(crate) fn large_cell_policy() -> SchedulePolicy {
    SchedulePolicy {
        heartbeat: Duration::from_millis(2_500),
        lease: Duration::from_secs(15),
        tail_validity: Duration::from_secs(5),
        start_bound: Duration::from_millis(2_800),
        read_interval: Duration::from_millis(1_000),
        batch_interval: Duration::from_millis(1_000),
        ..SchedulePolicy::default()
    }
}

fn measure_at(workers: usize, policy: &SchedulePolicy) -> Result<[String; 9], MeasureError> {
    let (mut model, cell_bytes) = measure_allocation(|| fill_cell(workers, policy));
    let planner = model
        .planner()
        .ok_or_else(|| measure_error("the cell has no planner"))?;
    let started = model.started();
    model.clear_costs();
    model.run(WINDOW);
    let starts = model.started() - started;
    let costs = model.costs();
    let median_agent = median(&costs, planner);
    let seconds = WINDOW.as_secs_f64();
    let appends: usize = costs.iter().map(|cost| cost.appends).sum();
    Ok([
        workers.to_string(),
        model.running().to_string(),
        format!("{:.1}", starts as f64 / seconds),
        format!("{:.3}", costs[planner].time.as_secs_f64() * 100.0 / seconds),
        format!("{:.2}", costs[planner].bytes as f64 / 1000.0 / seconds),
        (cell_bytes / 1024).to_string(),
        format!("{:.3}", median_agent.time.as_secs_f64() * 100.0 / seconds),
        format!("{:.2}", median_agent.bytes as f64 / 1000.0 / seconds),
        format!("{:.1}", appends as f64 / seconds),
    ])
}

fn median(costs: &[AgentCost], planner: usize) -> AgentCost {
    let mut others: Vec<AgentCost> = costs
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != planner)
        .map(|(_, cost)| *cost)
        .collect();
    others.sort_by_key(|cost| cost.time);
    others.get(others.len() / 2).copied().unwrap_or_default()
}

fn fill_cell(workers: usize, policy: &SchedulePolicy) -> CellModel {
    let mut model = CellModel::new(workers, TASKS_PER_WORKER, policy);
    model.log().publish(team_note());
    let mut note = note("work");
    note.added.data_centres = vec![DataCentreSpec {
        name: name("negombo"),
        in_service: true,
    }];
    note.added.jobs = (0..JOB_COUNT)
        .map(|number| long_job(number, workers))
        .collect();
    model.log().publish(note);
    model.run(WARM_UP);
    model
}

/// Returns a job whose run time differs from that of the others, so that tasks end at different
/// times.
fn long_job(number: usize, workers: usize) -> JobSpec {
    let mut job = job(number);
    let steps = u32::try_from(number).unwrap_or_default();
    job.run_time = MIN_RUN_TIME + RUN_TIME_STEP * steps;
    job.tasks = u32::try_from(workers).unwrap_or_default() * TASKS_PER_WORKER / 4;
    job.size = size(1);
    job.size.accelerators.0 = 0;
    job
}
