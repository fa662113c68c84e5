//! Starts that an agent or its worker has refused.

use super::PlannerMachine;
use crate::ids::{RunName, WorkerIncarnation};
use crate::job::RunEnd;
use crate::operators::OperatorFormat;
use crate::worker::WorkerRefusal;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Pause before the next task for a worker that refused one for lack of resources.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(300);

/// Pause before the next task for a worker whose agent dropped an order.
const DROPPED_BACKOFF: Duration = Duration::from_millis(150);

/// Pause before the next task for a worker that refused one as unhealthy.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(1000);

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn handle_not_started(
        &mut self,
        now: MonoTime,
        run: RunName,
        incarnation: &WorkerIncarnation,
        refusal: Option<WorkerRefusal>,
    ) {
        if self.recovery.is_some() {
            return;
        }
        let Some(placement) = self.ledger.placement(run) else {
            return;
        };
        if placement.incarnation != *incarnation {
            return;
        }
        let host = placement.host.clone();
        self.log(
            "not_started",
            run,
            format!("host={host} refusal={refusal:?}"),
        );
        self.end_run(now, run, RunEnd::NotStarted, None);
        let pause = match refusal {
            Some(WorkerRefusal::NoRoom) => NO_ROOM_BACKOFF,
            Some(WorkerRefusal::Unhealthy) => UNHEALTHY_BACKOFF,
            // The agent could not carry out the order, or cancelled it.
            None => DROPPED_BACKOFF,
            _ => return,
        };
        if let Some(view) = self.hosts.get_mut(&host) {
            view.not_before = view.not_before.max(now.plus(pause));
        }
    }
}
