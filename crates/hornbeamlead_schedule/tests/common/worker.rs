//! Fake worker: runs attempts under leases by its host's clock and reports them.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::AttemptId;
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{
    CheckpointToken, TaskOrder, TaskPhase, TaskStatus, WorkerAnswer, WorkerCall, WorkerError,
    WorkerReport,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Attempt on the fake worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeTask {
    pub(crate) order: TaskOrder,
    pub(crate) phase: TaskPhase,
    began: MonoTime,
    resumed_ms: u64,
    checkpoint: Option<CheckpointToken>,
    lease_until: MonoTime,
    speed_percent: u8,
}

/// Worker whose attempts progress with its host's clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeWorker {
    pub(crate) tasks: BTreeMap<AttemptId, FakeTask>,
    pub(crate) capacity: ResourceSize,
    pub(crate) fails_all: bool,
    pub(crate) overcommitted: u32,
    pub(crate) started: BTreeSet<AttemptId>,
}

impl FakeWorker {
    /// Advances all running attempts to `now`.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        for task in self.tasks.values_mut() {
            if task.phase == TaskPhase::Running {
                advance(task, now, self.fails_all);
            }
        }
    }

    /// Returns the running attempts.
    pub(crate) fn running(&self) -> impl Iterator<Item = &FakeTask> {
        let running = |task: &&FakeTask| task.phase == TaskPhase::Running;
        self.tasks.values().filter(running)
    }

    /// Executes a call; returns the answer and the order of the attempt that it started, if any.
    pub(crate) fn call(
        &mut self,
        call: &WorkerCall,
        now: MonoTime,
    ) -> (Result<WorkerAnswer, WorkerError>, Option<TaskOrder>) {
        self.advance(now);
        match call {
            WorkerCall::Start {
                order,
                lease_until,
                start_by,
            } => return self.start(order, *lease_until, *start_by, now),
            WorkerCall::Renew {
                attempts,
                lease_until,
            } => self.renew(attempts, *lease_until),
            WorkerCall::Stop { attempt, .. } => self.stop(attempt, now),
            WorkerCall::Throttle {
                attempt,
                speed_percent,
            } => {
                if let Some(task) = self.tasks.get_mut(attempt) {
                    task.speed_percent = *speed_percent;
                }
            }
            WorkerCall::Forget { attempt } => drop(self.tasks.remove(attempt)),
            WorkerCall::Report { .. } => return (Ok(self.report()), None),
            WorkerCall::Checkpoint { .. } => {}
        }
        (Ok(WorkerAnswer::Done), None)
    }

    fn start(
        &mut self,
        order: &TaskOrder,
        lease_until: MonoTime,
        start_by: MonoTime,
        now: MonoTime,
    ) -> (Result<WorkerAnswer, WorkerError>, Option<TaskOrder>) {
        let used = self.running().fold(ResourceSize::default(), |sum, task| {
            sum.plus(&task.order.size)
        });
        let full = !order.size.fits(&self.capacity.minus(&used));
        self.overcommitted += u32::from(full);
        if full || now >= start_by || now >= lease_until || self.started.contains(&order.attempt) {
            let reason = "refused".into();
            return (Err(WorkerError::Refused { reason }), None);
        }
        self.started.insert(order.attempt.clone());
        let resumed = order.resume_from.as_ref();
        let task = FakeTask {
            order: order.clone(),
            phase: TaskPhase::Running,
            began: now,
            resumed_ms: resumed.map_or(0, |token| token.progress_ms),
            checkpoint: order.resume_from.clone(),
            lease_until,
            speed_percent: 100,
        };
        self.tasks.insert(order.attempt.clone(), task);
        (Ok(WorkerAnswer::Done), Some(order.clone()))
    }

    fn renew(&mut self, attempts: &[AttemptId], lease_until: MonoTime) {
        for attempt in attempts {
            if let Some(task) = self.tasks.get_mut(attempt) {
                task.lease_until = task.lease_until.max(lease_until);
            }
        }
    }

    fn stop(&mut self, attempt: &AttemptId, now: MonoTime) {
        let running = |task: &&mut FakeTask| task.phase == TaskPhase::Running;
        if let Some(task) = self.tasks.get_mut(attempt).filter(running) {
            task.checkpoint = Some(token(task, progress_ms(task, now)));
            task.phase = TaskPhase::Stopped;
        }
    }

    fn report(&self) -> WorkerAnswer {
        let tasks = self.tasks.values().map(|task| TaskStatus {
            attempt: task.order.attempt.clone(),
            phase: task.phase,
            size: task.order.size,
            kind: task.order.kind.clone(),
            checkpoint: task.checkpoint.clone(),
            speed_percent: task.speed_percent,
            usage: None,
        });
        WorkerAnswer::Report(WorkerReport {
            tasks: tasks.collect(),
            service_p99_us: None,
            usage_age: Duration::ZERO,
        })
    }
}

fn progress_ms(task: &FakeTask, now: MonoTime) -> u64 {
    let elapsed = u64::try_from(now.since(task.began).as_millis()).unwrap_or(u64::MAX);
    task.resumed_ms + elapsed
}

fn token(task: &FakeTask, progress_ms: u64) -> CheckpointToken {
    CheckpointToken {
        attempt: task.order.attempt.clone(),
        progress_ms,
    }
}

fn advance(task: &mut FakeTask, now: MonoTime, fails: bool) {
    let alive = now.min(task.lease_until);
    let progress = progress_ms(task, alive);
    let run_ms = u64::try_from(task.order.run_time.as_millis()).unwrap_or(u64::MAX);
    let every = u64::try_from(task.order.checkpoint_every.as_millis()).unwrap_or(u64::MAX);
    let written = progress.min(run_ms) / every.max(1) * every;
    if written
        > task
            .checkpoint
            .as_ref()
            .map_or(0, |token| token.progress_ms)
    {
        task.checkpoint = Some(token(task, written));
    }
    task.phase = match () {
        () if fails && alive > task.began => TaskPhase::Failed,
        () if progress >= run_ms => TaskPhase::Finished,
        () if now >= task.lease_until => TaskPhase::Lapsed,
        () => TaskPhase::Running,
    };
}
