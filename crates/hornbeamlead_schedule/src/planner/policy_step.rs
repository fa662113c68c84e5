//! Passes heartbeats to the learner, the quarantine and the interference guard, and records the
//! actions that the guard requests.

use crate::cell_log::AttemptState;
use crate::event_context::EventContext;
use crate::interference::GuardAction;
use crate::planner::CellPlanner;
use crate::planner::record_step::delivery;
use crate::planner::tasks::{OwnedTask, TaskState};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{AttemptId, HostId};
use hornbeamlead_core::message::control::HostHeartbeat;
use hornbeamlead_core::note::{DeliveryMode, JobSpec};
use hornbeamlead_core::task::{TaskPhase, TaskStatus};
use std::time::Duration;

/// Speed of an attempt that is not throttled, in percent.
const FULL_SPEED: u8 = 100;

/// Time after the start of a drain in which tasks may still finish, multiplied by the weight of
/// evictions.
const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// Maximum factor by which the weight of evictions extends the grace period.
const MAX_GRACE_WEIGHT: u32 = 4;

impl CellPlanner {
    /// Learns from a heartbeat and decides on throttling and eviction on its host.
    pub(super) fn observe(&mut self, heartbeat: &HostHeartbeat, context: &mut EventContext<'_>) {
        let now = context.mono();
        if !heartbeat.whole {
            self.guard_host(&heartbeat.host, heartbeat.service_p99_us, context);
            return;
        }
        for status in &heartbeat.tasks {
            self.learner.observe(status, now);
            if self
                .quarantine
                .record_end(&heartbeat.host, &status.attempt, status.phase, now)
            {
                let inputs = format!("last_failed={} epoch={}", status.attempt, self.epoch);
                context.log_decision("quarantine", format!("host:{}", heartbeat.host), inputs);
            }
        }
        let listed =
            |attempt: &AttemptId| heartbeat.tasks.iter().any(|task| task.attempt == *attempt);
        self.quarantine.retain(&heartbeat.host, listed);
        self.guard_host(&heartbeat.host, heartbeat.service_p99_us, context);
    }

    fn guard_host(&mut self, host: &HostId, p99_us: Option<u64>, context: &mut EventContext<'_>) {
        let Some(entry) = self.hosts.get(host) else {
            return;
        };
        let actions = self
            .guard
            .observe(host, p99_us, entry.statuses(), context.mono());
        for action in actions {
            self.apply_action(host, p99_us, action, context);
        }
    }

    fn apply_action(
        &mut self,
        host: &HostId,
        p99_us: Option<u64>,
        action: GuardAction,
        context: &mut EventContext<'_>,
    ) {
        let goal = self.schedule().service_p99_goal.as_micros();
        let inputs = format!(
            "host={host} p99_us={p99_us:?} goal_us={goal} epoch={}",
            self.epoch
        );
        match action {
            GuardAction::Throttle {
                attempt,
                speed_percent,
            } => {
                let inputs = format!("{inputs} speed_percent={speed_percent}");
                context.log_decision("throttle", format!("task:{attempt}"), inputs);
                self.set_speed(attempt, speed_percent);
            }
            GuardAction::Evict { attempt } if may_resume(context.fleet, &attempt) => {
                context.log_decision("evict", format!("task:{attempt}"), inputs);
                self.evictions += 1;
                self.evicting.insert(attempt);
            }
            GuardAction::Evict { .. } => {}
        }
    }

    fn set_speed(&mut self, attempt: AttemptId, speed_percent: u8) {
        match speed_percent {
            FULL_SPEED => drop(self.speeds.remove(&attempt)),
            _ => drop(self.speeds.insert(attempt, speed_percent)),
        }
    }

    /// Returns the target speed of an attempt, in percent.
    pub(super) fn target_speed(&self, status: &TaskStatus) -> u8 {
        self.speeds
            .get(&status.attempt)
            .copied()
            .unwrap_or(FULL_SPEED)
    }

    /// Returns why a running attempt must be checkpointed and stopped; `None` if it may continue.
    pub(super) fn stop_reason(
        &self,
        status: &TaskStatus,
        fleet: &FleetState,
        now: MonoTime,
    ) -> Option<&'static str> {
        if status.phase != TaskPhase::Running {
            return None;
        }
        let spec = fleet.jobs().get(&status.attempt.task.job);
        match spec {
            None => Some("withdrawn"),
            Some(spec) if spec.delivery == DeliveryMode::AtMostOnce => None,
            Some(spec) if self.must_leave(spec, status, now) => Some("drained"),
            Some(_) if !self.in_service(fleet) => None,
            Some(spec) if !super::claims::allows(spec, &self.identity.data_centre) => Some("moved"),
            Some(_) if self.evicting.contains(&status.attempt) => Some("evicted"),
            Some(_) => None,
        }
    }

    /// Returns whether a task must leave a drained data centre, as it is not expected to finish
    /// within the grace period.
    fn must_leave(&self, spec: &JobSpec, status: &TaskStatus, now: MonoTime) -> bool {
        let Some(drained_at) = self.drained_at else {
            return false;
        };
        let schedule = self.schedule();
        if !schedule.learning {
            return true;
        }
        let weight = schedule.weights.evictions.clamp(1, MAX_GRACE_WEIGHT);
        let grace_end = drained_at.plus(DRAIN_GRACE * weight);
        let run = self.learner.run_time(&spec.kind, spec.run_time);
        let done = status
            .checkpoint
            .as_ref()
            .map_or(0, |token| token.progress_ms);
        let rest = run.saturating_sub(Duration::from_millis(done));
        now.plus(rest) > grace_end
    }

    /// Records when the data centre was first found drained.
    pub(super) fn update_drain(&mut self, context: &EventContext<'_>) {
        let drained_at = self.drained_at.unwrap_or(context.mono());
        self.drained_at = (!self.in_service(context.fleet)).then_some(drained_at);
    }

    /// Cancels the orders of withdrawn jobs and of a drained data centre, and drops outdated state.
    pub(super) fn cancel_stale_orders(
        &mut self,
        tasks: &[OwnedTask<'_>],
        context: &EventContext<'_>,
    ) {
        let drained = !self.in_service(context.fleet);
        let started = tasks.iter().filter(|task| task.state == TaskState::Started);
        for task in started.filter(|task| drained || task.spec.is_none()) {
            self.orders.cancel(&AttemptId {
                task: task.task.clone(),
                number: task.number,
            });
        }
        let listed = |attempt: &AttemptId| {
            tasks.iter().any(|task| {
                task.task == attempt.task
                    && task.number == attempt.number
                    && task
                        .latest
                        .is_some_and(|latest| matches!(latest.state, AttemptState::Started { .. }))
            })
        };
        self.guard.retain(listed);
        self.failures
            .retain(|task, _| tasks.iter().any(|owned| owned.task == *task));
        let schedule = self.schedule();
        let silent = schedule.lease * 20;
        self.hosts.remove_silent(context.mono().minus(silent));
    }
}

fn may_resume(fleet: &FleetState, attempt: &AttemptId) -> bool {
    delivery(fleet, &attempt.task) == Some(DeliveryMode::Resumable)
}
