//! Orders to agents that follow from stored records.

use super::{PlannerMachine, RunView};
use crate::effect::Effect;
use crate::ids::{HostName, RunName};
use crate::job::RunEnd;
use crate::message::{PlannerMessage, StartOrder};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::MonoTime;

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Sends a start order, unless the conditions for it no longer hold. An attempt whose order was
    /// never sent cannot have started, so it ends as `NotStarted`.
    pub(super) fn run_deferred_start(&mut self, now: MonoTime, host: &HostName, order: StartOrder) {
        let run = order.run;
        let state = self.ledger.task(run.task);
        let ended = state.is_none_or(|(job, task)| job.phase.is_final() || task.done);
        // The attempt may have ended while its record waited for the store.
        let ended = ended || self.ledger.placement(run).is_none();
        let current = self.has_current_inputs(now);
        let view = self.hosts.get_mut(host);
        let usable = view.as_ref().is_some_and(|view| {
            view.is_reachable(now)
                && view.answered
                && view.incarnation() == Some(&order.incarnation)
                && !view.is_draining()
        });
        // The capacity may have shrunk since the attempt was placed.
        let fits = view.as_ref().is_some_and(|view| view.fits_runs());
        let evacuated = view.as_ref().is_some_and(|view| {
            let data_centre = view.worker.as_ref().map(|worker| &worker.data_centre);
            data_centre.is_some_and(|data_centre| self.operators.is_evacuated(data_centre))
        });
        let link = view.as_ref().and_then(|view| view.link);
        match (view, link) {
            (Some(view), Some(link)) if usable && fits && current && !evacuated && !ended => {
                let number = view.next_order_number();
                let run_view = self.runs.entry(run).or_insert_with(|| RunView::new(now));
                run_view.order_number = Some(number);
                run_view.ordered_at = Some(now);
                let message = PlannerMessage::Start { number, order };
                self.effects.push(Effect::ToAgent { link, message });
            }
            _ => {
                let detail = format!(
                    "host={host} ended={ended} evacuated={evacuated} current={current} fits={fits}"
                );
                self.log("start_withdrawn", run, detail);
                self.end_run(now, run, RunEnd::NotStarted, None);
            }
        }
    }

    /// Sends a stop order if the host has a link. If not, the stop is sent again once a report
    /// lists the attempt.
    pub(super) fn order_stop(&mut self, run: RunName) {
        let Some(placement) = self.ledger.placement(run) else {
            return;
        };
        let incarnation = placement.incarnation.clone();
        let Some(view) = self.hosts.get_mut(&placement.host) else {
            return;
        };
        let Some(link) = view.link else {
            return;
        };
        let number = view.next_order_number();
        if let Some(run_view) = self.runs.get_mut(&run) {
            run_view.stop_number = Some(number);
            run_view.order_number.get_or_insert(number);
        }
        let message = PlannerMessage::Stop {
            number,
            run,
            incarnation,
        };
        self.effects.push(Effect::ToAgent { link, message });
    }
}
