//! JSON of an agent's status.

use super::{LoadWire, text};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::status::{AgentStatus, CellStatus, GateStatus, JobSummary, ScheduleStatus};
use hornbeamlead_core::task::{TaskPhase, TaskStatus, TaskSummary};
use serde::Serialize;

#[derive(Debug, Serialize)]
pub(crate) struct AgentWire {
    revision: u64,
    log_up: bool,
    stopping: bool,
    requests: GateWire,
    schedule: ScheduleWire,
}

/// Request handling of an agent.
#[derive(Debug, Serialize)]
struct GateWire {
    load: LoadWire,
    services: Vec<Box<str>>,
    keys: usize,
    fenced: usize,
}

/// Batch scheduling of an agent.
#[derive(Debug, Serialize)]
struct ScheduleWire {
    cell: u32,
    planner: Option<Box<str>>,
    epoch: u64,
    lease_left_ms: Option<u64>,
    capacity: SizeWire,
    admitted: SizeWire,
    tasks: Vec<TaskWire>,
    planning: Option<CellWire>,
}

/// Amount of each resource.
#[derive(Debug, Serialize)]
struct SizeWire {
    cpu_millis: u32,
    memory_mebibytes: u32,
    accelerators: u16,
}

/// Task attempt on the worker.
#[derive(Debug, Serialize)]
struct TaskWire {
    attempt: Box<str>,
    phase: &'static str,
    kind: Box<str>,
    size: SizeWire,
    usage: Option<SizeWire>,
    speed_percent: u8,
    checkpoint_ms: Option<u64>,
}

/// Cell as seen by its planner.
#[derive(Debug, Serialize)]
struct CellWire {
    hosts: Vec<Box<str>>,
    quarantined: Vec<Box<str>>,
    jobs: Vec<JobWire>,
    tasks: Vec<TaskStateWire>,
    evictions: u64,
}

/// Progress of a job within a cell.
#[derive(Debug, Serialize)]
struct JobWire {
    job: Box<str>,
    waiting: u32,
    running: u32,
    finished: u32,
    failed: u32,
    infeasible: Option<Box<str>>,
}

/// Task as seen by the planner.
#[derive(Debug, Serialize)]
struct TaskStateWire {
    task: Box<str>,
    attempts: u32,
    state: Box<str>,
}

impl AgentWire {
    /// Converts the status of an agent; `now` is needed for the remaining lease time.
    pub(crate) fn new(status: &AgentStatus, now: MonoTime) -> Self {
        Self {
            revision: status.revision.0,
            log_up: status.schedule.log_up,
            stopping: status.stopping,
            requests: GateWire::from(&status.gate),
            schedule: ScheduleWire::new(&status.schedule, now),
        }
    }
}

impl From<&GateStatus> for GateWire {
    fn from(gate: &GateStatus) -> Self {
        Self {
            load: LoadWire::from(&gate.load),
            services: gate.services.iter().map(text).collect(),
            keys: gate.keys,
            fenced: gate.fenced,
        }
    }
}

impl ScheduleWire {
    fn new(schedule: &ScheduleStatus, now: MonoTime) -> Self {
        let lease_left = |until: MonoTime| whole_millis(until.since(now));
        Self {
            cell: schedule.cell.0,
            planner: schedule.planner.as_ref().map(text),
            epoch: schedule.epoch.0,
            lease_left_ms: schedule.lease_until.map(lease_left),
            capacity: SizeWire::from(&schedule.capacity),
            admitted: SizeWire::from(&schedule.admitted),
            tasks: schedule.tasks.iter().map(TaskWire::from).collect(),
            planning: schedule.planning.as_ref().map(CellWire::from),
        }
    }
}

impl From<&ResourceSize> for SizeWire {
    fn from(size: &ResourceSize) -> Self {
        Self {
            cpu_millis: size.cpu.0,
            memory_mebibytes: size.memory.0,
            accelerators: size.accelerators.0,
        }
    }
}

impl From<&TaskStatus> for TaskWire {
    fn from(task: &TaskStatus) -> Self {
        Self {
            attempt: text(&task.attempt),
            phase: phase_name(task.phase),
            kind: text(&task.kind),
            size: SizeWire::from(&task.size),
            usage: task.usage.as_ref().map(SizeWire::from),
            speed_percent: task.speed_percent,
            checkpoint_ms: task.checkpoint.as_ref().map(|token| token.progress_ms),
        }
    }
}

fn phase_name(phase: TaskPhase) -> &'static str {
    match phase {
        TaskPhase::Running => "running",
        TaskPhase::Finished => "finished",
        TaskPhase::Failed => "failed",
        TaskPhase::Stopped => "stopped",
        TaskPhase::Lapsed => "lapsed",
    }
}

impl From<&CellStatus> for CellWire {
    fn from(cell: &CellStatus) -> Self {
        let task_state = |task: &TaskSummary| TaskStateWire {
            task: text(&task.task),
            attempts: task.attempts,
            state: task.state.clone(),
        };
        Self {
            hosts: cell.hosts.iter().map(text).collect(),
            quarantined: cell.quarantined.iter().map(text).collect(),
            jobs: cell.jobs.iter().map(JobWire::from).collect(),
            tasks: cell.tasks.iter().map(task_state).collect(),
            evictions: cell.evictions,
        }
    }
}

impl From<&JobSummary> for JobWire {
    fn from(job: &JobSummary) -> Self {
        Self {
            job: text(&job.job),
            waiting: job.waiting,
            running: job.running,
            finished: job.finished,
            failed: job.failed,
            infeasible: job.infeasible.clone(),
        }
    }
}

fn whole_millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
