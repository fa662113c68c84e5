//! Stops of attempts whose starts may still reach a later life of their worker.
//!
//! A start names the worker's id and no life. Without an answer, it may be carried out seconds later. The
//! agent stops such an attempt on the next life under the id, but an agent that has restarted since knows
//! nothing of it. A worker refuses a start that comes after a stop of the attempt.

use super::PlannerMachine;
use crate::effect::Effect;
use crate::ids::{HostName, RunName, WorkerIncarnation};
use crate::message::{HostReport, PlannerMessage};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;
use std::time::Duration;

/// Time after which no start without an answer is carried out any more.
const LATE_START_TIME: Duration = Duration::from_secs(15);

/// Order to stop an attempt on a later life than the one it was meant for.
#[derive(Clone, Debug)]
pub(super) struct LateStop {
    /// Number of the order on the host's current link.
    number: u64,
    life: WorkerIncarnation,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Returns whether an attempt on a life that has ended must not start elsewhere yet, as its start may
    /// still reach the present life. If so, the attempt is stopped there.
    pub(super) fn awaits_late_stop(
        &mut self,
        now: MonoTime,
        (host, report): (&HostName, &HostReport),
        ended: &WorkerIncarnation,
        run: RunName,
    ) -> bool {
        let worker = report.worker.as_ref();
        let Some(worker) = worker.filter(|worker| worker.incarnation.id == ended.id) else {
            return false;
        };
        let may_come = self.runs.get(&run).is_some_and(|run_view| {
            let is_recent = now.since(run_view.created_at) <= LATE_START_TIME;
            is_recent && run_view.order_number.is_some()
        });
        let known = self.late_stops.get(&run);
        match known.filter(|stop| stop.life == worker.incarnation) {
            _ if !may_come => false,
            // The agent names a stop as in flight until the worker has performed it.
            Some(stop) => stop.number > report.orders_seen,
            None => {
                self.order_late_stop(host, run, worker.incarnation.clone());
                true
            }
        }
    }

    fn order_late_stop(&mut self, host: &HostName, run: RunName, life: WorkerIncarnation) {
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(link) = view.link else {
            return;
        };
        let number = view.next_order_number();
        let incarnation = life.clone();
        let message = PlannerMessage::Stop {
            number,
            run,
            incarnation,
        };
        self.effects.push(Effect::ToAgent { link, message });
        self.late_stops.insert(run, LateStop { number, life });
        self.log("late_start_stopped", run, format!("host={host}"));
    }
}
