//! Simulated tasks of a worker, which end when their leases expire.

use super::control::WorkerControl;
use super::history::{TaskEvent, TaskEventKind};
use hornbeamlead_platform::worker_wire::{
    AttemptWire, PhaseWire, SizeWire, StartCall, StatusWire, TokenWire,
};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// Minimum interval between periodic checkpoints, in microseconds.
const MIN_CHECKPOINT_US: u64 = 10 * MICROS_PER_MILLI;

/// Run of an attempt.
#[derive(Debug)]
pub(crate) struct TaskRun {
    call: StartCall,
    phase: PhaseWire,
    speed_percent: u8,
    checkpoint: Option<TokenWire>,
    /// Progress at `updated_us`, in microseconds at full speed.
    work_us: u64,
    updated_us: u64,
    /// Progress at which the attempt ends with `end_phase`.
    end_work_us: u64,
    end_phase: PhaseWire,
    next_checkpoint_us: u64,
    lease_until_us: u64,
}

impl TaskRun {
    /// Starts an attempt, from the checkpoint in the call if there is one.
    pub(crate) fn start(call: StartCall, control: &WorkerControl, now_us: u64) -> Self {
        let resumed_us = call.resume_from.as_ref().map_or(0, |token| {
            token.progress_ms.saturating_mul(MICROS_PER_MILLI)
        });
        let run_time_percent = control.kind(&call.kind).run_time_percent;
        let run_time_us =
            call.run_time_ms.saturating_mul(MICROS_PER_MILLI) * run_time_percent / 100;
        let (end_phase, end_work_us) = match control.fail_tasks {
            true => (
                PhaseWire::Failed,
                resumed_us + control.fail_after_ms * MICROS_PER_MILLI,
            ),
            false => (PhaseWire::Finished, run_time_us),
        };
        let mut run = Self {
            phase: PhaseWire::Running,
            speed_percent: 100,
            checkpoint: call.resume_from.clone(),
            work_us: resumed_us,
            updated_us: now_us,
            end_work_us,
            end_phase,
            next_checkpoint_us: 0,
            lease_until_us: now_us.saturating_add(call.lease_ms.saturating_mul(MICROS_PER_MILLI)),
            call,
        };
        run.next_checkpoint_us = now_us.saturating_add(run.checkpoint_interval_us());
        run
    }

    /// Returns whether the attempt is running.
    pub(crate) fn is_running(&self) -> bool {
        self.phase == PhaseWire::Running
    }

    /// Returns the reserved resources.
    pub(crate) fn size(&self) -> SizeWire {
        self.call.size
    }

    /// Returns the kind of the task.
    pub(crate) fn kind(&self) -> &str {
        &self.call.kind
    }

    /// Returns the maximum speed, in percent of full speed.
    pub(crate) fn speed_percent(&self) -> u8 {
        self.speed_percent
    }

    /// Advances the attempt to `now_us`.
    ///
    /// Checkpoints, the end and the expiry of the lease are recorded at the times they are due.
    pub(crate) fn advance(&mut self, now_us: u64, events: &mut Vec<TaskEvent>) {
        while self.is_running() {
            let end_us = self.end_time_us();
            let due_us = end_us.min(self.lease_until_us).min(self.next_checkpoint_us);
            if due_us > now_us {
                break;
            }
            self.progress_to(due_us);
            match due_us {
                due if due == self.lease_until_us => self.end(PhaseWire::Lapsed, due, events),
                due if due == end_us => self.end(self.end_phase, due, events),
                due => self.write_checkpoint(due, events),
            }
        }
        if self.is_running() {
            self.progress_to(now_us);
        }
    }

    /// Extends the lease, never shortens it; has no effect on an attempt that has ended.
    pub(crate) fn renew(&mut self, lease_until_us: u64) {
        self.lease_until_us = self.lease_until_us.max(lease_until_us);
    }

    /// Sets the maximum speed, in percent of full speed.
    pub(crate) fn throttle(&mut self, speed_percent: u8) {
        self.speed_percent = speed_percent.min(100);
    }

    /// Writes a checkpoint of the current progress.
    pub(crate) fn write_checkpoint(&mut self, now_us: u64, events: &mut Vec<TaskEvent>) {
        self.checkpoint = Some(TokenWire {
            attempt: self.call.attempt.clone(),
            progress_ms: self.work_us / MICROS_PER_MILLI,
        });
        self.next_checkpoint_us = now_us.saturating_add(self.checkpoint_interval_us());
        events.push(self.event(TaskEventKind::Checkpointed, now_us));
    }

    /// Stops the attempt.
    pub(crate) fn stop(&mut self, now_us: u64, events: &mut Vec<TaskEvent>) {
        self.end(PhaseWire::Stopped, now_us, events);
    }

    /// Returns an event of the attempt with its current progress.
    pub(crate) fn event(&self, event: TaskEventKind, at_us: u64) -> TaskEvent {
        let checkpoint = self.checkpoint.as_ref();
        TaskEvent {
            at_us,
            event,
            attempt: self.call.attempt.clone(),
            kind: self.call.kind.clone(),
            progress_ms: self.work_us / MICROS_PER_MILLI,
            checkpoint_ms: checkpoint.map_or(0, |token| token.progress_ms),
        }
    }

    /// Returns the status of the attempt.
    pub(crate) fn status(&self, usage: Option<SizeWire>) -> StatusWire {
        StatusWire {
            attempt: self.call.attempt.clone(),
            phase: self.phase,
            size: self.call.size,
            kind: self.call.kind.clone(),
            checkpoint: self.checkpoint.clone(),
            speed_percent: self.speed_percent,
            usage,
        }
    }

    fn end(&mut self, phase: PhaseWire, at_us: u64, events: &mut Vec<TaskEvent>) {
        self.phase = phase;
        let event = match phase {
            PhaseWire::Running => return,
            PhaseWire::Finished => TaskEventKind::Finished,
            PhaseWire::Failed => TaskEventKind::Failed,
            PhaseWire::Stopped => TaskEventKind::Stopped,
            PhaseWire::Lapsed => TaskEventKind::Lapsed,
        };
        events.push(self.event(event, at_us));
    }

    fn progress_to(&mut self, at_us: u64) {
        let span_us = at_us.saturating_sub(self.updated_us);
        self.work_us += span_us * u64::from(self.speed_percent) / 100;
        self.updated_us = at_us;
    }

    fn end_time_us(&self) -> u64 {
        let left_us = self.end_work_us.saturating_sub(self.work_us);
        match u64::from(self.speed_percent) {
            0 => u64::MAX,
            speed => {
                let span_us = left_us.saturating_mul(100).div_ceil(speed);
                self.updated_us.saturating_add(span_us)
            }
        }
    }

    fn checkpoint_interval_us(&self) -> u64 {
        let every_us = self
            .call
            .checkpoint_every_ms
            .saturating_mul(MICROS_PER_MILLI);
        every_us.max(MIN_CHECKPOINT_US)
    }
}

/// Returns the key of an attempt in the worker's tables.
pub(crate) fn attempt_key(attempt: &AttemptWire) -> (Box<str>, u32, u32) {
    (attempt.job.clone(), attempt.index, attempt.number)
}
