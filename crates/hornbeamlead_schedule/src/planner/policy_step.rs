//! Feeds heartbeats to the policies and keeps what they want done.

use crate::cell_log::AttemptState;
use crate::interference::GuardAction;
use crate::planner::CellPlanner;
use crate::planner::record_step::delivery;
use crate::planner::tasks::{OwnedTask, TaskState};
use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{AttemptId, HostId};
use hornbeamlead_core::message::control::HostHeartbeat;
use hornbeamlead_core::note::{DeliveryMode, JobSpec};
use hornbeamlead_core::task::{TaskPhase, TaskStatus};
use std::time::Duration;

/// Speed of an attempt that is not throttled, in percent.
const FULL_SPEED: u8 = 100;

/// Time after a drain within which a task that is expected to end is left to end, per weight.
const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// Largest weight of evictions that lengthens the grace.
const MAX_GRACE_WEIGHT: u32 = 4;

impl CellPlanner {
    /// Learns from a heartbeat and decides on throttling and eviction on its host.
    pub(super) fn observe(&mut self, beat: &HostHeartbeat, turn: &mut TurnContext<'_>) {
        let now = turn.mono();
        if !beat.whole {
            self.guard_host(&beat.host, beat.service_p99_us, turn);
            return;
        }
        for status in &beat.tasks {
            self.learner.observe(status, now);
            if self
                .quarantine
                .judge(&beat.host, &status.attempt, status.phase, now)
            {
                let inputs = format!("last_failed={} epoch={}", status.attempt, self.epoch);
                turn.decide("quarantine", format!("host:{}", beat.host), inputs);
            }
        }
        let listed = |attempt: &AttemptId| beat.tasks.iter().any(|task| task.attempt == *attempt);
        self.quarantine.retain(&beat.host, listed);
        self.guard_host(&beat.host, beat.service_p99_us, turn);
    }

    fn guard_host(&mut self, host: &HostId, p99_us: Option<u64>, turn: &mut TurnContext<'_>) {
        let Some(entry) = self.hosts.get(host) else {
            return;
        };
        let actions = self
            .guard
            .observe(host, p99_us, entry.statuses(), turn.mono());
        for action in actions {
            self.keep_action(host, p99_us, action, turn);
        }
    }

    fn keep_action(
        &mut self,
        host: &HostId,
        p99_us: Option<u64>,
        action: GuardAction,
        turn: &mut TurnContext<'_>,
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
                turn.decide("throttle", format!("task:{attempt}"), inputs);
                self.want_speed(attempt, speed_percent);
            }
            GuardAction::Evict { attempt } if may_resume(turn.fleet, &attempt) => {
                turn.decide("evict", format!("task:{attempt}"), inputs);
                self.evictions += 1;
                self.evicting.insert(attempt);
            }
            GuardAction::Evict { .. } => {}
        }
    }

    fn want_speed(&mut self, attempt: AttemptId, speed_percent: u8) {
        match speed_percent {
            FULL_SPEED => drop(self.speeds.remove(&attempt)),
            _ => drop(self.speeds.insert(attempt, speed_percent)),
        }
    }

    /// Returns the speed that an attempt is to run at, in percent.
    pub(super) fn wanted_speed(&self, status: &TaskStatus) -> u8 {
        self.speeds
            .get(&status.attempt)
            .copied()
            .unwrap_or(FULL_SPEED)
    }

    /// Returns why a running attempt is to be checkpointed and stopped, if it is.
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
            Some(spec) if self.leaves_now(spec, status, now) => Some("drained"),
            Some(_) if !self.in_service(fleet) => None,
            Some(spec) if !super::claims::allows(spec, &self.place.data_centre) => Some("moved"),
            Some(_) if self.evicting.contains(&status.attempt) => Some("evicted"),
            Some(_) => None,
        }
    }

    /// Returns whether a task is to leave a drained data centre without waiting for its end.
    fn leaves_now(&self, spec: &JobSpec, status: &TaskStatus, now: MonoTime) -> bool {
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

    /// Notes when the data centre was first seen to be drained.
    pub(super) fn note_drain(&mut self, turn: &TurnContext<'_>) {
        let drained_at = self.drained_at.unwrap_or(turn.mono());
        self.drained_at = (!self.in_service(turn.fleet)).then_some(drained_at);
    }

    /// Cancels the orders of withdrawn jobs and of a drained data centre, and tidies up.
    pub(super) fn plan_policy(&mut self, tasks: &[OwnedTask<'_>], turn: &TurnContext<'_>) {
        let drained = !self.in_service(turn.fleet);
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
                    && task.standing.is_some_and(|standing| {
                        matches!(standing.state, AttemptState::Started { .. })
                    })
            })
        };
        self.guard.retain(listed);
        self.failures
            .retain(|task, _| tasks.iter().any(|owned| owned.task == *task));
        let schedule = self.schedule();
        let silent = schedule.lease * 20;
        self.hosts.drop_silent(turn.mono().minus(silent));
    }
}

fn may_resume(fleet: &FleetState, attempt: &AttemptId) -> bool {
    delivery(fleet, &attempt.task) == Some(DeliveryMode::Resumable)
}
