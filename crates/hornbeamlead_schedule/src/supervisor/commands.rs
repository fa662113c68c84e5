//! Execution of the planner's commands; each start is checked again right before its worker call.

use super::{STOP_LEAD_TIME, TaskSupervisor};
use crate::event_context::EventContext;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::AttemptId;
use hornbeamlead_core::message::control::TaskCommand;
use hornbeamlead_core::task::{TaskOrder, WorkerCall};

impl TaskSupervisor {
    pub(super) fn execute(&mut self, command: &TaskCommand, context: &mut EventContext<'_>) {
        match command {
            TaskCommand::Start { order, start_by } => self.start(order, *start_by, context),
            TaskCommand::Throttle {
                attempt,
                speed_percent,
            } => self.throttle(attempt, *speed_percent, context),
            TaskCommand::Stop { attempt } => self.stop("planner_stop", attempt, context),
            TaskCommand::Forget { attempt } => self.forget(attempt, context),
        }
    }

    fn start(&mut self, order: &TaskOrder, start_by: MonoTime, context: &mut EventContext<'_>) {
        if self.table.contains(&order.attempt) || self.fenced.contains_key(&order.attempt) {
            return;
        }
        if let Some(reason) = self.refusal(order, start_by, context) {
            context.count_refusal(reason);
            let subject = format!("task:{}", order.attempt);
            context.log_decision("start_refused", subject, format!("reason={reason}"));
            self.table.insert_refused(order);
            return;
        }
        let lease_until = self.membership.lease_until.unwrap_or_default();
        self.worker_lease_until = self.worker_lease_until.max(lease_until);
        self.table.admit(order, start_by);
        let call = WorkerCall::Start {
            order: order.clone(),
            lease_until,
            start_by,
        };
        self.call(call, context);
    }

    /// Returns why a start must be refused now; `None` if it may proceed.
    fn refusal(
        &self,
        order: &TaskOrder,
        start_by: MonoTime,
        context: &EventContext<'_>,
    ) -> Option<RefusalReason> {
        let leased = self
            .membership
            .lease_until
            .is_some_and(|until| context.mono() < until.minus(STOP_LEAD_TIME));
        let room = self.policy.batch_capacity.minus(&self.table.admitted());
        match () {
            () if self.leaving => Some(RefusalReason::Leaving),
            () if self.worker.is_none() || !leased => Some(RefusalReason::NoLease),
            () if context.mono() >= start_by => Some(RefusalReason::StartTooLate),
            () if !context.fleet.in_service(&self.identity.data_centre) => {
                Some(RefusalReason::Leaving)
            }
            () if !order.size.fits(&room) => Some(RefusalReason::NoRoom),
            () => None,
        }
    }

    fn throttle(&mut self, attempt: &AttemptId, speed_percent: u8, context: &mut EventContext<'_>) {
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
        self.call(call, context);
    }

    fn forget(&mut self, attempt: &AttemptId, context: &mut EventContext<'_>) {
        let running = self
            .table
            .running()
            .any(|status| status.attempt == *attempt);
        if running || !self.table.contains(attempt) {
            return;
        }
        let schedule = &self.policy.schedule;
        let until = context
            .mono()
            .plus(schedule.start_bound)
            .plus(schedule.margin);
        self.fenced.insert(attempt.clone(), until);
        if self.table.is_refused(attempt) {
            self.table.forget(attempt);
            return;
        }
        let call = WorkerCall::Forget {
            attempt: attempt.clone(),
        };
        self.call(call, context);
    }
}
