//! In-memory worker of the cell model: tasks run for their declared time and finish.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::AttemptId;
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{
    TaskOrder, TaskPhase, TaskStatus, WorkerAnswer, WorkerCall, WorkerReport,
};
use std::collections::BTreeMap;

#[derive(Debug)]
struct ModelTask {
    order: TaskOrder,
    ends_at: MonoTime,
    phase: TaskPhase,
}

/// Worker that accepts all calls.
#[derive(Debug, Default)]
pub(crate) struct ModelWorker {
    tasks: BTreeMap<AttemptId, ModelTask>,
    started: usize,
}

impl ModelWorker {
    /// Executes a call of the agent.
    pub(crate) fn call(&mut self, now: MonoTime, call: &WorkerCall) -> WorkerAnswer {
        self.finish_due(now);
        match call {
            WorkerCall::Start { order, .. } => self.start(now, order),
            WorkerCall::Stop { attempt, .. } => {
                if let Some(task) = self.tasks.get_mut(attempt) {
                    task.phase = TaskPhase::Stopped;
                }
            }
            WorkerCall::Forget { attempt } => drop(self.tasks.remove(attempt)),
            WorkerCall::Report { .. } => return WorkerAnswer::Report(self.report()),
            WorkerCall::Renew { .. }
            | WorkerCall::Checkpoint { .. }
            | WorkerCall::Throttle { .. } => {}
        }
        WorkerAnswer::Done
    }

    /// Returns the number of running tasks.
    pub(crate) fn running(&self) -> usize {
        let running = |task: &&ModelTask| task.phase == TaskPhase::Running;
        self.tasks.values().filter(running).count()
    }

    /// Returns the number of tasks started so far.
    pub(crate) fn started(&self) -> usize {
        self.started
    }

    fn start(&mut self, now: MonoTime, order: &TaskOrder) {
        self.started += 1;
        let task = ModelTask {
            ends_at: now.plus(order.run_time),
            phase: TaskPhase::Running,
            order: order.clone(),
        };
        self.tasks.insert(order.attempt.clone(), task);
    }

    fn finish_due(&mut self, now: MonoTime) {
        for task in self.tasks.values_mut() {
            if task.phase == TaskPhase::Running && task.ends_at <= now {
                task.phase = TaskPhase::Finished;
            }
        }
    }

    fn report(&self) -> WorkerReport {
        WorkerReport {
            tasks: self.tasks.values().map(status).collect(),
            ..WorkerReport::default()
        }
    }
}

/// Returns the usage that is reported for every task, whatever size it reserved: 10 % less than
/// one core and its memory.
fn measured_usage() -> ResourceSize {
    ResourceSize {
        cpu: CpuMillis(900),
        memory: MemoryMebibytes(3686),
        accelerators: AcceleratorCount(0),
    }
}

fn status(task: &ModelTask) -> TaskStatus {
    TaskStatus {
        attempt: task.order.attempt.clone(),
        phase: task.phase,
        size: task.order.size,
        kind: task.order.kind.clone(),
        checkpoint: None,
        speed_percent: 100,
        usage: Some(measured_usage()),
    }
}
