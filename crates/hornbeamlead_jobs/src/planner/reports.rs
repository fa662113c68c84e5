//! Reconciles the ledger with agents' reports: attempts that run, have ended or never started.

use super::batch::DeferredAction;
use super::hosts::HostView;
use super::placement::TaskDemand;
use super::{PlannerMachine, RunView};
use crate::effect::{Effect, LinkId};
use crate::ids::{HostName, PlannerEpoch, RunName, WorkerIncarnation};
use crate::job::{JobPhase, RunEnd};
use crate::message::{AgentMessage, HostReport, PlannerMessage};
use crate::operators::OperatorFormat;
use crate::record::PlanRecord;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl<F: OperatorFormat> PlannerMachine<F> {
    pub(super) fn handle_agent_message(
        &mut self,
        now: MonoTime,
        link: LinkId,
        message: AgentMessage,
    ) {
        match message {
            AgentMessage::Hello {
                host,
                address,
                epoch,
            } => self.handle_hello(now, link, host, address, epoch),
            AgentMessage::Report(report) => self.handle_report(now, link, &report),
            AgentMessage::NotStarted {
                run,
                incarnation,
                refusal,
            } => {
                self.handle_not_started(now, run, &incarnation, refusal);
            }
            AgentMessage::ConnectRequest { .. } => {}
        }
    }

    fn handle_hello(
        &mut self,
        now: MonoTime,
        link: LinkId,
        host: HostName,
        address: SocketAddr,
        epoch: PlannerEpoch,
    ) {
        if epoch > self.epoch {
            return self.depose("later_epoch_seen");
        }
        let started_at = self.started_at;
        let leases_end = self.inherited_leases_end();
        let make = || HostView::new(host.clone(), started_at, leases_end);
        let view = self.hosts.entry(host.clone()).or_insert_with(make);
        if let Some(old) = view.replace_link(link) {
            self.links.remove(&old);
            self.effects.push(Effect::CloseLink { link: old });
        }
        self.links.insert(link, host.clone());
        self.log("host_connected", &host, format!("address={address}"));
        if self.recovery.is_none() {
            self.record_address(now, &host, address);
        }
        self.reset_order_numbers(&host);
    }

    fn record_address(&mut self, now: MonoTime, host: &HostName, address: SocketAddr) {
        self.add_relay(address);
        if self.ledger.hosts.get(host) != Some(&address) {
            let host = host.clone();
            self.record(now, PlanRecord::Host { host, address });
        }
    }

    /// Registers another host as a relay to the store.
    pub(super) fn add_relay(&mut self, address: SocketAddr) {
        if address != self.policy.address {
            self.effects.push(Effect::AddRelay(address));
        }
    }

    /// Marks orders sent on an earlier link as possibly lost; reports show which of them arrived.
    fn reset_order_numbers(&mut self, host: &HostName) {
        for run in self.runs_on(host) {
            self.late_stops.remove(&run);
            if let Some(run_view) = self.runs.get_mut(&run) {
                run_view.order_number = run_view.order_number.map(|_| 0);
                run_view.stop_number = None;
            }
        }
    }

    /// Returns the attempts that may be running on a host.
    pub(super) fn runs_on(&self, host: &HostName) -> Vec<RunName> {
        let runs = self.hosts.get(host).map(|view| view.runs.keys().copied());
        let placed = |run: &RunName| self.ledger.placement(*run).is_some();
        runs.into_iter().flatten().filter(placed).collect()
    }

    pub(super) fn close_link(&mut self, _now: MonoTime, link: LinkId) {
        let Some(host) = self.links.remove(&link) else {
            return;
        };
        if let Some(view) = self
            .hosts
            .get_mut(&host)
            .filter(|view| view.link == Some(link))
        {
            view.link = None;
        }
        self.log("host_disconnected", &host, String::new());
    }

    fn handle_report(&mut self, now: MonoTime, link: LinkId, report: &HostReport) {
        let Some(host) = self.links.get(&link).cloned() else {
            return;
        };
        self.answer_report(now, link, &host, report);
        if self.recovery.is_some() {
            return;
        }
        let leases_end = now.plus(self.lease_timeout());
        let Some(view) = self.hosts.get_mut(&host) else {
            return;
        };
        let first = !view.has_reported;
        let changed = view.worker != report.worker;
        view.last_contact = now;
        view.has_reported = true;
        let other_incarnation = view.set_worker(report.worker.as_ref());
        if report.worker.is_some() {
            view.worker_seen_at = now;
            view.worker_seen = true;
            view.leases_end = leases_end;
            view.lease_awaited = false;
        }
        view.listed = report.listed;
        view.stamp = report.stamp;
        view.dead = report.dead.clone();
        if other_incarnation {
            self.adopt_failures(now, &host);
        }
        if report.worker.is_some() {
            self.withdraw_bound(now, &host);
        }
        self.pass_needed |= first || changed;
        if first {
            self.send_traits(link, &host);
        }
        self.note_begun(report);
        self.end_past_incarnations(now, &host, report);
        if other_incarnation {
            self.note_replaced_worker(now, &host);
        }
        self.process_ended(now, &host, report);
        self.process_running(now, &host, report);
        self.stop_missing(&host, report);
        self.learn_interference(now, &host, report);
    }

    /// Ends attempts of worker incarnations that are known to have ended.
    fn end_past_incarnations(&mut self, now: MonoTime, host: &HostName, report: &HostReport) {
        let current = report.worker.as_ref().map(|worker| &worker.incarnation);
        let dead = report.dead.as_ref();
        let last = self
            .hosts
            .get(host)
            .map(|view| view.last_incarnation.clone());
        let last = last.flatten();
        // If the clock was set back, the life after the dead one has an earlier start.
        let has_ended = |incarnation: &WorkerIncarnation| match current {
            Some(current) if incarnation == current => false,
            _ if dead == Some(incarnation) => true,
            Some(current) => incarnation.born <= current.born,
            None if last.as_ref().is_none_or(|last| incarnation == last) => false,
            None => dead.is_some_and(|dead| incarnation.born < dead.born),
        };
        // A start may have reached the next life of a worker, if that has the same id.
        let accounted_for = accounted_for(report);
        let mut past = BTreeMap::<WorkerIncarnation, Vec<RunName>>::new();
        for run in self.runs_on(host) {
            let placement = self.ledger.placement(run);
            let incarnation = placement.map(|placement| placement.incarnation.clone());
            if let Some(incarnation) = incarnation.filter(has_ended) {
                past.entry(incarnation).or_default().push(run);
            }
        }
        for (incarnation, runs) in past {
            // The crash is explained once, with all attempts that were on the worker.
            if self.mark_crashed(&runs) {
                self.note_worker_end(now, (host, report), &incarnation, &runs);
            }
            for run in runs.into_iter().filter(|run| !accounted_for.contains(run)) {
                if !self.awaits_late_stop(now, (host, report), &incarnation, run) {
                    self.end_run(now, run, RunEnd::Lost, None);
                }
            }
        }
    }

    /// Marks attempts as explained by a crash; returns whether any was not.
    fn mark_crashed(&mut self, runs: &[RunName]) -> bool {
        let mut is_new = false;
        for run in runs {
            if let Some(run_view) = self.runs.get_mut(run) {
                is_new |= !std::mem::replace(&mut run_view.crash_noted, true);
            }
        }
        is_new
    }

    fn process_ended(&mut self, now: MonoTime, host: &HostName, report: &HostReport) {
        let Some(incarnation) = report
            .worker
            .as_ref()
            .map(|worker| worker.incarnation.clone())
        else {
            return;
        };
        for row in &report.ended {
            match self.ledger.placement(row.run) {
                // A start that was meant for the life before may have reached this one.
                Some(placement)
                    if placement.host == *host && placement.incarnation.id == incarnation.id =>
                {
                    self.end_run(now, row.run, row.end, row.saved.clone());
                }
                Some(_) => {}
                None if row.end == RunEnd::Done => self.accept_late_completion(now, row.run),
                None => {}
            }
        }
        // Ends that must not be acknowledged yet have the lowest number.
        if let Some(through) = report.ended.iter().map(|row| row.number).max() {
            self.batch.defer(DeferredAction::Acknowledge {
                host: host.clone(),
                incarnation,
                through,
            });
        }
    }

    /// Accepts the completion of an attempt that was recorded as lost, unless the task has been
    /// placed again. This avoids repeating finished work.
    fn accept_late_completion(&mut self, now: MonoTime, run: RunName) {
        let Some((job, task)) = self.ledger.task(run.task) else {
            return;
        };
        let spec = job.spec(run.task.step);
        let single = spec.is_some_and(|spec| !spec.long_running && !spec.gang);
        let copied = spec.is_some_and(|spec| spec.copies) && !task.done;
        if job.phase.is_final() || !single || !(task.is_waiting() || copied) {
            return;
        }
        self.log("late_end_taken", run, String::new());
        let (end, saved) = (RunEnd::Done, None);
        self.record(now, PlanRecord::Ended { run, end, saved });
        self.stop_other_attempts(run);
        self.check_end(now, run.task);
    }

    fn process_running(&mut self, now: MonoTime, host: &HostName, report: &HostReport) {
        for (index, row) in report.running.iter().enumerate() {
            let placed = self.ledger.placement(row.run);
            if placed.is_none_or(|placement| placement.host != *host) {
                if report.listed && !report.in_flight.contains(&row.run) {
                    self.stop_unrecorded(host, row.run, report);
                }
                continue;
            }
            // It was meant for the life before, whose worker may have been another one.
            let current = report.worker.as_ref().map(|worker| &worker.incarnation);
            if placed.map(|placement| &placement.incarnation) != current {
                if report.listed && !report.in_flight.contains(&row.run) {
                    self.stop_unrecorded(host, row.run, report);
                }
                continue;
            }
            if let Some(saved) = &row.saved {
                self.ledger.record_checkpoint(row.run, saved);
            }
            let run_view = self
                .runs
                .entry(row.run)
                .or_insert_with(|| RunView::new(now));
            run_view.note_seen(now);
            if let Some(age) = report.ages.age_of(index) {
                run_view.note_age(now, age);
            }
            if !run_view.listed {
                run_view.listed = true;
                run_view.percent = row.percent;
                run_view.progressed_at = now.minus(report.idle.idle_span(index));
            }
            let stop_sent = run_view.stop_number.is_some();
            if row.percent > run_view.percent {
                run_view.progressed_at = now;
                run_view.percent = row.percent;
            }
            self.learn_progress(now, row);
            self.check_soundness(now, row.run);
            self.check_outlived(now, row.run);
            let phase = self.ledger.phase(row.run.task.step.job);
            // Members of a gang that has completed end by themselves.
            let completed = phase == Some(JobPhase::Completed);
            let closed = phase.is_none_or(|phase| phase.is_final()) && !completed;
            match self.can_resend_stop(row.run, report) {
                true if closed || stop_sent => self.order_stop(row.run),
                // The end of the other attempt may not be stored yet.
                true if self.is_superseded(row.run) => {
                    self.batch.defer(DeferredAction::Stop(row.run));
                }
                _ => {}
            }
        }
    }

    /// Returns whether no stop of an attempt is in flight or being carried out. Stops have to be
    /// resent because an agent that has just started drops orders until its worker has announced
    /// itself.
    fn can_resend_stop(&self, run: RunName, report: &HostReport) -> bool {
        let stop_number = self
            .runs
            .get(&run)
            .and_then(|run_view| run_view.stop_number);
        stop_number.is_none_or(|number| number <= report.orders_seen)
            && !report.in_flight.contains(&run)
    }

    /// Stops an attempt that is not placed on the host by any record.
    fn stop_unrecorded(&mut self, host: &HostName, run: RunName, report: &HostReport) {
        let Some(worker) = &report.worker else {
            return;
        };
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(link) = view.link else {
            return;
        };
        let number = view.next_order_number();
        let incarnation = worker.incarnation.clone();
        let message = PlannerMessage::Stop {
            number,
            run,
            incarnation,
        };
        self.effects.push(Effect::ToAgent { link, message });
        self.log("stray_stopped", run, format!("host={host}"));
    }

    /// Stops attempts that were ordered but that the worker does not list, so that they can no
    /// longer start.
    fn stop_missing(&mut self, host: &HostName, report: &HostReport) {
        if !report.listed {
            return;
        }
        let accounted_for = accounted_for(report);
        for run in self.runs_on(host) {
            let Some(run_view) = self.runs.get(&run) else {
                continue;
            };
            let received = run_view
                .order_number
                .is_some_and(|number| number <= report.orders_seen);
            let received = received && self.can_resend_stop(run, report);
            if received && !accounted_for.contains(&run) {
                self.log("attempt_missing", run, format!("host={host}"));
                self.order_stop(run);
            }
        }
    }

    /// Adopts the attempts that earlier planners recorded.
    pub(super) fn adopt_placements(&mut self, now: MonoTime) {
        let mut adopted = Vec::new();
        let jobs = self.ledger.jobs.iter();
        for (&job, state) in jobs.filter(|(_, state)| !state.is_idle()) {
            let plan = self.work.plan(job);
            for (run, placement) in state.runs(job) {
                let step = run.task.step;
                let spec = state.spec(step);
                let demand = spec.map(|spec| TaskDemand {
                    is_overdue: plan.is_some_and(|plan| plan.was_overdue(step.occurrence)),
                    ..TaskDemand::new(step, spec)
                });
                adopted.push((run, placement.host.clone(), demand.unwrap_or_default()));
            }
        }
        let leases_end = self.inherited_leases_end();
        for view in self.hosts.values_mut() {
            view.leases_end = leases_end;
        }
        for (run, host, demand) in adopted {
            // The attempt may have been ordered on an earlier link. Every report covers order
            // number 0.
            let run_view = RunView {
                order_number: Some(0),
                ..RunView::new(now)
            };
            self.runs.insert(run, run_view);
            let make = || HostView::new(host.clone(), now, leases_end);
            let view = self.hosts.entry(host.clone()).or_insert_with(make);
            view.runs.insert(run, demand);
        }
        self.adopt_lease_bounds();
    }
}

/// Returns the attempts that a host reports as running, as ended, or as not settled yet.
fn accounted_for(report: &HostReport) -> BTreeSet<RunName> {
    let running = report.running.iter().map(|row| row.run);
    let ended = report.ended.iter().map(|row| row.run);
    let in_flight = report.in_flight.iter().copied();
    running.chain(ended).chain(in_flight).collect()
}
