//! How the keeper obeys the planner's commands; each start is checked at the last moment.

use super::{STOP_AHEAD, TaskKeeper};
use crate::turn::TurnContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::AttemptId;
use hornbeamlead_core::message::control::TaskCommand;
use hornbeamlead_core::task::{TaskOrder, WorkerCall};

impl TaskKeeper {
    pub(super) fn obey(&mut self, command: &TaskCommand, turn: &mut TurnContext<'_>) {
        match command {
            TaskCommand::Start { order, start_by } => self.start(order, *start_by, turn),
            TaskCommand::Throttle {
                attempt,
                speed_percent,
            } => self.throttle(attempt, *speed_percent, turn),
            TaskCommand::Stop { attempt } => self.stop("planner_stop", attempt, turn),
            TaskCommand::Forget { attempt } => self.forget(attempt, turn),
        }
    }

    fn start(&mut self, order: &TaskOrder, start_by: MonoTime, turn: &mut TurnContext<'_>) {
        if self.table.contains(&order.attempt) || self.fenced.contains_key(&order.attempt) {
            return;
        }
        if let Some(reason) = self.refusal(order, start_by, turn) {
            turn.refuse(reason);
            let subject = format!("task:{}", order.attempt);
            turn.decide("start_refused", subject, format!("reason={reason}"));
            self.table.enter_refused(order);
            return;
        }
        let lease_until = self.membership.lease_until.unwrap_or_default();
        self.worker_lease = self.worker_lease.max(lease_until);
        self.table.admit(order, start_by);
        let call = WorkerCall::Start {
            order: order.clone(),
            lease_until,
            start_by,
        };
        self.call(call, turn);
    }

    /// Returns why a start may not happen at this moment.
    fn refusal(
        &self,
        order: &TaskOrder,
        start_by: MonoTime,
        turn: &TurnContext<'_>,
    ) -> Option<RefusalReason> {
        let leased = self
            .membership
            .lease_until
            .is_some_and(|until| turn.mono() < until.minus(STOP_AHEAD));
        let room = self.policy.batch_capacity.minus(&self.table.admitted());
        match () {
            () if self.leaving => Some(RefusalReason::Leaving),
            () if self.worker.is_none() || !leased => Some(RefusalReason::NoLease),
            () if turn.mono() >= start_by => Some(RefusalReason::StartTooLate),
            () if !turn.fleet.in_service(&self.place.data_centre) => Some(RefusalReason::Leaving),
            () if !order.size.fits(&room) => Some(RefusalReason::NoRoom),
            () => None,
        }
    }

    fn throttle(&mut self, attempt: &AttemptId, speed_percent: u8, turn: &mut TurnContext<'_>) {
        let current = self
            .table
            .status(attempt)
            .map(|status| status.speed_percent);
        if current.is_none_or(|speed| speed == speed_percent) {
            return;
        }
        let call = WorkerCall::Throttle {
            attempt: attempt.clone(),
            speed_percent,
        };
        self.call(call, turn);
    }

    fn forget(&mut self, attempt: &AttemptId, turn: &mut TurnContext<'_>) {
        let running = self
            .table
            .running()
            .any(|status| status.attempt == *attempt);
        if running || !self.table.contains(attempt) {
            return;
        }
        let schedule = &self.policy.schedule;
        let until = turn.mono().plus(schedule.start_bound).plus(schedule.margin);
        self.fenced.insert(attempt.clone(), until);
        if self.table.is_refused(attempt) {
            self.table.forget(attempt);
            return;
        }
        let call = WorkerCall::Forget {
            attempt: attempt.clone(),
        };
        self.call(call, turn);
    }
}
